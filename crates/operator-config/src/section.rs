//! Reads a table of TOML key by key and collects its faults.

use crate::fault::Fault;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::{Table, Value};

/// A table that is being read. A missing key takes its default; a key that is never read is a fault.
pub struct Section {
    /// The keys of the sections around it, joined by dots; empty for the whole file.
    path: String,
    /// The keys that have not been read yet.
    table: Table,
    faults: Vec<Fault>,
}

impl Section {
    /// The whole file.
    pub fn root(table: Table) -> Section {
        Section {
            path: String::new(),
            table,
            faults: Vec::new(),
        }
    }

    /// A key with its sections.
    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Records a fault of a key.
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

    /// Reads the section of this key.
    pub fn section<T>(&mut self, key: &str, read: impl FnOnce(&mut Section) -> T) -> T {
        let path = self.full_key(key);
        let table = match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.fault(key, format!("must be a section, not {}", kind(&other)));
                Table::new()
            }
        };
        let mut section = Section {
            path,
            table,
            faults: Vec::new(),
        };
        let value = read(&mut section);
        self.faults.extend(section.rest());
        value
    }

    /// Reads a key; a value that `read` does not accept is a fault, and the default stands.
    fn take<T>(
        &mut self,
        key: &str,
        default: T,
        wants: &str,
        read: impl FnOnce(&Value) -> Option<T>,
    ) -> T {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        read(&value).unwrap_or_else(|| {
            let shown = match &value {
                Value::Table(_) | Value::Array(_) => kind(&value).to_owned(),
                other => other.to_string(),
            };
            self.fault(key, format!("must be {wants}, not {shown}"));
            default
        })
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        self.take(key, default, "true or false", Value::as_bool)
    }

    /// Reads a whole number within bounds.
    pub fn number(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        let wants = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        self.take(key, default, &wants, |value| {
            let number = u64::try_from(value.as_integer()?).ok()?;
            bounds.contains(&number).then_some(number)
        })
    }

    /// Reads a span in whole milliseconds within bounds.
    pub fn span_ms(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, bounds))
    }

    /// Reads a span in whole milliseconds of at most `most`; 0 stands for `None`.
    pub fn span_ms_or_none(&mut self, key: &str, default: u64, most: u64) -> Option<Duration> {
        Some(self.span_ms(key, default, 0..=most)).filter(|span| !span.is_zero())
    }

    /// Reads a number within bounds, with or without a fraction.
    pub fn figure(&mut self, key: &str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        let wants = format!("a number from {} to {}", bounds.start(), bounds.end());
        self.take(key, default, &wants, |value| {
            let whole = value.as_integer().map(|number| number as f64);
            let number = value.as_float().or(whole)?;
            bounds.contains(&number).then_some(number)
        })
    }

    /// Reads a text that `read` accepts; `wants` describes such texts in a fault.
    pub fn parsed<T>(
        &mut self,
        key: &str,
        wants: &str,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.take(key, None, wants, |value| {
            value.as_str().and_then(read).map(Some)
        })
    }

    /// Reads a list of texts each of which `read` accepts; `wants` describes such texts in a fault.
    pub fn list<T>(&mut self, key: &str, wants: &str, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let wants = format!("a list, each {wants}");
        self.take(key, Vec::new(), &wants, |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_str().and_then(&read)).collect()
        })
    }

    /// All faults, among them one for each key that was not read.
    pub fn rest(mut self) -> Vec<Fault> {
        let unread: Vec<String> = self.table.keys().cloned().collect();
        for key in unread {
            self.fault(&key, "unknown key");
        }
        self.faults
    }
}

/// The kind of a value, as a fault names it.
fn kind(value: &Value) -> &'static str {
    match value {
        Value::Table(_) => "a section",
        Value::Array(_) => "a list",
        Value::String(_) => "a text",
        Value::Integer(_) | Value::Float(_) => "a number",
        Value::Boolean(_) => "true or false",
        Value::Datetime(_) => "a date",
    }
}
