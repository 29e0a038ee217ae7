//! Reader of CSV files without a header. It checks that each row has the expected
//! number of fields and is valid UTF-8.

use std::io::BufRead;

use crate::fault::{Faults, Row};

/// Calls `each` with every row that has one field per name in `names` and is valid UTF-8, and
/// with the row's fields. Any other row is a fault. Reading stops at the first row that is not
/// valid CSV.
pub fn rows<'f>(
    file: &str,
    input: impl BufRead,
    names: &[&str],
    faults: &mut Faults<'f>,
    mut each: impl FnMut(&mut Row<'_, 'f>, &[&str]),
) -> std::io::Result<()> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .from_reader(input);
    let mut record = csv::ByteRecord::new();
    loop {
        match reader.read_byte_record(&mut record) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(e) => match e.into_kind() {
                csv::ErrorKind::Io(e) => return Err(e),
                other => {
                    faults.report(
                        file,
                        reader.position().line(),
                        "row",
                        format!("invalid CSV: {other:?}"),
                    );
                    return Ok(());
                }
            },
        }
        let line = record.position().map_or(0, csv::Position::line);
        let mut row = Row::new(file, line, faults);
        if record.len() != names.len() {
            row.fault(
                "row",
                format!("{} fields, expected {}", record.len(), names.len()),
            );
            continue;
        }
        let mut fields = Vec::with_capacity(names.len());
        for (bytes, name) in record.iter().zip(names) {
            match std::str::from_utf8(bytes) {
                Ok(text) => fields.push(text),
                Err(_) => row.fault(name, "invalid UTF-8"),
            }
        }
        if row.valid {
            each(&mut row, &fields);
        }
    }
}
