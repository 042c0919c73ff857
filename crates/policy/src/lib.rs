//! The policy of an edge node that holds customers to their quotas before a shared back end: events in, actions out. It
//! does no input or output, and time is an argument, so that every run can be repeated.
//!
//! [`PolicyEngine::handle`] takes an [`Event`](interface::Event) and adds [`Action`](interface::Action)s. The path of a
//! request through the rules:
//!
//! 1. `admission` decides whether it is admitted: by its customer's token bucket (`token_bucket`), by an owner of its
//!    quota (`grants`, `shard_owners`), or not at all (`load_shedding`).
//! 2. `dispatch` sends queued requests, the most valuable first, while there is capacity (`concurrency_limit`,
//!    `server_selection`, `slow_start`).
//! 3. `attempt_results` takes the end of each attempt: it learns from it (`outlier_ejection`) and decides on a retry
//!    (`idempotency`, `retry_budget`).
//! 4. `timer` ends requests whose time is over, calls off stalled attempts (`stalled_attempts`) and runs the periodic
//!    work (`controller_period`).
//!
//! What nodes tell each other is in `peer_message` (layout), `peers` (usage reports) and `gossip` (observations); what two
//! processes of one node tell each other in `siblings` and [`snapshot`].
#![forbid(unsafe_code)]

mod admission;
mod attempt_results;
pub mod concurrency_limit;
mod controller_period;
pub mod counters;
mod decaying_mean;
mod dispatch;
mod endpoint_table;
mod engine;
mod gossip;
mod gossip_average;
mod grants;
pub mod idempotency;
pub mod interface;
mod load_shedding;
mod load_statistics;
mod message_budget;
mod outlier_ejection;
mod peer_message;
mod peers;
mod request;
mod retransmission_timeout;
mod retry_budget;
mod serde_map_as_pairs;
mod serde_optional_budget;
mod server;
mod server_selection;
pub mod setup;
mod shard_owners;
mod siblings;
mod slow_start;
pub mod snapshot;
mod stalled_attempts;
mod state;
mod statistics;
mod streaming;
mod timer;
mod token_bucket;
mod utilization;

pub use engine::PolicyEngine;
pub use snapshot::StateSnapshot;
