//! Reads a TOML table field by field and names every error with its line, instead of the
//! first alone.

use std::cell::RefCell;
use std::collections::BTreeSet;

use toml::de::{DeTable, DeValue};

/// Errors of one file, each with its line and field.
pub struct ParseErrors<'a> {
    file: &'a str,
    text: &'a str,
    list: RefCell<Vec<(usize, String)>>,
}

impl<'a> ParseErrors<'a> {
    /// Of a file of this name and text.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            list: RefCell::default(),
        }
    }

    /// Notes an error at a byte of the file.
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

/// One table being read. Fields that nobody read are errors.
pub struct TomlSection<'a> {
    errors: &'a ParseErrors<'a>,
    path: String,
    at: usize,
    table: Option<&'a DeTable<'a>>,
    read_fields: RefCell<BTreeSet<String>>,
}

impl<'a> TomlSection<'a> {
    /// The file's own table.
    pub fn root(errors: &'a ParseErrors<'a>, table: &'a DeTable<'a>) -> Self {
        Self {
            errors,
            path: String::new(),
            at: 0,
            table: Some(table),
            read_fields: RefCell::default(),
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
        self.read_fields.borrow_mut().insert(name.to_owned());
        let (_, value) = self
            .table?
            .iter()
            .find(|(key, _)| key.get_ref().as_ref() == name)?;
        Some((value.span().start, value.get_ref()))
    }

    /// Notes an error of a field, at the field or else at the table.
    pub fn error(&self, name: &str, what: &str) {
        let at = self.find(name).map_or(self.at, |(at, _)| at);
        self.errors.note(at, &self.full(name), what);
    }

    fn reject<T>(&self, at: usize, name: &str, want: &str) -> Option<T> {
        self.errors.note(at, &self.full(name), want);
        None
    }

    /// True if the field is there.
    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_some()
    }

    /// A number within bounds; `or` if it is absent, and an error if that is none.
    pub fn number(&self, name: &str, low: f64, high: f64, or: Option<f64>) -> f64 {
        let Some((at, value)) = self.find(name) else {
            if or.is_none() {
                self.errors.note(self.at, &self.full(name), "is missing");
            }
            return or.unwrap_or(low);
        };
        match as_number(value).filter(|x| (low..=high).contains(x)) {
            Some(x) => x,
            None => self
                .reject(at, name, &format!("must be a number from {low} to {high}"))
                .unwrap_or(low),
        }
    }

    /// A whole number within bounds.
    pub fn whole(&self, name: &str, low: u64, high: u64, or: Option<u64>) -> u64 {
        let x = self.number(name, low as f64, high as f64, or.map(|x| x as f64));
        if x.fract() != 0.0 {
            self.error(name, "must be a whole number");
        }
        x as u64
    }

    /// A text; `or` if it is absent.
    pub fn text(&self, name: &str, or: Option<&str>) -> String {
        match self.find(name) {
            Some((_, DeValue::String(s))) => s.to_string(),
            Some((at, _)) => self.reject(at, name, "must be a text").unwrap_or_default(),
            None => {
                if or.is_none() {
                    self.errors.note(self.at, &self.full(name), "is missing");
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
            self.error(name, &format!("must be one of {}", list.join(", ")));
        }
        found
    }

    /// True or false; `or` if it is absent.
    pub fn flag(&self, name: &str, or: bool) -> bool {
        match self.find(name) {
            Some((_, DeValue::Boolean(b))) => *b,
            Some((at, _)) => self.reject(at, name, "must be true or false").unwrap_or(or),
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
                .reject(at, name, "must be a list of texts")
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
                text(v.get_ref()).or_else(|| self.reject(v.span().start, name, "must be a text"))
            })
            .collect()
    }

    /// A table; an empty one if it is absent.
    pub fn table(&self, name: &str) -> TomlSection<'a> {
        let (at, table) = match self.find(name) {
            Some((at, DeValue::Table(t))) => (at, Some(t)),
            Some((at, _)) => (at, self.reject(at, name, "must be a table")),
            None => (self.at, None),
        };
        TomlSection {
            errors: self.errors,
            path: self.full(name),
            at,
            table,
            read_fields: RefCell::default(),
        }
    }

    /// A list of tables.
    pub fn tables(&self, name: &str) -> Vec<TomlSection<'a>> {
        let Some((at, value)) = self.find(name) else {
            return Vec::new();
        };
        let DeValue::Array(list) = value else {
            return self
                .reject(at, name, "must be a list of tables")
                .unwrap_or_default();
        };
        let section = |(i, v): (usize, &'a toml::Spanned<DeValue<'a>>)| match v.get_ref() {
            DeValue::Table(t) => {
                let path = format!("{}[{i}]", self.full(name));
                Some(TomlSection {
                    errors: self.errors,
                    path,
                    at: v.span().start,
                    table: Some(t),
                    read_fields: RefCell::default(),
                })
            }
            _ => self.reject(v.span().start, name, "must be a table"),
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
        let read_fields = self.read_fields.borrow();
        for (key, _) in self
            .table
            .into_iter()
            .flat_map(|t| t.iter())
            .filter(|(k, _)| !read_fields.contains(k.get_ref().as_ref()))
        {
            self.errors
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
