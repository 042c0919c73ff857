//! Updates of the endpoint list.

use crate::record::EndpointRecord;
use crate::time::Time;

/// A set of changes to the endpoint list. It contains each host at most once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The servers that changed, including those that were removed.
    pub endpoints: Vec<EndpointRecord>,
    /// When the first byte of the update was read from the socket.
    pub received_at: Time,
    /// Whether this is the first complete list of its source, so that the source lists no other servers.
    pub snapshot: bool,
}

impl EndpointUpdate {
    /// Whether the update has an effect: it changes a server, or it is a snapshot and so rules out other servers.
    pub fn is_relevant(&self) -> bool {
        self.snapshot || !self.endpoints.is_empty()
    }
}
