//! The log line with a node's counters, which tools sum over a fleet.
//!
//! It consists of a marker and pairs of a name and an integer: `counts node=3 at_ms=15000 asked=812 granted=640`.

use std::collections::BTreeMap;
use std::fmt::Write;

/// The marker of a line of counters.
const MARKER: &str = "counts";
/// Maximum number of fields read from a line. Bounds the memory for input that is not a log.
const MAX_FIELDS: usize = 256;

/// A line of counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterLine {
    /// The number of the node.
    pub node: u32,
    /// Milliseconds since the node's process started.
    pub at_ms: u64,
    /// The counters by name, all counted since the process started.
    pub counts: BTreeMap<String, u64>,
}

impl CounterLine {
    /// Formats a line, without the line feed.
    pub fn format<'a>(
        node: u32,
        at_ms: u64,
        counts: impl Iterator<Item = (&'a str, u64)>,
    ) -> String {
        let mut line = format!("{MARKER} node={node} at_ms={at_ms}");
        for (name, count) in counts {
            // Writing to a string cannot fail.
            let _ = write!(line, " {name}={count}");
        }
        line
    }

    /// Parses a log line, in which other text may precede the marker. Returns `None` if it is not a complete line of
    /// counters.
    pub fn parse(line: &str) -> Option<CounterLine> {
        let mut words = line.split_whitespace();
        words.find(|word| *word == MARKER)?;
        let mut node = None;
        let mut at_ms = None;
        let mut counts = BTreeMap::new();
        for field in words.take(MAX_FIELDS) {
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
        Some(CounterLine {
            node: node?,
            at_ms: at_ms?,
            counts,
        })
    }
}
