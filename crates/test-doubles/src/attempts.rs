//! The attempts that nodes have out, and whether the node has ended one before it began the next.
//!
//! Servers and relays see the end of a connection late where the machine is held up. So when the bytes of a second attempt
//! of a request are read, the kernel is asked whether the node has closed the connection of the first by then: a node that
//! ends an attempt before it begins the next has called `close` before the first byte of the next was written. The bytes
//! are read by the server, or by the relay before it.
//!
//! An end is a call of `close`. A connection that the node has only shut down for writing is open: the node may still read
//! the answer on it.

use crate::kernel_sockets::is_open;
use crate::{lock, World};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;

/// The attempts of a run that have not ended.
#[derive(Debug, Default)]
pub(crate) struct HeldAttempts(Mutex<Tables>);

/// Both tables of [`HeldAttempts`].
#[derive(Debug, Default)]
struct Tables {
    /// By request id.
    by_request: HashMap<String, Vec<Arc<Held>>>,
    /// The last attempt that a relay has read, by the relay's end of its connection to the server and the server's end.
    /// The kernel may give the same address to a node's connection to another server.
    relayed: HashMap<(SocketAddr, SocketAddr), Arc<Held>>,
}

impl Tables {
    /// Records that the bytes of an attempt are read, and before it the ends of the request's earlier attempts whose
    /// connections the node has closed. An earlier one that is open is in flight at the same time.
    fn begin(&mut self, world: &World, id: &str, attempt: &Arc<Held>) {
        let attempts = self.by_request.entry(id.to_owned()).or_default();
        let not_ended = |earlier: &&Arc<Held>| !earlier.ended.load(Ordering::Relaxed);
        for earlier in attempts.iter().filter(not_ended) {
            if earlier.is_closed_by_node() {
                earlier.cancel(world, id);
            } else if attempt.is_closed_by_node() {
                // Which of the two the node has ended first can't be told: a relay that was held up has read this one
                // after its end.
                attempt.cancel(world, id);
            } else {
                let (first, second) = (&earlier.to, &attempt.to);
                let line = format!("{id} at {first} and at {second}");
                world.oracle().attempts_overlapped(id, line);
            }
        }
        attempts.push(Arc::clone(attempt));
    }

    fn remove(&mut self, id: &str, attempt: &Arc<Held>) {
        if let Some(attempts) = self.by_request.get_mut(id) {
            attempts.retain(|held| !Arc::ptr_eq(held, attempt));
            if attempts.is_empty() {
                self.by_request.remove(id);
            }
        }
    }
}

/// One attempt that a node has out.
#[derive(Debug)]
struct Held {
    /// Addresses of the node's end and of the other end of its connection.
    addresses: (SocketAddr, SocketAddr),
    /// Where the connection leads, for reports.
    to: String,
    /// Whether the server has received the attempt.
    received: AtomicBool,
    /// Whether the attempt is known to have ended.
    ended: AtomicBool,
}

impl Held {
    fn new(addresses: (SocketAddr, SocketAddr), to: String) -> Arc<Held> {
        Arc::new(Held {
            addresses,
            to,
            received: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        })
    }

    /// Whether the node has closed the connection.
    fn is_closed_by_node(&self) -> bool {
        let (node_end, other_end) = self.addresses;
        !is_open(node_end, other_end)
    }

    /// Records that the node has closed the connection, unless the end of the attempt is known. The caller holds the lock
    /// of all attempts, so that no other attempt is recorded between the look at the end and the record of it.
    fn cancel(&self, world: &World, id: &str) {
        let is_new = !self.ended.swap(true, Ordering::Relaxed);
        if is_new && self.received.load(Ordering::Relaxed) {
            world.oracle().attempt_canceled(world.now(), id);
        }
    }
}

/// An attempt at a server, until it is dropped.
pub(crate) struct Attempt<'a> {
    world: &'a World,
    id: &'a str,
    held: Arc<Held>,
}

/// What a server knows of an attempt that it has received in full.
pub(crate) struct ReceivedAttempt<'a> {
    pub id: &'a str,
    /// When its first byte was read.
    pub first_byte_at: Duration,
    pub server: &'a str,
    /// Seconds that it takes on a warm server.
    pub work: f64,
}

impl<'a> Attempt<'a> {
    /// Records that a server has received an attempt.
    ///
    /// # Errors
    /// The connection has no addresses.
    pub fn begin(
        world: &'a World,
        stream: &TcpStream,
        received: &ReceivedAttempt<'a>,
    ) -> std::io::Result<Attempt<'a>> {
        let (peer, own) = (stream.peer_addr()?, stream.local_addr()?);
        let mut tables = world.held_attempts.lock();
        let relayed = tables.relayed.get(&(peer, own)).cloned();
        let held = relayed.unwrap_or_else(|| {
            let held = Held::new((peer, own), received.server.to_owned());
            tables.begin(world, received.id, &held);
            held
        });
        let now = world.now();
        let mut oracle = world.oracle();
        let (first, server, work) = (received.first_byte_at, received.server, received.work);
        oracle.attempt_received(now, first, server, received.id, work);
        held.received.store(true, Ordering::Relaxed);
        if held.ended.load(Ordering::Relaxed) {
            // The relay has passed it on after its end.
            oracle.attempt_canceled(now, received.id);
        }
        drop(oracle);
        Ok(Attempt {
            world,
            id: received.id,
            held,
        })
    }

    /// Records that the server has ended the attempt.
    pub fn finished(&self) {
        let _tables = self.world.held_attempts.lock();
        if !self.held.ended.swap(true, Ordering::Relaxed) {
            self.world.oracle().attempt_finished(self.id);
        }
    }

    /// Records that the node has closed the connection.
    pub fn canceled(&self) {
        let _tables = self.world.held_attempts.lock();
        self.held.cancel(self.world, self.id);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut tables = self.world.held_attempts.lock();
        tables.remove(self.id, &self.held);
    }
}

impl HeldAttempts {
    fn lock(&self) -> MutexGuard<'_, Tables> {
        lock(&self.0)
    }
}

/// A connection of a node that a relay passes on to a server: finds the attempts in the bytes that the relay reads.
pub(crate) struct RelayedConnection {
    world: Arc<World>,
    /// Addresses of the node's end and of the relay's.
    addresses: (SocketAddr, SocketAddr),
    /// Addresses of the relay's end and of the server's.
    far_addresses: (SocketAddr, SocketAddr),
    scanner: RequestScanner,
    /// The last attempt, and its request's id.
    last: Option<(String, Arc<Held>)>,
}

impl RelayedConnection {
    /// Observes a connection: the relay's ends towards the node and towards the server.
    ///
    /// # Errors
    /// A connection has no addresses.
    pub fn new(
        world: &Arc<World>,
        near: &TcpStream,
        far: &TcpStream,
    ) -> std::io::Result<RelayedConnection> {
        Ok(RelayedConnection {
            world: Arc::clone(world),
            addresses: (near.peer_addr()?, near.local_addr()?),
            far_addresses: (far.local_addr()?, far.peer_addr()?),
            scanner: RequestScanner::default(),
            last: None,
        })
    }

    /// Records the attempts that begin in bytes from the node, before they are passed on.
    pub fn on_bytes(&mut self, bytes: &[u8]) {
        for id in self.scanner.request_ids(bytes) {
            let (_, server) = self.far_addresses;
            let held = Held::new(self.addresses, format!("{server} by a relay"));
            let mut tables = self.world.held_attempts.lock();
            if let Some((earlier, attempt)) = self.last.take() {
                tables.remove(&earlier, &attempt);
            }
            tables.begin(&self.world, &id, &held);
            tables.relayed.insert(self.far_addresses, Arc::clone(&held));
            self.last = Some((id, held));
        }
    }
}

impl Drop for RelayedConnection {
    fn drop(&mut self) {
        let mut tables = self.world.held_attempts.lock();
        tables.relayed.remove(&self.far_addresses);
        // An attempt that the server holds is removed by the server.
        if let Some((id, attempt)) = self.last.take() {
            if !attempt.received.load(Ordering::Relaxed) {
                tables.remove(&id, &attempt);
            }
        }
    }
}

/// Finds the ids of requests in the bytes that a client sends on a connection.
#[derive(Debug, Default)]
struct RequestScanner {
    /// Bytes of a head that is not complete.
    head: Vec<u8>,
    /// Bytes of the present body that have not been read.
    body_left: usize,
}

impl RequestScanner {
    /// Returns the ids of the requests whose heads end in these bytes.
    fn request_ids(&mut self, mut bytes: &[u8]) -> Vec<String> {
        let mut ids = Vec::new();
        loop {
            let body = self.body_left.min(bytes.len());
            self.body_left -= body;
            bytes = &bytes[body..];
            let from = self.head.len().saturating_sub(3);
            self.head.extend_from_slice(bytes);
            let end = self.head[from..]
                .windows(4)
                .position(|four| four == b"\r\n\r\n");
            let Some(end) = end.map(|end| from + end + 4) else {
                return ids;
            };
            let rest = self.head.split_off(end);
            let head = String::from_utf8_lossy(&self.head).into_owned();
            self.head.clear();
            bytes = &bytes[bytes.len() - rest.len()..];
            self.body_left = header(&head, "content-length").parse().unwrap_or(0);
            ids.push(header(&head, "x-request-id").to_owned());
        }
    }
}

/// Value of a header of a head; empty if there is none.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value.trim())
}

#[cfg(test)]
mod tests;
