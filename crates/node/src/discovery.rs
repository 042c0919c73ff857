//! Follows the platform's list of app servers through a watch. The watch is reopened whenever it ends or falls silent.
//! When the service's address changes, the old watch is kept until the new address has sent a list.

mod call;
mod error;

use crate::config::List;
use crate::discovery_status::WatchStatus;
use crate::error::chain;
use crate::node::Node;
use bytes::Bytes;
use call::{call, call_hedged, Watch, WatchError};
use error::DiscoveryError;
use saffronpaddle_endpoints::{
    CallSlots, EmptyListProtection, JsonObjects, PollBackoff, PollLimits,
};
use saffronpaddle_netio::timeout;
use saffronpaddle_policy::interface::DiscoveryMode;
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::{debug, warn};

/// A watch without data for this time is considered failed; the service sends something every 2 s. A drain counts as
/// announced 6 s after discovery has it, even if the watch has failed, so a new watch must be open by then.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of servers in the longest list that can be read.
const MAX_SERVERS: usize = 40_000;
/// Bytes per server in the longest list that can be read. A full entry with a name of ten letters takes 124 bytes.
const MAX_BYTES_PER_SERVER: usize = 256;
/// Maximum number of bytes of one list. Bounds memory: the text is kept until its last byte has been read, and is then
/// in memory together with the parsed entries.
const MAX_LIST_BYTES: usize = MAX_SERVERS * MAX_BYTES_PER_SERVER;

/// Applies the list versions of one address in order. The initial list may be outdated, and a watch may repeat
/// versions.
struct Follower {
    node: Rc<Node>,
    status: Rc<WatchStatus>,
    /// The version that was applied last. Each address has its own numbering.
    seq: Option<u64>,
    /// Whether the last call was answered with a watch.
    opened: bool,
    /// The installation's limits for calls to its list service, if any.
    poll_limits: Option<PollLimits>,
    /// When this node may call a service for which limits are set.
    call_slots: Option<CallSlots>,
    /// The delay before the next call that the service asked for.
    retry_after: Option<Duration>,
    /// Decides whether an empty list is applied or ignored for now.
    empty_list: EmptyListProtection,
    started_at: Instant,
}

impl Follower {
    /// How long the service may take to answer a call.
    fn answer_timeout(&self) -> Duration {
        self.poll_limits
            .as_ref()
            .map_or(WATCH_TIMEOUT, |poll_limits| poll_limits.answer_within)
    }

    /// When an empty list that was not accepted is read again, as time since `started_at`; `None` if there is none.
    fn empty_list_recheck_at(&self) -> Option<Duration> {
        let limits = self.poll_limits.as_ref()?;
        self.empty_list.poll_again_after(limits.empty_after)
    }

    /// Whether a list is applied. After a rejected list the full list is read again.
    fn accepts_list(&mut self, list: &List) -> bool {
        let Some(poll_limits) = self.poll_limits.as_ref().filter(|_| list.whole) else {
            return true;
        };
        let known = self.node.ready_servers();
        let accepted = self.empty_list.accepts(
            self.started_at.elapsed(),
            list.hosts.len(),
            known,
            poll_limits.empty_after,
        );
        if !accepted {
            warn!(
                servers = known,
                empty_for_ms = poll_limits.empty_after.as_millis() as u64,
                "discovery: the list is empty; keeping the known servers until it has been empty for the configured time"
            );
        }
        accepted
    }

    /// Moves the start of the next call to a slot of this node, not earlier than the service has asked for.
    fn align(&self, pause: Duration, retry_after: Option<Duration>) -> Duration {
        self.call_slots.as_ref().map_or(pause, |call_slots| {
            let least = retry_after.unwrap_or_default().min(pause);
            call_slots.align(unix_time(&self.node), least, pause, fastrand::f64())
        })
    }

    /// Applies a list unless it is rejected or older than the last one.
    fn apply(&mut self, list: &List) {
        debug!(
            seq = list.seq,
            whole = list.whole,
            hosts = list.hosts.len(),
            "discovery: received a list"
        );
        if !self.accepts_list(list) {
            return;
        }
        if list.whole || self.seq.is_none_or(|seq| list.seq > seq) {
            self.seq = Some(list.seq);
            self.node.on_discovery_list(list);
            self.node.record_list(list);
        }
        if !self.status.has_list.replace(true) {
            self.status.first_list.notify_one();
        }
    }
}

/// Follows the list and moves to another address when discovery gets one; never returns. While the service is down, and
/// until a new address has sent a list, the old list stays in use. A watch that is open at the old address is still
/// read, because it may announce a drain while the new address is silent.
pub async fn follow(
    node: Rc<Node>,
    mut address: watch::Receiver<SocketAddr>,
    known: Option<List>,
    poll_limits: Option<PollLimits>,
) {
    let settings = &node.platform.settings;
    let node_position = (settings.node.0, settings.node_count);
    let started_at = Instant::now();
    let call_slots = poll_limits
        .as_ref()
        .map(|poll_limits| CallSlots::new(node_position, poll_limits));
    let follower = || Follower {
        node: Rc::clone(&node),
        status: Rc::default(),
        seq: None,
        opened: false,
        poll_limits: poll_limits.clone(),
        call_slots: call_slots.clone(),
        retry_after: None,
        empty_list: EmptyListProtection::default(),
        started_at,
    };
    let mut first_follower = follower();
    if let Some(known) = known {
        first_follower.apply(&List {
            whole: true,
            ..known
        });
        first_follower.status = Rc::default();
    }
    // If all nodes of a fleet start together, their simultaneous first calls would overload the service for its other
    // callers, so they are spread over time.
    if let Some(call_slots) = &call_slots {
        tokio::time::sleep(call_slots.first_call(unix_time(&node), fastrand::f64())).await;
    }
    let mut next = Some(first_follower);
    let mut previous: Option<WatchTask> = None;
    loop {
        // Each address has its own follower: the next address may number its lists differently, and a newer list could
        // look older.
        let follower = next.take().unwrap_or_else(follower);
        let (status, now) = (Rc::clone(&follower.status), *address.borrow_and_update());
        node.watch_statuses.follow(&status);
        let mut current: WatchTask = (Rc::clone(&status), Box::pin(follow_address(follower, now)));
        loop {
            tokio::select! {
                biased;
                Ok(()) = address.changed() => break,
                () = status.first_list.notified() => previous = None,
                () = &mut current.1 => {}
                () = follow_previous(&mut previous) => previous = None,
            }
        }
        // Of two abandoned addresses only the one that is still read is kept, so at most two are followed.
        if status.has_list.get() || previous.is_none() {
            status.abandoned.set(true);
            previous = Some(current).filter(|_| status.watch_open.get());
        }
    }
}

/// The node's Unix time.
fn unix_time(node: &Node) -> Duration {
    Duration::from_micros(node.now())
}

/// The status of an address, and the task that follows it.
type WatchTask = (Rc<WatchStatus>, Pin<Box<dyn Future<Output = ()>>>);

/// Drives the task of an abandoned address until its watch ends. Never completes if there is none.
async fn follow_previous(previous: &mut Option<WatchTask>) {
    match previous {
        Some((_, task)) => task.await,
        None => pending().await,
    }
}

/// Follows the list at one address until the address is abandoned and its watch has ended.
async fn follow_address(mut follower: Follower, address: SocketAddr) {
    let nodes = follower.node.platform.settings.node_count;
    let pushed = follower.node.platform.settings.discovery == DiscoveryMode::Pushed;
    let mut backoff = match &follower.poll_limits {
        Some(poll_limits) => PollBackoff::with_limits(nodes, poll_limits),
        // With pushed lists, the address is that of the agent on this machine.
        None if pushed => PollBackoff::for_agent(),
        None => PollBackoff::for_fleet(nodes),
    };
    let mut logged = false;
    loop {
        follower.opened = false;
        let ended = watch_list(&mut follower, address, &mut backoff).await;
        follower.status.watch_open.set(false);
        if follower.status.abandoned.get() {
            return;
        }
        if let Err(error) = ended {
            if !std::mem::replace(&mut logged, true) {
                warn!("discovery: list service at {address}: {}", chain(&error));
            }
        }
        let retry_after = follower.retry_after.take();
        let pause = match retry_after {
            Some(after) => backoff.after_response(after, fastrand::f64()),
            None if follower.opened => backoff.after_watch_end(fastrand::f64()),
            None => backoff.after_failure(fastrand::f64()),
        };
        let pause = follower.align(pause, retry_after);
        logged &= !follower.opened;
        tokio::time::sleep(pause).await;
    }
}

/// Opens a watch and applies its lists until it ends; never returns `Ok`.
async fn watch_list(
    follower: &mut Follower,
    address: SocketAddr,
    backoff: &mut PollBackoff,
) -> Result<(), DiscoveryError> {
    let mut watch = open_watch(follower, address, backoff).await?;
    let status = Rc::clone(&follower.status);
    follower.opened = true;
    status.unanswered_calls.borrow_mut().clear();
    status.watch_connection.replace(watch.stream.clone());
    status.all_consumed.set(false);
    status.watch_open.set(true);
    let mut lists = JsonObjects::new(MAX_LIST_BYTES);
    while let Some(data) = next_data(follower, &mut watch).await? {
        // White space counts as contact too: the service sends it when nothing has changed.
        follower.node.record_list_contact();
        let mut rest = &data[..];
        while let Some(list) = lists.next(&mut rest)? {
            follower.apply(&serde_json::from_slice(&list)?);
        }
    }
    Err(DiscoveryError::Ended)
}

/// Calls the service for a watch: once, or repeatedly where hedged calls are enabled.
async fn open_watch(
    follower: &mut Follower,
    address: SocketAddr,
    backoff: &mut PollBackoff,
) -> Result<Watch, DiscoveryError> {
    // While an empty list is not accepted, the full list is requested.
    let from = follower
        .seq
        .filter(|_| follower.empty_list_recheck_at().is_none());
    let from = from.map_or(String::new(), |seq| format!("&from={seq}"));
    let path = format!("/api/targets?watch=1{from}");
    let answer_timeout = backoff
        .answer_within()
        .unwrap_or_else(|| follower.answer_timeout());
    let status = Rc::clone(&follower.status);
    if let Some(delay) = backoff.hedge_delay(fastrand::f64()) {
        return Ok(call_hedged(&status, address, &path, answer_timeout, backoff, delay).await);
    }
    match call(status, address, path, answer_timeout).await {
        Ok(watch) => Ok(watch),
        Err(WatchError::Failed(error)) => Err(error),
        Err(WatchError::RetryAfter(status, after)) => {
            follower.retry_after = Some(after);
            Err(DiscoveryError::Status(status))
        }
    }
}

/// Returns the next data of a watch; `None` at its end. The connection to a failed machine stays open, so only missing
/// data shows the failure.
async fn next_data(
    follower: &Follower,
    watch: &mut Watch,
) -> Result<Option<Bytes>, DiscoveryError> {
    loop {
        let settles_in = follower
            .empty_list_recheck_at()
            .map(|at| at.saturating_sub(follower.started_at.elapsed()));
        let read_timeout = settles_in.map_or(WATCH_TIMEOUT, |span| span.min(WATCH_TIMEOUT));
        let next = poll_fn(|context| {
            let next = watch.poll_next(context);
            follower.status.all_consumed.set(next.is_pending());
            next
        });
        let frame = match timeout(read_timeout, next).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(None),
            Err(_) if settles_in.is_some_and(|span| span <= WATCH_TIMEOUT) => {
                return Err(DiscoveryError::EmptyListSettled)
            }
            Err(_) => return Err(DiscoveryError::Silent),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

#[cfg(test)]
mod tests;
