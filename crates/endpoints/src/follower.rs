//! Follows one prefix of an etcd cluster by its revisions.
//!
//! A revision counts all changes of the store, and a watch sends all events from a revision on, in order, each revision
//! complete (etcd v3 API: `KV.Range` and `Watch`; "MVCC" in etcd's documentation).

mod event;
mod fragments;
mod listing;
mod response;
mod table;
#[cfg(test)]
mod tests;
mod wipe;

pub use event::{FollowerEvent, FollowerStats};
pub use listing::Listing;
pub use response::{Header, KeyValue, LeaveReason, RereadReason, WatchEvent, WatchStep};
pub use wipe::Rules;

use crate::compact::ZoneNames;
use crate::time::Time;
use crate::update::EndpointUpdate;
use fragments::Fragments;
use listing::KnownEndpoint;
use std::collections::BTreeMap;
use std::sync::Arc;
use wipe::SuspectedWipe;

/// Follows one prefix.
#[derive(Clone, Debug)]
pub struct Follower {
    prefix: String,
    rules: Rules,
    /// Boxed, so that the map has no large blocks of memory.
    endpoints: BTreeMap<Arc<str>, Box<KnownEndpoint>>,
    zones: ZoneNames,
    /// Hosts whose value could never be read, with the revision that was reported.
    unreadable: BTreeMap<String, i64>,
    /// All events up to this revision are in `endpoints`; `None` before the first range.
    revision: Option<i64>,
    /// The last header that was accepted.
    header: Option<Header>,
    /// The revision of the last progress response of this connection.
    progress_revision: Option<i64>,
    fragments: Fragments,
    suspected_wipe: SuspectedWipe,
    events: Vec<FollowerEvent>,
    stats: FollowerStats,
}

impl Follower {
    /// Follows a prefix of which nothing is known.
    pub fn new(prefix: impl Into<String>, rules: Rules) -> Follower {
        Follower {
            prefix: prefix.into(),
            rules,
            endpoints: BTreeMap::new(),
            zones: ZoneNames::default(),
            unreadable: BTreeMap::new(),
            revision: None,
            header: None,
            progress_revision: None,
            fragments: Fragments::default(),
            suspected_wipe: SuspectedWipe::default(),
            events: Vec::new(),
            stats: FollowerStats::default(),
        }
    }

    /// The revision to watch from; `None` if the whole prefix must be read first.
    pub fn resume(&self) -> Option<i64> {
        self.revision.map(|revision| revision + 1)
    }

    /// The counters.
    pub fn seen(&self) -> FollowerStats {
        self.stats
    }

    /// What to log since the last call.
    pub fn logs(&mut self) -> Vec<FollowerEvent> {
        std::mem::take(&mut self.events)
    }

    /// How many hosts are listed.
    pub fn hosts(&self) -> usize {
        self.endpoints.len()
    }

    /// A connection to a member has ended or starts. Fragments of an incomplete response are dropped; their events come
    /// again, as their revision was not counted. Drains that they announced stand.
    pub fn reconnected(&mut self) {
        self.fragments.reset();
        self.progress_revision = None;
    }

    /// Takes in the header of any response but a range's. A member that lags is left. Another cluster, or one that has gone
    /// back, is never believed in part: the whole prefix is read.
    pub fn header(&mut self, header: Header) -> WatchStep {
        let Some(known) = self.header else {
            self.header = Some(header);
            return WatchStep::Continue;
        };
        if header.cluster_id != known.cluster_id {
            return WatchStep::Reread(RereadReason::OtherCluster);
        }
        if let Some(known_revision) = self.revision.filter(|known| header.revision < *known) {
            // Either the member lags or the whole cluster has gone back. The range at the next member tells, as a member
            // answers that only when it has caught up with its leader.
            self.events.push(FollowerEvent::MemberBehind {
                member_id: header.member_id,
                revision: header.revision,
                known_revision,
            });
            return WatchStep::Leave(LeaveReason::Lagging);
        }
        if header.raft_term < known.raft_term {
            return WatchStep::Leave(LeaveReason::OldTerm);
        }
        self.header = Some(header);
        WatchStep::Continue
    }

    /// Takes in a complete, linearizable range over the prefix, of one revision. Hosts that are not in it are removed as
    /// of `received_at`. `now_ms` is Unix time in milliseconds: the start of servers that are new and name no start.
    pub fn range(
        &mut self,
        header: Header,
        kvs: &[KeyValue],
        received_at: Time,
        now_ms: u64,
    ) -> EndpointUpdate {
        let mut listing = self.listing();
        listing.page(kvs.iter().cloned());
        self.range_of(header, listing, received_at, now_ms)
    }

    /// A listing that has no page yet, for [`Follower::range_of`].
    pub fn listing(&self) -> Listing {
        Listing {
            prefix: self.prefix.clone(),
            zones: self.zones.clone(),
            keys: BTreeMap::new(),
        }
    }

    /// Takes in a range of which all pages were read, as [`Follower::range`] does.
    pub fn range_of(
        &mut self,
        header: Header,
        listing: Listing,
        received_at: Time,
        now_ms: u64,
    ) -> EndpointUpdate {
        self.stats.ranges += 1;
        self.check_replaced(header);
        let first = self.revision.is_none();
        self.reconnected();
        self.header = Some(header);
        self.revision = Some(header.revision);
        // The listing's endpoints share these names.
        self.zones = listing.zones;
        let mut update = EndpointUpdate {
            endpoints: Vec::new(),
            received_at,
            snapshot: first,
        };
        if listing.keys.is_empty() && (first || self.endpoints.len() > 1) {
            update.snapshot = false;
            self.suspect_empty_range(first, received_at);
            return update;
        }
        self.remove_missing(&listing.keys, &mut update);
        // In the first list, a server that names no start has run for long; later on it is new.
        let started_at_ms = if first { 0 } else { now_ms };
        if self.endpoints.is_empty() {
            self.fill(listing.keys, started_at_ms, &mut update);
        } else {
            for (host, read) in listing.keys {
                self.put(host, read, started_at_ms, &mut update);
            }
        }
        self.withdraw_announced(&mut update);
        update
    }

    fn check_replaced(&mut self, header: Header) {
        let Some(known) = self.header else {
            return;
        };
        let gone_back = self.revision.is_some_and(|known| header.revision < known);
        let other_cluster = header.cluster_id != known.cluster_id;
        if other_cluster || gone_back || header.raft_term < known.raft_term {
            self.stats.replaced += 1;
            self.events.push(FollowerEvent::ClusterReplaced {
                cluster_id: header.cluster_id,
                revision: header.revision,
                known_cluster_id: known.cluster_id,
                known_revision: self.revision.unwrap_or(0),
            });
        }
    }

    /// Takes in a response of the watch, or a fragment of one. The events of a response are one change. Drains and removals
    /// in a fragment are announced at once, all else when the last fragment has come. `now_ms` is as for
    /// [`Follower::range`].
    pub fn events(
        &mut self,
        header: Header,
        events: Vec<WatchEvent>,
        fragment: bool,
        received_at: Time,
        now_ms: u64,
    ) -> (EndpointUpdate, WatchStep) {
        let mut update = EndpointUpdate {
            received_at,
            ..EndpointUpdate::default()
        };
        match self.header(header) {
            WatchStep::Continue => {}
            other => return (update, other),
        }
        let Some(revision) = self.revision else {
            return (update, WatchStep::Reread(RereadReason::NothingRead));
        };
        let received = events.len();
        let mut new_events = events;
        new_events.retain(|event| event.kv.mod_revision > revision);
        self.stats.old += (received - new_events.len()) as u64;
        if fragment {
            self.announce(&new_events, &mut update);
            let step = self.fragments.push(new_events, received_at);
            return (update, step);
        }
        let response = self.fragments.complete(new_events, received_at);
        update.received_at = response.received_at;
        self.apply(&response.events, now_ms, &mut update);
        // A response holds complete revisions, up to that of its newest event; the store itself may be further.
        let newest = response.events.iter().map(|event| event.kv.mod_revision);
        self.revision = newest.max().max(Some(revision));
        (update, WatchStep::Continue)
    }

    /// Takes in a response without events (`progress_notify`, or the answer to a progress request): all events up to its
    /// revision have been sent.
    pub fn progress(&mut self, header: Header) -> WatchStep {
        let step = self.header(header);
        if step == WatchStep::Continue && self.fragments.is_empty() {
            // A member of etcd before 3.4.25 or 3.5.8 may send this before it has sent all events up to its revision; the
            // events would be skipped as old. So a revision counts only once a further progress response has come.
            let before = self.progress_revision.replace(header.revision);
            self.revision = self
                .revision
                .max(before.filter(|_| self.revision.is_some()));
        }
        step
    }

    /// The watch was cancelled because its revision is compacted.
    pub fn compacted(&mut self, compact_revision: i64) -> WatchStep {
        self.events.push(FollowerEvent::Compacted {
            compact_revision,
            known_revision: self.revision.unwrap_or(0),
        });
        WatchStep::Reread(RereadReason::Compacted)
    }
}
