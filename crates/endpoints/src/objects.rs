//! JSON objects out of a stream of bytes, each as soon as it ends, whatever lies between them.
//!
//! Danger that it guards against: a watch whose lists come indented over several lines, read line by line: each of its lines
//! fails, and each new watch fails in the same way, while drains that were told stand unread. And a list that is whole
//! but for the end of its line, which is told all the same.

use std::fmt;

/// Why a stream of objects can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// Between two objects stands what is neither white space nor the beginning of an object.
    NoObject(u8),
    /// An object has more bytes than may be kept.
    TooLong,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::NoObject(byte) => {
                write!(to, "{:?} where an object begins", char::from(*byte))
            }
            Unreadable::TooLong => to.write_str("an object has no end"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// What has come of the object that is being read; at most so many bytes are kept. Only where it ends is looked for: what is
/// wrong inside is its reader's to tell. Each byte is looked at once, however the pieces come.
#[derive(Clone, Debug)]
pub struct JsonObjects {
    most: usize,
    kept: Vec<u8>,
    depth: u32,
    inside_text: bool,
    escaped: bool,
}

impl JsonObjects {
    /// A stream of which nothing has come.
    pub fn new(most: usize) -> JsonObjects {
        JsonObjects {
            most,
            kept: Vec::new(),
            depth: 0,
            inside_text: false,
            escaped: false,
        }
    }

    /// Takes the next object off the front of `bytes`; none where it has not ended yet, and all of them are kept then.
    ///
    /// # Errors
    /// What is no object, or one that has no end. The stream is of no further use then.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Result<Option<Vec<u8>>, Unreadable> {
        if self.kept.is_empty() {
            *bytes = bytes.trim_ascii_start();
        }
        for (place, byte) in bytes.iter().copied().enumerate() {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.inside_text => self.escaped = true,
                b'"' => self.inside_text = !self.inside_text,
                _ if self.inside_text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if place == 0 && self.kept.is_empty() && byte != b'{' {
                return Err(Unreadable::NoObject(byte));
            }
            if self.depth == 0 {
                let (last, rest) = bytes.split_at(place + 1);
                *bytes = rest;
                self.kept.extend_from_slice(last);
                let object = std::mem::take(&mut self.kept);
                return if object.len() > self.most {
                    Err(Unreadable::TooLong)
                } else {
                    Ok(Some(object))
                };
            }
        }
        self.kept.extend_from_slice(bytes);
        *bytes = &[];
        if self.kept.len() > self.most {
            return Err(Unreadable::TooLong);
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
