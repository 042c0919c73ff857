//! Nodes whose link from the list service lets nothing through: what is written to them arrives later.

use std::collections::HashMap;
use std::time::Duration;

/// A node counts as informed of a change at the latest this long after the list service could no longer reach it, or
/// after a server started.
pub(super) const INFORMED_AFTER: Duration = Duration::from_secs(6);

/// Since when the links to nodes are silent.
#[derive(Debug, Default)]
pub(super) struct SilentLinks {
    since: HashMap<usize, Duration>,
}

impl SilentLinks {
    /// Records whether a node's link is silent from now on. Returns since when it was, if it is no longer.
    pub fn set(&mut self, now: Duration, node: usize, silent: bool) -> Option<Duration> {
        if silent {
            self.since.entry(node).or_insert(now);
            None
        } else {
            self.since.remove(&node)
        }
    }

    /// When a node counts as informed of what was written to it at this time.
    pub fn informed_at(&self, node: usize, written_at: Duration) -> Duration {
        let since = self.since.get(&node);
        since.map_or(written_at, |since| arrival_limit(written_at, *since))
    }
}

/// The latest time at which a node counts as informed of what was written to it, if its link is silent since `since`.
pub(super) fn arrival_limit(written_at: Duration, since: Duration) -> Duration {
    if written_at < since {
        written_at
    } else {
        written_at.max(since + INFORMED_AFTER)
    }
}
