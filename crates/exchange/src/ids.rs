//! Identifiers that an exchange gives out.

/// A connection to an app server, from the command to connect until it is closed. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// One admission of a request. Clients choose request ids and may reuse them; tickets are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
