//! What the client reports to its user.

use saffronpaddle_endpoints::EndpointUpdate;
use std::time::Instant;

/// Capacity of the channel that carries [`News`], in messages. It bounds memory: the watch is not read while it is full.
pub const NEWS_MOST: usize = 1024;

/// What the client reports.
#[derive(Debug)]
pub enum News {
    /// The endpoint list has changed.
    Changed {
        /// What has changed.
        change: EndpointUpdate,
        /// When the first byte of it was read off the socket.
        read: Instant,
    },
    /// A member has sent something else than a change, so the list is current.
    Alive,
    /// A line for the log.
    Log(String),
}
