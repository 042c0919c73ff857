//! Limits that an installation sets for sockets.

use saffronpaddle_policy::interface::Micros;

/// Limits on sockets. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of sockets of this node, including pending upgrades. It reserves file descriptors and memory for
    /// requests.
    pub per_node: usize,
    /// Maximum number of sockets of one customer over all of its nodes.
    pub per_customer: u32,
    /// Maximum number of sockets from this node to one server.
    pub per_server: usize,
    /// Maximum number of upgrades per second, which is also the size of a burst. It protects servers when all clients
    /// of another server reconnect at the same time.
    pub opens_per_s: f64,
    /// How long a side may be silent before it is sent a ping.
    pub ping_after: Micros,
    /// How long a side may be silent before the socket is closed. More than `ping_after`.
    pub silent_after: Micros,
    /// How long a socket may be without data in either direction before it is closed; 0 for no limit.
    pub idle_timeout: Micros,
    /// How long a socket may be open before it is closed; 0 for no limit.
    pub max_age: Micros,
    /// Time from the drain of a server to the last byte that may reach it.
    pub drain_within: Micros,
    /// Time limit of a closing handshake for other reasons.
    pub close_within: Micros,
    /// The rate per second at which clients of sockets that are drained together are asked to reconnect.
    pub reconnects_per_s: f64,
    /// Whether drained sockets are closed with 1012 (service restart) instead of 1001 (going away).
    pub restart: bool,
}
