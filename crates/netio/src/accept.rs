//! What a failed `accept` means (`accept(2)`, "Errors" and "Notes").

use nix::errno::Errno;
use std::io;

/// What a failed `accept` means for the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection that would have been returned is gone, or the call was interrupted: the next one is accepted at
    /// once.
    OfOneConnection,
    /// This process has as many descriptors as it may have: one has to be closed first.
    NoDescriptor,
    /// The machine lacks something for a moment, or the cause is not known: the call is made again after a pause. Closing
    /// connections of this process would not help.
    Passing,
}

impl AcceptFailure {
    /// What an error of `accept` means. Linux hands pending errors of the network on to `accept`; they are those of the
    /// connection.
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
