//! Formatting of command results as text.

use comfy_table::Table;

/// Creates a table with this header, without rows or borders.
pub(crate) fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(header);
    table
}

/// Formats a Unix time in ms as a UTC timestamp; as the plain number if it is out of range.
pub(crate) fn utc_timestamp(unix_ms: u64) -> String {
    i64::try_from(unix_ms)
        .ok()
        .and_then(|unix_ms| jiff::Timestamp::from_millisecond(unix_ms).ok())
        .map_or_else(|| unix_ms.to_string(), |time| time.to_string())
}

/// Formats a value; empty if there is none.
pub(crate) fn or_empty(value: Option<impl ToString>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}

/// Says which controller's view of the store is shown, and how old it is.
pub(crate) fn state_age(host: &str, age_ms: Option<u64>) -> String {
    match age_ms {
        Some(ms) => format!("as {host} read it {ms} ms ago"),
        None => format!("{host} has not read the state service yet"),
    }
}
