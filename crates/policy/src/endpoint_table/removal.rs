//! Removal of servers and of their statistics that no decision needs any more.

use super::{known_wait, EndpointTable};
use crate::interface::{Micros, ServerId};
use crate::server::Server;

impl EndpointTable {
    /// Drops servers that were removed from the list and have no attempts in flight. Removes servers from the indexes
    /// whose start is no longer recent, or for which `has_evidence` returns false.
    pub fn remove_unused(
        &mut self,
        now: Micros,
        recent: Micros,
        has_evidence: impl Fn(&Server) -> bool,
    ) {
        self.drop_removed();
        let (no_longer_recent, without_evidence) =
            self.aggregates
                .drop_outdated(&self.servers, now, recent, has_evidence);
        if self.subsetted {
            for id in no_longer_recent {
                self.servers
                    .entry(id)
                    .and_modify(|server| server.slow_start_budget = None);
            }
        }
        if !self.aggregates.waits_ordered {
            return;
        }
        for id in without_evidence {
            if let Some(server) = self.servers.get_mut(&id) {
                self.aggregates
                    .change(server, |server| server.statistics = Vec::new());
            }
        }
    }

    fn drop_removed(&mut self) {
        let servers = &self.servers;
        let idle = |id: &ServerId| servers.get(id).is_none_or(Server::is_without_attempts);
        let removed: Vec<ServerId> = self
            .aggregates
            .removed
            .iter()
            .copied()
            .filter(idle)
            .collect();
        for id in &removed {
            let Some(server) = self.servers.remove(id) else {
                continue;
            };
            self.aggregates.remove(&server);
            self.aggregates.replace_wait(*id, known_wait(&server), None);
            self.short_ids.remove(*id);
        }
        if !removed.is_empty() {
            self.members.retain(|id| self.servers.contains_key(id));
        }
    }
}
