//! Limits of an exchange.

use saffronpaddle_policy::interface::Micros;

/// Limits of an exchange.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections to app servers that may exist at once, including those being made or closed. Without this limit the
    /// process would run out of file descriptors.
    pub max_connections: usize,
    /// Idle connections that are kept for one server.
    pub max_idle_per_server: usize,
    /// How long a connection may stay idle, µs. A request written to a connection that the server is just closing ends
    /// as a reset, after which the request may have run; connections are therefore closed here before the server does.
    pub idle_for: Micros,
    /// How long a connection rests after a response before it is reused, µs. A duplicate of the response that arrives
    /// just after the next request was written would pass for that request's response; during the rest it is seen as
    /// unexpected bytes.
    pub reuse_delay: Micros,
    /// How long a connection may take to come up, µs.
    pub connect_timeout: Micros,
    /// How long after its deadline a request that the policy did not answer is failed here, µs.
    pub answer_grace: Micros,
    /// Attempts of one request. Without this limit a policy could choose an attempt for ever that the guard denies
    /// each time.
    pub max_attempts: u32,
}

/// Idle connections that a node keeps for one server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Share of the server's idle timeout for which a connection is kept: it has to close before the server closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// How long a connection of a node rests after a response, µs.
const REUSE_DELAY: Micros = 10_000;
/// How long after its deadline a node fails a request that the policy did not answer, µs.
const ANSWER_GRACE: Micros = 2_000;
/// Attempts of one request of a node.
const MAX_ATTEMPTS: u32 = 256;

impl Limits {
    /// The limits of a node with at most `max_connections` connections to app servers, which close a connection after
    /// `server_idle_timeout` µs; a connection has to come up within `connect_timeout` µs.
    pub fn for_node(
        max_connections: usize,
        server_idle_timeout: Micros,
        connect_timeout: Micros,
    ) -> Limits {
        Limits {
            max_connections,
            max_idle_per_server: MAX_IDLE_PER_SERVER,
            idle_for: (server_idle_timeout as f64 * IDLE_TIMEOUT_SHARE) as Micros,
            reuse_delay: REUSE_DELAY,
            connect_timeout,
            answer_grace: ANSWER_GRACE,
            max_attempts: MAX_ATTEMPTS,
        }
    }
}
