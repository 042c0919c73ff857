//! Classification and retries of failed system calls on sockets.
//!
//! - A call that a signal has interrupted (`EINTR`) had no effect and is retried immediately: by [`Socket`] for TCP, by
//!   [`Uninterrupted`] for other streams, by [`retry_interrupted`] for single calls.
//! - [`AcceptFailure`] says whether `accept` failed because of the connection that it would have returned, or because
//!   this process or the machine has run out of a resource.
//! - [`timeout_at`], [`timeout()`] and [`SilenceTimer`] read what the kernel holds before a peer counts as silent.
//! - [`retry_shortage`] retries a call during the start of the process while the machine lacks a resource.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept;
mod shortage;
mod socket;
mod timeout;
mod uninterrupted;

pub use accept::AcceptFailure;
pub use shortage::{is_local_failure, is_shortage, retry_shortage};
pub use socket::{has_no_unread_bytes, is_read_closed, peek, unread_bytes, Socket};
pub use timeout::{read_received, timeout, timeout_at, Elapsed, SilenceTimer};
pub use uninterrupted::{retry_interrupted, Uninterrupted};
