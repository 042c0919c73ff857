//! What is wrong with a file.

use std::fmt;

/// A fault of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key with its sections, as in `ready.lag_ms`; empty for a fault of the whole file.
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

/// All faults of a file, in the order in which they were found; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    /// One line, in which faults are separated by `; `.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for fault in &self.0 {
            write!(f, "{separator}{fault}")?;
            separator = "; ";
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
