//! Hollow nodes: many edge nodes in one process, for measurements of fleets that are too large to run as processes on
//! one machine.
//!
//! A hollow node runs the code of the program rather than a model of it: the policy engine with quotas and slow
//! start; the exchange with the connections that it opens, keeps and closes; the datagrams between peers, on a UDP
//! socket for each node; the watch on the list of app servers in the platform's protocol, on a TCP connection for
//! each node; and the parser of the lists. It uses the machine's clock. The rest is simulated: there is no HTTP on
//! either side, connections to app servers open after a fixed delay and carry no data, app servers answer after a
//! random delay, and clients' requests are random. CPU and memory of a hollow node are not those of a process;
//! `docs/scale.md` defines each figure.
//!
//! - [`tenants`]: the customers that send requests, and their quotas.
//! - [`figures`]: counters and histograms.
//! - [`audit`]: events for a test's oracle, and injected faults.
//! - [`shard`]: the nodes of one process, and the commands that control it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod figures;
mod list;
mod node;
pub mod shard;
pub mod tenants;

pub use list::MAX_LIST_BYTES;
pub use saffronpaddle_node::endpoints::server_id;
pub use shard::{serve, Spec};
