//! The list of servers, and what a change of it ends.

use super::{Commands, Exchange};
use crate::table::{Place, State};
use crate::{Bug, Bugs, ConnectionId, Policy};
use saffronpaddle_policy::interface::{
    Endpoint, EndpointStatus, EndpointUpdate, Event as ModuleEvent, Outcome, RequestId, ServerId,
};
use std::collections::BTreeSet;
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// Follows the list. Who is gone, or not on a whole list, and who moved, loses its idle connections and those that
    /// are being made.
    pub(super) fn listed(
        &mut self,
        whole: bool,
        entries: Vec<(Endpoint, A)>,
        commands: &mut Commands<A>,
    ) {
        let mut lost: Vec<ServerId> = Vec::new();
        if whole {
            let ready: BTreeSet<ServerId> = entries.iter().map(|(entry, _)| entry.server).collect();
            lost.extend(self.places.keys().filter(|server| !ready.contains(server)));
            lost.sort();
        }
        for (entry, dial) in &entries {
            let (server, ready) = (entry.server, entry.status == EndpointStatus::Ready);
            let place = self.places.get(&server);
            if place.is_some_and(|place| !ready || place.dial != *dial) {
                lost.push(server);
            }
        }
        for server in &lost {
            let idle = self
                .places
                .get(server)
                .map(|place| place.idle.clone())
                .unwrap_or_default();
            idle.into_iter().for_each(|link| self.close(link, commands));
            self.places.remove(server);
        }
        let mut told = Vec::with_capacity(entries.len());
        for (entry, dial) in entries {
            if entry.status == EndpointStatus::Ready {
                let fresh = Place {
                    dial,
                    zone: entry.zone,
                    cell: entry.domain,
                    idle: Vec::new(),
                };
                let place = self.places.entry(entry.server).or_insert(fresh);
                (place.zone, place.cell) = (entry.zone, entry.domain);
            } else if let Some(place) = self.places.remove(&entry.server) {
                // It stands on the list twice, and this is the later word.
                place
                    .idle
                    .into_iter()
                    .for_each(|link| self.close(link, commands));
            }
            told.push(entry);
        }
        let kind = if whole {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.pending.push_back(ModuleEvent::EndpointsChanged {
            update: kind,
            endpoints: told,
        });
        if !lost.is_empty() && !self.bugs.planted(Bug::DrainCheckedBeforeConnectOnly) {
            let made = self.links.iter().filter(|(link, row)| {
                row.state == State::Connecting && lost.contains(&row.server) && !self.leads(**link)
            });
            let mut made: Vec<ConnectionId> = made.map(|(link, _)| *link).collect();
            made.sort();
            let made: Vec<RequestId> = made.into_iter().filter_map(|link| self.on(link)).collect();
            made.iter()
                .for_each(|id| self.give_up(id, Outcome::Cancelled, commands));
        }
    }
}
