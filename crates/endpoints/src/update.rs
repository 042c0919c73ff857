//! Changes of the list.

use crate::record::EndpointRecord;
use crate::time::Time;

/// A change of the list. Each host is in it at most once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The servers that changed, those that were removed among them.
    pub endpoints: Vec<EndpointRecord>,
    /// When the first byte of the change was read from the socket.
    pub received_at: Time,
    /// Whether this is the first complete list of its source: the source knows no other servers.
    pub snapshot: bool,
}

impl EndpointUpdate {
    /// Whether it changes anything: a server, or, as a snapshot, that there are no others.
    pub fn is_relevant(&self) -> bool {
        self.snapshot || !self.endpoints.is_empty()
    }
}
