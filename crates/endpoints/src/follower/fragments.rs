//! Responses of the watch that come in fragments.

use super::response::{RereadReason, WatchEvent, WatchStep};
use super::Follower;
use crate::record::{EndpointRecord, EndpointStatus};
use crate::time::Time;
use crate::update::EndpointUpdate;
use crate::value::{host_of_key, read_value};
use std::collections::{BTreeMap, BTreeSet};

/// The most events that wait for the last fragment of their response. It bounds the memory that fragments without end can
/// take.
const MAX_WAITING_EVENTS: usize = 200_000;

/// The fragments of a response whose last fragment has not come.
#[derive(Clone, Debug, Default)]
pub(super) struct Fragments {
    events: Vec<WatchEvent>,
    /// When the first fragment was read.
    received_at: Option<Time>,
    /// Hosts that were announced as draining because of a fragment. They stay so across a reconnect, until a complete
    /// response or list says more.
    announced: BTreeSet<String>,
}

/// A complete response.
pub(super) struct Response {
    pub events: Vec<WatchEvent>,
    /// When its first fragment was read.
    pub received_at: Time,
}

impl Fragments {
    /// Drops the fragments of an incomplete response.
    pub fn reset(&mut self) {
        self.events.clear();
        self.received_at = None;
    }

    /// Whether no event waits.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Adds a fragment after which others follow.
    pub fn push(&mut self, events: Vec<WatchEvent>, received_at: Time) -> WatchStep {
        self.received_at.get_or_insert(received_at);
        self.events.extend(events);
        if self.events.len() > MAX_WAITING_EVENTS {
            WatchStep::Reread(RereadReason::TooManyFragments)
        } else {
            WatchStep::Continue
        }
    }

    /// Adds the last fragment.
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
    /// Announces each server that a fragment makes more careful as draining. A removal too, unless it would empty the list:
    /// the rest of the response may put the server back.
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

    /// A complete response or list has come: what fragments announced, and `update` does not hold, is withdrawn.
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
