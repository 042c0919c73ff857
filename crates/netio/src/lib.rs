//! What a failed system call on a socket means, and how it is retried, for all sockets of a node.
//!
//! - A call that a signal has interrupted (`EINTR`) did nothing and is retried at once: by [`Socket`] for TCP, by
//!   [`Uninterrupted`] for other streams, by [`retry_interrupted`] for single calls.
//! - `accept` fails for the connection that it would have returned, or for a shortage of this process or of the whole
//!   machine: [`AcceptFailure`].
//! - A call that fails for a shortage while the process starts is retried for some time: [`retry_shortage`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept;
mod shortage;
mod socket;
mod uninterrupted;

pub use accept::AcceptFailure;
pub use shortage::{is_local_failure, is_shortage, retry_shortage};
pub use socket::{has_ended, is_quiet, Socket};
pub use uninterrupted::{retry_interrupted, Uninterrupted};
