//! Faults of trace files, and parsing of row fields that reports them.

use std::fmt;

use lemonweir_model::constants::MAX_TASKS;

/// A fault in a trace file, displayed as `FILE:LINE: field: message`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file as given by the caller.
    pub file: String,
    /// Line number, starting at 1; 0 for the file as a whole.
    pub line: u64,
    /// Name of the faulty field.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.file, self.line, self.field, self.message
        )
    }
}

/// Counts faults and passes each on as it is found.
pub struct Faults<'a> {
    on_each: &'a mut dyn FnMut(&Fault),
    /// Number of faults so far.
    pub count: u64,
}

impl<'a> Faults<'a> {
    /// Starts with a count of 0, and passes each fault to `on_each`.
    pub fn new(on_each: &'a mut dyn FnMut(&Fault)) -> Self {
        Self { on_each, count: 0 }
    }

    /// Counts a fault and passes it on.
    pub fn report(&mut self, file: &str, line: u64, field: &str, message: impl Into<String>) {
        self.count += 1;
        (self.on_each)(&Fault {
            file: file.to_owned(),
            line,
            field: field.to_owned(),
            message: message.into(),
        });
    }
}

/// A row being read: parses its fields and reports their faults.
pub struct Row<'r, 'f> {
    /// Path of the file.
    pub file: &'r str,
    /// Line number, starting at 1.
    pub line: u64,
    /// Receives the faults of the row.
    pub faults: &'r mut Faults<'f>,
    /// False once a fault has been reported for the row.
    pub valid: bool,
}

/// Limit of amounts and times, above any sensible value in any unit of the formats.
/// It is 2^53: up to it, `f64` represents every integer exactly.
const MAX_AMOUNT: f64 = 9_007_199_254_740_992.0;

impl<'r, 'f> Row<'r, 'f> {
    /// Creates a row without faults.
    pub fn new(file: &'r str, line: u64, faults: &'r mut Faults<'f>) -> Self {
        Self {
            file,
            line,
            faults,
            valid: true,
        }
    }

    /// Reports a fault of a field and marks the row as invalid.
    pub fn fault(&mut self, field: &str, message: impl Into<String>) {
        self.valid = false;
        self.faults.report(self.file, self.line, field, message);
    }

    /// Parses a number from 0 to 2^53; reports a fault and returns 0 for anything else.
    pub fn number(&mut self, field: &str, text: &str) -> f64 {
        match text.trim().parse::<f64>() {
            Err(_) => self.fault(field, format!("{:?} is not a number", shorten(text))),
            Ok(x) if !x.is_finite() => {
                self.fault(field, format!("{} is not a finite number", shorten(text)));
            }
            Ok(x) if x < 0.0 => self.fault(field, format!("{} is negative", shorten(text))),
            Ok(x) if x > MAX_AMOUNT => {
                self.fault(field, format!("{} is out of range", shorten(text)));
            }
            Ok(x) => return x,
        }
        0.0
    }

    /// Parses an integer below 2^64; reports a fault and returns 0 for anything else.
    pub fn integer(&mut self, field: &str, text: &str) -> u64 {
        let text = text.trim();
        match text.parse::<u64>() {
            Ok(x) => return x,
            Err(_) if text.starts_with('-') => {
                self.fault(field, format!("{} is negative", shorten(text)));
            }
            Err(_) => self.fault(
                field,
                format!("{:?} is not an integer in 0 to 2^64 - 1", shorten(text)),
            ),
        }
        0
    }

    /// Checks a job's number of tasks; reports a fault and returns 0 if it is out of range.
    pub fn task_count(&mut self, field: &str, count: u64) -> u32 {
        match count {
            0 => self.fault(field, "at least one task is required"),
            n if n > MAX_TASKS => {
                self.fault(
                    field,
                    format!("{n} tasks exceed the limit of {MAX_TASKS} per job"),
                );
            }
            n => return n as u32,
        }
        0
    }
}

/// Maximum number of characters of an input text that a message shows.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// Shortens an input text for use in a message: what exceeds 40 characters becomes `…`.
pub fn shorten(text: &str) -> String {
    let mut short: String = text.chars().take(MAX_SHOWN_CHARACTERS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}

/// Describes a JSON error in one record, without its line: each record is parsed on its own, so
/// the line is not the one in the file.
pub fn describe_json_error(e: &serde_json::Error) -> String {
    let text = e.to_string();
    let message = text.split(" at line ").next().unwrap_or(&text);
    format!("invalid record: {message}, column {}", e.column())
}
