//! The state of a downstream connection that eviction depends on.

use crate::time::Time;

/// The state of a downstream connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// When the connection was accepted.
    pub accepted_at: Time,
    /// When the latest byte was received or the latest response was written.
    pub last_active_at: Time,
    /// When the first byte of an incomplete request head was received; `None` between requests.
    pub head_started_at: Option<Time>,
    /// A request is being read or answered on the connection, and not waiting for its client.
    pub busy: bool,
    /// The client has to send more of the body of its request. The time for that is limited elsewhere.
    pub awaits_body: bool,
    /// The client has sent at least one complete request head.
    pub has_requested: bool,
}
