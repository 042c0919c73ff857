//! Records in the oracle what a list tells a node.

use crate::World;
use std::time::Duration;

/// A list that is being written to a node. A node may act on a list once it has read the first bytes, and has to act on
/// it once it could read the last one. So the servers that it may send to are recorded before the first byte is written,
/// and those that it must not send to after the last.
pub struct HealthReport<'a> {
    world: &'a World,
    node: usize,
    /// Names of the servers on the list, and whether each is ready.
    servers: Vec<(String, bool)>,
    began_at: Duration,
}

impl<'a> HealthReport<'a> {
    /// Records the ready servers. Called before the list is written.
    pub fn begin(world: &'a World, node: usize, servers: Vec<(String, bool)>) -> Self {
        let began_at = world.now();
        for (name, _) in servers.iter().filter(|(_, ready)| *ready) {
            world.oracle().health_delivered(began_at, node, name, true);
        }
        HealthReport {
            world,
            node,
            servers,
            began_at,
        }
    }

    /// Records the other servers, or, if writing the list failed, that the node was not informed of the ready ones.
    pub fn end(self, written: bool) {
        let (now, mut oracle) = (self.world.now(), self.world.oracle());
        for (name, ready) in &self.servers {
            if written && !ready {
                oracle.health_delivered(now, self.node, name, false);
            } else if !written && *ready {
                oracle.ready_not_delivered(self.began_at, self.node, name);
            }
        }
    }
}
