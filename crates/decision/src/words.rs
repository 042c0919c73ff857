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
mod tests {
    use super::*;

    #[test]
    fn what_must_be_said_goes_first_and_both_together_keep_to_the_budget() {
        let mut words = Words::default();
        let (mut again, mut said) = (0, 0);
        for tick in 0..1000_u64 {
            let now = 1_000_000 + tick * 10_000;
            // Thirty a second that must be said, and as many again as may be.
            if tick % 10 < 3 {
                words.said(now, 1.0, 42.0);
                said += 1;
            }
            for _ in 0..3 {
                if words.may(now, 42.0) {
                    words.said(now, 1.0, 42.0);
                    again += 1;
                }
            }
        }
        assert!((said + again) as f64 <= 42.0 * 10.5, "{said} and {again} in 10 s");
        assert!(again >= 100, "the rest is used: {again}");
    }

    #[test]
    fn what_is_owed_has_an_end() {
        let mut words = Words::default();
        words.said(1_000_000, 10_000.0, 42.0);
        assert!(!words.may(1_500_000, 42.0));
        assert!(words.may(2_100_000, 42.0), "a flood of answers silences nobody for long");
    }
}
