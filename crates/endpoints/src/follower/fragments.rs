//! Watch responses that etcd sends in several fragments.

use super::response::{RereadReason, WatchEvent, WatchStep};
use super::Follower;
use crate::record::{EndpointRecord, EndpointStatus};
use crate::time::Time;
use crate::update::EndpointUpdate;
use crate::value::{host_of_key, read_value};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of buffered events of an incomplete response. It bounds memory if the last fragment never arrives.
const MAX_BUFFERED_EVENTS: usize = 200_000;

/// The fragments of a response whose last fragment has not been received.
#[derive(Clone, Debug, Default)]
pub(super) struct Fragments {
    events: Vec<WatchEvent>,
    /// When the first fragment was received.
    received_at: Option<Time>,
    /// Hosts announced as draining because of a fragment. They keep that status, also across a reconnect, until a
    /// complete response or list is applied.
    announced: BTreeSet<String>,
}

/// A response of which all fragments have been received.
pub(super) struct Response {
    pub events: Vec<WatchEvent>,
    /// When its first fragment was received.
    pub received_at: Time,
}

impl Fragments {
    /// Drops the fragments of an incomplete response.
    pub fn reset(&mut self) {
        self.events.clear();
        self.received_at = None;
    }

    /// Whether no events are buffered.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Buffers a fragment that is not the last one of its response.
    pub fn push(&mut self, events: Vec<WatchEvent>, received_at: Time) -> WatchStep {
        self.received_at.get_or_insert(received_at);
        self.events.extend(events);
        if self.events.len() > MAX_BUFFERED_EVENTS {
            WatchStep::Reread(RereadReason::TooManyFragments)
        } else {
            WatchStep::Continue
        }
    }

    /// Adds the last fragment and returns the complete response.
    pub fn complete(&mut self, events: Vec<WatchEvent>, received_at: Time) -> Response {
        let mut all = std::mem::take(&mut self.events);
        all.extend(events);
        Response {
            events: all,
            received_at: self.received_at.take().unwrap_or(received_at),
        }
    }
}

impl Follower {
    /// Announces as draining each ready server that a fragment drains or removes. A removal is announced as a drain
    /// only, because the rest of the response may put the server back; a fragment that removes all servers announces
    /// nothing.
    pub(super) fn announce(&mut self, events: &[WatchEvent], update: &mut EndpointUpdate) {
        let mut statuses: BTreeMap<&str, EndpointStatus> = BTreeMap::new();
        for event in events {
            let Some(host) = host_of_key(&self.prefix, &event.kv.key) else {
                continue;
            };
            if event.delete {
                statuses.insert(host, EndpointStatus::Removed);
            } else if let Ok(record) = read_value(host, &event.kv.value) {
                statuses.insert(host, record.status);
            }
        }
        let removed = statuses
            .values()
            .filter(|status| **status == EndpointStatus::Removed)
            .count();
        let empties_list = removed >= self.endpoints.len() && self.endpoints.len() > 1;
        if empties_list {
            return;
        }
        for (host, status) in statuses {
            let Some((host, known)) = self.endpoints.get_key_value(host) else {
                continue;
            };
            let status = status.min(EndpointStatus::Draining);
            if status > known.endpoint.status() {
                update.endpoints.push(EndpointRecord {
                    status,
                    ..known.endpoint.record(host)
                });
                self.fragments.announced.insert(host.to_string());
            }
        }
    }

    /// Withdraws announced drains that the complete response or list in `update` does not contain, by adding the stored
    /// records of these hosts to `update`.
    pub(super) fn withdraw_announced(&mut self, update: &mut EndpointUpdate) {
        let mut announced = std::mem::take(&mut self.fragments.announced);
        for record in &update.endpoints {
            announced.remove(&*record.host);
        }
        for host in &announced {
            if let Some((host, known)) = self.endpoints.get_key_value(host.as_str()) {
                update.endpoints.push(known.endpoint.record(host));
            }
        }
    }
}
