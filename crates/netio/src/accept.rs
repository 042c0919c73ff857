//! Classification of the errors of `accept` (`accept(2)`, "Errors" and "Notes").

use nix::errno::Errno;
use std::io;

/// How a listener has to react to an error of `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection that would have been returned has failed, or a signal interrupted the call. Accept the next one
    /// immediately.
    ConnectionFailed,
    /// This process has reached its limit of file descriptors. One must be closed before the next connection can be
    /// accepted.
    OutOfDescriptors,
    /// The machine temporarily lacks a resource, or the cause is unknown. Accept again after a pause; closing
    /// connections of this process would not help.
    Transient,
}

impl AcceptFailure {
    /// Classifies an error of `accept`. On Linux, these include pending network errors of the new connection.
    pub fn of(error: &io::Error) -> AcceptFailure {
        match error.raw_os_error().map(Errno::from_raw) {
            Some(
                Errno::EINTR
                | Errno::ECONNABORTED
                | Errno::ECONNRESET
                | Errno::EPROTO
                | Errno::EPERM
                | Errno::ENETDOWN
                | Errno::ENOPROTOOPT
                | Errno::EHOSTDOWN
                | Errno::ENONET
                | Errno::EHOSTUNREACH
                | Errno::EOPNOTSUPP
                | Errno::ENETUNREACH
                | Errno::ETIMEDOUT,
            ) => AcceptFailure::ConnectionFailed,
            Some(Errno::EMFILE) => AcceptFailure::OutOfDescriptors,
            _ => AcceptFailure::Transient,
        }
    }
}
