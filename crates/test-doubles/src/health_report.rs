//! Records in the oracle what a list tells a node.

use crate::wire::HttpConnection;
use crate::World;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// A server as a list shows it.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Name on the list.
    pub name: String,
    /// Whether nodes may send to it.
    pub ready: bool,
    /// When its process started, in Unix ms, if it is listed.
    pub start: Option<u64>,
}

/// Writes a list that shows these servers to a node, and records in the oracle what it tells the node.
///
/// # Errors
/// The connection has ended.
pub async fn write_list(
    world: &World,
    node: usize,
    servers: Vec<ListedServer>,
    connection: &mut HttpConnection,
    text: &[u8],
) -> io::Result<()> {
    // A first write to a process that has ended would succeed, and its successor count as informed.
    if connection.is_closed() {
        return Err(ErrorKind::BrokenPipe.into());
    }
    let report = HealthReport::begin(world, node, servers);
    let written = connection.write(text).await;
    report.end(written.is_ok());
    written
}

/// A list that is being written to a node. A node may act on a list once it has read the first bytes, and has to act on
/// it once it could read the last one. So the servers that it may send to are recorded before the first byte is written,
/// and those that it must not send to, and the starts of servers, after the last.
struct HealthReport<'a> {
    world: &'a World,
    node: usize,
    servers: Vec<ListedServer>,
    began_at: Duration,
}

impl<'a> HealthReport<'a> {
    /// Records the ready servers. Called before the list is written.
    fn begin(world: &'a World, node: usize, servers: Vec<ListedServer>) -> Self {
        let began_at = world.now();
        for server in servers.iter().filter(|server| server.ready) {
            world
                .oracle()
                .health_delivered(began_at, node, &server.name, true);
        }
        HealthReport {
            world,
            node,
            servers,
            began_at,
        }
    }

    /// Records the other servers and the starts, or, if writing the list failed, that the node was not informed of the ready ones.
    fn end(self, written: bool) {
        let (now, mut oracle) = (self.world.now(), self.world.oracle());
        for server in &self.servers {
            if written && !server.ready {
                oracle.health_delivered(now, self.node, &server.name, false);
            } else if !written && server.ready {
                oracle.ready_not_delivered(self.began_at, self.node, &server.name);
            }
            if let Some(start) = server.start.filter(|_| written) {
                oracle.start_reported(now, self.node, &server.name, start);
            }
        }
    }
}
