//! Protection against a prefix that was emptied by mistake.
//!
//! If the keys of all servers are deleted in one revision, a fleet that applied this immediately would have no server
//! to send requests to. So the servers are kept until the prefix has stayed empty for
//! [`EmptyListRules::empty_after`]. Servers that are deleted one by one, each in its own revision, are removed
//! immediately, because operators delete them that way.

use super::event::FollowerEvent;
use super::response::WatchEvent;
use super::Follower;
use crate::time::Time;
use crate::update::EndpointUpdate;
use crate::value::host_of_key;
use std::collections::{BTreeMap, BTreeSet};

/// When an empty list is accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EmptyListRules {
    /// How long a list must stay empty after two servers or more have disappeared at once. Default: 30 s.
    pub empty_after: Time,
}

impl Default for EmptyListRules {
    fn default() -> EmptyListRules {
        EmptyListRules {
            empty_after: Time::from_secs(30),
        }
    }
}

/// An empty list that has not been accepted yet.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectedWipe {
    /// When the list became empty; `None` if no wipe is suspected.
    since: Option<Time>,
    /// Hosts that stay in the list although their keys are gone, until the wipe is confirmed or their keys are put
    /// again.
    kept: BTreeSet<String>,
    /// Whether the first list was empty.
    first_list: bool,
}

impl SuspectedWipe {
    /// Whether a host stays in the list although its key is gone.
    pub fn keeps(&self, host: &str) -> bool {
        self.kept.contains(host)
    }

    /// Stops keeping a host, because its key exists again or the host was removed.
    pub fn release(&mut self, host: &str) {
        self.kept.remove(host);
    }
}

impl Follower {
    /// Whether a list has stayed empty for long enough. The caller then reads a range to confirm it, and calls
    /// [`Follower::confirm_empty`].
    pub fn confirmation_due(&self, now: Time) -> bool {
        let since = self.suspected_wipe.since;
        since.is_some_and(|since| now.saturating_sub(since) >= self.rules.empty_after)
    }

    /// Removes the kept servers if the confirmation is due and a range has just shown that their keys are still gone.
    /// Returns `None` if the confirmation is not due.
    pub fn confirm_empty(&mut self, now: Time) -> Option<EndpointUpdate> {
        if !self.confirmation_due(now) {
            return None;
        }
        self.suspected_wipe.since = None;
        let mut update = EndpointUpdate {
            received_at: now,
            ..EndpointUpdate::default()
        };
        if std::mem::take(&mut self.suspected_wipe.first_list) {
            self.events.push(FollowerEvent::EmptyFromStart);
            update.snapshot = true;
            for (host, known) in &self.endpoints {
                update.endpoints.push(known.endpoint.record(host));
            }
            return Some(update);
        }
        let kept = std::mem::take(&mut self.suspected_wipe.kept);
        let servers = kept.len();
        self.events.push(FollowerEvent::WipeConfirmed { servers });
        for host in &kept {
            self.remove(host, &mut update);
        }
        Some(update)
    }

    /// Handles an empty range. The first range is not accepted immediately either: an empty or misspelt prefix must not
    /// replace the list that the node was started with.
    pub(super) fn suspect_empty_range(&mut self, first: bool, received_at: Time) {
        self.suspected_wipe.first_list |= first;
        let hosts = self.endpoints.keys().map(ToString::to_string).collect();
        self.suspect_wipe(received_at, hosts);
    }

    fn suspect_wipe(&mut self, received_at: Time, hosts: BTreeSet<String>) {
        if self.suspected_wipe.since.is_none() {
            self.stats.suspected_wipes += 1;
            self.events.push(FollowerEvent::EmptyListSuspected {
                servers: self.endpoints.len(),
                empty_after: self.rules.empty_after,
            });
        }
        self.suspected_wipe.since.get_or_insert(received_at);
        for host in hosts {
            if self.endpoints.contains_key(host.as_str()) {
                self.suspected_wipe.kept.insert(host);
            }
        }
    }

    /// Finds revisions that delete all remaining hosts, if there were at least two.
    ///
    /// The remaining hosts are counted rather than listed, so that the cost depends on the number of events and not on
    /// the number of hosts.
    pub(super) fn detect_wipes(&mut self, events: &[WatchEvent], received_at: Time) {
        let mut remaining = self.endpoints.len() - self.suspected_wipe.kept.len();
        // Whether each host named by an event exists after that event.
        let mut present: BTreeMap<String, bool> = BTreeMap::new();
        for revision in events.chunk_by(|one, other| one.kv.mod_revision == other.kv.mod_revision) {
            let before = remaining;
            let mut deleted = BTreeSet::new();
            for event in revision {
                let Some(host) = host_of_key(&self.prefix, &event.kv.key) else {
                    continue;
                };
                let was_present = match present.insert(host.to_owned(), !event.delete) {
                    Some(was_present) => was_present,
                    None => self.endpoints.contains_key(host) && !self.suspected_wipe.keeps(host),
                };
                if !event.delete {
                    remaining += usize::from(!was_present);
                    self.suspected_wipe.release(host);
                } else if was_present {
                    remaining -= 1;
                    deleted.insert(host.to_owned());
                }
            }
            if remaining == 0 && before > 1 {
                self.suspect_wipe(received_at, deleted);
            }
        }
    }
}
