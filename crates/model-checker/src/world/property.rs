//! The properties that hold in every state, by their names in `docs/properties.md`.

use std::fmt;

/// A property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Property {
    /// A request gets at most one final answer.
    OneAnswer,
    /// A final answer comes no later than the deadline and the grace after it.
    InTime,
    /// Every request whose client waits is answered.
    Liveness,
    /// What is served is the response to this request.
    OwnAnswer,
    /// A request has at most one attempt with bytes written.
    OneAttempt,
    /// A retry takes no effect a second time.
    OneEffect,
    /// A request is rejected only where a retry by its client is harmless.
    Refusal,
    /// No connect and no first byte to a server that is not ready.
    Drain,
    /// No first byte to an address that the server has left.
    Address,
    /// No first byte on a connection with unread bytes, or that has ended.
    Quiet,
    /// A connection carries one request at a time.
    OneOwner,
    /// The policy is told one end of each attempt.
    OneEnd,
    /// An attempt with bytes written ends only with its connection or its response.
    HonestEnd,
    /// A body that is not buffered is sent once.
    KeptBody,
    /// The last piece of a body is sent once, after the rest.
    CompleteBody,
    /// A streaming response is cut only by its server or its client.
    Uncut,
    /// Connections stay within their limit, and nothing is kept when all is over.
    Resources,
    /// The exchange's tables agree.
    Tables,
}

impl Property {
    /// Its name in `docs/properties.md`.
    pub fn name(self) -> &'static str {
        match self {
            Property::OneAnswer => "one answer",
            Property::InTime => "in time",
            Property::Liveness => "liveness",
            Property::OwnAnswer => "own answer",
            Property::OneAttempt => "one attempt",
            Property::OneEffect => "one effect",
            Property::Refusal => "refusal",
            Property::Drain => "drain",
            Property::Address => "address",
            Property::Quiet => "quiet",
            Property::OneOwner => "one owner",
            Property::OneEnd => "one end",
            Property::HonestEnd => "honest end",
            Property::KeptBody => "kept body",
            Property::CompleteBody => "whole",
            Property::Uncut => "uncut",
            Property::Resources => "resources",
            Property::Tables => "tables",
        }
    }
}

/// A property that does not hold, and how that showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PropertyViolation {
    /// The property.
    pub property: Property,
    /// How it showed.
    pub details: String,
}

impl fmt::Display for PropertyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.property.name(), self.details)
    }
}

impl std::error::Error for PropertyViolation {}

/// Reports that a property does not hold.
pub(super) fn violated<T>(
    property: Property,
    details: impl Into<String>,
) -> Result<T, PropertyViolation> {
    Err(PropertyViolation {
        property,
        details: details.into(),
    })
}
