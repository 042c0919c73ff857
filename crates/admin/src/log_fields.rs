//! One line of counts in a node's log, which a reader can sum over a fleet.
//!
//! `counts node=3 at_ms=15000 asked=812 granted=640`: a marker, then pairs of a name and a whole number.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Marks a line of counts.
const MARKER: &str = "counts";
/// The most fields that are read of a line. It bounds the memory that a file which is no log can take.
const MAX_FIELDS: usize = 256;

/// A line of counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    /// The node's number.
    pub node: u32,
    /// Milliseconds since the node's process started.
    pub at_ms: u64,
    /// The counts by name, all since the process started.
    pub of: BTreeMap<String, u64>,
}

impl Fields {
    /// Writes a line, without its end.
    pub fn line<'a>(node: u32, at_ms: u64, counts: impl Iterator<Item = (&'a str, u64)>) -> String {
        let mut line = format!("{MARKER} node={node} at_ms={at_ms}");
        for (name, count) in counts {
            // Writing to a string does not fail.
            let _ = write!(line, " {name}={count}");
        }
        line
    }

    /// Reads a line of a log, in which anything may precede the marker; `None` if it is no complete line of counts.
    pub fn read(line: &str) -> Option<Fields> {
        let mut parts = line.split_whitespace();
        parts.find(|part| *part == MARKER)?;
        let mut node = None;
        let mut at_ms = None;
        let mut counts = BTreeMap::new();
        for field in parts.take(MAX_FIELDS) {
            let (name, value) = field.split_once('=')?;
            let value: u64 = value.parse().ok()?;
            match name {
                "node" => node = u32::try_from(value).ok(),
                "at_ms" => at_ms = Some(value),
                _ => {
                    counts.insert(name.to_owned(), value);
                }
            }
        }
        Some(Fields {
            node: node?,
            at_ms: at_ms?,
            of: counts,
        })
    }
}
