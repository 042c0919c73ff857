//! Messages from the client to its owner.

use saffronpaddle_endpoints::EndpointUpdate;
use std::time::Instant;

/// Capacity of the channel for [`ClientEvent`], in messages. It bounds memory, because the client does not read from the watch
/// while the channel is full.
pub const MAX_QUEUED_EVENTS: usize = 1024;

/// A message from the client.
#[derive(Debug)]
pub enum ClientEvent {
    /// The endpoint list has changed.
    Changed {
        /// The changes.
        change: EndpointUpdate,
        /// When the first byte of the change was read from the socket.
        read: Instant,
    },
    /// A member has sent a response without a change, so the list is up to date.
    Alive,
    /// A line for the log.
    Log(String),
}
