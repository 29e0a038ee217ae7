//! Packing of last known progress for the store.

use lemonweir_model::JobId;
use lemonweir_protocol::last_progress::{
    LastProgressRow, MAX_PACKED_ROW_BYTES, is_packable, pack_row, unpack_rows,
};

fn row(
    job: &str,
    tasks_done: u32,
    tasks_running: u32,
    may_run: bool,
    age_s: u32,
) -> LastProgressRow {
    LastProgressRow {
        job: JobId::parse(job).expect("a job id"),
        tasks_done,
        tasks_running,
        may_run,
        age_s,
    }
}

#[test]
fn packed_rows_are_read_back() {
    let rows = vec![
        row("req-0", 0, 1, false, 0),
        row("req-000412", 100_000, 0, true, 17),
        row(
            "req-18446744073709551615",
            u32::MAX,
            u32::MAX,
            true,
            u32::MAX,
        ),
    ];
    let mut packed = Vec::new();
    for row in &rows {
        let before = packed.len();
        assert!(pack_row(&mut packed, row));
        assert!(packed.len() - before <= MAX_PACKED_ROW_BYTES);
    }
    assert_eq!(unpack_rows(&packed), Some(rows));
    assert_eq!(unpack_rows(&packed[..packed.len() - 1]), None);
    let too_large = row("req-18446744073709551616", 0, 1, false, 0);
    assert!(!is_packable(&too_large.job) && !pack_row(&mut packed, &too_large));
}
