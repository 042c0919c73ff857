//! Two processes that are one edge node: what they say to each other while the second takes over from the first.
//!
//! While a process (the *elder*) serves, a second one (the *heir*) is started with the same name. Until the elder has
//! gone, both take requests, and for rules and limits they count as one node. So the heir takes over what the elder keeps
//! in mind, and from that moment each tells the other of every attempt that begins and ends: both draw on stores, ceilings,
//! places and cold servers' budgets as if these were one.
//!
//! No input or output, and no clock. [`Link`] is one such conversation, [`ProcessGroup`] all that a process has: a third may be
//! started while two run. What is said are [`Message`]s, a line of JSON each, so that builds of different age understand
//! each other as far as they can.
//!
//! How far the two can differ: an attempt is told when it is sent, and heard one way over a local socket and one round of
//! the other's loop later. Within that span both may grant the same last units; so what they let through beyond a store or
//! a ceiling is at most what one of them lets through in that span, one try each in practice.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod family;
mod link;
mod word;

pub use family::{LinkId, ProcessGroup};
pub use link::{CloseReason, Link, LinkAction, Role};
pub use word::{read, write, Hello, Message, TransferredState, MAX_LINE_BYTES, VERSION};
