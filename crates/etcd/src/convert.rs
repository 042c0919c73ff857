//! Converts messages of etcd's API into the types that the follower takes.

use crate::api;
use saffronpaddle_endpoints::{Header, KeyValue, WatchEvent};

/// A response's header.
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

/// A key and its value.
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

/// An event of a watch; none if it has no key, which etcd never sends.
pub fn watch_event(event: api::Event) -> Option<WatchEvent> {
    let delete = event.r#type == api::EventType::Delete as i32;
    event.kv.map(|kv| WatchEvent {
        delete,
        kv: key_value(kv),
    })
}
