//! Splits a byte stream into JSON objects. Each object is returned as soon as its closing brace has arrived; the white
//! space between objects does not matter.
//!
//! The stream must not be split at line ends. A watch may send lists that are indented over several lines: a parser
//! that works line by line would reject each line and each new watch, and drains in these lists would be missed. A list
//! may also be complete before its final line feed is sent.

use std::fmt;

/// Why a stream of objects cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JsonStreamError {
    /// Found this byte where an object should start. It is neither white space nor an opening brace.
    ExpectedObject(u8),
    /// An object exceeds the maximum length.
    TooLong,
}

impl fmt::Display for JsonStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JsonStreamError::ExpectedObject(byte) => {
                write!(
                    f,
                    "found {:?} where an object must begin",
                    char::from(*byte)
                )
            }
            JsonStreamError::TooLong => f.write_str("an object exceeds the maximum length"),
        }
    }
}

impl std::error::Error for JsonStreamError {}

/// Finds the end of each object in a stream. Does not validate the objects; that is left to the JSON parser. Examines
/// each byte once, regardless of how the stream is split into reads.
#[derive(Clone, Debug)]
pub struct JsonObjects {
    max_bytes: usize,
    /// The bytes of the object that is not complete yet.
    incomplete: Vec<u8>,
    /// The number of open braces and brackets.
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl JsonObjects {
    /// Creates a splitter for objects of at most `max_bytes` each.
    pub fn new(max_bytes: usize) -> JsonObjects {
        JsonObjects {
            max_bytes,
            incomplete: Vec::new(),
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Removes the next object from the front of `bytes` and returns it. If it is not complete yet, consumes all bytes
    /// and returns `None`.
    ///
    /// # Errors
    /// The stream contains something other than objects, or an object that is too long. It cannot be read any further.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Result<Option<Vec<u8>>, JsonStreamError> {
        if self.incomplete.is_empty() {
            *bytes = bytes.trim_ascii_start();
            if let Some(first) = bytes.first().filter(|first| **first != b'{') {
                return Err(JsonStreamError::ExpectedObject(*first));
            }
        }
        let end = bytes.iter().position(|byte| self.ends_with(*byte));
        let (taken, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        self.incomplete.extend_from_slice(taken);
        *bytes = rest;
        if self.incomplete.len() > self.max_bytes {
            return Err(JsonStreamError::TooLong);
        }
        Ok(end.map(|_| std::mem::take(&mut self.incomplete)))
    }

    /// Updates the nesting state by one byte. Returns whether the object ends with this byte.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        self.depth == 0
    }
}
