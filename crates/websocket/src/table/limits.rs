//! What an installation sets for sockets.

use saffronpaddle_policy::interface::Micros;

/// Limits of sockets. Spans are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Sockets of this node, pending upgrades among them. It keeps file descriptors and memory for requests.
    pub per_node: usize,
    /// Sockets of one customer, over all of its nodes together.
    pub per_customer: u32,
    /// Sockets of this node to one server.
    pub per_server: usize,
    /// Upgrades that are admitted per second, and at once. It protects servers when all clients of another server come
    /// back together.
    pub opens_per_s: f64,
    /// A side that has been silent for this long is sent a ping.
    pub ping_after: Micros,
    /// A side that has been silent for this long counts as gone. More than `ping_after`.
    pub silent_after: Micros,
    /// A socket without data either way for this long is closed; 0: never.
    pub idle_for: Micros,
    /// A socket that has been open for this long is closed; 0: never.
    pub life_for: Micros,
    /// From the time at which a server drains to the last byte that may reach it.
    pub drain_within: Micros,
    /// How long a closing handshake may take otherwise.
    pub close_within: Micros,
    /// Clients of sockets that close together are told to come back at this rate per second.
    pub back_per_s: f64,
    /// Whether a drain closes with 1012 (service restart) instead of 1001 (going away).
    pub restart: bool,
}
