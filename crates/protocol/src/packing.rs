//! Compact encoding of job ids and integers in rows that are written to the store.

use lemonweir_model::JobId;

const JOB_ID_PREFIX: &str = "req-";
/// Bits of a byte of a variable-length integer that hold its value.
const VARINT_BITS: u32 = 7;
/// Flag of a byte that others follow.
const VARINT_MORE: u8 = 1 << VARINT_BITS;

pub(crate) fn push_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= u64::from(VARINT_MORE) {
        bytes.push(value as u8 | VARINT_MORE);
        value >>= VARINT_BITS;
    }
    bytes.push(value as u8);
}

pub(crate) fn take_varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0u64;
    for shift in (0..u64::BITS).step_by(VARINT_BITS as usize) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(byte & !VARINT_MORE) << shift;
        if byte & VARINT_MORE == 0 {
            return Some(value);
        }
    }
    None
}

/// The number of digits of a job's id, and their value; `None` if the value exceeds 64 bits.
fn id_digits(job: &JobId) -> Option<(u8, u64)> {
    let digits = job.as_str().trim_start_matches(JOB_ID_PREFIX);
    Some((u8::try_from(digits.len()).ok()?, digits.parse().ok()?))
}

/// True if a job's id can be packed.
pub fn is_packable(job: &JobId) -> bool {
    id_digits(job).is_some()
}

/// Appends a job's id. Returns false, and appends nothing, for an id whose number exceeds 64 bits.
pub(crate) fn push_job_id(bytes: &mut Vec<u8>, job: &JobId) -> bool {
    let Some((digits, number)) = id_digits(job) else {
        return false;
    };
    bytes.push(digits);
    push_varint(bytes, number);
    true
}

/// Reads a job's id; `None` if it is malformed.
pub(crate) fn take_job_id(bytes: &mut &[u8]) -> Option<JobId> {
    let (&digits, rest) = bytes.split_first()?;
    *bytes = rest;
    let number = take_varint(bytes)?;
    let width = usize::from(digits);
    JobId::parse(&format!("{JOB_ID_PREFIX}{number:0width$}"))
}
