//! Eviction of downstream connections when too many are open, and their idle timeouts.
//!
//! Clients send a request as soon as they have connected, though perhaps slowly. The connections of a connection flood
//! send nothing, stop within a request head, or send single bytes. Slow clients differ from a flood only in that they
//! continue to send. So the connections that have been silent longest are evicted first, and a connection whose request
//! is being answered is never evicted. One whose client has stopped in the middle of a request body may be.
//!
//! - [`Limits`] decides when a connection times out, and which connections are evicted.
//! - [`EvictionPressure`] decides how many connections are evicted at once.
//! - [`ReceiveTimeBound`] bounds how long bytes waited in the kernel before the event loop read them.
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
//!     awaits_body: false,
//!     has_requested: false,
//! };
//! let sending = ConnectionState { last_active_at: ms(900), head_started_at: Some(ms(0)), ..silent };
//! let busy = ConnectionState { busy: true, ..silent };
//! let one = EvictionCount { required: 1, allowed: 0 };
//! assert_eq!(Limits::USUAL.choose_evictions(ms(1000), [&busy, &sending, &silent], one), [2]);
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
pub use receive_time_bound::{time_unread, ReceiveTimeBound};
pub use time::Time;
