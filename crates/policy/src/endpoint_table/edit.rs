//! Changes to one server that keep the aggregates over all servers consistent.

use super::aggregates::{known_wait, Aggregates};
use crate::server::Server;
use std::ops::{Deref, DerefMut};

/// Guard for a server that is being changed. The server is not counted in the aggregates until the guard is dropped.
pub(crate) struct ServerEdit<'a> {
    aggregates: &'a mut Aggregates,
    server: &'a mut Server,
    wait_before: Option<f64>,
}

impl<'a> ServerEdit<'a> {
    /// Removes the server from the aggregates and allocates its statistics, so that it can be changed.
    pub(super) fn begin(aggregates: &'a mut Aggregates, server: &'a mut Server) -> ServerEdit<'a> {
        let wait_before = known_wait(server);
        aggregates.remove(server);
        server.ensure_statistics(aggregates.classes);
        ServerEdit {
            aggregates,
            server,
            wait_before,
        }
    }
}

impl Deref for ServerEdit<'_> {
    type Target = Server;

    fn deref(&self) -> &Server {
        self.server
    }
}

impl DerefMut for ServerEdit<'_> {
    fn deref_mut(&mut self) -> &mut Server {
        self.server
    }
}

impl Drop for ServerEdit<'_> {
    fn drop(&mut self) {
        let id = self.server.endpoint.server;
        if self.server.in_subset {
            self.aggregates.with_evidence.insert(id);
        } else if self.server.in_flight == 0 {
            // Drops the statistics of a server that this node no longer uses, so that they do not grow with the list.
            self.server.forget();
        }
        self.aggregates.add(self.server);
        self.aggregates
            .replace_wait(id, self.wait_before, known_wait(self.server));
    }
}
