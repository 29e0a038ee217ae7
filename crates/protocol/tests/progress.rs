//! Packing of progress for the store.

use lemonweir_model::JobId;
use lemonweir_protocol::progress::{StoredRow, pack_row, unpack_rows};

fn row(job: &str, tasks_done: u32, tasks_running: u32, known: bool) -> StoredRow {
    StoredRow {
        job: JobId::parse(job).expect("a job id"),
        tasks_done,
        tasks_running,
        known,
    }
}

#[test]
fn packed_rows_are_read_back() {
    let rows = vec![
        row("req-0", 0, 1, true),
        row("req-000412", 100_000, 0, true),
        row("req-00000000000000000412", 1, u32::MAX, false),
        row("req-18446744073709551615", u32::MAX, 3, true),
    ];
    let mut packed = Vec::new();
    assert!(rows.iter().all(|row| pack_row(&mut packed, row)));
    assert_eq!(unpack_rows(&packed), Some(rows));
    assert!(!pack_row(
        &mut packed,
        &row("req-18446744073709551616", 0, 1, true)
    ));
    assert_eq!(unpack_rows(&packed[..packed.len() - 1]), None);
    // A row of an id of six digits takes few bytes: thousands fit the message of a shard.
    let mut packed = Vec::new();
    assert!((0..4_000).all(|n| pack_row(&mut packed, &row(&format!("req-{n:06}"), 40, 12, true))));
    assert!(packed.len() <= 24 * 1024, "{} bytes", packed.len());
}
