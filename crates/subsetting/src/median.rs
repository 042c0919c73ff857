//! The median of numbers that change one by one.

use std::collections::BTreeSet;

/// Numbers by their keys, in two halves: what lies in the middle is at an end of one of them. Danger: a sort of all
/// numbers at each tick.
#[derive(Clone, Debug, Default)]
pub struct Median {
    low: BTreeSet<(u64, u64)>,
    high: BTreeSet<(u64, u64)>,
}

impl Median {
    /// Takes a number in, which must be above 0 or 0; its key must not be in already.
    pub fn add(&mut self, number: f64, key: u64) {
        let entry = (number.to_bits(), key);
        if self.low.last().is_some_and(|last| entry < *last) {
            self.low.insert(entry);
        } else {
            self.high.insert(entry);
        }
        self.level();
    }

    /// Takes a number out that was taken in with this key.
    pub fn remove(&mut self, number: f64, key: u64) {
        let entry = (number.to_bits(), key);
        if !self.low.remove(&entry) {
            self.high.remove(&entry);
        }
        self.level();
    }

    /// Of an even count the upper of the two in the middle; `None` of none.
    pub fn get(&self) -> Option<f64> {
        self.high.first().map(|(bits, _)| f64::from_bits(*bits))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.low.len() + self.high.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The lower half is as large as the upper, or one less.
    fn level(&mut self) {
        while self.low.len() > self.high.len() {
            self.high.extend(self.low.pop_last());
        }
        while self.high.len() > self.low.len() + 1 {
            self.low.extend(self.high.pop_first());
        }
    }
}
