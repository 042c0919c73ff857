//! Protection against lists that are empty by mistake.

use std::time::Duration;

/// Minimum number of known servers for which an empty list is delayed; a single last server is removed immediately.
const MIN_PROTECTED_SERVERS: usize = 2;

/// Decides when a list from which all servers have disappeared at once is accepted.
///
/// A discovery service may restart without its entries. If its empty list were accepted immediately, no node would have
/// a server to send requests to. So such a list is accepted only once it has stayed empty for some time.
#[derive(Clone, Debug, Default)]
pub struct EmptyListProtection {
    empty_since: Option<Duration>,
}

impl EmptyListProtection {
    /// Returns whether a complete list of `listed` servers, received while `known` servers were known, is accepted now.
    /// An empty list is accepted once it has stayed empty for `after`.
    pub fn accepts(&mut self, now: Duration, listed: usize, known: usize, after: Duration) -> bool {
        if listed > 0 || known < MIN_PROTECTED_SERVERS {
            self.empty_since = None;
            return true;
        }
        let empty_since = *self.empty_since.get_or_insert(now);
        now.saturating_sub(empty_since) >= after
    }

    /// Returns the time at which to read the list again while an empty one is pending: it is accepted then if it is
    /// still empty. `None` if no empty list is pending.
    pub fn poll_again_after(&self, after: Duration) -> Option<Duration> {
        self.empty_since.map(|since| since + after)
    }
}
