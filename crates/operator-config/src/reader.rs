//! Reads a table of TOML key by key, and keeps all that is wrong with it.

use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::{Table, Value};

/// One thing that is wrong with the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with its sections, as in `ready.lag_ms`; empty for the file as a whole.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return f.write_str(&self.reason);
        }
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// All that is wrong with a file, in the order in which it was found; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    /// One line: faults are told apart by `; `.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if place > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads one table. What is missing takes its default; what is not asked for is a fault.
pub struct Section {
    path: String,
    table: Table,
    faults: Vec<Fault>,
}

impl Section {
    /// The file as a whole.
    pub fn whole(table: Table) -> Section {
        Section {
            path: String::new(),
            table,
            faults: Vec::new(),
        }
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Notes a fault of a key.
    pub fn fault(&mut self, key: &str, reason: impl Into<String>) {
        let key = self.key(key);
        self.faults.push(Fault {
            key,
            reason: reason.into(),
        });
    }

    /// Whether a key is there; it is not taken.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads a section by the name of its key.
    pub fn section<T>(&mut self, key: &str, read: impl FnOnce(&mut Section) -> T) -> T {
        let path = self.key(key);
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

    /// `true` or `false`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        self.take(key, default, "true or false", Value::as_bool)
    }

    /// A whole number within bounds.
    pub fn number(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        let wants = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let read = |value: &Value| {
            value
                .as_integer()
                .and_then(|number| u64::try_from(number).ok())
        };
        self.take(key, default, &wants, |value| {
            read(value).filter(|number| bounds.contains(number))
        })
    }

    /// A span in whole milliseconds within bounds.
    pub fn span_ms(&mut self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, bounds))
    }

    /// The same, where 0 stands for none.
    pub fn span_ms_or_none(&mut self, key: &str, default: u64, most: u64) -> Option<Duration> {
        Some(self.span_ms(key, default, 0..=most)).filter(|span| !span.is_zero())
    }

    /// A number within bounds, with or without a fraction.
    pub fn figure(&mut self, key: &str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        let wants = format!("a number from {} to {}", bounds.start(), bounds.end());
        let read = |value: &Value| {
            value
                .as_float()
                .or(value.as_integer().map(|number| number as f64))
        };
        self.take(key, default, &wants, |value| {
            read(value).filter(|figure| bounds.contains(figure))
        })
    }

    /// A text that some reading accepts.
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

    /// A list of texts, each of which some reading accepts.
    pub fn list<T>(&mut self, key: &str, wants: &str, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let each = |value: &Value| -> Option<Vec<T>> {
            value
                .as_array()?
                .iter()
                .map(|item| item.as_str().and_then(&read))
                .collect()
        };
        self.take(key, Vec::new(), &format!("a list, each {wants}"), each)
    }

    /// All faults, with one for each key that nobody asked for.
    pub fn rest(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self.table.keys().cloned().collect();
        unknown
            .iter()
            .for_each(|key| self.fault(key, "unknown key"));
        self.faults
    }
}

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
