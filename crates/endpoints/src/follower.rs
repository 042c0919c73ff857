//! Follows one prefix of an etcd cluster by its revisions (etcd v3 API: `KV.Range`, `Watch`; "MVCC" in etcd's
//! documentation: a revision counts all changes of the store, and a watch gives all events from a revision on, in order,
//! each revision whole).

use crate::entry::{self, CompactEndpoint, EndpointRecord, EndpointStatus, Sites};
use crate::{EndpointUpdate, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most hosts that are kept. Guards memory against a prefix that is shared with something else.
const HOSTS_MOST: usize = 100_000;
/// Most events that wait for the last fragment of their response. Guards memory against fragments without end.
const FRAGMENTS_MOST: usize = 200_000;

/// What every response of etcd says of its sender (`etcdserverpb.ResponseHeader`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The cluster.
    pub cluster_id: u64,
    /// The member.
    pub member_id: u64,
    /// The store's revision when the response was made.
    pub revision: i64,
    /// The raft term then.
    pub raft_term: u64,
}

/// A key as a range or an event has it (`mvccpb.KeyValue`).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value; empty in a delete.
    pub value: Vec<u8>,
    /// The revision in which it was created.
    pub create_revision: i64,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// An event of a watch (`mvccpb.Event`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Whether the key was deleted, or its lease expired; else it was put.
    pub delete: bool,
    /// The key after the event.
    pub kv: KeyValue,
}

/// What to do after something was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Go on with the watch.
    Continue,
    /// The watch can't be gone on with: range over the whole prefix again, then watch from there.
    Reread(&'static str),
    /// Leave this member for another, and go on there from the same revision.
    Leave(&'static str),
}

/// When an empty list is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A list of two hosts or more that is empty at one stroke is believed once it has stayed so for so long.
    pub empty_after: Time,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            empty_after: Time::from_secs(30),
        }
    }
}

/// What has been seen, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerStats {
    /// Values that could not be read.
    pub unreadable: u64,
    /// Events that were known already.
    pub old: u64,
    /// Whole lists that were read.
    pub ranges: u64,
    /// Clusters that were not the one before, or that had gone back.
    pub replaced: u64,
    /// Lists that were empty at one stroke and not believed.
    pub doubted: u64,
}

#[derive(Clone, Debug)]
struct Held {
    entry: CompactEndpoint,
    create_revision: i64,
    mod_revision: i64,
    /// Its newest value can't be read; the entry is the last good one.
    spoilt: bool,
}

/// A whole list as its pages come: each value is read at once and let go. Danger: the text of 40,000 values beside what is
/// kept of them, and memory full of holes when it is let go.
#[derive(Clone, Debug)]
pub struct Listing {
    prefix: String,
    sites: Sites,
    /// A map, as a row of 40,000 would be one large block: the allocator takes its return for a sign that large blocks are to
    /// be kept from then on.
    listed: BTreeMap<Arc<str>, Listed>,
}

/// What is kept of a key, or its revision and why it can't be read.
type Listed = Result<Box<Held>, (i64, String)>;

impl Listing {
    /// Takes in a page of the range.
    pub fn page(&mut self, kvs: impl IntoIterator<Item = KeyValue>) {
        for kv in kvs {
            let Some(host) = entry::host(&self.prefix, &kv.key) else {
                continue;
            };
            let (host, read) = read(host, &kv, &mut self.sites);
            self.listed.insert(host, read);
        }
    }
}

/// What stands under a host's key, in the form in which it is kept.
fn read(host: &str, kv: &KeyValue, sites: &mut Sites) -> (Arc<str>, Listed) {
    let (create_revision, mod_revision) = (kv.create_revision, kv.mod_revision);
    match entry::read(host, &kv.value) {
        Ok(entry) => {
            let kept = CompactEndpoint::new(&entry, sites);
            let held = Held {
                entry: kept,
                create_revision,
                mod_revision,
                spoilt: false,
            };
            (entry.host, Ok(Box::new(held)))
        }
        Err(why) => (host.into(), Err((mod_revision, why))),
    }
}

/// Follows one prefix.
#[derive(Clone, Debug)]
pub struct Follower {
    prefix: String,
    rules: Rules,
    /// Apart from their names, so that the whole table is rebuilt without a large block.
    hosts: BTreeMap<Arc<str>, Box<Held>>,
    sites: Sites,
    /// Hosts whose value could never be read, with the revision that was told.
    unreadable: BTreeMap<String, i64>,
    /// All events up to this revision are in `hosts`; `None` before the first range.
    revision: Option<i64>,
    header: Option<Header>,
    /// How far this connection's member last said that it was.
    progressed: Option<i64>,
    fragments: Vec<WatchEvent>,
    /// When the first fragment was read.
    fragments_told: Option<Time>,
    /// Hosts that were told to be draining by a fragment, until the whole response has come.
    provisional: BTreeSet<String>,
    /// Since when the list is in doubt: it was empty at one stroke.
    emptied: Option<Time>,
    /// Hosts that are kept although they were wiped, until the doubt is over or they are put again.
    wiped: BTreeSet<String>,
    /// The first list was empty, and is not believed yet.
    unlisted: bool,
    logs: Vec<String>,
    seen: FollowerStats,
}

impl Follower {
    /// Follows a prefix of which nothing is known.
    pub fn new(prefix: impl Into<String>, rules: Rules) -> Follower {
        Follower {
            prefix: prefix.into(),
            rules,
            hosts: BTreeMap::new(),
            sites: Sites::default(),
            unreadable: BTreeMap::new(),
            revision: None,
            header: None,
            progressed: None,
            fragments: Vec::new(),
            fragments_told: None,
            provisional: BTreeSet::new(),
            emptied: None,
            wiped: BTreeSet::new(),
            unlisted: false,
            logs: Vec::new(),
            seen: FollowerStats::default(),
        }
    }

    /// From which revision a watch goes on; `None` if the whole prefix must be ranged over first.
    pub fn resume(&self) -> Option<i64> {
        self.revision.map(|revision| revision + 1)
    }

    /// What has been seen.
    pub fn seen(&self) -> FollowerStats {
        self.seen
    }

    /// Lines for the log since the last call.
    pub fn logs(&mut self) -> Vec<String> {
        std::mem::take(&mut self.logs)
    }

    /// Hosts that are held, gone ones not among them.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// A connection to a member has ended or begins anew: fragments without their rest are void. What they told of
    /// drains stands, and the events come again, as the revision was not counted.
    pub fn reconnected(&mut self) {
        self.fragments.clear();
        (self.fragments_told, self.progressed) = (None, None);
    }

    /// Takes in the header of any response but a range's. A member that lags is left; another cluster, or one that has
    /// gone back, is never half-believed: it is read whole.
    pub fn header(&mut self, header: Header) -> WatchStep {
        let Some(known) = self.header else {
            self.header = Some(header);
            return WatchStep::Continue;
        };
        if header.cluster_id != known.cluster_id {
            return WatchStep::Reread("another cluster");
        }
        if let Some(revision) = self.revision.filter(|revision| header.revision < *revision) {
            // It may lag, or all of it may have gone back; a range tells, as a member answers that only when it has
            // caught up with its leader.
            self.logs.push(format!(
                "member {:x} is at revision {}, behind {revision}",
                header.member_id, header.revision
            ));
            return WatchStep::Leave("the member lags");
        }
        if header.raft_term < known.raft_term {
            return WatchStep::Leave("the member is in an older term");
        }
        self.header = Some(header);
        WatchStep::Continue
    }

    /// Takes in a whole, linearizable range over the prefix, of one revision. Who is held and not in it is gone, and
    /// counts as told now. `now` is Unix time in milliseconds, for servers that came anew without a start of their own.
    pub fn range(
        &mut self,
        header: Header,
        kvs: &[KeyValue],
        told: Time,
        now: u64,
    ) -> EndpointUpdate {
        let mut listing = self.listing();
        listing.page(kvs.iter().cloned());
        self.range_of(header, listing, told, now)
    }

    /// A list of which no page has come.
    pub fn listing(&self) -> Listing {
        Listing {
            prefix: self.prefix.clone(),
            sites: self.sites.clone(),
            listed: BTreeMap::new(),
        }
    }

    /// Takes in a range of which all pages have come.
    pub fn range_of(
        &mut self,
        header: Header,
        listing: Listing,
        told: Time,
        now: u64,
    ) -> EndpointUpdate {
        self.seen.ranges += 1;
        let first = self.revision.is_none();
        if let Some(known) = self.header {
            let back = self
                .revision
                .is_some_and(|revision| header.revision < revision);
            if header.cluster_id != known.cluster_id || back || header.raft_term < known.raft_term {
                self.seen.replaced += 1;
                self.logs.push(format!(
                    "the cluster was replaced or restored: {:x} at revision {}, before {:x} at {}",
                    header.cluster_id,
                    header.revision,
                    known.cluster_id,
                    self.revision.unwrap_or(0)
                ));
            }
        }
        self.reconnected();
        (self.header, self.revision) = (Some(header), Some(header.revision));
        let mut change = EndpointUpdate {
            endpoints: Vec::new(),
            received_at: told,
            snapshot: first,
        };
        let Listing { sites, listed, .. } = listing;
        // What it read goes by these names.
        self.sites = sites;
        if listed.is_empty() && (first || self.hosts.len() > 1) {
            // A first list too: what the node was told at its start stands against a prefix that is empty, or misspelt.
            self.unlisted |= first;
            change.snapshot = false;
            let all = self
                .hosts
                .keys()
                .map(std::string::ToString::to_string)
                .collect();
            self.doubt(told, all);
            return change;
        }
        let is_listed = |host: &str| listed.contains_key(host);
        let absent = |host: &&str| !is_listed(host) && !self.wiped.contains(*host);
        let gone = self.hosts.keys().map(|host| &**host).filter(absent);
        let gone: Vec<String> = gone.map(str::to_owned).collect();
        gone.iter().for_each(|host| self.remove(host, &mut change));
        self.unreadable.retain(|host, _| is_listed(host));
        // What came first is as old as its value says; what came anew is not.
        let born = if first { 0 } else { now };
        if self.hosts.is_empty() {
            self.fill(listed, born, &mut change);
        } else {
            listed
                .into_iter()
                .for_each(|(host, read)| self.put(host, read, born, &mut change));
        }
        self.resolve(&mut change);
        change
    }

    /// Takes in one response of the watch, or a fragment of one. Events of one response are one change. A drain or a
    /// removal in a fragment is told at once; everything else when the last fragment has come.
    pub fn events(
        &mut self,
        header: Header,
        events: Vec<WatchEvent>,
        fragment: bool,
        told: Time,
        now: u64,
    ) -> (EndpointUpdate, WatchStep) {
        let mut change = EndpointUpdate {
            received_at: told,
            ..EndpointUpdate::default()
        };
        match self.header(header) {
            WatchStep::Continue => {}
            other => return (change, other),
        }
        let Some(revision) = self.revision else {
            return (change, WatchStep::Reread("nothing was ranged over yet"));
        };
        let count = events.len();
        let events: Vec<WatchEvent> = events
            .into_iter()
            .filter(|event| event.kv.mod_revision > revision)
            .collect();
        self.seen.old += (count - events.len()) as u64;
        let begun = *self.fragments_told.get_or_insert(told);
        if fragment {
            self.careful(&events, &mut change);
            self.fragments.extend(events);
            if self.fragments.len() > FRAGMENTS_MOST {
                return (
                    change,
                    WatchStep::Reread("a response of the watch has no end"),
                );
            }
            return (change, WatchStep::Continue);
        }
        let mut all = std::mem::take(&mut self.fragments);
        self.fragments_told = None;
        all.extend(events);
        change.received_at = begun;
        let newest = all.iter().map(|event| event.kv.mod_revision).max();
        self.apply(&all, now, &mut change);
        // A response holds whole revisions, up to the newest of its events; the store itself may be further.
        self.revision = Some(newest.unwrap_or(revision).max(revision));
        (change, WatchStep::Continue)
    }

    /// Takes in a response without events: a sign of life that says how far the watch is (`progress_notify`, or the
    /// answer to a progress request): all events up to its revision have been sent.
    pub fn progress(&mut self, header: Header) -> WatchStep {
        let next = self.header(header);
        if next == WatchStep::Continue && self.fragments.is_empty() {
            // Danger: a member that says how far it is before it has sent all events up to there (etcd before 3.4.25 and
            // 3.5.8 did). It is believed once it has said so again; until then such events are neither old nor skipped.
            let before = self.progressed.replace(header.revision).unwrap_or(0);
            self.revision = self.revision.map(|revision| revision.max(before));
        }
        next
    }

    /// The watch was cancelled as it asked for a revision that is compacted.
    pub fn compacted(&mut self, compact_revision: i64) -> WatchStep {
        self.logs.push(format!(
            "revisions up to {compact_revision} are compacted, this node was at {}: the list is read whole",
            self.revision.unwrap_or(0)
        ));
        WatchStep::Reread("compacted")
    }

    /// Whether an empty list that is not believed yet has stayed so for long enough that a range should settle it;
    /// after that range [`Follower::believe`] is asked.
    pub fn doubts(&self, now: Time) -> bool {
        self.emptied
            .is_some_and(|since| now.saturating_sub(since) >= self.rules.empty_after)
    }

    /// Believes that hosts are gone which were wiped at one stroke and which a range has just shown to be missing still,
    /// if that has lasted for long enough.
    pub fn believe(&mut self, now: Time) -> Option<EndpointUpdate> {
        if !self.doubts(now) {
            return None;
        }
        self.emptied = None;
        if std::mem::take(&mut self.unlisted) {
            self.logs
                .push("the prefix is empty, and was so from the start".to_owned());
            let entries = self
                .hosts
                .iter()
                .map(|(host, held)| held.entry.entry(host))
                .collect();
            return Some(EndpointUpdate {
                endpoints: entries,
                received_at: now,
                snapshot: true,
            });
        }
        let wiped = std::mem::take(&mut self.wiped);
        self.logs.push(format!(
            "the wiped prefix stays so: {} servers are gone",
            wiped.len()
        ));
        let mut change = EndpointUpdate {
            received_at: now,
            ..EndpointUpdate::default()
        };
        wiped.iter().for_each(|host| self.remove(host, &mut change));
        Some(change)
    }

    fn doubt(&mut self, told: Time, wiped: BTreeSet<String>) {
        if self.emptied.is_none() {
            self.seen.doubted += 1;
            self.logs.push(format!(
                "the prefix is empty: {} servers, or those known at the start, are kept until that has lasted {} s",
                self.hosts.len(),
                self.rules.empty_after.as_secs()
            ));
        }
        self.emptied.get_or_insert(told);
        self.wiped.extend(
            wiped
                .into_iter()
                .filter(|host| self.hosts.contains_key(host.as_str())),
        );
    }

    /// All events of a whole response, in order.
    fn apply(&mut self, events: &[WatchEvent], now: u64, change: &mut EndpointUpdate) {
        // What it comes to, host by host: the last event counts.
        let mut last: BTreeMap<&str, &WatchEvent> = BTreeMap::new();
        for event in events {
            if let Some(host) = entry::host(&self.prefix, &event.kv.key) {
                last.insert(host, event);
            }
        }
        self.wipes(events, change.received_at);
        for (host, event) in last {
            if event.delete {
                self.unreadable.remove(host);
                // Wiped before: it is kept until that is believed.
                if !self.wiped.contains(host) {
                    self.remove(host, change);
                }
            } else {
                let (host, read) = read(host, &event.kv, &mut self.sites);
                self.put(host, read, now, change);
            }
        }
        self.resolve(change);
    }

    /// Looks for a revision that leaves none of several hosts. Danger: a prefix that was wiped by mistake, and with it the
    /// whole fleet. Hosts that go one after the other, each in a revision of its own, are an operator's doing.
    fn wipes(&mut self, events: &[WatchEvent], told: Time) {
        // Counted, and not listed anew: a response costs what it touches, however many hosts there are.
        let mut alive = self.hosts.len() - self.wiped.len();
        let mut touched: BTreeMap<String, bool> = BTreeMap::new();
        for events in events.chunk_by(|one, other| one.kv.mod_revision == other.kv.mod_revision) {
            let mut deleted = BTreeSet::new();
            let before = alive;
            for event in events {
                let Some(host) = entry::host(&self.prefix, &event.kv.key) else {
                    continue;
                };
                let known = || self.hosts.contains_key(host) && !self.wiped.contains(host);
                let was = touched.get(host).copied().unwrap_or_else(known);
                touched.insert(host.to_owned(), !event.delete);
                if !event.delete {
                    alive += usize::from(!was);
                    self.wiped.remove(host);
                } else if was {
                    alive -= 1;
                    deleted.insert(host.to_owned());
                }
            }
            if alive == 0 && before > 1 {
                self.doubt(told, deleted);
            }
        }
    }

    /// A whole response, or the whole list, is there: what fragments told of drains gives way to it.
    fn resolve(&mut self, change: &mut EndpointUpdate) {
        let mut left = std::mem::take(&mut self.provisional);
        change
            .endpoints
            .iter()
            .for_each(|entry| _ = left.remove(&*entry.host));
        let held = left
            .iter()
            .filter_map(|host| self.hosts.get_key_value(host.as_str()));
        change
            .endpoints
            .extend(held.map(|(host, held)| held.entry.entry(host)));
    }

    /// What of a fragment makes a server's standing more careful. Its removal too, unless it empties the list: the
    /// rest of the response may put it back, and then it comes back with it.
    fn careful(&mut self, events: &[WatchEvent], change: &mut EndpointUpdate) {
        let mut careful: BTreeMap<&str, EndpointStatus> = BTreeMap::new();
        for event in events {
            let Some(host) = entry::host(&self.prefix, &event.kv.key) else {
                continue;
            };
            let read = entry::read(host, &event.kv.value).map(|entry| entry.status);
            let standing = if event.delete {
                Ok(EndpointStatus::Removed)
            } else {
                read
            };
            if let Ok(standing) = standing {
                careful.insert(host, standing);
            }
        }
        let gone = careful
            .values()
            .filter(|standing| **standing == EndpointStatus::Removed)
            .count();
        let wiped = gone >= self.hosts.len() && self.hosts.len() > 1;
        for (host, standing) in careful {
            let Some((host, held)) = self.hosts.get_key_value(host) else {
                continue;
            };
            // A removal is told as a drain until the whole response is there.
            let standing = standing.min(EndpointStatus::Draining);
            if standing > held.entry.standing() && !wiped {
                change.endpoints.push(EndpointRecord {
                    status: standing,
                    ..held.entry.entry(host)
                });
                self.provisional.insert(host.to_string());
            }
        }
    }

    fn remove(&mut self, host: &str, change: &mut EndpointUpdate) {
        self.wiped.remove(host);
        if let Some((host, held)) = self.hosts.remove_entry(host) {
            change.endpoints.push(EndpointRecord {
                status: EndpointStatus::Removed,
                ..held.entry.entry(&host)
            });
        }
    }

    /// Takes a whole list into an empty table, at one stroke: one that grows in order is half empty.
    fn fill(&mut self, listed: BTreeMap<Arc<str>, Listed>, born: u64, change: &mut EndpointUpdate) {
        change.endpoints.reserve_exact(listed.len().min(HOSTS_MOST));
        let mut hosts = Vec::new();
        for (host, read) in listed {
            match read {
                Ok(_) if hosts.len() >= HOSTS_MOST => {}
                Ok(mut held) => {
                    if held.entry.born_ms() == 0 {
                        held.entry.begin(born);
                    }
                    change.endpoints.push(held.entry.entry(&host));
                    self.unreadable.remove(&*host);
                    hosts.push((host, held));
                }
                Err((revision, why)) => self.spoilt(&host, revision, &why),
            }
        }
        self.hosts = hosts.into_iter().collect();
    }

    fn put(&mut self, host: Arc<str>, read: Listed, now: u64, change: &mut EndpointUpdate) {
        self.wiped.remove(&*host);
        let known = self.hosts.get(&host);
        let revision = read
            .as_ref()
            .map_or_else(|(revision, _)| *revision, |held| held.mod_revision);
        if known.is_some_and(|held| held.mod_revision == revision && !held.spoilt) {
            return;
        }
        let mut held = match read {
            Ok(held) => held,
            Err((revision, why)) => return self.spoilt(&host, revision, &why),
        };
        // A key that was created anew without a start of its own is a process that has just started: cold.
        let anew = known.is_none_or(|known| known.create_revision != held.create_revision);
        if held.entry.born_ms() == 0 {
            held.entry.begin(if anew {
                now
            } else {
                known.map_or(0, |known| known.entry.born_ms())
            });
        }
        if self.hosts.len() >= HOSTS_MOST && known.is_none() {
            return;
        }
        if known.is_none_or(|known| known.entry != held.entry) {
            change.endpoints.push(held.entry.entry(&host));
        }
        self.unreadable.remove(&*host);
        self.hosts.insert(host, held);
    }

    /// A value that can't be read: the last good entry stays. It is counted each time and told once, until it is good.
    fn spoilt(&mut self, host: &str, mod_revision: i64, why: &str) {
        self.seen.unreadable += 1;
        let kept = self.hosts.contains_key(host);
        let told = match self.hosts.get_mut(host) {
            Some(held) => {
                held.mod_revision = mod_revision;
                std::mem::replace(&mut held.spoilt, true)
            }
            None if self.unreadable.len() >= HOSTS_MOST => true,
            None => self
                .unreadable
                .insert(host.to_owned(), mod_revision)
                .is_some(),
        };
        if !told {
            let then = if kept {
                "its last good entry stays"
            } else {
                "it is not listed"
            };
            self.logs.push(format!(
                "{}{host} can't be read ({why}): {then}",
                self.prefix
            ));
        }
    }
}

#[cfg(test)]
mod tests;
