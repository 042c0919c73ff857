//! Hot restart: two processes that are one edge node while the second takes over from the first.
//!
//! While a process (the *parent*) serves, a second one (the *child*) is started under the same node name. Until the parent
//! has exited, both accept requests, and quotas and limits count them as one node. To that end the child restores the
//! parent's state, and from then on each process tells the other of every attempt that starts or ends: both charge the
//! same token buckets, hard limits, concurrency limits and slow-start budgets.
//!
//! The crate does no I/O and reads no clock. A [`Link`] is the conversation with one other process; a [`ProcessGroup`] holds
//! all links of a process, as a third process may be started while two run. Processes exchange [`Message`]s, one line of
//! JSON each. Fields and messages that a build does not know are tolerated, so that builds of different age work together.
//!
//! The two processes can differ by what one of them dispatches while a message travels: an attempt is announced when it is
//! sent and received after one way over a local socket and one round of the other's event loop. Within that span both may
//! grant the same last units of a bucket or hard limit, in practice one attempt each.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod link;
mod message;
mod process_group;

pub use link::{CloseReason, Link, LinkAction, Role};
pub use message::{read, write, Hello, Message, TransferredState, MAX_LINE_BYTES, VERSION};
pub use process_group::{LinkId, ProcessGroup};
