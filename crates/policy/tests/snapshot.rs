//! Restoring state that an earlier build has written.

mod common;

use common::settings::settings;
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};

/// A node is upgraded in place from a build that stored its owned shards as token buckets. These cannot be read as
/// shards, but the rest of the state must still be restored.
#[test]
fn state_of_an_earlier_build_is_restored_without_its_owned_shards() {
    let bucket = r#"{"plan":0,"first":0,"spread":60.0,"depth":4.0,"level":2.0,"home":true,"granted":[],"chance":1.0}"#;
    let json = format!(r#"{{"born":1000000,"stores":[[7,{bucket}]],"homes":[[7,{bucket}]]}}"#);
    let state: StateSnapshot = serde_json::from_str(&json).expect("the JSON is a snapshot");
    assert_eq!((state.size().customers, state.size().servers), (1, 0));
    let mut engine =
        PolicyEngine::new(1, settings(0, 300), 2 * SECOND).expect("the settings are valid");
    engine.restore(state, 0);
    assert_eq!(
        engine.tracked_entries(),
        1,
        "the customer's bucket but no shard"
    );
}
