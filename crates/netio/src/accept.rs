//! What an error of `accept` means (`accept(2)`, "Errors" and "Notes").

use nix::errno::Errno;
use std::io;

/// What an error of `accept` means for the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection that would have been returned has failed, or the call was interrupted: accept the next one at once.
    OfOneConnection,
    /// This process has no file descriptor left: one has to be closed first.
    NoDescriptor,
    /// The machine lacks a resource for a moment, or the cause is not known: accept again after a pause. Closing
    /// connections of this process would not help.
    Passing,
}

impl AcceptFailure {
    /// Classifies an error of `accept`. Linux returns pending network errors of the new connection from `accept`.
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
            ) => AcceptFailure::OfOneConnection,
            Some(Errno::EMFILE) => AcceptFailure::NoDescriptor,
            _ => AcceptFailure::Passing,
        }
    }
}
