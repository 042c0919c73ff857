//! Schedules a node's calls to the platform's discovery so that an entire fleet does not overload it.

mod backoff;
mod call_slots;
mod empty_list;
mod limits;

pub use backoff::{HedgedPolls, PollBackoff};
pub use call_slots::CallSlots;
pub use empty_list::EmptyListProtection;
pub use limits::PollLimits;
