//! One line of fields for the log: the figures of a node at one time, to be added up over a fleet.
//!
//! `counts node=3 at_ms=15000 asked=812 granted=640`: the first word, then pairs of a name and a whole number.

use std::collections::BTreeMap;
use std::fmt::Write;

/// The first word of such a line.
const WORD: &str = "counts";
/// Most fields that one line is read for. Guards memory against a log that is no log.
const FIELDS_MOST: usize = 256;

/// What one line says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    /// Which node, by its number.
    pub node: u32,
    /// When, in ms since its process began.
    pub at_ms: u64,
    /// The figures by name, all since its process began.
    pub of: BTreeMap<String, u64>,
}

impl Fields {
    /// Lays the line out, without its end.
    pub fn line<'a>(node: u32, at_ms: u64, of: impl Iterator<Item = (&'a str, u64)>) -> String {
        let mut line = format!("{WORD} node={node} at_ms={at_ms}");
        for (name, value) in of {
            // Writing to a string does not fail.
            let _ = write!(line, " {name}={value}");
        }
        line
    }

    /// Reads a line of a log; `None` for one that is another.
    pub fn read(line: &str) -> Option<Fields> {
        let mut words = line.split_whitespace();
        words.find(|word| *word == WORD)?;
        let mut fields = Fields::default();
        let (mut node, mut at) = (None, None);
        for word in words.take(FIELDS_MOST) {
            let (name, value) = word.split_once('=')?;
            let value: u64 = value.parse().ok()?;
            match name {
                "node" => node = u32::try_from(value).ok(),
                "at_ms" => at = Some(value),
                _ => _ = fields.of.insert(name.to_owned(), value),
            }
        }
        (fields.node, fields.at_ms) = (node?, at?);
        Some(fields)
    }
}

#[cfg(test)]
mod tests;
