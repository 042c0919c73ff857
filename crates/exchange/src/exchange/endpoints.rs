//! Changes of the endpoint list, and the connections that they close.

use super::{Commands, Exchange};
use crate::tables::{ConnectionState, ReadyServer};
use crate::{Bug, Bugs, ConnectionId, Policy};
use saffronpaddle_policy::idempotency::ServerLocation;
use saffronpaddle_policy::interface::{
    Endpoint, EndpointStatus, EndpointUpdate, Event as PolicyEvent, Micros, Outcome, RequestId,
    ServerId,
};
use std::collections::BTreeSet;
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Applies a change of the endpoint list. Closes the idle and unestablished connections to each server that drains,
    /// that is missing from a snapshot or that has another address now.
    pub(super) fn on_endpoints_changed(
        &mut self,
        snapshot: bool,
        entries: Vec<(Endpoint, A)>,
        commands: &mut Commands<A>,
    ) {
        let lost = self.lost_servers(snapshot, &entries);
        for server in &lost {
            self.remove_server(*server, commands);
        }
        let mut endpoints = Vec::with_capacity(entries.len());
        for (endpoint, address) in entries {
            self.apply_endpoint(&endpoint, address, commands);
            endpoints.push(endpoint);
        }
        let update = if snapshot {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.pending_events
            .push_back(PolicyEvent::EndpointsChanged { update, endpoints });
        if !lost.is_empty() && !self.bugs.planted(Bug::DrainCheckedBeforeConnectOnly) {
            self.cancel_connects(&lost, commands);
        }
    }

    /// Returns the servers that are no longer ready at their previous address, or have started again. Those that are
    /// missing from a snapshot come first, ordered by id.
    fn lost_servers(&self, snapshot: bool, entries: &[(Endpoint, A)]) -> Vec<ServerId> {
        let mut lost: Vec<ServerId> = Vec::new();
        if snapshot {
            let listed: BTreeSet<ServerId> = entries
                .iter()
                .map(|(endpoint, _)| endpoint.server)
                .collect();
            lost.extend(
                self.servers
                    .keys()
                    .filter(|server| !listed.contains(server)),
            );
            lost.sort();
        }
        for (endpoint, address) in entries {
            let ready = endpoint.status == EndpointStatus::Ready;
            let known = self.servers.get(&endpoint.server);
            let is_other = |known: &ReadyServer<A>| {
                known.address != *address || is_later_life(known.started_at, endpoint.started_at)
            };
            if known.is_some_and(|known| !ready || is_other(known)) {
                lost.push(endpoint.server);
            }
        }
        lost
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, address: A, commands: &mut Commands<A>) {
        if endpoint.status != EndpointStatus::Ready {
            // A list may contain a server twice; the last entry applies.
            return self.remove_server(endpoint.server, commands);
        }
        let location = ServerLocation {
            zone: endpoint.zone,
            domain: endpoint.domain,
        };
        let server = self
            .servers
            .entry(endpoint.server)
            .or_insert_with(|| ReadyServer {
                address,
                started_at: endpoint.started_at,
                location,
                idle: Vec::new(),
            });
        server.location = location;
    }

    /// Removes a server and closes its idle connections.
    fn remove_server(&mut self, server: ServerId, commands: &mut Commands<A>) {
        if let Some(removed) = self.servers.remove(&server) {
            removed
                .idle
                .into_iter()
                .for_each(|connection| self.close(connection, commands));
        }
    }

    /// Cancels the attempts whose connections to lost servers are still being established.
    fn cancel_connects(&mut self, lost: &[ServerId], commands: &mut Commands<A>) {
        let mut connecting: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(id, connection)| {
                connection.state == ConnectionState::Connecting
                    && lost.contains(&connection.server)
                    && !self.reaches_server(**id)
            })
            .map(|(id, _)| *id)
            .collect();
        connecting.sort();
        let requests: Vec<RequestId> = connecting
            .into_iter()
            .filter_map(|connection| self.request_on(connection))
            .collect();
        for id in &requests {
            self.abort_attempt(id, Outcome::Cancelled, commands);
        }
    }
}

/// Whether a start that is listed now is that of another process than the start that was listed before. A start that is long
/// ago is no longer listed.
fn is_later_life(before: Option<Micros>, now: Option<Micros>) -> bool {
    now.is_some_and(|now| before.is_none_or(|before| now > before))
}
