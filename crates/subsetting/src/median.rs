//! The median of values that change one by one.
//!
//! Values are kept in a lower and an upper half of equal size, so the median is at the end of one of them; a change costs a
//! few steps down a tree instead of a sort.

use std::collections::BTreeSet;

/// A value by its bits, and its key. The bits of numbers that aren't negative have the order of the numbers.
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

/// Values by their keys, and their median.
#[derive(Clone, Debug, Default)]
pub struct Median {
    /// As many values as the upper half has, or one less.
    lower: BTreeSet<Entry>,
    upper: BTreeSet<Entry>,
}

impl Median {
    /// Adds a value, which must not be negative, under a key that is not in use.
    pub fn add(&mut self, value: f64, key: u64) {
        let entry = Entry::new(value, key);
        if self.lower.last().is_some_and(|last| entry < *last) {
            self.lower.insert(entry);
        } else {
            self.upper.insert(entry);
        }
        self.rebalance();
    }

    /// Removes a value that was added under this key.
    pub fn remove(&mut self, value: f64, key: u64) {
        let entry = Entry::new(value, key);
        if !self.lower.remove(&entry) {
            self.upper.remove(&entry);
        }
        self.rebalance();
    }

    /// The median; of an even number of values the upper of the two in the middle. `None` if there are no values.
    pub fn get(&self) -> Option<f64> {
        self.upper.first().map(|entry| entry.value())
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.lower.len() + self.upper.len()
    }

    /// Whether there are no values.
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
