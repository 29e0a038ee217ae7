//! Reads a TOML table field by field and names every fault with its line,
//! instead of the first alone.

use std::cell::RefCell;
use std::collections::BTreeSet;

use toml::de::{DeTable, DeValue};

/// Faults of one file, each with its line and field.
pub struct ParseFaults<'a> {
    file: &'a str,
    text: &'a str,
    list: RefCell<Vec<(usize, String)>>,
}

impl<'a> ParseFaults<'a> {
    /// Of a file of this name and text.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            list: RefCell::default(),
        }
    }

    /// Notes a fault at a byte of the file.
    pub fn note(&self, at: usize, field: &str, what: &str) {
        let line = self.text[..at.min(self.text.len())].matches('\n').count() + 1;
        self.list
            .borrow_mut()
            .push((line, format!("{}:{line}: {field}: {what}", self.file)));
    }

    /// All of them in the order of their lines.
    pub fn into_lines(self) -> Vec<String> {
        let mut list = self.list.into_inner();
        list.sort_by_key(|(line, _)| *line);
        list.into_iter().map(|(_, text)| text).collect()
    }
}

/// One table being read. Names that nobody asked for are faults.
pub struct TomlSection<'a> {
    faults: &'a ParseFaults<'a>,
    path: String,
    at: usize,
    table: Option<&'a DeTable<'a>>,
    asked: RefCell<BTreeSet<String>>,
}

impl<'a> TomlSection<'a> {
    /// The file's own table.
    pub fn root(faults: &'a ParseFaults<'a>, table: &'a DeTable<'a>) -> Self {
        Self {
            faults,
            path: String::new(),
            at: 0,
            table: Some(table),
            asked: RefCell::default(),
        }
    }

    fn full(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn find(&self, name: &str) -> Option<(usize, &'a DeValue<'a>)> {
        self.asked.borrow_mut().insert(name.to_owned());
        let (_, value) = self
            .table?
            .iter()
            .find(|(key, _)| key.get_ref().as_ref() == name)?;
        Some((value.span().start, value.get_ref()))
    }

    /// Notes a fault of a field, at the field or else at the table.
    pub fn fault(&self, name: &str, what: &str) {
        let at = self.find(name).map_or(self.at, |(at, _)| at);
        self.faults.note(at, &self.full(name), what);
    }

    fn wrong<T>(&self, at: usize, name: &str, want: &str) -> Option<T> {
        self.faults.note(at, &self.full(name), want);
        None
    }

    /// True if the field is there.
    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_some()
    }

    /// A number within bounds; `or` if it is absent, and a fault if that is none.
    pub fn number(&self, name: &str, low: f64, high: f64, or: Option<f64>) -> f64 {
        let Some((at, value)) = self.find(name) else {
            if or.is_none() {
                self.faults.note(self.at, &self.full(name), "is missing");
            }
            return or.unwrap_or(low);
        };
        match as_number(value).filter(|x| (low..=high).contains(x)) {
            Some(x) => x,
            None => self
                .wrong(at, name, &format!("must be a number from {low} to {high}"))
                .unwrap_or(low),
        }
    }

    /// A whole number within bounds.
    pub fn whole(&self, name: &str, low: u64, high: u64, or: Option<u64>) -> u64 {
        let x = self.number(name, low as f64, high as f64, or.map(|x| x as f64));
        if x.fract() != 0.0 {
            self.fault(name, "must be a whole number");
        }
        x as u64
    }

    /// A text; `or` if it is absent.
    pub fn text(&self, name: &str, or: Option<&str>) -> String {
        match self.find(name) {
            Some((_, DeValue::String(s))) => s.to_string(),
            Some((at, _)) => self.wrong(at, name, "must be a text").unwrap_or_default(),
            None => {
                if or.is_none() {
                    self.faults.note(self.at, &self.full(name), "is missing");
                }
                or.unwrap_or_default().to_owned()
            }
        }
    }

    /// One of some words.
    pub fn word<T: Copy>(&self, name: &str, words: &[(&str, T)], or: Option<T>) -> Option<T> {
        if !self.has(name) && or.is_some() {
            return or;
        }
        let text = self.text(name, None);
        let found = words.iter().find(|(w, _)| *w == text).map(|(_, t)| *t);
        if found.is_none() && self.has(name) {
            let list: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
            self.fault(name, &format!("must be one of {}", list.join(", ")));
        }
        found
    }

    /// True or false; `or` if it is absent.
    pub fn flag(&self, name: &str, or: bool) -> bool {
        match self.find(name) {
            Some((_, DeValue::Boolean(b))) => *b,
            Some((at, _)) => self.wrong(at, name, "must be true or false").unwrap_or(or),
            None => or,
        }
    }

    /// A list of texts.
    pub fn texts(&self, name: &str) -> Vec<String> {
        let Some((at, value)) = self.find(name) else {
            return Vec::new();
        };
        let DeValue::Array(list) = value else {
            return self
                .wrong(at, name, "must be a list of texts")
                .unwrap_or_default();
        };
        let text = |v: &DeValue<'_>| {
            if let DeValue::String(s) = v {
                Some(s.to_string())
            } else {
                None
            }
        };
        list.iter()
            .filter_map(|v| {
                text(v.get_ref()).or_else(|| self.wrong(v.span().start, name, "must be a text"))
            })
            .collect()
    }

    /// A table; an empty one if it is absent.
    pub fn table(&self, name: &str) -> TomlSection<'a> {
        let (at, table) = match self.find(name) {
            Some((at, DeValue::Table(t))) => (at, Some(t)),
            Some((at, _)) => (at, self.wrong(at, name, "must be a table")),
            None => (self.at, None),
        };
        TomlSection {
            faults: self.faults,
            path: self.full(name),
            at,
            table,
            asked: RefCell::default(),
        }
    }

    /// A list of tables.
    pub fn tables(&self, name: &str) -> Vec<TomlSection<'a>> {
        let Some((at, value)) = self.find(name) else {
            return Vec::new();
        };
        let DeValue::Array(list) = value else {
            return self
                .wrong(at, name, "must be a list of tables")
                .unwrap_or_default();
        };
        let section = |(i, v): (usize, &'a toml::Spanned<DeValue<'a>>)| match v.get_ref() {
            DeValue::Table(t) => {
                let path = format!("{}[{i}]", self.full(name));
                Some(TomlSection {
                    faults: self.faults,
                    path,
                    at: v.span().start,
                    table: Some(t),
                    asked: RefCell::default(),
                })
            }
            _ => self.wrong(v.span().start, name, "must be a table"),
        };
        list.iter().enumerate().filter_map(section).collect()
    }

    /// The value itself, for fields of several forms.
    pub fn raw(&self, name: &str) -> Option<&'a DeValue<'a>> {
        self.find(name).map(|(_, value)| value)
    }
}

impl Drop for TomlSection<'_> {
    fn drop(&mut self) {
        let asked = self.asked.borrow();
        for (key, _) in self
            .table
            .into_iter()
            .flat_map(|t| t.iter())
            .filter(|(k, _)| !asked.contains(k.get_ref().as_ref()))
        {
            self.faults
                .note(key.span().start, &self.full(key.get_ref()), "unknown field");
        }
    }
}

/// A number of either kind.
pub fn as_number(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(i) => i64::from_str_radix(i.as_str(), i.radix())
            .ok()
            .map(|x| x as f64),
        DeValue::Float(f) => f.as_str().parse().ok().filter(|x: &f64| x.is_finite()),
        _ => None,
    }
}
