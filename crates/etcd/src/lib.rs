//! etcd's v3 API as far as a roster needs it, and a client that survives its cluster.
//!
//! What is decided (resuming, compaction, lag, restored and wiped clusters) stands in `saffronpaddle-endpoints`; here is
//! the input and output: gRPC over HTTP/2 by `tonic`, with [`api`]'s messages.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod client;
mod stamped;

pub use client::{follow, News, Settings, Timing};
