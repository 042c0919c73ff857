//! etcd's v3 API as far as a roster needs it, and a client that survives its cluster.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
