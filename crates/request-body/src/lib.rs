//! The state of a request body on its way from a client to a server.
//!
//! A body that is too large to be buffered is streamed: its client sends it while a server receives it. One owner,
//! [`RequestBody`], knows what was received and what an attempt has taken, so that an attempt either gets the body from
//! its first byte or fails.
//!
//! - [`PieceQueue`] stores bytes in pieces of one size, however small the chunks are in which they arrive.
//! - [`RequestBody`] is the body of one request and its attempts.
//! - [`ClientProgress`] distinguishes a client that sends slowly from one that has stopped.
//! - [`ClientWait`] bounds when the client wrote the last byte, which its deadline counts from.
//!
//! The crate does no I/O and reads no clock.
//!
//! ```
//! use saffronpaddle_request_body::{Next, RequestBody, PIECE_BYTES};
//! let start = Next::Piece(vec![b'a'; PIECE_BYTES].into());
//! let mut body = RequestBody::default();
//! body.push(&[b'a'; PIECE_BYTES]);
//! body.push(b"end");
//! body.complete();
//! let first = body.start_attempt();
//! assert_eq!(body.next(first), start);
//! // The first attempt has written nothing yet, so another one gets all of the body.
//! let second = body.start_attempt();
//! assert_eq!(body.next(second), start);
//! body.commit(second);
//! assert_eq!(body.next(second), Next::AwaitsRelease);
//! body.release(second);
//! assert_eq!(body.next(second), Next::Piece("end".into()));
//! assert_eq!(body.next(second), Next::End);
//! assert_eq!(body.next(first), Next::Failed);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod client_progress;
mod client_wait;
mod piece_queue;

pub use body::{AttemptNumber, Next, RequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
pub use client_progress::{ClientProgress, MAX_SILENCE, MIN_BYTES_PER_SECOND};
pub use client_wait::{ClientWait, MAX_CLIENT_LEAD_BYTES};
pub use piece_queue::{PieceQueue, PIECE_BYTES};

/// A point in time: the duration since an arbitrary but fixed origin of a monotonic clock.
pub type Time = std::time::Duration;
