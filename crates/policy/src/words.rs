//! A budget for words to peers that need not be said: asks that are put again.
//!
//! Danger that it guards against: words that are lost, each of which brings more words, just when the way is full or broken, so that
//! those that matter are lost with them. First asks, answers and places given back are always said; what they leave of the budget is for
//! asking again.

use crate::interface::Micros;

/// s of the budget that may be saved up.
const SAVED: f64 = 0.5;

/// Words that may be said again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Words {
    level: f64,
    filled: Micros,
}

impl Words {
    /// So many were said, of so many a second that one gateway may say. They are owed where they were not there.
    pub fn said(&mut self, now: Micros, words: f64, a_second: f64) {
        self.fill(now, a_second);
        self.level = (self.level - words).max(-a_second * SAVED);
    }

    /// Whether one more may be said that need not be.
    pub fn may(&mut self, now: Micros, a_second: f64) -> bool {
        self.fill(now, a_second);
        self.level >= 1.0
    }

    fn fill(&mut self, now: Micros, a_second: f64) {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.level = (self.level + a_second * span).min(a_second * SAVED);
    }
}

#[cfg(test)]
mod tests;
