//! Why the client leaves a member of the cluster for the next one.

use saffronpaddle_endpoints::LeaveReason;
use std::fmt;
use tonic::Status;

/// A result of a call to one member.
pub type Result<T> = std::result::Result<T, MemberError>;

/// Why a member is left.
#[derive(Debug)]
pub enum MemberError {
    /// A call failed.
    Status(Status),
    /// The connection can't be configured.
    Endpoint(tonic::transport::Error),
    /// The member refuses connections.
    Unreachable,
    /// No connection came up in time.
    ConnectTimeout,
    /// The token of the authentication can't be sent as metadata.
    InvalidToken,
    /// A call was not answered in time.
    CallTimeout,
    /// A response to a range request has no header.
    RangeWithoutHeader,
    /// The watch was not opened in time.
    WatchTimeout,
    /// A response on a watch has no header.
    WatchWithoutHeader,
    /// The member closed the watch.
    WatchEnded,
    /// The member cancelled the watch for the reason that it gives.
    WatchCancelled(String),
    /// The watch had to be opened again too often.
    WatchUnstable,
    /// The member has sent nothing for too long.
    Silent,
    /// The member's state is older than what is already known.
    Behind(LeaveReason),
}

impl MemberError {
    /// Whether the complete list must be read again at the next member.
    pub fn requires_reread(&self) -> bool {
        matches!(self, MemberError::WatchUnstable)
    }

    /// Whether the member's state is older than what is already known.
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
            MemberError::Unreachable => f.write_str("it can't be reached"),
            MemberError::ConnectTimeout => f.write_str("its connection does not come up"),
            MemberError::InvalidToken => f.write_str("its token is no text"),
            MemberError::CallTimeout => f.write_str("it does not answer"),
            MemberError::RangeWithoutHeader => f.write_str("a range without a header"),
            MemberError::WatchTimeout => f.write_str("its watch does not open"),
            MemberError::WatchWithoutHeader => f.write_str("a watch without a header"),
            MemberError::WatchEnded => f.write_str("its watch has ended"),
            MemberError::WatchCancelled(reason) => write!(f, "its watch was cancelled: {reason}"),
            MemberError::WatchUnstable => f.write_str("its watch does not stand"),
            MemberError::Silent => f.write_str("it is silent"),
            MemberError::Behind(reason) => write!(f, "{reason}"),
        }
    }
}

impl std::error::Error for MemberError {}
