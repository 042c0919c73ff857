//! Identifiers that an exchange assigns.

/// Identifies a connection to an app server, from the connect command until it is closed. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies one admission of a request. Clients choose request ids and may reuse them; tickets are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
