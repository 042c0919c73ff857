//! Protection against a prefix that was emptied by mistake.
//!
//! If the keys of all servers are deleted at once, a fleet that believed it would send no request to any server. So servers
//! that disappear at once, leaving none, are kept until that has lasted. Servers that are deleted one after the other, each
//! in a revision of its own, are removed at once: staff did that.

use super::event::FollowerEvent;
use super::response::WatchEvent;
use super::Follower;
use crate::time::Time;
use crate::update::EndpointUpdate;
use crate::value::host_of_key;
use std::collections::{BTreeMap, BTreeSet};

/// When an empty list is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long a list of two servers or more that turns empty at once must stay so. Default: 30 s.
    pub empty_after: Time,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            empty_after: Time::from_secs(30),
        }
    }
}

/// An empty list that is not believed yet.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectedWipe {
    /// Since when the list is suspected.
    since: Option<Time>,
    /// Hosts that are kept although their keys are gone, until the wipe is believed or they are put again.
    kept: BTreeSet<String>,
    /// The first list was empty.
    first_list: bool,
}

impl SuspectedWipe {
    /// Whether a host is kept although its key is gone.
    pub fn keeps(&self, host: &str) -> bool {
        self.kept.contains(host)
    }

    /// A host's key is there again, or the host is removed.
    pub fn release(&mut self, host: &str) {
        self.kept.remove(host);
    }
}

impl Follower {
    /// Whether an empty list has stayed so for long enough that a range should confirm it; after that range
    /// [`Follower::confirm_empty`] has to be called.
    pub fn confirmation_due(&self, now: Time) -> bool {
        let since = self.suspected_wipe.since;
        since.is_some_and(|since| now.saturating_sub(since) >= self.rules.empty_after)
    }

    /// Removes the servers that are kept although a range has just shown their keys to be gone, if that has lasted for long
    /// enough. Returns the change, if there is one.
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

    /// A range was empty. The first one is suspected too: the list that the node got at its start stands against a prefix
    /// that is empty, or misspelt.
    pub(super) fn suspect_empty_range(&mut self, first: bool, received_at: Time) {
        self.suspected_wipe.first_list |= first;
        let hosts = self.endpoints.keys().map(ToString::to_string).collect();
        self.suspect_wipe(received_at, hosts);
    }

    fn suspect_wipe(&mut self, received_at: Time, hosts: BTreeSet<String>) {
        if self.suspected_wipe.since.is_none() {
            self.stats.doubted += 1;
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

    /// Looks for a revision that leaves none of several hosts.
    ///
    /// The remaining hosts are counted, not listed: a response costs what it touches, however many hosts there are.
    pub(super) fn detect_wipes(&mut self, events: &[WatchEvent], received_at: Time) {
        let mut remaining = self.endpoints.len() - self.suspected_wipe.kept.len();
        // Whether a host that an event touched is there after it.
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
