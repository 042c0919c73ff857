//! What the tests of the policy share: settings, a node that checks the rules of requests itself, and a fleet of such nodes.
// Each test file uses a part of it.
#![allow(dead_code)]

pub mod fleet;
pub mod observed_request;
pub mod settings;
pub mod test_node;
