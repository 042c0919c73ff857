//! A line of the protocol and the decoding of its field values.

use crate::error::{ErrorKind, ProtocolError, Result};
use crate::protocol::{flag, NO_BYTES};
use std::str::FromStr;

/// A line of the input, split into a message name and undecoded fields.
pub struct Line<'a> {
    /// Number of the line, from 1.
    pub number: usize,
    /// Name of the message.
    pub name: &'a str,
    /// Everything after the name, as tab-separated `name=value` pairs.
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Splits a line, given without its line feed, into message name and fields.
    pub fn parse(number: usize, text: &'a str) -> Self {
        let (name, fields) = text.split_once('\t').unwrap_or((text, ""));
        Line {
            number,
            name,
            fields,
        }
    }

    /// Returns an error of `kind` at this line.
    pub fn error(&self, kind: ErrorKind) -> ProtocolError {
        ProtocolError {
            line: self.number,
            kind,
        }
    }

    /// Returns the error for a field with an invalid value.
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

    /// Checks that the line is the message `expected`.
    ///
    /// # Errors
    /// Returns an error if it is another message.
    pub fn expect(&self, expected: &'static str) -> Result<()> {
        if self.name == expected {
            return Ok(());
        }
        Err(self.error(ErrorKind::UnexpectedMessage {
            expected,
            found: self.name.to_owned(),
        }))
    }

    /// Returns the value of a field, or `None` if the line does not have it.
    pub fn optional(&self, field: &str) -> Option<&'a str> {
        self.fields
            .split('\t')
            .find_map(|part| field_value(part, field))
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    /// Returns an error if the field is missing.
    pub fn text(&self, field: &'static str) -> Result<&'a str> {
        self.optional(field).ok_or_else(|| self.missing(field))
    }

    /// Returns the value of a free-text field, which runs to the end of the line and may contain tabs.
    ///
    /// # Errors
    /// Returns an error if the field is missing.
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

    /// Parses a required numeric field.
    ///
    /// # Errors
    /// Returns an error if the field is missing or not a number of type `T`.
    pub fn number<T: FromStr>(&self, field: &'static str) -> Result<T> {
        self.text(field)?.parse().map_err(|_| self.invalid(field))
    }

    /// Parses an optional numeric field. Returns `default` if the line does not have it.
    ///
    /// # Errors
    /// Returns an error if the field is not a number of type `T`.
    pub fn number_or<T: FromStr>(&self, field: &'static str, default: T) -> Result<T> {
        match self.optional(field) {
            Some(value) => value.parse().map_err(|_| self.invalid(field)),
            None => Ok(default),
        }
    }

    /// Parses a required field that holds a finite number of at least 0.
    ///
    /// # Errors
    /// Returns an error if the field is missing or not such a number.
    pub fn non_negative(&self, field: &'static str) -> Result<f64> {
        let value: f64 = self.number(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field))
        }
    }

    /// Parses an optional flag. An absent flag is clear.
    ///
    /// # Errors
    /// Returns an error if the value is neither [`flag::SET`] nor [`flag::CLEAR`].
    pub fn flag(&self, field: &'static str) -> Result<bool> {
        match self.optional(field) {
            Some(flag::SET) => Ok(true),
            Some(flag::CLEAR) | None => Ok(false),
            Some(_) => Err(self.invalid(field)),
        }
    }

    /// Decodes a required field of bytes: two hexadecimal digits per byte, or [`NO_BYTES`].
    ///
    /// # Errors
    /// Returns an error if the field is missing or malformed.
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

/// Encodes bytes in the format that [`Line::bytes`] decodes.
pub fn encode_bytes(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return NO_BYTES.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
