//! Splits a stream of bytes into JSON objects, each as soon as it ends, whatever white space lies between them.
//!
//! A watch may send its lists indented over several lines. Read line by line, each line would fail, as would each new
//! watch, and drains in the lists would go unnoticed. Also, a list may be complete before the end of its last line is sent.

use std::fmt;

/// Why a stream of objects cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Between two objects is a byte that is neither white space nor the start of an object.
    NoObject(u8),
    /// An object is longer than allowed.
    TooLong,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::NoObject(byte) => {
                write!(f, "{:?} where an object begins", char::from(*byte))
            }
            Unreadable::TooLong => f.write_str("an object has no end"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// Finds the ends of objects in a stream. It does not validate what is inside an object; that is left to its parser. Each
/// byte is looked at once, however the stream is cut into pieces.
#[derive(Clone, Debug)]
pub struct JsonObjects {
    max_bytes: usize,
    /// The object that has not ended yet.
    incomplete: Vec<u8>,
    /// How many braces and brackets are open.
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl JsonObjects {
    /// A stream of objects of at most `max_bytes` each.
    pub fn new(max_bytes: usize) -> JsonObjects {
        JsonObjects {
            max_bytes,
            incomplete: Vec::new(),
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Takes the next object off the front of `bytes`. If it has not ended yet, takes all bytes and returns `None`.
    ///
    /// # Errors
    /// The stream holds something else than objects, or an object that is too long. It cannot be read on.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Result<Option<Vec<u8>>, Unreadable> {
        if self.incomplete.is_empty() {
            *bytes = bytes.trim_ascii_start();
            if let Some(first) = bytes.first().filter(|first| **first != b'{') {
                return Err(Unreadable::NoObject(*first));
            }
        }
        let end = bytes.iter().position(|byte| self.ends_with(*byte));
        let (taken, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        self.incomplete.extend_from_slice(taken);
        *bytes = rest;
        if self.incomplete.len() > self.max_bytes {
            return Err(Unreadable::TooLong);
        }
        Ok(end.map(|_| std::mem::take(&mut self.incomplete)))
    }

    /// Follows the nesting by one byte; whether the object ends with it.
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
