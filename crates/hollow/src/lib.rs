//! Hollow nodes: many edge nodes in one process, for measurements of fleets that no machine holds as processes.
//!
//! Danger that it guards against: figures of a model that behaves as one hopes. Of a hollow node the following are the
//! program's own and do what they do in a process: the decision module, with quotas and warm-up in it; the exchange, with the
//! connections that it makes, keeps and closes; the datagrams of peers, on a UDP socket of each node's own; the watch on the
//! list of app servers, on a TCP connection of each node's own, in the platform's protocol; the reader of lists. Its clock is
//! the machine's. What is not there: HTTP on either side, connections to app servers (they come up after a span and carry
//! nothing), app servers (they answer after a span), and clients (tries are drawn). No figure of CPU or memory of a hollow
//! node holds for a process; `docs/scale.md` says which of them stand for what.
//!
//! - [`tenants`]: who the tries are of, and what their quotas are.
//! - [`figures`]: what is counted.
//! - [`audit`]: what a ledger is told of them, and faults between them, where a test asks for it.
//! - [`shard`]: the nodes of one process, and the words by which it is told what to do.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod figures;
mod list;
mod node;
pub mod shard;
pub mod tenants;

pub use list::LIST_MOST;
pub use saffronpaddle_node::endpoints::server_id;
pub use shard::{serve, Spec};
