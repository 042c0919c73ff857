//! Which downstream connections are closed when there are too many, or when one is idle for too long.
//!
//! Clients send a request as soon as they have connected, though perhaps slowly. A flood of connections sends nothing,
//! stops within a request head, or sends single bytes. A slow client and a flood differ in one thing only: the slow client
//! goes on sending. So the connections that have been silent longest are closed first, and a connection whose request is
//! being answered is never closed.
//!
//! - [`Limits`] says when a connection times out, and which ones are closed to make room.
//! - [`EvictionPressure`] says how many are closed at once.
//! - [`ReceiveTimeBound`] says how long what the event loop reads may have waited unread.
//!
//! The crate does no I/O and reads no clock.
//!
//! ```
//! use saffronpaddle_connection_eviction::{ConnectionState, EvictionCount, Limits};
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//! let silent = ConnectionState {
//!     accepted_at: ms(0),
//!     last_active_at: ms(0),
//!     head_started_at: None,
//!     busy: false,
//!     has_requested: false,
//! };
//! let writing = ConnectionState { last_active_at: ms(900), head_started_at: Some(ms(0)), ..silent };
//! let busy = ConnectionState { busy: true, ..silent };
//! let one = EvictionCount { required: 1, allowed: 0 };
//! assert_eq!(Limits::USUAL.choose_evictions(ms(1000), [&busy, &writing, &silent], one), [2]);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection;
mod limits;
mod pressure;
mod receive_time_bound;
mod time;

pub use connection::ConnectionState;
pub use limits::Limits;
pub use pressure::{EvictionCount, EvictionPressure};
pub use receive_time_bound::{rested, ReceiveTimeBound};
pub use time::Time;
