//! Errors because of which the client leaves a member and connects to the next one.

use saffronpaddle_endpoints::LeaveReason;
use std::fmt;
use tonic::Status;

/// The result of an operation at one member.
pub type Result<T> = std::result::Result<T, MemberError>;

/// Why the client leaves a member.
#[derive(Debug)]
pub enum MemberError {
    /// A call failed with this gRPC status.
    Status(Status),
    /// The connection cannot be configured.
    Endpoint(tonic::transport::Error),
    /// The connection failed, for example because it was refused.
    Unreachable,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The authentication token cannot be sent as gRPC metadata.
    InvalidToken,
    /// A call was not answered in time.
    CallTimeout,
    /// A range response has no header.
    RangeWithoutHeader,
    /// The watch was not opened in time.
    WatchTimeout,
    /// A watch response has no header.
    WatchWithoutHeader,
    /// The member closed the watch.
    WatchEnded,
    /// The member cancelled the watch, with this reason.
    WatchCancelled(String),
    /// The watch had to be reopened too often.
    WatchUnstable,
    /// The member has sent nothing for [`Timing::silent_after`](crate::Timing::silent_after).
    Silent,
    /// The member's state is older than the one already known.
    Behind(LeaveReason),
}

impl MemberError {
    /// Whether the complete list must be read again at the next member.
    pub fn requires_reread(&self) -> bool {
        matches!(self, MemberError::WatchUnstable)
    }

    /// Whether the member's state is older than the one already known.
    pub fn is_behind(&self) -> bool {
        matches!(self, MemberError::Behind(_))
    }
}

impl From<Status> for MemberError {
    fn from(status: Status) -> MemberError {
        MemberError::Status(status)
    }
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberError::Status(status) => write!(f, "{:?}: {}", status.code(), status.message()),
            MemberError::Endpoint(error) => write!(f, "{error}"),
            MemberError::Unreachable => f.write_str("the connection to it failed"),
            MemberError::ConnectTimeout => f.write_str("connecting to it timed out"),
            MemberError::InvalidToken => f.write_str("its token cannot be sent as gRPC metadata"),
            MemberError::CallTimeout => f.write_str("a call to it timed out"),
            MemberError::RangeWithoutHeader => f.write_str("its range response has no header"),
            MemberError::WatchTimeout => f.write_str("opening its watch timed out"),
            MemberError::WatchWithoutHeader => f.write_str("its watch response has no header"),
            MemberError::WatchEnded => f.write_str("its watch has ended"),
            MemberError::WatchCancelled(reason) => write!(f, "its watch was cancelled: {reason}"),
            MemberError::WatchUnstable => f.write_str("its watch had to be reopened too often"),
            MemberError::Silent => f.write_str("it was silent for longer than the configured time"),
            MemberError::Behind(reason) => write!(f, "{reason}"),
        }
    }
}

impl std::error::Error for MemberError {}
