//! What is known of a downstream connection.

use crate::time::Time;

/// The state of a downstream connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// When it was accepted.
    pub accepted_at: Time,
    /// When its last byte was received, or its last answer was written.
    pub last_active_at: Time,
    /// When the first byte of an incomplete request head was received.
    pub head_started_at: Option<Time>,
    /// A request of it is being read or answered.
    pub busy: bool,
    /// It has sent at least one complete request head.
    pub has_requested: bool,
}
