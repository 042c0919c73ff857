//! What a failed system call on a socket means, and what is done about it, for all sockets of a node.
//!
//! - A call that a signal has interrupted (`EINTR`) did nothing, and is made again at once: [`Socket`] for TCP, [`Uninterrupted`] for other streams,
//!   [`retry_interrupted`] for single calls.
//! - `accept` reports errors of the connection that it would have returned, and shortages of this process or of the whole
//!   machine: [`AcceptFailure`].
//! - A shortage that passes by itself keeps no process from starting: [`retry_shortage`].
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
