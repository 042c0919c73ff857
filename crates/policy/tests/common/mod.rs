//! Shared by the tests of the policy: settings, a node that checks the invariants of requests, and a fleet of such
//! nodes.
// Each test binary uses only a part of these modules.
#![allow(dead_code)]

pub mod fleet;
pub mod observed_request;
pub mod settings;
pub mod test_node;
