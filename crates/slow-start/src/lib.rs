//! How much a whole fleet may send to a server that has just started, while nobody knows what the server can do.
//!
//! A request to such a server needs a permit. Permits have two sources, neither of which needs messages between nodes, and
//! can be transferred:
//!
//! - **Time slots.** From the server's start on, time is cut into slots, and each slot belongs to one node, by its number.
//!   The node may send one request in its slot. However many nodes start on their own, the sum is one request a slot.
//! - **Earned permits.** An answer in good time proves what the server can do: it brings its node up to
//!   [`SlowStartLimits::growth`] permits, which expire after [`SlowStartLimits::permit_lifetime`].
//! - **Transferred permits.** A permit that finds no use at its node within [`IDLE_BEFORE_TRANSFER`] goes to another node,
//!   drawn at random: while servers warm up nearly each node has requests queued. The permit leaves its node before the
//!   message does, one that arrives twice counts once and is not transferred again, and one that is lost is a permit less.
//!
//! **The bound.** Let C be what the server can do a second, which does not fall while the server lives. In any span W the
//! fleet sends at most what was earned in W and the permit lifetime before it: growth x C x (W + lifetime), and one request
//! for each slot that W touches. A lost answer or a node that dies takes permits away, and no message can double them.
//! Growth and lifetime are such that the first part is at most [`MAX_OVERLOAD_FRACTION`] of what overloads the server (see
//! `docs/design/cold-start.md`).
//!
//! The crate does no input or output. Time is an argument, in microseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
mod baseline_latency;
mod budget;
mod limits;

pub use attempt::AttemptResult;
pub use baseline_latency::BaselineLatency;
pub use budget::{SlowStartBudget, TransferredPermit, IDLE_BEFORE_TRANSFER};
pub use limits::{SlowStartLimits, MAX_OVERLOAD_FRACTION};

/// A time or a span, in microseconds.
pub type Micros = u64;
