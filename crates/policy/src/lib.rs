//! Policy engine of a gateway node that enforces customers' quotas in front of a shared back end. The engine turns
//! events into actions. It performs no I/O and gets the time as an argument, so that every run is reproducible.
//!
//! [`PolicyEngine::handle`] processes an [`Event`](interface::Event) and appends [`Action`](interface::Action)s. A
//! request passes through these modules:
//!
//! 1. `admission` decides whether the request is admitted: by its customer's token bucket (`token_bucket`) or by an
//!    owner of the quota (`grants`, `shard_owners`), unless it is shed (`load_shedding`).
//! 2. `dispatch` sends queued requests in descending order of value while there is capacity (`concurrency_limit`,
//!    `server_selection`, `slow_start`).
//! 3. `attempt_results` handles the end of each attempt: it updates the statistics (`outlier_ejection`) and decides on
//!    a retry (`idempotency`, `retry_budget`).
//! 4. `timer` ends overdue requests, cancels stalled attempts (`stalled_attempts`) and runs the periodic work
//!    (`controller_period`).
//!
//! Requests and responses that are relayed as they arrive are in `streaming`. Messages between nodes are in
//! `peer_message` (layout), `peers` (usage reports) and `gossip` (observations). Messages between the processes of one
//! node are in `siblings` and [`snapshot`]. [`setup`] parses the settings, and [`counters`] counts the decisions.
#![forbid(unsafe_code)]

mod admission;
mod attempt_results;
mod capacity_growth;
mod capacity_history;
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
