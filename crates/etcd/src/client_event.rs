//! Events that the client sends to the code that started it.

use saffronpaddle_endpoints::EndpointUpdate;
use std::time::Instant;

/// Capacity of the channel for [`ClientEvent`], in messages. It bounds memory, because the client does not read from
/// the watch while the channel is full.
pub const MAX_QUEUED_EVENTS: usize = 1024;

/// A change of the endpoint list, a sign that it is up to date, or a line for the log.
#[derive(Debug)]
pub enum ClientEvent {
    /// The endpoint list has changed.
    Changed {
        /// The endpoints that differ, or the complete list if it is a snapshot.
        change: EndpointUpdate,
        /// When the first byte of the change was read from the socket.
        read_at: Instant,
    },
    /// A member has sent a response without a change, so the list is up to date.
    Alive,
    /// A line for the log.
    Log(String),
}
