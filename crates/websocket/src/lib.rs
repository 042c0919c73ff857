//! What a WebSocket front (RFC 6455) decides, without input or output and with time as an argument: which upgrades are
//! good ([`upgrade`]), what may pass from one side to the other ([`frames`]), and how many sockets there may be, how long,
//! and when each has to close ([`table`]).
//!
//! Which server an upgrade goes to, whether it is tried again or refused is the decision module's matter, as for any
//! request.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frames;
pub mod table;
pub mod upgrade;
