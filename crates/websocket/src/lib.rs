//! Rules for the WebSocket connections (RFC 6455) that a node proxies.
//!
//! - [`upgrade`] validates upgrade requests and responses.
//! - [`frames`] validates the frames that are forwarded from one side to the other.
//! - [`table`] limits the number of sockets, and decides when each one is pinged and closed.
//!
//! The crate does no I/O and reads no clock. As for any other request, the policy engine decides which server an
//! upgrade is sent to, and whether it is retried or rejected.
//!
//! ```
//! use saffronpaddle_websocket::frames::{Rules, Scanner, Side};
//! let rules = Rules { max_frame_bytes: 1000, max_message_bytes: 2000, deflate: false, utf8: true };
//! let mut scanner = Scanner::new(Side::Server, rules);
//! let hello = [0x81, 2, b'h', b'i'];
//! let (mut out, mut events) = (Vec::new(), Vec::new());
//! assert_eq!(scanner.scan(&hello, &mut out, &mut events), Ok(()));
//! assert_eq!(out, hello);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frames;
pub mod table;
pub mod upgrade;
