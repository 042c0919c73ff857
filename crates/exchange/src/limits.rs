//! Connection, timeout and attempt limits of an exchange.

use saffronpaddle_policy::interface::Micros;

/// Connection, timeout and attempt limits of an exchange.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of connections to app servers at the same time, including those being opened or closed. Without
    /// this limit the process would run out of file descriptors.
    pub max_connections: usize,
    /// Maximum number of idle connections that are kept per server.
    pub max_idle_per_server: usize,
    /// How long a connection may stay idle, µs. If a request is written to a connection that the server is closing, the
    /// attempt ends with a reset, after which the request may have run. The exchange therefore closes idle connections
    /// before the server does.
    pub idle_timeout: Micros,
    /// How long a connection is not reused after a response, µs. A duplicate of the response that arrives just after
    /// the next request was written would be taken for the response to that request; during this delay it is detected
    /// as unsolicited bytes.
    pub reuse_delay: Micros,
    /// Time from the start of a connect to an app server after which it has failed, µs.
    pub connect_timeout: Micros,
    /// How long after its deadline the exchange fails a request that the policy has not answered, µs.
    pub answer_grace: Micros,
    /// Maximum number of attempts per request. Without this limit a policy could endlessly ask for an attempt that the
    /// guard denies each time.
    pub max_attempts: u32,
}

/// Maximum number of idle connections per server of a node.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Idle timeout of a node as a share of the server's: the node has to close the connection before the server does.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// How long a connection of a node is not reused after a response, µs.
const REUSE_DELAY: Micros = 10_000;
/// How long after its deadline a node fails a request that the policy has not answered, µs.
const ANSWER_GRACE: Micros = 2_000;
/// Maximum number of attempts per request of a node.
const MAX_ATTEMPTS: u32 = 256;

impl Limits {
    /// Returns the limits of a node with at most `max_connections` connections. App servers close idle connections
    /// after `server_idle_timeout` µs, and connects time out after `connect_timeout` µs.
    pub fn for_node(
        max_connections: usize,
        server_idle_timeout: Micros,
        connect_timeout: Micros,
    ) -> Limits {
        Limits {
            max_connections,
            max_idle_per_server: MAX_IDLE_PER_SERVER,
            idle_timeout: (server_idle_timeout as f64 * IDLE_TIMEOUT_SHARE) as Micros,
            reuse_delay: REUSE_DELAY,
            connect_timeout,
            answer_grace: ANSWER_GRACE,
            max_attempts: MAX_ATTEMPTS,
        }
    }
}
