//! The attempts that app servers hold, and whether the node has ended one before it began the next.
//!
//! Servers see the end of a connection late where the machine is held up. So when a second attempt of a request arrives,
//! the kernel is asked whether the node has closed the connection of the first by then: a node that ends an attempt
//! before it begins the next has called `close` before the first byte of the next was written.

use crate::{lock, World};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;

/// State of an open connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// The attempts that all servers of a run hold, by request id.
#[derive(Debug, Default)]
pub(crate) struct HeldAttempts(Mutex<HashMap<String, Vec<Arc<Held>>>>);

#[derive(Debug)]
struct Held {
    /// The server's end of the connection.
    connection: OwnedFd,
    /// Addresses of the node's end and of the server's end.
    addresses: (SocketAddr, SocketAddr),
    /// Whether the oracle knows that the attempt has ended.
    ended: AtomicBool,
}

impl Held {
    /// Whether the node has closed the connection.
    fn is_closed_by_node(&self) -> bool {
        let peeked = SockRef::from(&self.connection).peek(&mut [MaybeUninit::uninit()]);
        let has_end = match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        has_end || !is_established(self.addresses)
    }
}

/// Whether one end of a connection, given by its own address and that of the other end, is open. The end of a connection
/// shows here before it has arrived at the other end.
fn is_established((own, other): (SocketAddr, SocketAddr)) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let (own, other) = (table_address(own), table_address(other));
    table.lines().any(|line| {
        let mut columns = line.split_ascii_whitespace().skip(1);
        columns.next() == Some(&own)
            && columns.next() == Some(&other)
            && columns.next() == Some(ESTABLISHED)
    })
}

/// An IPv4 address as `/proc/net/tcp` shows it.
fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        return String::new();
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
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
    /// Records an attempt, and before it the ends of the request's earlier attempts whose connections the node has
    /// closed.
    ///
    /// # Errors
    /// The connection cannot be inspected.
    pub fn begin(
        world: &'a World,
        stream: &TcpStream,
        received: &ReceivedAttempt<'a>,
    ) -> std::io::Result<Attempt<'a>> {
        let held = Arc::new(Held {
            connection: stream.as_fd().try_clone_to_owned()?,
            addresses: (stream.peer_addr()?, stream.local_addr()?),
            ended: AtomicBool::new(false),
        });
        let mut all = lock(&world.held_attempts.0);
        let attempts = all.entry(received.id.to_owned()).or_default();
        for earlier in attempts.iter() {
            if !earlier.ended.load(Ordering::Relaxed) && earlier.is_closed_by_node() {
                cancel(world, received.id, earlier);
            }
        }
        attempts.push(Arc::clone(&held));
        world.oracle().attempt_received(
            world.now(),
            received.first_byte_at,
            received.server,
            received.id,
            received.work,
        );
        Ok(Attempt {
            world,
            id: received.id,
            held,
        })
    }

    /// Records that the server has ended the attempt.
    pub fn finished(&self) {
        let _all = lock(&self.world.held_attempts.0);
        if !self.held.ended.swap(true, Ordering::Relaxed) {
            self.world.oracle().attempt_finished(self.id);
        }
    }

    /// Records that the node has closed the connection.
    pub fn canceled(&self) {
        let _all = lock(&self.world.held_attempts.0);
        cancel(self.world, self.id, &self.held);
    }
}

/// Records that the node has closed the connection of an attempt, unless its end is known. The caller holds the lock of
/// all attempts, so that no other attempt is recorded between the look at the end and the record of it.
fn cancel(world: &World, id: &str, held: &Held) {
    if !held.ended.swap(true, Ordering::Relaxed) {
        world.oracle().attempt_canceled(world.now(), id);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut all = lock(&self.world.held_attempts.0);
        if let Some(attempts) = all.get_mut(self.id) {
            attempts.retain(|held| !Arc::ptr_eq(held, &self.held));
            if attempts.is_empty() {
                all.remove(self.id);
            }
        }
    }
}
