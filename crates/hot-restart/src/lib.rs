//! Hot restart: two processes act as one edge node while the second takes over from the first.
//!
//! While a process (the *parent*) serves requests, a second one (the *child*) is started under the same node name.
//! Until the parent has exited, both processes accept requests, and quotas and limits count them as one node. For this,
//! the child restores the parent's state, and from then on each process announces every start and end of an attempt to
//! the other, so that both charge the same token buckets, hard limits, concurrency limits and slow-start budgets.
//!
//! The crate does no I/O and reads no clock. A [`Link`] is the protocol state of the connection to one other process. A
//! [`ProcessGroup`] holds all links of a process, because a third process may be started while two are running.
//! Processes exchange [`Message`]s, one line of JSON each. Builds of different versions can work together: unknown
//! fields are ignored.
//!
//! The states of the two processes can diverge briefly. An attempt is announced when it is sent, and the other process
//! handles the announcement after the transmission over a local socket and one iteration of its event loop. During that
//! time both processes may grant the same last units of a token bucket or hard limit, in practice one attempt each.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod link;
mod message;
mod process_group;

pub use link::{CloseReason, Link, LinkAction, Role};
pub use message::{decode, encode, Hello, Message, TransferredState, MAX_LINE_BYTES, VERSION};
pub use process_group::{LinkId, ProcessGroup};
