//! Test double of an etcd cluster, written from the public v3 API: one MVCC store with revisions, compaction, leases
//! and watches, served by several members, each of which may lag, hang, cut its connections or refuse them.
//!
//! It has no Raft: all members serve one store, and a member that lags shows an older revision of it. It supports
//! only transactions without comparisons.

use crate::lock;
use http::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use saffronpaddle_etcd::api::{self, path, Event, EventType, KeyValue, ResponseHeader};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tonic::body::Body;
use tonic::codegen::tokio_stream::wrappers::ReceiverStream;
use tonic::server::{Grpc, StreamingService, UnaryService};
use tonic::{Code, Status, Streaming};
use tonic_prost::ProstCodec;

/// Interval of checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Responses queued for a slow reader of a watch.
const MAX_QUEUED_RESPONSES: usize = 16;

/// A lease with the keys that are put under it.
#[derive(Clone, Debug)]
struct Lease {
    /// Time to live, s.
    ttl: i64,
    expires_at: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// History of one key: its value from each revision on, `None` from a revision that deleted it.
type Versions = Vec<(i64, Option<KeyValue>)>;

/// The store of a cluster.
#[derive(Debug)]
struct Store {
    cluster_id: u64,
    raft_term: u64,
    revision: i64,
    /// Revision up to which the history was compacted.
    compacted: i64,
    keys: BTreeMap<Vec<u8>, Versions>,
    /// Events by revision; those up to `compacted` are dropped.
    events: BTreeMap<i64, Vec<Event>>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    /// User whose token every call must carry; `None` without authentication.
    user: Option<(String, String)>,
}

impl Store {
    fn new(cluster_id: u64) -> Store {
        Store {
            cluster_id,
            raft_term: 2,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            events: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 1,
            user: None,
        }
    }

    /// The value of a key at a revision; `None` if it did not exist.
    fn value_at(&self, key: &[u8], revision: i64) -> Option<&KeyValue> {
        let versions = self.keys.get(key)?;
        let at = versions
            .iter()
            .rev()
            .find(|(since, _)| *since <= revision)?;
        at.1.as_ref()
    }

    /// The keys in a range, also those that are deleted.
    fn keys_in_range<'a>(
        &'a self,
        key: &[u8],
        end: &[u8],
    ) -> impl Iterator<Item = &'a Vec<u8>> + 'a {
        let (key, end) = (key.to_vec(), end.to_vec());
        self.keys
            .keys()
            .filter(move |other| in_range(&key, &end, other))
    }

    /// Puts a key as part of the change of a revision.
    fn put(&mut self, revision: i64, put: &api::PutRequest) -> Result<Option<KeyValue>, Status> {
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(Status::not_found("etcdserver: requested lease not found"));
        }
        let before = self.value_at(&put.key, revision).cloned();
        let (create_revision, version) = before
            .as_ref()
            .map_or((revision, 1), |kv| (kv.create_revision, kv.version + 1));
        let value = match (&before, put.ignore_value) {
            (Some(before), true) => before.value.clone(),
            _ => put.value.clone(),
        };
        let lease = match (&before, put.ignore_lease) {
            (Some(before), true) => before.lease,
            _ => put.lease,
        };
        let kv = KeyValue {
            key: put.key.clone(),
            create_revision,
            mod_revision: revision,
            version,
            value,
            lease,
        };
        if let Some(old) = before
            .as_ref()
            .and_then(|kv| self.leases.get_mut(&kv.lease))
        {
            old.keys.remove(&put.key);
        }
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(put.key.clone());
        }
        self.keys
            .entry(put.key.clone())
            .or_default()
            .push((revision, Some(kv.clone())));
        let event = Event {
            r#type: EventType::Put as i32,
            kv: Some(kv),
            prev_kv: before.clone(),
        };
        self.events.entry(revision).or_default().push(event);
        Ok(before)
    }

    /// Deletes a range of keys as part of the change of a revision, and returns their last values.
    fn delete(&mut self, revision: i64, key: &[u8], end: &[u8]) -> Vec<KeyValue> {
        let keys: Vec<Vec<u8>> = self.keys_in_range(key, end).cloned().collect();
        let mut deleted = Vec::new();
        for key in keys {
            let Some(before) = self.value_at(&key, revision).cloned() else {
                continue;
            };
            if let Some(lease) = self.leases.get_mut(&before.lease) {
                lease.keys.remove(&key);
            }
            self.keys
                .entry(key.clone())
                .or_default()
                .push((revision, None));
            let kv = KeyValue {
                key,
                mod_revision: revision,
                ..KeyValue::default()
            };
            let event = Event {
                r#type: EventType::Delete as i32,
                kv: Some(kv),
                prev_kv: Some(before.clone()),
            };
            self.events.entry(revision).or_default().push(event);
            deleted.push(before);
        }
        deleted
    }

    /// The values in a range, whether further ones are left out, and their number without the limit. `visible` is the
    /// revision for a request without one.
    fn range(
        &self,
        request: &api::RangeRequest,
        visible: i64,
    ) -> Result<(Vec<KeyValue>, bool, i64), Status> {
        let revision = if request.revision > 0 {
            request.revision
        } else {
            visible
        };
        if revision > self.revision {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision is a future revision",
            ));
        }
        if revision < self.compacted {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ));
        }
        let entries = self
            .keys_in_range(&request.key, &request.range_end)
            .filter_map(|key| self.value_at(key, revision));
        let mut kvs: Vec<KeyValue> = entries.cloned().collect();
        let count = kvs.len() as i64;
        // Sorted by key in ascending order, as without a sort order; 2 is descending.
        if request.sort_order == 2 {
            kvs.reverse();
        }
        let more = request.limit > 0 && count > request.limit;
        if more {
            kvs.truncate(request.limit as usize);
        }
        if request.count_only {
            kvs.clear();
        }
        if request.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value.clear());
        }
        Ok((kvs, more, count))
    }

    /// Drops the history up to a revision, except the values that are current at it.
    fn compact(&mut self, revision: i64) -> Result<(), Status> {
        if revision <= self.compacted {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ));
        }
        if revision > self.revision {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision is a future revision",
            ));
        }
        self.compacted = revision;
        self.events = self.events.split_off(&(revision + 1));
        self.keys.retain(|_, versions| {
            let last = versions
                .iter()
                .rposition(|(since, _)| *since <= revision)
                .unwrap_or(0);
            versions.drain(..last);
            !matches!(&versions[..], [(since, None)] if *since <= revision)
        });
        Ok(())
    }
}

/// Whether a key is in a range. An empty `end` selects only the key itself, and an `end` of one zero byte selects all
/// keys that are not less than it.
fn in_range(key: &[u8], end: &[u8], other: &[u8]) -> bool {
    match end {
        [] => other == key,
        [0] => other >= key,
        end => other >= key && other < end,
    }
}

/// Faults injected into a member; none by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Shows no revision after this one, and answers no linearizable range until the fault is removed.
    pub stuck_at_revision: Option<i64>,
    /// Reads and writes nothing on the connections, which stay open.
    pub frozen: bool,
    /// Closes new connections at once.
    pub refuse_connections: bool,
    /// Most events per response if the watcher asked for fragments; 0 for no limit.
    pub fragment_at: usize,
    /// Delay after each fragment.
    pub fragment_delay: Duration,
    /// Cuts the connections once, after this many fragments in total.
    pub cut_after_fragments: Option<u64>,
    /// Cuts all connections once, after this many bytes more on any of them, in the middle of a write.
    pub cut_after_bytes: Option<u64>,
}

/// State of a member, shared by its connections.
#[derive(Debug)]
struct MemberState {
    store: Arc<Mutex<Store>>,
    changed: watch::Sender<i64>,
    id: u64,
    faults: Mutex<Faults>,
    /// Changes whenever the faults do, so that connections check them again.
    faults_changed: watch::Sender<u64>,
    /// Incremented to cut all connections.
    cuts: watch::Sender<u64>,
    /// Connections accepted so far.
    connections: AtomicU64,
    /// Watches created so far.
    watches: AtomicU64,
    /// Range requests answered so far.
    ranges: AtomicU64,
}

/// A handle to a member of the cluster, by which a test injects faults and reads its counts.
#[derive(Clone, Debug)]
pub struct Member {
    state: Arc<MemberState>,
    /// Address for clients.
    pub address: SocketAddr,
}

/// A cluster whose members share one store.
#[derive(Clone, Debug)]
pub struct Etcd {
    store: Arc<Mutex<Store>>,
    changed: watch::Sender<i64>,
    /// The members, by number.
    pub members: Vec<Member>,
}

impl Etcd {
    /// Starts a cluster of this many members with an empty store.
    ///
    /// # Errors
    /// No port is available.
    pub async fn start(members: usize) -> io::Result<Etcd> {
        let store = Arc::new(Mutex::new(Store::new(fastrand::u64(1..))));
        let (changed, _) = watch::channel(1);
        let mut all = Vec::new();
        for number in 0..members {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let state = Arc::new(MemberState {
                store: Arc::clone(&store),
                changed: changed.clone(),
                id: number as u64 + 0x100,
                faults: Mutex::default(),
                faults_changed: watch::channel(0).0,
                cuts: watch::channel(0).0,
                connections: AtomicU64::new(0),
                watches: AtomicU64::new(0),
                ranges: AtomicU64::new(0),
            });
            let member = Member { state, address };
            tokio::spawn(member.clone().accept(listener));
            all.push(member);
        }
        let etcd = Etcd {
            store,
            changed,
            members: all,
        };
        tokio::spawn(etcd.clone().expire_leases());
        Ok(etcd)
    }

    /// Addresses of the members.
    pub fn endpoints(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.address).collect()
    }

    fn change<T>(&self, change: impl FnOnce(&mut Store, i64) -> T) -> T {
        change_store(&self.store, &self.changed, change)
    }

    /// Puts a key and returns the revision.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        self.apply(&[(key, Some(value))])
    }

    /// Deletes a key and returns the revision.
    pub fn delete(&self, key: &str) -> i64 {
        self.apply(&[(key, None)])
    }

    /// Puts (`Some`) and deletes (`None`) keys in one revision, which it returns.
    pub fn apply(&self, changes: &[(&str, Option<&str>)]) -> i64 {
        self.change(|store, revision| {
            for (key, value) in changes {
                let key = key.as_bytes().to_vec();
                match value {
                    Some(value) => {
                        let value = value.as_bytes().to_vec();
                        // Only a missing lease is an error, and there is none here.
                        let _ = store.put(
                            revision,
                            &api::PutRequest {
                                key,
                                value,
                                ..Default::default()
                            },
                        );
                    }
                    None => _ = store.delete(revision, &key, &[]),
                }
            }
        });
        self.revision()
    }

    /// Grants a lease, puts a key under it, and returns the lease's id.
    pub fn put_leased(&self, key: &str, value: &str, ttl: Duration) -> i64 {
        let mut store = lock(&self.store);
        let id = store.next_lease;
        store.next_lease += 1;
        let expires_at = Instant::now() + ttl;
        store.leases.insert(
            id,
            Lease {
                ttl: ttl.as_secs() as i64,
                expires_at,
                keys: BTreeSet::new(),
            },
        );
        drop(store);
        let (key, value) = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        self.change(|store, revision| {
            // The lease exists.
            let _ = store.put(
                revision,
                &api::PutRequest {
                    key,
                    value,
                    lease: id,
                    ..Default::default()
                },
            );
        });
        id
    }

    /// Current revision of the store.
    pub fn revision(&self) -> i64 {
        lock(&self.store).revision
    }

    /// Compacts the history up to a revision.
    pub fn compact(&self, revision: i64) {
        // Ignored if the revision is compacted already.
        let _ = lock(&self.store).compact(revision);
    }

    /// Deletes all keys with a prefix in one revision.
    pub fn delete_prefix(&self, prefix: &str) {
        let end = api::prefix_end(prefix.as_bytes());
        self.change(|store, revision| store.delete(revision, prefix.as_bytes(), &end));
    }

    /// Restores the cluster from a backup with these keys. Its history starts again, under another cluster id if it
    /// is `recreated`. All connections are cut, as if the processes had been restarted.
    pub fn restore(&self, keys: &[(&str, &str)], recreated: bool) {
        {
            let mut store = lock(&self.store);
            let id = if recreated {
                store.cluster_id.wrapping_add(1)
            } else {
                store.cluster_id
            };
            let user = store.user.clone();
            *store = Store {
                user,
                ..Store::new(id)
            };
        }
        for (key, value) in keys {
            self.put(key, value);
        }
        self.members.iter().for_each(Member::cut_connections);
    }

    /// Requires the token of this user on all further calls.
    pub fn require_auth(&self, name: &str, password: &str) {
        lock(&self.store).user = Some((name.to_owned(), password.to_owned()));
    }

    /// Revokes leases when they expire; never returns.
    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let expired: Vec<i64> = {
                let store = lock(&self.store);
                store
                    .leases
                    .iter()
                    .filter(|(_, lease)| lease.expires_at <= now)
                    .map(|(id, _)| *id)
                    .collect()
            };
            expired
                .into_iter()
                .for_each(|id| _ = revoke(&self.store, &self.changed, id));
        }
    }
}

/// Applies a change under the next revision, which becomes current if any key changed, and wakes the watches.
fn change_store<T>(
    store: &Mutex<Store>,
    changed: &watch::Sender<i64>,
    change: impl FnOnce(&mut Store, i64) -> T,
) -> T {
    let (revision, result) = {
        let mut store = lock(store);
        let next = store.revision + 1;
        let result = change(&mut store, next);
        if store.events.contains_key(&next) {
            store.revision = next;
        }
        (store.revision, result)
    };
    changed.send_replace(revision);
    result
}

/// Removes a lease and deletes its keys. Returns whether the lease existed.
fn revoke(store: &Mutex<Store>, changed: &watch::Sender<i64>, id: i64) -> bool {
    let Some(lease) = lock(store).leases.remove(&id) else {
        return false;
    };
    change_store(store, changed, |store, revision| {
        lease
            .keys
            .iter()
            .for_each(|key| _ = store.delete(revision, key, &[]));
    });
    true
}

impl Member {
    /// Changes the injected faults, also for connections that are already open.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state.faults));
        self.state.faults_changed.send_modify(|count| *count += 1);
        self.state.changed.send_modify(|_| {});
    }

    /// Cuts all connections of the member at once, even in the middle of a message.
    pub fn cut_connections(&self) {
        self.state.cuts.send_modify(|count| *count += 1);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Watches created so far.
    pub fn watches(&self) -> u64 {
        self.state.watches.load(Ordering::Relaxed)
    }

    /// Range requests answered so far.
    pub fn ranges(&self) -> u64 {
        self.state.ranges.load(Ordering::Relaxed)
    }

    /// Accepts connections for the rest of the run.
    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            self.state.connections.fetch_add(1, Ordering::Relaxed);
            if lock(&self.state.faults).refuse_connections {
                continue;
            }
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&self.state);
            tokio::spawn(async move {
                let mut cuts = state.cuts.subscribe();
                cuts.borrow_and_update();
                let mut faults_changed = state.faults_changed.subscribe();
                let next_change = Box::pin(async move { _ = faults_changed.changed().await });
                let io = FaultyStream {
                    stream,
                    state: Arc::clone(&state),
                    next_change,
                };
                let service = TowerToHyperService::new(Api(state));
                let http = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
                tokio::select! {
                    // The client handles a connection that fails.
                    _ = http.serve_connection(TokioIo::new(io), service) => {}
                    _ = cuts.changed() => {}
                }
            });
        }
    }
}

/// A connection to which the faults of its member apply.
struct FaultyStream {
    stream: TcpStream,
    state: Arc<MemberState>,
    /// Completes when the faults have changed.
    next_change: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl FaultyStream {
    /// Whether the member is frozen. If so, the task is woken when that may have changed.
    fn frozen(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            if !lock(&self.state.faults).frozen {
                return false;
            }
            if self.next_change.as_mut().poll(context).is_pending() {
                return true;
            }
            let mut faults_changed = self.state.faults_changed.subscribe();
            self.next_change = Box::pin(async move { _ = faults_changed.changed().await });
        }
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.frozen(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.frozen(context) {
            return Poll::Pending;
        }
        let left = lock(&self.state.faults).cut_after_bytes;
        let part = left.map_or(bytes.len(), |left| bytes.len().min(left as usize));
        if part == 0 && !bytes.is_empty() {
            lock(&self.state.faults).cut_after_bytes = None;
            self.state.cuts.send_modify(|count| *count += 1);
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let written = Pin::new(&mut self.stream).poll_write(context, &bytes[..part]);
        if let (Poll::Ready(Ok(count)), Some(left)) =
            (&written, &mut lock(&self.state.faults).cut_after_bytes)
        {
            *left = left.saturating_sub(*count as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl MemberState {
    fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// The latest revision that this member shows.
    fn visible_revision(&self) -> i64 {
        let stuck = lock(&self.faults).stuck_at_revision;
        let revision = self.store().revision;
        stuck.map_or(revision, |stuck| stuck.min(revision))
    }

    /// The header of a response, with the latest revision that this member shows.
    fn header(&self) -> ResponseHeader {
        let revision = self.visible_revision();
        let store = self.store();
        ResponseHeader {
            cluster_id: store.cluster_id,
            member_id: self.id,
            revision,
            raft_term: store.raft_term,
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut Store, i64) -> T) -> T {
        change_store(&self.store, &self.changed, change)
    }

    /// Fails unless the call carries the token of the required user.
    fn check_auth(&self, metadata: &tonic::metadata::MetadataMap) -> Result<(), Status> {
        let store = self.store();
        let Some((name, _)) = &store.user else {
            return Ok(());
        };
        let token = metadata.get("token").or(metadata.get("authorization"));
        if token.and_then(|token| token.to_str().ok())
            == Some(&format!("{name}.{}", store.cluster_id)[..])
        {
            return Ok(());
        }
        Err(Status::new(
            Code::Unauthenticated,
            "etcdserver: invalid auth token",
        ))
    }

    async fn range(&self, request: api::RangeRequest) -> Result<api::RangeResponse, Status> {
        if !request.serializable {
            // Linearizable: a member that lags answers once it has caught up.
            let mut faults_changed = self.faults_changed.subscribe();
            while lock(&self.faults).stuck_at_revision.is_some() {
                let _ = faults_changed.changed().await;
            }
        }
        self.ranges.fetch_add(1, Ordering::Relaxed);
        let seen = self.visible_revision();
        let (kvs, more, count) = self.store().range(&request, seen)?;
        Ok(api::RangeResponse {
            header: Some(self.header()),
            kvs,
            more,
            count,
        })
    }

    /// Answers a unary call.
    async fn unary(&self, call: Call) -> Result<CallResponse, Status> {
        Ok(match call {
            Call::Range(request) => CallResponse::Range(self.range(request).await?),
            Call::Put(request) => {
                let before = self.change(|store, revision| store.put(revision, &request))?;
                let prev_kv = before.filter(|_| request.prev_kv);
                CallResponse::Put(api::PutResponse {
                    header: Some(self.header()),
                    prev_kv,
                })
            }
            Call::Delete(request) => {
                let prev_kvs = self.change(|store, revision| {
                    store.delete(revision, &request.key, &request.range_end)
                });
                let deleted = prev_kvs.len() as i64;
                let prev_kvs = if request.prev_kv {
                    prev_kvs
                } else {
                    Vec::new()
                };
                CallResponse::Delete(api::DeleteRangeResponse {
                    header: Some(self.header()),
                    deleted,
                    prev_kvs,
                })
            }
            Call::Txn(request) => CallResponse::Txn(self.txn(request)?),
            Call::Compact(request) => {
                self.store().compact(request.revision)?;
                // Wakes the watches, so that those behind the revision are canceled.
                self.changed.send_modify(|_| {});
                CallResponse::Compact(api::CompactionResponse {
                    header: Some(self.header()),
                })
            }
            Call::Grant(request) => {
                let mut store = self.store();
                let id = if request.id == 0 {
                    store.next_lease
                } else {
                    request.id
                };
                store.next_lease = store.next_lease.max(id) + 1;
                let expires_at = Instant::now() + Duration::from_secs(request.ttl.max(1) as u64);
                store.leases.insert(
                    id,
                    Lease {
                        ttl: request.ttl,
                        expires_at,
                        keys: BTreeSet::new(),
                    },
                );
                drop(store);
                let header = Some(self.header());
                CallResponse::Grant(api::LeaseGrantResponse {
                    header,
                    id,
                    ttl: request.ttl,
                    error: String::new(),
                })
            }
            Call::Revoke(request) => {
                if !revoke(&self.store, &self.changed, request.id) {
                    return Err(Status::not_found("etcdserver: requested lease not found"));
                }
                CallResponse::Revoke(api::LeaseRevokeResponse {
                    header: Some(self.header()),
                })
            }
            Call::TimeToLive(request) => {
                let header = Some(self.header());
                let store = self.store();
                let lease = store.leases.get(&request.id);
                let left = lease.map(|lease| {
                    lease
                        .expires_at
                        .saturating_duration_since(Instant::now())
                        .as_secs()
                });
                let keys = lease
                    .filter(|_| request.keys)
                    .map(|lease| lease.keys.iter().cloned().collect());
                CallResponse::TimeToLive(api::LeaseTimeToLiveResponse {
                    header,
                    id: request.id,
                    ttl: left.map_or(-1, |left| left as i64),
                    granted_ttl: lease.map_or(0, |lease| lease.ttl),
                    keys: keys.unwrap_or_default(),
                })
            }
            Call::Authenticate(request) => {
                let header = Some(self.header());
                let store = self.store();
                if store.user != Some((request.name.clone(), request.password)) {
                    return Err(Status::invalid_argument(
                        "etcdserver: authentication failed, invalid user ID or password",
                    ));
                }
                let token = format!("{}.{}", request.name, store.cluster_id);
                CallResponse::Authenticate(api::AuthenticateResponse { header, token })
            }
            Call::Status => {
                let header = self.header();
                CallResponse::Status(api::StatusResponse {
                    header: Some(header),
                    version: "3.5.0".to_owned(),
                    db_size: 1,
                    leader: 0x100,
                    raft_index: header.revision as u64,
                    raft_term: header.raft_term,
                })
            }
        })
    }

    /// Executes the operations of a transaction in one revision.
    fn txn(&self, request: api::TxnRequest) -> Result<api::TxnResponse, Status> {
        if !request.compare.is_empty() {
            return Err(Status::unimplemented(
                "this test double supports no comparisons",
            ));
        }
        let seen = self.visible_revision();
        let responses = self.change(|store, revision| {
            let mut responses = Vec::new();
            for op in request.success {
                let response = match op.request {
                    Some(api::request_op::Request::Put(put)) => {
                        store.put(revision, &put)?;
                        api::response_op::Response::Put(api::PutResponse::default())
                    }
                    Some(api::request_op::Request::Delete(request)) => {
                        let deleted = store
                            .delete(revision, &request.key, &request.range_end)
                            .len() as i64;
                        let answer = api::DeleteRangeResponse {
                            deleted,
                            ..Default::default()
                        };
                        api::response_op::Response::Delete(answer)
                    }
                    Some(api::request_op::Request::Range(request)) => {
                        let (kvs, more, count) = store.range(&request, seen)?;
                        api::response_op::Response::Range(api::RangeResponse {
                            header: None,
                            kvs,
                            more,
                            count,
                        })
                    }
                    None => continue,
                };
                responses.push(api::ResponseOp {
                    response: Some(response),
                });
            }
            Ok::<_, Status>(responses)
        })?;
        Ok(api::TxnResponse {
            header: Some(self.header()),
            succeeded: true,
            responses,
        })
    }
}

/// One watcher of a stream.
struct Watcher {
    request: api::WatchCreateRequest,
    /// First revision whose events are still to be sent.
    next: i64,
}

/// Sender of the responses of a watch stream.
type Responses = mpsc::Sender<Result<api::WatchResponse, Status>>;

/// A watch stream, which may hold several watchers.
struct WatchStream {
    state: Arc<MemberState>,
    watchers: BTreeMap<i64, Watcher>,
    next_id: i64,
    responses: Responses,
}

impl WatchStream {
    /// Serves the stream until either side closes it.
    async fn run(mut self, mut requests: Streaming<api::WatchRequest>) {
        let mut changed = self.state.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if self.catch_up().await.is_none() {
                return;
            }
            let request = tokio::select! {
                request = requests.message() => match request {
                    Ok(Some(request)) => request,
                    _ => return,
                },
                _ = changed.changed() => continue,
                () = self.responses.closed() => return,
            };
            if self.handle_request(request).await.is_none() {
                return;
            }
        }
    }

    /// Sends a response with the current header; `None` if the stream is closed.
    async fn send(&self, response: api::WatchResponse) -> Option<()> {
        let response = api::WatchResponse {
            header: Some(self.state.header()),
            ..response
        };
        self.responses.send(Ok(response)).await.ok()
    }

    /// Handles a request of the client; `None` if the stream is closed.
    async fn handle_request(&mut self, request: api::WatchRequest) -> Option<()> {
        match request.request {
            Some(api::watch_request::Request::Create(request)) => {
                self.state.watches.fetch_add(1, Ordering::Relaxed);
                let assign_id =
                    request.watch_id == 0 || self.watchers.contains_key(&request.watch_id);
                let watch_id = if assign_id {
                    self.next_id
                } else {
                    request.watch_id
                };
                self.next_id = self.next_id.max(watch_id) + 1;
                let next = if request.start_revision > 0 {
                    request.start_revision
                } else {
                    self.state.visible_revision() + 1
                };
                self.send(api::WatchResponse {
                    watch_id,
                    created: true,
                    ..Default::default()
                })
                .await?;
                self.watchers.insert(watch_id, Watcher { request, next });
                Some(())
            }
            Some(api::watch_request::Request::Cancel(request)) => {
                let watch_id = request.watch_id;
                self.watchers.remove(&watch_id);
                self.send(api::WatchResponse {
                    watch_id,
                    canceled: true,
                    ..Default::default()
                })
                .await
            }
            Some(api::watch_request::Request::Progress(_)) => {
                // Reports a revision up to which all watchers have been sent all events, and none beyond it.
                let header = loop {
                    let header = self.state.header();
                    self.catch_up().await?;
                    if self
                        .watchers
                        .values()
                        .all(|watcher| watcher.next > header.revision)
                    {
                        break header;
                    }
                };
                let response = api::WatchResponse {
                    header: Some(header),
                    watch_id: -1,
                    ..Default::default()
                };
                self.responses.send(Ok(response)).await.ok()
            }
            None => Some(()),
        }
    }

    /// Sends each watcher the events that it has not been sent yet; `None` if the stream is closed.
    async fn catch_up(&mut self) -> Option<()> {
        let ids: Vec<i64> = self.watchers.keys().copied().collect();
        for watch_id in ids {
            let seen = self.state.visible_revision();
            let watcher = self.watchers.get_mut(&watch_id)?;
            let (events, compacted) = {
                let store = self.state.store();
                let request = &watcher.request;
                let wanted = |event: &&Event| {
                    let key = event.kv.as_ref().map_or(&[][..], |kv| &kv.key);
                    in_range(&request.key, &request.range_end, key)
                        && !request.filters.contains(&event.r#type)
                };
                let range = watcher.next..=seen.max(watcher.next - 1);
                let events: Vec<Event> = if watcher.next <= seen {
                    store
                        .events
                        .range(range)
                        .flat_map(|(_, events)| events.iter().filter(wanted))
                        .cloned()
                        .collect()
                } else {
                    Vec::new()
                };
                (
                    events,
                    (watcher.next <= store.compacted).then_some(store.compacted),
                )
            };
            if let Some(compact_revision) = compacted {
                self.watchers.remove(&watch_id);
                let cancel_reason =
                    "etcdserver: mvcc: required revision has been compacted".to_owned();
                let response = api::WatchResponse {
                    watch_id,
                    canceled: true,
                    compact_revision,
                    cancel_reason,
                    ..Default::default()
                };
                self.send(response).await?;
                continue;
            }
            watcher.next = watcher.next.max(seen + 1);
            if events.is_empty() {
                continue;
            }
            let (prev_kv, fragment) = (watcher.request.prev_kv, watcher.request.fragment);
            self.send_events(watch_id, events, prev_kv, fragment)
                .await?;
        }
        Some(())
    }

    /// Sends events to a watcher, in fragments if it asked for them; `None` if the stream is closed or cut.
    async fn send_events(
        &self,
        watch_id: i64,
        events: Vec<Event>,
        prev_kv: bool,
        fragment: bool,
    ) -> Option<()> {
        let mut events = events;
        if !prev_kv {
            events.iter_mut().for_each(|event| event.prev_kv = None);
        }
        let (fragment_at, fragment_delay) = {
            let faults = lock(&self.state.faults);
            (faults.fragment_at, faults.fragment_delay)
        };
        let fragment_at = if fragment && fragment_at > 0 {
            fragment_at
        } else {
            events.len()
        };
        let mut parts = events.chunks(fragment_at).peekable();
        while let Some(part) = parts.next() {
            let (events, fragment) = (part.to_vec(), parts.peek().is_some());
            self.send(api::WatchResponse {
                watch_id,
                fragment,
                events,
                ..Default::default()
            })
            .await?;
            if fragment {
                // Leaves time for the fragment to be written before whatever follows.
                tokio::time::sleep(fragment_delay).await;
                let mut faults = lock(&self.state.faults);
                if let Some(left) = &mut faults.cut_after_fragments {
                    *left = left.saturating_sub(1);
                    if *left == 0 {
                        faults.cut_after_fragments = None;
                        self.state.cuts.send_modify(|count| *count += 1);
                        return None;
                    }
                }
            }
        }
        Some(())
    }
}

/// The request of a unary call.
enum Call {
    Range(api::RangeRequest),
    Put(api::PutRequest),
    Delete(api::DeleteRangeRequest),
    Txn(api::TxnRequest),
    Compact(api::CompactionRequest),
    Grant(api::LeaseGrantRequest),
    Revoke(api::LeaseRevokeRequest),
    TimeToLive(api::LeaseTimeToLiveRequest),
    Authenticate(api::AuthenticateRequest),
    Status,
}

/// The response to a unary call.
enum CallResponse {
    Range(api::RangeResponse),
    Put(api::PutResponse),
    Delete(api::DeleteRangeResponse),
    Txn(api::TxnResponse),
    Compact(api::CompactionResponse),
    Grant(api::LeaseGrantResponse),
    Revoke(api::LeaseRevokeResponse),
    TimeToLive(api::LeaseTimeToLiveResponse),
    Authenticate(api::AuthenticateResponse),
    Status(api::StatusResponse),
}

/// A unary call: the conversions from its request and to its response.
struct Unary<A, B>(
    Arc<MemberState>,
    fn(A) -> Call,
    fn(CallResponse) -> Option<B>,
);

type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, Status>> + Send>>;

impl<A: Send + 'static, B: Send + 'static> UnaryService<A> for Unary<A, B> {
    type Response = B;
    type Future = CallFuture<tonic::Response<B>>;

    fn call(&mut self, request: tonic::Request<A>) -> Self::Future {
        let (state, call, answer) = (Arc::clone(&self.0), self.1, self.2);
        Box::pin(async move {
            let (metadata, _, message) = request.into_parts();
            let call = call(message);
            if !matches!(call, Call::Authenticate(_)) {
                state.check_auth(&metadata)?;
            }
            let call_response = answer(state.unary(call).await?);
            call_response
                .map(tonic::Response::new)
                .ok_or_else(|| Status::internal("the response belongs to another kind of call"))
        })
    }
}

/// The watch call.
struct Watches(Arc<MemberState>);

impl StreamingService<api::WatchRequest> for Watches {
    type Response = api::WatchResponse;
    type ResponseStream = ReceiverStream<Result<api::WatchResponse, Status>>;
    type Future = CallFuture<tonic::Response<Self::ResponseStream>>;

    fn call(&mut self, request: tonic::Request<Streaming<api::WatchRequest>>) -> Self::Future {
        let state = Arc::clone(&self.0);
        Box::pin(async move {
            state.check_auth(request.metadata())?;
            let (responses, stream) = mpsc::channel(MAX_QUEUED_RESPONSES);
            let watch_stream = WatchStream {
                state,
                watchers: BTreeMap::new(),
                next_id: 0,
                responses,
            };
            tokio::spawn(watch_stream.run(request.into_inner()));
            Ok(tonic::Response::new(ReceiverStream::new(stream)))
        })
    }
}

/// The call that renews leases.
struct KeepAlives(Arc<MemberState>);

impl StreamingService<api::LeaseKeepAliveRequest> for KeepAlives {
    type Response = api::LeaseKeepAliveResponse;
    type ResponseStream = ReceiverStream<Result<api::LeaseKeepAliveResponse, Status>>;
    type Future = CallFuture<tonic::Response<Self::ResponseStream>>;

    fn call(
        &mut self,
        request: tonic::Request<Streaming<api::LeaseKeepAliveRequest>>,
    ) -> Self::Future {
        let state = Arc::clone(&self.0);
        Box::pin(async move {
            state.check_auth(request.metadata())?;
            let (responses, stream) = mpsc::channel(MAX_QUEUED_RESPONSES);
            let mut requests = request.into_inner();
            tokio::spawn(async move {
                while let Ok(Some(message)) = requests.message().await {
                    let ttl = {
                        let mut store = state.store();
                        store.leases.get_mut(&message.id).map_or(0, |lease| {
                            lease.expires_at =
                                Instant::now() + Duration::from_secs(lease.ttl.max(1) as u64);
                            lease.ttl
                        })
                    };
                    let header = Some(state.header());
                    let response = api::LeaseKeepAliveResponse {
                        header,
                        id: message.id,
                        ttl,
                    };
                    if responses.send(Ok(response)).await.is_err() {
                        return;
                    }
                }
            });
            Ok(tonic::Response::new(ReceiverStream::new(stream)))
        })
    }
}

/// Serves all calls of one connection.
#[derive(Clone)]
struct Api(Arc<MemberState>);

/// Serves a unary call of one kind.
macro_rules! unary {
    ($state:expr, $request:expr, $variant:ident, $call:expr) => {{
        let service = Unary($state, $call, |call_response| match call_response {
            CallResponse::$variant(answer) => Some(answer),
            _ => None,
        });
        Grpc::new(ProstCodec::default())
            .unary(service, $request)
            .await
    }};
}

impl tower::Service<Request<hyper::body::Incoming>> for Api {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<hyper::body::Incoming>) -> Self::Future {
        let state = Arc::clone(&self.0);
        Box::pin(async move {
            let called = request.uri().path().to_owned();
            Ok(match &called[..] {
                path::RANGE => unary!(state, request, Range, Call::Range),
                path::PUT => unary!(state, request, Put, Call::Put),
                path::DELETE_RANGE => unary!(state, request, Delete, Call::Delete),
                path::TXN => unary!(state, request, Txn, Call::Txn),
                path::COMPACT => unary!(state, request, Compact, Call::Compact),
                path::LEASE_GRANT => unary!(state, request, Grant, Call::Grant),
                path::LEASE_REVOKE => unary!(state, request, Revoke, Call::Revoke),
                path::LEASE_TIME_TO_LIVE => unary!(state, request, TimeToLive, Call::TimeToLive),
                path::AUTHENTICATE => unary!(state, request, Authenticate, Call::Authenticate),
                path::STATUS => unary!(state, request, Status, |_: api::StatusRequest| {
                    Call::Status
                }),
                path::WATCH => {
                    Grpc::new(ProstCodec::default())
                        .streaming(Watches(state), request)
                        .await
                }
                path::LEASE_KEEP_ALIVE => {
                    Grpc::new(ProstCodec::default())
                        .streaming(KeepAlives(state), request)
                        .await
                }
                _ => Status::unimplemented(called).into_http(),
            })
        })
    }
}
