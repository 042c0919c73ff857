//! One line of the wire, and what can be wrong with it.

use std::fmt;
use std::str::FromStr;

/// What is wrong, and where.
#[derive(Debug)]
pub struct Fault {
    pub line: usize,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

pub type Result<T> = std::result::Result<T, Fault>;

/// A line: its name, its fields, its number.
pub struct Line<'a> {
    pub number: usize,
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    pub fn parse(number: usize, text: &'a str) -> Self {
        let (name, rest) = text.split_once('\t').unwrap_or((text, ""));
        Line { number, name, rest }
    }

    pub fn fault<T>(&self, what: impl Into<String>) -> Result<T> {
        Err(Fault {
            line: self.number,
            what: what.into(),
        })
    }

    pub fn optional(&self, field: &str) -> Option<&'a str> {
        self.rest.split('\t').find_map(|part| {
            part.strip_prefix(field)
                .and_then(|value| value.strip_prefix('='))
        })
    }

    pub fn text(&self, field: &str) -> Result<&'a str> {
        match self.optional(field) {
            Some(value) => Ok(value),
            None => self.fault(format!("{}: field {field} is missing", self.name)),
        }
    }

    /// A field of free text: it runs to the end of the line.
    pub fn tail(&self, field: &str) -> Result<&'a str> {
        let mut rest = self.rest;
        loop {
            if let Some(value) = rest
                .strip_prefix(field)
                .and_then(|value| value.strip_prefix('='))
            {
                return Ok(value);
            }
            match rest.split_once('\t') {
                Some((_, after)) => rest = after,
                None => return self.fault(format!("{}: field {field} is missing", self.name)),
            }
        }
    }

    pub fn bad<T>(&self, field: &str) -> Result<T> {
        let value = self.optional(field).unwrap_or_default();
        self.fault(format!("{}: field {field} cannot be {value:?}", self.name))
    }

    pub fn number<T: FromStr>(&self, field: &str) -> Result<T> {
        self.text(field)?.parse().or_else(|_| self.bad(field))
    }

    pub fn number_or<T: FromStr>(&self, field: &str, default: T) -> Result<T> {
        match self.optional(field) {
            Some(value) => value.parse().or_else(|_| self.bad(field)),
            None => Ok(default),
        }
    }

    /// A measure: a number that is finite and not below nothing.
    pub fn measure(&self, field: &str) -> Result<f64> {
        let value: f64 = self.number(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            self.bad(field)
        }
    }

    pub fn flag(&self, field: &str) -> Result<bool> {
        match self.optional(field) {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(_) => self.bad(field),
        }
    }

    pub fn hex(&self, field: &str) -> Result<Vec<u8>> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let digit = |byte: u8| (byte as char).to_digit(16).map(|value| value as u8);
        let pairs = text.as_bytes().chunks(2).map(|pair| match pair {
            [high, low] => Some(digit(*high)? << 4 | digit(*low)?),
            _ => None,
        });
        match pairs.collect() {
            Some(bytes) => Ok(bytes),
            None => self.bad(field),
        }
    }
}

/// Bytes as the wire writes them.
pub fn to_hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
