//! What a node decides about WebSocket connections (RFC 6455).
//!
//! - [`upgrade`]: which upgrade requests and responses are valid.
//! - [`frames`]: which frames may pass from one side to the other.
//! - [`table`]: how many sockets there may be, for how long, and when each has to close.
//!
//! The crate does no I/O and reads no clock. The policy engine decides which server an upgrade goes to, and whether it is
//! retried or rejected, as for any request.
//!
//! ```
//! use saffronpaddle_websocket::frames::{Rules, Scanner, Side};
//! let rules = Rules { frame_most: 1000, message_most: 2000, deflate: false, utf8: true };
//! let mut scanner = Scanner::new(Side::Server, rules);
//! let hello = [0x81, 2, b'h', b'i'];
//! let (mut out, mut seen) = (Vec::new(), Vec::new());
//! assert_eq!(scanner.scan(&hello, &mut out, &mut seen), Ok(()));
//! assert_eq!(out, hello);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frames;
pub mod table;
pub mod upgrade;
