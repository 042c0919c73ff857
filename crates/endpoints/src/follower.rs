//! Tracks one key prefix of an etcd cluster by revision.
//!
//! etcd's revision is a counter of all changes to the store. A watch delivers all events from a given revision on, in
//! order, and never splits a revision between two responses, only between the fragments of one response (etcd v3 API:
//! `KV.Range` and `Watch`; "MVCC" in etcd's documentation).

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
pub use wipe::EmptyListRules;

use crate::compact::ZoneNames;
use crate::time::Time;
use crate::update::EndpointUpdate;
use fragments::Fragments;
use listing::KnownEndpoint;
use std::collections::BTreeMap;
use std::sync::Arc;
use wipe::SuspectedWipe;

/// Maintains the endpoint list of one prefix from range and watch responses.
#[derive(Clone, Debug)]
pub struct Follower {
    prefix: String,
    rules: EmptyListRules,
    /// The values are boxed so that the map allocates no large blocks of memory.
    endpoints: BTreeMap<Arc<str>, Box<KnownEndpoint>>,
    zones: ZoneNames,
    /// Hosts none of whose values could be parsed, with the revision that was logged.
    unreadable: BTreeMap<String, i64>,
    /// The revision up to which all events have been applied to `endpoints`; `None` before the first range.
    revision: Option<i64>,
    /// The header of the last accepted response.
    header: Option<Header>,
    /// The revision of the last progress response on this connection.
    progress_revision: Option<i64>,
    fragments: Fragments,
    suspected_wipe: SuspectedWipe,
    events: Vec<FollowerEvent>,
    stats: FollowerStats,
}

impl Follower {
    /// Creates a follower that has not read its prefix yet.
    pub fn new(prefix: impl Into<String>, rules: EmptyListRules) -> Follower {
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

    /// Returns the revision to watch from; `None` if the entire prefix must be read first.
    pub fn resume_revision(&self) -> Option<i64> {
        self.revision.map(|revision| revision + 1)
    }

    /// Returns the counters since the follower was created.
    pub fn stats(&self) -> FollowerStats {
        self.stats
    }

    /// Returns and clears the events that are to be logged.
    pub fn take_events(&mut self) -> Vec<FollowerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of listed hosts.
    pub fn host_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Resets the state of the connection; call it when a connection to a member ends or starts.
    ///
    /// Drops the fragments of an incomplete response. Their events are received again, because `revision` has not
    /// advanced past them. Drains that the fragments announced remain in force.
    pub fn reset_connection(&mut self) {
        self.fragments.reset();
        self.progress_revision = None;
    }

    /// Checks the header of any response but that of a range, and returns whether the watch can continue.
    ///
    /// The caller must leave a member that lags. No events are accepted from a different cluster or from one that was
    /// reset to an earlier revision: the entire prefix must be read again.
    pub fn check_header(&mut self, header: Header) -> WatchStep {
        let Some(known) = self.header else {
            self.header = Some(header);
            return WatchStep::Continue;
        };
        if header.cluster_id != known.cluster_id {
            return WatchStep::Reread(RereadReason::OtherCluster);
        }
        if let Some(known_revision) = self.revision.filter(|known| header.revision < *known) {
            // Either this member lags or the entire cluster was reset to an earlier revision. The range at the next
            // member shows which, because a member answers a linearizable range only once it has caught up with its
            // leader.
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

    /// Applies a complete, linearizable range over the prefix, read at one revision.
    ///
    /// Removes hosts that are missing from it, as of `received_at`. `now_ms` (Unix milliseconds) is the start time of
    /// new servers whose value gives none.
    pub fn apply_range(
        &mut self,
        header: Header,
        kvs: &[KeyValue],
        received_at: Time,
        now_ms: u64,
    ) -> EndpointUpdate {
        let mut listing = self.listing();
        listing.add_page(kvs.iter().cloned());
        self.apply_listing(header, listing, received_at, now_ms)
    }

    /// Creates an empty listing, to be filled and passed to [`Follower::apply_listing`].
    pub fn listing(&self) -> Listing {
        Listing {
            prefix: self.prefix.clone(),
            zones: self.zones.clone(),
            keys: BTreeMap::new(),
        }
    }

    /// Applies a range that was read page by page, as [`Follower::apply_range`] does. All pages must have been read.
    pub fn apply_listing(
        &mut self,
        header: Header,
        listing: Listing,
        received_at: Time,
        now_ms: u64,
    ) -> EndpointUpdate {
        self.stats.ranges += 1;
        self.check_replaced(header);
        let first = self.revision.is_none();
        self.reset_connection();
        self.header = Some(header);
        self.revision = Some(header.revision);
        // The endpoints of the listing share these zone names.
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
        // A server that gives no start time is taken to have run for long if it is in the first list, and to be new if
        // it appears later.
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

    /// Counts and logs a cluster that was replaced by another or reset to an earlier revision or term.
    fn check_replaced(&mut self, header: Header) {
        let Some(known) = self.header else {
            return;
        };
        let went_back = self.revision.is_some_and(|known| header.revision < known);
        let other_cluster = header.cluster_id != known.cluster_id;
        if other_cluster || went_back || header.raft_term < known.raft_term {
            self.stats.replaced += 1;
            self.events.push(FollowerEvent::ClusterReplaced {
                cluster_id: header.cluster_id,
                revision: header.revision,
                known_cluster_id: known.cluster_id,
                known_revision: self.revision.unwrap_or(0),
            });
        }
    }

    /// Applies a watch response, or a fragment of one (`fragment`: more fragments follow).
    ///
    /// The events of a response are applied as one change. Drains and removals in a fragment are announced immediately,
    /// all other changes once the last fragment has been received. `now_ms` is as in [`Follower::apply_range`].
    pub fn apply_events(
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
        match self.check_header(header) {
            WatchStep::Continue => {}
            other => return (update, other),
        }
        let Some(revision) = self.revision else {
            return (update, WatchStep::Reread(RereadReason::NothingRead));
        };
        let received = events.len();
        let mut new_events = events;
        new_events.retain(|event| event.kv.mod_revision > revision);
        self.stats.stale_events += (received - new_events.len()) as u64;
        if fragment {
            self.announce(&new_events, &mut update);
            let step = self.fragments.push(new_events, received_at);
            return (update, step);
        }
        let response = self.fragments.complete(new_events, received_at);
        update.received_at = response.received_at;
        self.apply(&response.events, now_ms, &mut update);
        // A response contains complete revisions up to that of its newest event. The header's revision is the store's
        // and may be higher.
        let newest = response.events.iter().map(|event| event.kv.mod_revision);
        self.revision = newest.max().max(Some(revision));
        (update, WatchStep::Continue)
    }

    /// Applies a response without events (`progress_notify`, or the reply to a progress request), which confirms that
    /// all events up to its revision have been sent.
    pub fn apply_progress(&mut self, header: Header) -> WatchStep {
        let step = self.check_header(header);
        if step == WatchStep::Continue && self.fragments.is_empty() {
            // etcd before 3.4.25 and 3.5.8 may send a progress response ahead of events up to its revision; these
            // events would then be skipped as stale. So the revision advances only to that of the previous progress
            // response.
            let before = self.progress_revision.replace(header.revision);
            self.revision = self
                .revision
                .max(before.filter(|_| self.revision.is_some()));
        }
        step
    }

    /// Records that the watch was cancelled because its start revision has been compacted.
    pub fn on_compacted(&mut self, compact_revision: i64) -> WatchStep {
        self.events.push(FollowerEvent::Compacted {
            compact_revision,
            known_revision: self.revision.unwrap_or(0),
        });
        WatchStep::Reread(RereadReason::Compacted)
    }
}
