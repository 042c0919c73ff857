//! Test doubles that follow a script step by step: app servers, discovery, clients, and one edge node as a process.
//!
//! They are made for tests and panic on any failure.

mod client;
mod crowd;
mod discovery;
mod message;
mod node;
mod paced_server;
mod servers;

pub use client::{request, Client};
pub use crowd::{Crowd, CrowdCounts, CrowdScript};
pub use discovery::{host_json, list_json, write_chunk, write_list, Discovery};
pub use message::Message;
pub use node::{
    admin_request, free_address, metric_value, program, start, start_expecting_failure, Node,
    TempFile,
};
pub use paced_server::PacedServers;
pub use servers::{
    is_closed, wait_until_closed, ReceivedRequest, Reply, ReplyQueue, Servers, REPLY_ERROR,
    REPLY_OK, REPLY_OVERLOADED,
};

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of every wait; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Starts an edge node and one app server with these replies.
pub fn start_with_one_server(tag: &str, replies: &[Reply]) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", replies);
    let node = Node::start(
        tag,
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    (servers, discovery, node)
}

/// Bytes that the process on the other side of the connection, on this machine, has received and not read yet
/// (`/proc/net/tcp`).
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let own = stream.local_addr().expect("the socket has an address");
    let other = stream.peer_addr().expect("the stream is connected");
    let hex_address = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            format!(
                "{:08X}:{:04X}",
                u32::from_ne_bytes(address.ip().octets()),
                address.port()
            )
        }
        SocketAddr::V6(_) => panic!("tests connect by IPv4"),
    };
    let addresses = (hex_address(other), hex_address(own));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp can be read");
    let row = table.lines().find_map(|row| {
        let mut fields = row.split_whitespace().skip(1);
        let row_addresses = (fields.next()?.to_owned(), fields.next()?.to_owned());
        (row_addresses == addresses).then(|| fields.nth(1).map(str::to_owned))?
    });
    let queues = row.expect("the other side is on this machine");
    let (_, unread) = queues
        .split_once(':')
        .expect("the row has two queue lengths");
    usize::from_str_radix(unread, 16).expect("the queue length is a hexadecimal number")
}

/// Waits until the other side of the connection has at least this many unread bytes.
pub fn wait_for_unread(stream: &TcpStream, bytes: usize) {
    let started = Instant::now();
    while unread_bytes(stream) < bytes {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the other side has fewer than {bytes} unread bytes after {TEST_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}
