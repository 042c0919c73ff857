//! etcd's v3 API as far as an endpoint list needs it, and a client that survives failures of its cluster.
//!
//! `saffronpaddle-endpoints` decides what a response means: where to resume, and what to do about compaction, lag, and
//! restored or wiped clusters. This crate does the I/O: gRPC over HTTP/2 by `tonic`, with the messages of [`api`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod client;
mod convert;
mod error;
mod member;
mod news;
mod read_time;
mod settings;

pub use client::follow;
pub use news::News;
pub use settings::{Settings, Timing};
