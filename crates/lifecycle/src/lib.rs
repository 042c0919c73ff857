//! The life cycle of an edge node: its state, whether it is ready for requests, and when the process exits.
//!
//! The crate does no I/O and reads no clock. [`Lifecycle::handle`] takes an [`Event`] and the current time, and returns
//! [`Action`]s, which the I/O layer (`saffronpaddle-node`) carries out without further decisions.
//!
//! ```
//! use saffronpaddle_lifecycle::{Action, Event, Lifecycle, Limits, ManagerMessage, State};
//! use std::time::Duration;
//! let longest_deadline = Duration::from_secs(3);
//! let mut lifecycle = Lifecycle::new(Limits::immediate(longest_deadline), Duration::ZERO);
//! let mut actions = Vec::new();
//! lifecycle.handle(Duration::ZERO, Event::Listening, &mut actions);
//! assert_eq!(lifecycle.state(), State::Ready);
//! assert!(actions.contains(&Action::NotifyManager(ManagerMessage::Ready)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod event;
mod limits;
mod machine;
pub mod readiness;
mod shared_listener;
mod shutdown;
mod state;
mod time;

pub use action::{Action, LifecycleEvent, ManagerMessage};
pub use event::Event;
pub use limits::Limits;
pub use machine::Lifecycle;
pub use readiness::{Conditions, HealthSample, Readiness, Reason, Reasons};
pub use shared_listener::{Acceptance, SharedListener};
pub use shutdown::{kill_after, ShutdownPlan, MAX_SCHEDULING_DELAY};
pub use state::State;
pub use time::Time;
