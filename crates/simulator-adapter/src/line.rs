//! One line of the protocol, its fields, and how their values are read.

use crate::error::{ErrorKind, ProtocolError, Result};
use crate::protocol::{flag, NO_BYTES};
use std::str::FromStr;

/// One line: its number in the input, its message's name and its fields.
pub struct Line<'a> {
    /// Number of the line, from 1.
    pub number: usize,
    /// Name of the message.
    pub name: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Splits a line, without its line feed, into its message's name and fields.
    pub fn parse(number: usize, text: &'a str) -> Self {
        let (name, fields) = text.split_once('\t').unwrap_or((text, ""));
        Line {
            number,
            name,
            fields,
        }
    }

    /// An error at this line.
    pub fn error(&self, kind: ErrorKind) -> ProtocolError {
        ProtocolError {
            line: self.number,
            kind,
        }
    }

    /// The error of a field whose value it can't have.
    pub fn invalid(&self, field: &'static str) -> ProtocolError {
        self.error(ErrorKind::InvalidField {
            message: self.name.to_owned(),
            field,
            value: self.optional(field).unwrap_or_default().to_owned(),
        })
    }

    fn missing(&self, field: &'static str) -> ProtocolError {
        self.error(ErrorKind::MissingField {
            message: self.name.to_owned(),
            field,
        })
    }

    /// Checks which message the line is.
    ///
    /// # Errors
    /// It is another one than `expected`.
    pub fn expect(&self, expected: &'static str) -> Result<()> {
        if self.name == expected {
            return Ok(());
        }
        Err(self.error(ErrorKind::UnexpectedMessage {
            expected,
            found: self.name.to_owned(),
        }))
    }

    /// The value of a field, if the line has it.
    pub fn optional(&self, field: &str) -> Option<&'a str> {
        self.fields
            .split('\t')
            .find_map(|part| field_value(part, field))
    }

    /// The value of a field.
    ///
    /// # Errors
    /// The field is missing.
    pub fn text(&self, field: &'static str) -> Result<&'a str> {
        self.optional(field).ok_or_else(|| self.missing(field))
    }

    /// The value of a field of free text, which runs to the end of the line.
    ///
    /// # Errors
    /// The field is missing.
    pub fn rest(&self, field: &'static str) -> Result<&'a str> {
        let mut fields = self.fields;
        loop {
            if let Some(value) = field_value(fields, field) {
                return Ok(value);
            }
            match fields.split_once('\t') {
                Some((_, after)) => fields = after,
                None => return Err(self.missing(field)),
            }
        }
    }

    /// A field that is a number.
    ///
    /// # Errors
    /// The field is missing or no number of type `T`.
    pub fn number<T: FromStr>(&self, field: &'static str) -> Result<T> {
        self.text(field)?.parse().map_err(|_| self.invalid(field))
    }

    /// A field that is a number, or `default` where the line doesn't have it.
    ///
    /// # Errors
    /// The field is no number of type `T`.
    pub fn number_or<T: FromStr>(&self, field: &'static str, default: T) -> Result<T> {
        match self.optional(field) {
            Some(value) => value.parse().map_err(|_| self.invalid(field)),
            None => Ok(default),
        }
    }

    /// A field that is a finite number of at least 0.
    ///
    /// # Errors
    /// The field is missing or no such number.
    pub fn non_negative(&self, field: &'static str) -> Result<f64> {
        let value: f64 = self.number(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field))
        }
    }

    /// A flag, which is clear where the line doesn't have it.
    ///
    /// # Errors
    /// The field has a value that is none of a flag's.
    pub fn flag(&self, field: &'static str) -> Result<bool> {
        match self.optional(field) {
            Some(flag::SET) => Ok(true),
            Some(flag::CLEAR) | None => Ok(false),
            Some(_) => Err(self.invalid(field)),
        }
    }

    /// A field of bytes, two hexadecimal digits each.
    ///
    /// # Errors
    /// The field is missing or holds something else.
    pub fn bytes(&self, field: &'static str) -> Result<Vec<u8>> {
        let text = self.text(field)?;
        if text == NO_BYTES {
            return Ok(Vec::new());
        }
        text.as_bytes()
            .chunks(2)
            .map(decode_byte)
            .collect::<Option<_>>()
            .ok_or_else(|| self.invalid(field))
    }
}

fn field_value<'a>(part: &'a str, field: &str) -> Option<&'a str> {
    part.strip_prefix(field)?.strip_prefix('=')
}

fn decode_byte(digits: &[u8]) -> Option<u8> {
    let digit = |byte: u8| (byte as char).to_digit(16).map(|value| value as u8);
    match digits {
        [high, low] => Some(digit(*high)? << 4 | digit(*low)?),
        _ => None,
    }
}

/// Writes bytes as [`Line::bytes`] reads them.
pub fn encode_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return NO_BYTES.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
