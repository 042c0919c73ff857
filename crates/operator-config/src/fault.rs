//! The errors of a file.

use std::fmt;

/// An error in the value of one key, or in the entire file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The dotted path of the key, such as `ready.lag_ms`; empty for a fault of the entire file.
    pub key: String,
    /// A description of the fault.
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
    /// Writes all faults on one line, separated by `; `.
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
