//! Slow start for an entire fleet: limits the requests that all nodes together send to a server that has just started
//! and whose capacity is not yet known.
//!
//! A request to such a server needs a permit. Permits have two sources, neither of which needs messages between nodes,
//! and can be transferred:
//!
//! - **Time slots.** From the server's start on, time is divided into slots, and each slot belongs to one node by its
//!   number. The node may send one request in its slot. The fleet therefore sends at most one such request per slot,
//!   regardless of the number of nodes.
//! - **Earned permits.** A fast response shows that the server has capacity. It earns its node up to
//!   [`SlowStartLimits::growth`] permits, which expire after [`SlowStartLimits::permit_lifetime`].
//! - **Transferred permits.** A permit that is unused for [`IDLE_BEFORE_TRANSFER`] is sent to a node drawn at random:
//!   while servers warm up, nearly every node has queued requests. The sender removes the permit before it sends the
//!   message. A duplicated transfer counts once, a received permit is not transferred again, and a lost transfer is a
//!   lost permit.
//!
//! **The bound.** Let C be the server's capacity in requests per second, which does not decrease while the server runs.
//! In any time span W the fleet sends at most growth x C x (W + lifetime) requests, earned in W and in the permit
//! lifetime before it, plus one request for each slot that overlaps W. Lost responses and failed nodes only remove
//! permits, and no message can duplicate them. Growth and lifetime are set so that the first part is at most
//! [`MAX_OVERLOAD_FRACTION`] of the load that overloads the server (see `docs/design/cold-start.md`).
//!
//! The crate performs no I/O. The caller passes the current time, in microseconds.
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

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
