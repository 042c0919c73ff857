//! Messages of etcd's v3 API (`etcdserverpb`, `mvccpb`), with the tags of its published definitions. Only the messages
//! and fields that the client and the test double need are declared; other fields are skipped when decoding.
#![allow(missing_docs)] // The published definitions document the messages and fields under the same names.

use prost::{Enumeration, Message, Oneof};

#[derive(Clone, Copy, PartialEq, Message)]
pub struct ResponseHeader {
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    #[prost(int64, tag = "3")]
    pub revision: i64,
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    #[prost(int64, tag = "4")]
    pub version: i64,
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum EventType {
    Put = 0,
    Delete = 1,
}

#[derive(Clone, PartialEq, Message)]
pub struct Event {
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub limit: i64,
    #[prost(int64, tag = "4")]
    pub revision: i64,
    #[prost(int32, tag = "5")]
    pub sort_order: i32,
    #[prost(int32, tag = "6")]
    pub sort_target: i32,
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    #[prost(bool, tag = "3")]
    pub more: bool,
    #[prost(int64, tag = "4")]
    pub count: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub lease: i64,
    #[prost(bool, tag = "4")]
    pub prev_kv: bool,
    #[prost(bool, tag = "5")]
    pub ignore_value: bool,
    #[prost(bool, tag = "6")]
    pub ignore_lease: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct PutResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, optional, tag = "2")]
    pub prev_kv: Option<KeyValue>,
}

#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(bool, tag = "3")]
    pub prev_kv: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub deleted: i64,
    #[prost(message, repeated, tag = "3")]
    pub prev_kvs: Vec<KeyValue>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    #[prost(oneof = "request_op::Request", tags = "1, 2, 3")]
    pub request: Option<request_op::Request>,
}

pub mod request_op {
    use super::Oneof;

    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        #[prost(message, tag = "1")]
        Range(super::RangeRequest),
        #[prost(message, tag = "2")]
        Put(super::PutRequest),
        #[prost(message, tag = "3")]
        Delete(super::DeleteRangeRequest),
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    #[prost(oneof = "response_op::Response", tags = "1, 2, 3")]
    pub response: Option<response_op::Response>,
}

pub mod response_op {
    use super::Oneof;

    #[derive(Clone, PartialEq, Oneof)]
    pub enum Response {
        #[prost(message, tag = "1")]
        Range(super::RangeResponse),
        #[prost(message, tag = "2")]
        Put(super::PutResponse),
        #[prost(message, tag = "3")]
        Delete(super::DeleteRangeResponse),
    }
}

/// A transaction. The test double implements no comparisons, so there only transactions without comparisons succeed.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub compare: Vec<Vec<u8>>,
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

#[derive(Clone, PartialEq, Message)]
pub struct CompactionRequest {
    #[prost(int64, tag = "1")]
    pub revision: i64,
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct CompactionResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    #[prost(oneof = "watch_request::Request", tags = "1, 2, 3")]
    pub request: Option<watch_request::Request>,
}

pub mod watch_request {
    use super::Oneof;

    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        #[prost(message, tag = "1")]
        Create(super::WatchCreateRequest),
        #[prost(message, tag = "2")]
        Cancel(super::WatchCancelRequest),
        #[prost(message, tag = "3")]
        Progress(super::WatchProgressRequest),
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Event types that are not sent. 0: puts, 1: deletes.
    #[prost(int32, repeated, tag = "5")]
    pub filters: Vec<i32>,
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct WatchCancelRequest {
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct WatchProgressRequest {}

#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    #[prost(bool, tag = "3")]
    pub created: bool,
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseGrantRequest {
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    #[prost(int64, tag = "2")]
    pub id: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    #[prost(string, tag = "4")]
    pub error: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseRevokeRequest {
    #[prost(int64, tag = "1")]
    pub id: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct LeaseRevokeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseKeepAliveRequest {
    #[prost(int64, tag = "1")]
    pub id: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct LeaseKeepAliveResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseTimeToLiveRequest {
    #[prost(int64, tag = "1")]
    pub id: i64,
    #[prost(bool, tag = "2")]
    pub keys: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct LeaseTimeToLiveResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    #[prost(int64, tag = "4")]
    pub granted_ttl: i64,
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub keys: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateRequest {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub password: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct AuthenticateResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(string, tag = "2")]
    pub token: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatusRequest {}

#[derive(Clone, PartialEq, Message)]
pub struct StatusResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(string, tag = "2")]
    pub version: String,
    #[prost(int64, tag = "3")]
    pub db_size: i64,
    #[prost(uint64, tag = "4")]
    pub leader: u64,
    #[prost(uint64, tag = "5")]
    pub raft_index: u64,
    #[prost(uint64, tag = "6")]
    pub raft_term: u64,
}

/// Returns the end of the range of all keys that begin with a prefix (etcd's API guide, "Key ranges"): the last byte
/// below 0xff is incremented and the bytes after it are removed.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // All bytes are 0xff. etcd interprets an end of one zero byte as the end of the key space.
    vec![0]
}

/// Paths of the gRPC methods.
pub mod path {
    /// Reads keys.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// Writes a key.
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Deletes keys.
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Runs a transaction.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// Compacts the history up to a given revision.
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Streams the changes of keys.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    /// Creates a lease.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// Ends a lease and deletes its keys.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// Renews a lease.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
    /// Reads a lease's remaining time.
    pub const LEASE_TIME_TO_LIVE: &str = "/etcdserverpb.Lease/LeaseTimeToLive";
    /// Exchanges a name and a password for a token.
    pub const AUTHENTICATE: &str = "/etcdserverpb.Auth/Authenticate";
    /// Reads the status of a member.
    pub const STATUS: &str = "/etcdserverpb.Maintenance/Status";
}

#[cfg(test)]
mod tests;
