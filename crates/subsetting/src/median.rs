//! A median that is updated incrementally as values are added and removed.
//!
//! Values are stored in a lower and an upper half whose sizes differ by at most one, so the median is the first value
//! of the upper half. An update takes logarithmic time.

use std::collections::BTreeSet;

/// A value and its key. The value is stored as its bit pattern, which has the same order for non-negative numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    bits: u64,
    key: u64,
}

impl Entry {
    fn new(value: f64, key: u64) -> Entry {
        Entry {
            bits: value.to_bits(),
            key,
        }
    }

    fn value(self) -> f64 {
        f64::from_bits(self.bits)
    }
}

/// A set of non-negative values, each with a key, and their median.
#[derive(Clone, Debug, Default)]
pub struct Median {
    /// The lower half; has as many values as the upper half, or one less.
    lower: BTreeSet<Entry>,
    upper: BTreeSet<Entry>,
}

impl Median {
    /// Adds a value with a key. The value must not be negative and the key must not be in use.
    pub fn add(&mut self, value: f64, key: u64) {
        let entry = Entry::new(value, key);
        if self.lower.last().is_some_and(|last| entry < *last) {
            self.lower.insert(entry);
        } else {
            self.upper.insert(entry);
        }
        self.rebalance();
    }

    /// Removes the value that was added with this key. `value` must be equal to that value.
    pub fn remove(&mut self, value: f64, key: u64) {
        let entry = Entry::new(value, key);
        if !self.lower.remove(&entry) {
            self.upper.remove(&entry);
        }
        self.rebalance();
    }

    /// Returns the median; for an even number of values, the upper of the two middle values. `None` if there are no
    /// values.
    pub fn get(&self) -> Option<f64> {
        self.upper.first().map(|entry| entry.value())
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.lower.len() + self.upper.len()
    }

    /// Returns whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn rebalance(&mut self) {
        while self.lower.len() > self.upper.len() {
            self.upper.extend(self.lower.pop_last());
        }
        while self.upper.len() > self.lower.len() + 1 {
            self.lower.extend(self.upper.pop_first());
        }
    }
}
