//! Reads TOML tables field by field and collects every error with its line, where a
//! deserializer would stop at the first.

use std::cell::RefCell;
use std::collections::BTreeSet;

use toml::de::{DeTable, DeValue};

/// Collects the errors of one file, each with its line and field.
pub struct ParseErrors<'a> {
    file: &'a str,
    text: &'a str,
    list: RefCell<Vec<(usize, String)>>,
}

impl<'a> ParseErrors<'a> {
    /// Starts without errors for the file with this name and text.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            list: RefCell::default(),
        }
    }

    /// Records an error at a byte offset of the file.
    pub fn add(&self, at: usize, field: &str, what: &str) {
        let line = self.text[..at.min(self.text.len())].matches('\n').count() + 1;
        self.list
            .borrow_mut()
            .push((line, format!("{}:{line}: {field}: {what}", self.file)));
    }

    /// The messages, ordered by line.
    pub fn into_lines(self) -> Vec<String> {
        let mut list = self.list.into_inner();
        list.sort_by_key(|(line, _)| *line);
        list.into_iter().map(|(_, text)| text).collect()
    }
}

/// A table being read. When it is dropped, each field that was not read is recorded as an
/// unknown field.
pub struct TomlSection<'a> {
    errors: &'a ParseErrors<'a>,
    path: String,
    at: usize,
    table: Option<&'a DeTable<'a>>,
    read_fields: RefCell<BTreeSet<String>>,
}

impl<'a> TomlSection<'a> {
    /// The root table of the file.
    pub fn root(errors: &'a ParseErrors<'a>, table: &'a DeTable<'a>) -> Self {
        Self {
            errors,
            path: String::new(),
            at: 0,
            table: Some(table),
            read_fields: RefCell::default(),
        }
    }

    fn field_path(&self, name: &str) -> String {
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

    /// Records an error of a field: at the field, or at the table if the field is absent.
    pub fn error(&self, name: &str, what: &str) {
        let at = self.find(name).map_or(self.at, |(at, _)| at);
        self.errors.add(at, &self.field_path(name), what);
    }

    fn reject<T>(&self, at: usize, name: &str, want: &str) -> Option<T> {
        self.errors.add(at, &self.field_path(name), want);
        None
    }

    /// True if the field is present.
    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_some()
    }

    /// A number within bounds; `default` if it is absent. An absent field without a default is
    /// an error. After an error, `low` is returned.
    pub fn number(&self, name: &str, low: f64, high: f64, default: Option<f64>) -> f64 {
        let Some((at, value)) = self.find(name) else {
            if default.is_none() {
                self.errors
                    .add(self.at, &self.field_path(name), "is missing");
            }
            return default.unwrap_or(low);
        };
        match as_number(value).filter(|x| (low..=high).contains(x)) {
            Some(x) => x,
            None => self
                .reject(at, name, &format!("must be a number from {low} to {high}"))
                .unwrap_or(low),
        }
    }

    /// An integer within bounds; absent fields and errors are handled as in [`Self::number`]. A
    /// fractional number is an error, and is rounded down.
    pub fn integer(&self, name: &str, low: u64, high: u64, default: Option<u64>) -> u64 {
        let x = self.number(name, low as f64, high as f64, default.map(|x| x as f64));
        if x.fract() != 0.0 {
            self.error(name, "must be a whole number");
        }
        x as u64
    }

    /// A string; `default` if it is absent. An absent field without a default is an error. After
    /// an error, the string is empty.
    pub fn string(&self, name: &str, default: Option<&str>) -> String {
        match self.find(name) {
            Some((_, DeValue::String(s))) => s.to_string(),
            Some((at, _)) => self.reject(at, name, "must be a text").unwrap_or_default(),
            None => {
                if default.is_none() {
                    self.errors
                        .add(self.at, &self.field_path(name), "is missing");
                }
                default.unwrap_or_default().to_owned()
            }
        }
    }

    /// The value that `choices` assigns to a string; `default` if the field is absent. A string
    /// that is not among `choices`, and an absent field without a default, are errors and yield
    /// `None`.
    pub fn one_of<T: Copy>(
        &self,
        name: &str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        if !self.has(name) && default.is_some() {
            return default;
        }
        let text = self.string(name, None);
        let found = choices.iter().find(|(w, _)| *w == text).map(|(_, t)| *t);
        if found.is_none() && self.has(name) {
            let list: Vec<&str> = choices.iter().map(|(w, _)| *w).collect();
            self.error(name, &format!("must be one of {}", list.join(", ")));
        }
        found
    }

    /// A boolean; `default` if it is absent.
    pub fn boolean(&self, name: &str, default: bool) -> bool {
        match self.find(name) {
            Some((_, DeValue::Boolean(b))) => *b,
            Some((at, _)) => self
                .reject(at, name, "must be true or false")
                .unwrap_or(default),
            None => default,
        }
    }

    /// An array of strings; empty if it is absent.
    pub fn strings(&self, name: &str) -> Vec<String> {
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

    /// A table; empty if it is absent.
    pub fn table(&self, name: &str) -> TomlSection<'a> {
        let (at, table) = match self.find(name) {
            Some((at, DeValue::Table(t))) => (at, Some(t)),
            Some((at, _)) => (at, self.reject(at, name, "must be a table")),
            None => (self.at, None),
        };
        TomlSection {
            errors: self.errors,
            path: self.field_path(name),
            at,
            table,
            read_fields: RefCell::default(),
        }
    }

    /// An array of tables; empty if it is absent.
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
                let path = format!("{}[{i}]", self.field_path(name));
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

    /// The parsed value, for fields that accept several types.
    pub fn value(&self, name: &str) -> Option<&'a DeValue<'a>> {
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
            self.errors.add(
                key.span().start,
                &self.field_path(key.get_ref()),
                "unknown field",
            );
        }
    }
}

/// The value of an integer or of a finite float; `None` for other types.
pub fn as_number(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(i) => i64::from_str_radix(i.as_str(), i.radix())
            .ok()
            .map(|x| x as f64),
        DeValue::Float(f) => f.as_str().parse().ok().filter(|x: &f64| x.is_finite()),
        _ => None,
    }
}
