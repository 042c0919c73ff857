//! An etcd v3 client that follows an endpoint list across failures of cluster members.
//!
//! `saffronpaddle-endpoints` interprets the responses: from which revision to resume, and how to handle compaction,
//! lagging members, and restored or wiped clusters. This crate does the I/O: gRPC over HTTP/2 with `tonic`, using the
//! messages of [`api`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod client;
mod client_event;
mod convert;
mod error;
mod member;
mod read_time;
mod settings;

pub use client::follow;
pub use client_event::ClientEvent;
pub use settings::{Settings, Timing};
