//! Protection against lists that are empty by mistake.

use std::time::Duration;

/// Lists of this many servers and more are protected; the last server may be removed at once.
const MIN_PROTECTED_SERVERS: usize = 2;

/// Decides when a list that has turned empty at once is believed.
///
/// A discovery service may come back without its entries. If a fleet believed its empty list, no node would send a request
/// to any server. So such a list is believed only once it has stayed empty for some time.
#[derive(Clone, Debug, Default)]
pub struct EmptyListProtection {
    empty_since: Option<Duration>,
}

impl EmptyListProtection {
    /// A complete list of `listed` servers was received, when `known` servers were known. Whether it is believed now, if an
    /// empty list is believed `after` this span.
    pub fn accepts(&mut self, now: Duration, listed: usize, known: usize, after: Duration) -> bool {
        if listed > 0 || known < MIN_PROTECTED_SERVERS {
            self.empty_since = None;
            return true;
        }
        let empty_since = *self.empty_since.get_or_insert(now);
        now.saturating_sub(empty_since) >= after
    }

    /// When to ask for the list again if an empty one is not believed yet: it is believed then, if it is still empty.
    pub fn poll_again_after(&self, after: Duration) -> Option<Duration> {
        self.empty_since.map(|since| since + after)
    }
}
