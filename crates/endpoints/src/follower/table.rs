//! Applies events and lists to the table of servers.

use super::event::FollowerEvent;
use super::listing::{read_key, KnownEndpoint, ReadKey, UnreadableKey};
use super::response::WatchEvent;
use super::Follower;
use crate::record::{EndpointRecord, EndpointStatus};
use crate::update::EndpointUpdate;
use crate::value::host_of_key;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of hosts in the table. It bounds memory if the prefix holds many keys of other applications.
const MAX_HOSTS: usize = 100_000;

impl Follower {
    /// Applies all events of a complete response. If a host has several events, only the last one is applied.
    pub(super) fn apply(
        &mut self,
        events: &[WatchEvent],
        now_ms: u64,
        update: &mut EndpointUpdate,
    ) {
        let mut last: BTreeMap<&str, &WatchEvent> = BTreeMap::new();
        for event in events {
            if let Some(host) = host_of_key(&self.prefix, &event.kv.key) {
                last.insert(host, event);
            }
        }
        self.detect_wipes(events, update.received_at);
        for (host, event) in last {
            if event.delete {
                self.unreadable.remove(host);
                if !self.suspected_wipe.keeps(host) {
                    self.remove(host, update);
                }
            } else {
                let (host, read) = read_key(host, &event.kv, &mut self.zones);
                self.put(host, read, now_ms, update);
            }
        }
        self.withdraw_announced(update);
    }

    /// Removes a host, even if it is kept because of a suspected wipe, and adds its removal to `update`.
    pub(super) fn remove(&mut self, host: &str, update: &mut EndpointUpdate) {
        self.suspected_wipe.release(host);
        if let Some((host, known)) = self.endpoints.remove_entry(host) {
            update.endpoints.push(EndpointRecord {
                status: EndpointStatus::Removed,
                ..known.endpoint.record(&host)
            });
        }
    }

    /// Removes the hosts that are missing from a complete list, except those that are kept because of a suspected wipe.
    pub(super) fn remove_missing(
        &mut self,
        listed: &BTreeMap<Arc<str>, ReadKey>,
        update: &mut EndpointUpdate,
    ) {
        let is_listed = |host: &str| listed.contains_key(host);
        let mut missing: Vec<Arc<str>> = Vec::new();
        for host in self.endpoints.keys() {
            if !is_listed(host) && !self.suspected_wipe.keeps(host) {
                missing.push(Arc::clone(host));
            }
        }
        for host in missing {
            self.remove(&host, update);
        }
        self.unreadable.retain(|host, _| is_listed(host));
    }

    /// Fills the empty table from a complete list. The map is built from a sorted vector, because ascending inserts
    /// would leave its B-tree nodes half empty.
    pub(super) fn fill(
        &mut self,
        listed: BTreeMap<Arc<str>, ReadKey>,
        started_at_ms: u64,
        update: &mut EndpointUpdate,
    ) {
        update.endpoints.reserve_exact(listed.len().min(MAX_HOSTS));
        let mut endpoints = Vec::new();
        for (host, read) in listed {
            match read {
                Ok(_) if endpoints.len() >= MAX_HOSTS => {}
                Ok(mut known) => {
                    if known.endpoint.started_at_ms() == 0 {
                        known.endpoint.set_started_at_ms(started_at_ms);
                    }
                    update.endpoints.push(known.endpoint.record(&host));
                    self.unreadable.remove(&*host);
                    endpoints.push((host, known));
                }
                Err(unreadable) => self.keep_outdated(&host, *unreadable),
            }
        }
        self.endpoints = endpoints.into_iter().collect();
    }

    /// Stores the value of a host's key, and adds the endpoint to `update` if it has changed.
    pub(super) fn put(
        &mut self,
        host: Arc<str>,
        read: ReadKey,
        now_ms: u64,
        update: &mut EndpointUpdate,
    ) {
        self.suspected_wipe.release(&host);
        let before = self.endpoints.get(&host);
        let mod_revision = match &read {
            Ok(known) => known.mod_revision,
            Err(unreadable) => unreadable.mod_revision,
        };
        if before.is_some_and(|before| before.mod_revision == mod_revision && !before.outdated) {
            return;
        }
        let mut known = match read {
            Ok(known) => known,
            Err(unreadable) => return self.keep_outdated(&host, *unreadable),
        };
        if known.endpoint.started_at_ms() == 0 {
            let started_at_ms = assumed_start_ms(before.map(Box::as_ref), &known, now_ms);
            known.endpoint.set_started_at_ms(started_at_ms);
        }
        if self.endpoints.len() >= MAX_HOSTS && before.is_none() {
            return;
        }
        if before.is_none_or(|before| before.endpoint != known.endpoint) {
            update.endpoints.push(known.endpoint.record(&host));
        }
        self.unreadable.remove(&*host);
        self.endpoints.insert(host, known);
    }

    /// Handles a value that could not be parsed: the endpoint of the last valid value stays in the list. Each such
    /// value is counted, but logged only once until a value of the host can be parsed again.
    fn keep_outdated(&mut self, host: &str, unreadable: UnreadableKey) {
        self.stats.unreadable += 1;
        let UnreadableKey {
            mod_revision,
            error,
        } = unreadable;
        let known = self.endpoints.get_mut(host);
        let kept = known.is_some();
        let reported = match known {
            Some(known) => {
                known.mod_revision = mod_revision;
                std::mem::replace(&mut known.outdated, true)
            }
            None if self.unreadable.len() >= MAX_HOSTS => true,
            None => {
                let before = self.unreadable.insert(host.to_owned(), mod_revision);
                before.is_some()
            }
        };
        if !reported {
            self.events.push(FollowerEvent::UnreadableValue {
                key: format!("{}{host}", self.prefix),
                error,
                kept,
            });
        }
    }
}

/// Returns the start time, in Unix milliseconds, of a server whose value gives none. A key with a new create revision
/// belongs to a process that has just started; otherwise the known start time is kept.
fn assumed_start_ms(before: Option<&KnownEndpoint>, known: &KnownEndpoint, now_ms: u64) -> u64 {
    match before {
        Some(before) if before.create_revision == known.create_revision => {
            before.endpoint.started_at_ms()
        }
        Some(_) | None => now_ms,
    }
}
