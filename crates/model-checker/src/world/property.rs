//! The properties that have to hold in every state, as listed in `docs/properties.md`.

use std::fmt;

/// A property that the checker verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Property {
    /// A request gets at most one final answer.
    OneAnswer,
    /// A final answer is given no later than the deadline plus the grace period.
    AnsweredInTime,
    /// Every request whose client is waiting is eventually answered.
    Liveness,
    /// The response that is served is a response to this request.
    MatchingResponse,
    /// A request has at most one attempt with bytes written.
    OneAttempt,
    /// Retries do not take effect twice.
    SingleEffect,
    /// A request is rejected only if its client can safely retry it.
    SafeRejection,
    /// Connects and first bytes go only to ready servers.
    ReadyServer,
    /// First bytes go only to the current address of the server.
    CurrentAddress,
    /// First bytes are written only on open connections without unread bytes.
    NoUnreadBytes,
    /// A connection carries one request at a time.
    OneRequestPerConnection,
    /// The policy is notified of the end of each attempt exactly once.
    OneEndPerAttempt,
    /// An attempt with bytes written ends only when its connection is closed or its response is received.
    NoPrematureEnd,
    /// An unbuffered body is sent only once.
    BodySentOnce,
    /// The last part of a body is sent once, after the rest was received.
    CompleteBody,
    /// A streaming response is truncated only by its server or its client.
    NoTruncation,
    /// Connections stay within their limit, and no request or connection remains after termination.
    BoundedResources,
    /// The exchange's tables are consistent with each other.
    ConsistentTables,
}

impl Property {
    /// Returns the name of the property in `docs/properties.md` and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Property::OneAnswer => "one answer",
            Property::AnsweredInTime => "in time",
            Property::Liveness => "liveness",
            Property::MatchingResponse => "own answer",
            Property::OneAttempt => "one attempt",
            Property::SingleEffect => "one effect",
            Property::SafeRejection => "refusal",
            Property::ReadyServer => "drain",
            Property::CurrentAddress => "address",
            Property::NoUnreadBytes => "quiet",
            Property::OneRequestPerConnection => "one owner",
            Property::OneEndPerAttempt => "one end",
            Property::NoPrematureEnd => "honest end",
            Property::BodySentOnce => "kept body",
            Property::CompleteBody => "whole",
            Property::NoTruncation => "uncut",
            Property::BoundedResources => "resources",
            Property::ConsistentTables => "tables",
        }
    }
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PropertyViolation {
    /// Which property was violated.
    pub property: Property,
    /// What happened, for the output.
    pub details: String,
}

impl fmt::Display for PropertyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.property.name(), self.details)
    }
}

impl std::error::Error for PropertyViolation {}

/// Returns a violation of a property as an error.
pub(super) fn violated<T>(
    property: Property,
    details: impl Into<String>,
) -> Result<T, PropertyViolation> {
    Err(PropertyViolation {
        property,
        details: details.into(),
    })
}
