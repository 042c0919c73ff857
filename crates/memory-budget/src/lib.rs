//! One budget in bytes for all that a process holds for its clients and servers.
//!
//! Each client is bounded, but not the sum over hundreds of them. So whoever holds bytes draws them from
//! [`MemoryBudget`] first, and releases them when it lets go. Each [`Holder`] may fill the budget up to its own mark
//! only. The marks are the order in which holders are restricted when memory runs short: what only makes
//! a node faster first, then what is cheapest to lose, and requests that the node has accepted never.
//!
//! What a holder does that may not draw is its own part: it reads less, waits, or rejects.
//!
//! The crate does no I/O and reads no clock.
//!
//! ```
//! use saffronpaddle_memory_budget::{Holder, MemoryBudget};
//! let mut budget = MemoryBudget::new(64 << 20);
//! let capacity = budget.capacity();
//! assert!(budget.try_draw(Holder::RequestBody, capacity / 5 * 2));
//! // Buffers that only make the node faster may not have what others need.
//! assert!(!budget.try_draw(Holder::ReadAhead, 1));
//! assert!(budget.try_draw(Holder::Request, 1));
//! budget.release(Holder::RequestBody, capacity / 5 * 2);
//! assert!(budget.try_draw(Holder::ReadAhead, 1));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod holder;

pub use budget::MemoryBudget;
pub use holder::Holder;
