//! Converts messages of etcd's API into the types of the follower.

use crate::api;
use saffronpaddle_endpoints::{Header, KeyValue, WatchEvent};

/// Converts the header of a response.
pub fn header(header: api::ResponseHeader) -> Header {
    let api::ResponseHeader {
        cluster_id,
        member_id,
        revision,
        raft_term,
    } = header;
    Header {
        cluster_id,
        member_id,
        revision,
        raft_term,
    }
}

/// Converts a key with its value; drops the version and the lease, which the follower does not use.
pub fn key_value(kv: api::KeyValue) -> KeyValue {
    let api::KeyValue {
        key,
        value,
        create_revision,
        mod_revision,
        ..
    } = kv;
    KeyValue {
        key,
        value,
        create_revision,
        mod_revision,
    }
}

/// Converts a watch event. Returns `None` for an event without a key, which etcd does not send.
pub fn watch_event(event: api::Event) -> Option<WatchEvent> {
    let delete = event.r#type == api::EventType::Delete as i32;
    event.kv.map(|kv| WatchEvent {
        delete,
        kv: key_value(kv),
    })
}
