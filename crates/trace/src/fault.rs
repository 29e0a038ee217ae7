//! What is wrong with a row.

use std::fmt;

use lemonweir_model::constants::MAX_TASKS;

/// One fault: `FILE:LINE: field: what is wrong`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file as it was named.
    pub file: String,
    /// The line, from 1; 0: the file as a whole.
    pub line: u64,
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.file, self.line, self.field, self.what
        )
    }
}

/// Takes faults as they are found.
pub struct Faults<'a> {
    on_each: &'a mut dyn FnMut(&Fault),
    /// How many there were.
    pub count: u64,
}

impl<'a> Faults<'a> {
    /// Faults that go to `on_each`.
    pub fn new(on_each: &'a mut dyn FnMut(&Fault)) -> Self {
        Self { on_each, count: 0 }
    }

    /// Notes a fault.
    pub fn note(&mut self, file: &str, line: u64, field: &str, what: impl Into<String>) {
        self.count += 1;
        (self.on_each)(&Fault {
            file: file.to_owned(),
            line,
            field: field.to_owned(),
            what: what.into(),
        });
    }
}

/// One row being read: takes its fields and notes what is wrong with them.
pub struct Row<'r, 'f> {
    /// File and line.
    pub file: &'r str,
    /// The line, from 1.
    pub line: u64,
    /// Where faults go.
    pub faults: &'r mut Faults<'f>,
    /// False once a field was faulty.
    pub good: bool,
}

/// The largest amount or time that makes sense in any unit of the formats; up
/// to it every whole number is exact.
const LARGEST_AMOUNT: f64 = 9_007_199_254_740_992.0;

impl<'r, 'f> Row<'r, 'f> {
    /// A row that is good so far.
    pub fn new(file: &'r str, line: u64, faults: &'r mut Faults<'f>) -> Self {
        Self {
            file,
            line,
            faults,
            good: true,
        }
    }

    /// Notes a fault of a field.
    pub fn fault(&mut self, field: &str, what: impl Into<String>) {
        self.good = false;
        self.faults.note(self.file, self.line, field, what);
    }

    /// A number of 0 or more.
    pub fn number(&mut self, field: &str, text: &str) -> f64 {
        match text.trim().parse::<f64>() {
            Err(_) => self.fault(field, format!("{:?} is not a number", shorten(text))),
            Ok(x) if !x.is_finite() => {
                self.fault(field, format!("{} is no finite number", shorten(text)));
            }
            Ok(x) if x < 0.0 => self.fault(field, format!("{} is negative", shorten(text))),
            Ok(x) if x > LARGEST_AMOUNT => {
                self.fault(field, format!("{} is out of range", shorten(text)));
            }
            Ok(x) => return x,
        }
        0.0
    }

    /// A whole number of 0 or more, below 2^64.
    pub fn whole(&mut self, field: &str, text: &str) -> u64 {
        let text = text.trim();
        match text.parse::<u64>() {
            Ok(x) => return x,
            Err(_) if text.starts_with('-') => {
                self.fault(field, format!("{} is negative", shorten(text)));
            }
            Err(_) => self.fault(
                field,
                format!("{:?} is not a whole number below 2^64", shorten(text)),
            ),
        }
        0
    }

    /// A count of tasks that a job may have.
    pub fn tasks(&mut self, field: &str, count: u64) -> u32 {
        match count {
            0 => self.fault(field, "no task at all"),
            n if n > MAX_TASKS => {
                self.fault(field, format!("{n} tasks; a job may have {MAX_TASKS}"));
            }
            n => return n as u32,
        }
        0
    }
}

/// Characters of a text that a message shows.
const SHOWN_CHARACTERS: usize = 40;

/// As much of a text as belongs into a message.
pub fn shorten(text: &str) -> String {
    let mut short: String = text.chars().take(SHOWN_CHARACTERS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}

/// What a JSON reader found wrong with one line; its own line is always 1.
pub fn json_fault(e: &serde_json::Error) -> String {
    let text = e.to_string();
    let what = text.split(" at line ").next().unwrap_or(&text);
    format!("not as it must be: {what}, column {}", e.column())
}
