//! A reader of TOML tables that validates each key and collects all errors.

use crate::fault::Fault;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::{Table, Value};

/// A section (TOML table) that is being read. A missing key has its default value; a key that is never read is a fault.
pub struct Section {
    /// The dotted path of the section; empty for the entire file.
    path: String,
    /// The keys that have not been read yet, with their values.
    table: Table,
    faults: Vec<Fault>,
}

impl Section {
    /// Creates the root section from the table of an entire file.
    pub fn root(table: Table) -> Section {
        Section {
            path: String::new(),
            table,
            faults: Vec::new(),
        }
    }

    /// The dotted path of a key.
    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Records a fault of a key, which `reason` describes.
    pub fn fault(&mut self, key: &str, reason: impl Into<String>) {
        let key = self.full_key(key);
        self.faults.push(Fault {
            key,
            reason: reason.into(),
        });
    }

    /// Whether a key is set and has not been read yet.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads the subsection `key` by `read`, and adds its faults to this section's. A missing subsection is read as an
    /// empty one.
    pub fn section<T>(&mut self, key: &str, read: impl FnOnce(&mut Section) -> T) -> T {
        let path = self.full_key(key);
        let table = match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.fault(key, format!("must be a section, not {}", type_name(&other)));
                Table::new()
            }
        };
        let mut section = Section {
            path,
            table,
            faults: Vec::new(),
        };
        let value = read(&mut section);
        self.faults.extend(section.finish());
        value
    }

    /// Reads a key. If `read` rejects the value, records a fault with what was `expected` and returns the default.
    fn read_value<T>(
        &mut self,
        key: &str,
        default: T,
        expected: &str,
        read: impl FnOnce(&Value) -> Option<T>,
    ) -> T {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        read(&value).unwrap_or_else(|| {
            let shown = match &value {
                Value::Table(_) | Value::Array(_) => type_name(&value).to_owned(),
                other => other.to_string(),
            };
            self.fault(key, format!("must be {expected}, not {shown}"));
            default
        })
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, key: &str, default: bool) -> bool {
        self.read_value(key, default, "true or false", Value::as_bool)
    }

    /// Reads an integer within bounds.
    pub fn number(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        let expected = format!("an integer from {} to {}", bounds.start(), bounds.end());
        self.read_value(key, default, &expected, |value| {
            let number = u64::try_from(value.as_integer()?).ok()?;
            bounds.contains(&number).then_some(number)
        })
    }

    /// Reads a duration in whole milliseconds. The default and the bounds are in milliseconds too.
    pub fn span_ms(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, bounds))
    }

    /// Reads a duration in whole milliseconds, up to `max`; 0 stands for `None`. The default and `max` are in
    /// milliseconds.
    pub fn span_ms_or_none(&mut self, key: &str, default: u64, max: u64) -> Option<Duration> {
        Some(self.span_ms(key, default, 0..=max)).filter(|duration| !duration.is_zero())
    }

    /// Reads a float or integer within bounds.
    pub fn float(&mut self, key: &str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        self.read_value(key, default, &expected, |value| {
            let integer = value.as_integer().map(|number| number as f64);
            let number = value.as_float().or(integer)?;
            bounds.contains(&number).then_some(number)
        })
    }

    /// Reads a string and parses it by `read`. `expected` describes valid strings in a fault. Returns `None` if the key
    /// is missing or invalid.
    pub fn parsed<T>(
        &mut self,
        key: &str,
        expected: &str,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.read_value(key, None, expected, |value| {
            value.as_str().and_then(read).map(Some)
        })
    }

    /// Reads an array of strings and parses each by `read`. `expected` describes valid strings in a fault. Returns an
    /// empty list if the key is missing or an item is invalid.
    pub fn list<T>(
        &mut self,
        key: &str,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let expected = format!("a list, each item {expected}");
        self.read_value(key, Vec::new(), &expected, |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_str().and_then(&read)).collect()
        })
    }

    /// Finishes reading and returns all faults, including one for each key that was not read.
    pub fn finish(mut self) -> Vec<Fault> {
        let unread: Vec<String> = self.table.keys().cloned().collect();
        for key in unread {
            self.fault(&key, "unknown key");
        }
        self.faults
    }
}

/// The type of a value, as faults name it.
fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Table(_) => "a section",
        Value::Array(_) => "a list",
        Value::String(_) => "a string",
        Value::Integer(_) | Value::Float(_) => "a number",
        Value::Boolean(_) => "a boolean",
        Value::Datetime(_) => "a date",
    }
}
