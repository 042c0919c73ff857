//! Discovery: a watch on the list of app servers. It is opened again whenever it ends or falls silent, and kept while
//! the service's address changes until the new address has sent a list.

mod call;
mod error;

use crate::config::List;
use crate::discovery_status::WatchStatus;
use crate::error::chain;
use crate::node::Node;
use bytes::Bytes;
use call::{call, call_hedged, Watch, WatchError};
use error::DiscoveryError;
use saffronpaddle_endpoints::{EmptyListProtection, JsonObjects, PollBackoff, PollLimits};
use saffronpaddle_policy::interface::DiscoveryMode;
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};
use tracing::{debug, warn};

/// A watch sends something every 2 s; one that is this late is taken for dead. A drain counts as announced 6 s after
/// discovery has it, also on a watch that nobody serves any more: a new watch must be open by then.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Servers of the longest list that is read.
const MAX_SERVERS: usize = 40_000;
/// Bytes of a server in the longest list that is read. Its full form with a name of ten letters takes 124.
const MAX_BYTES_PER_SERVER: usize = 256;
/// Most bytes of one list. It bounds memory: the text is kept until its last byte was read, and then stands beside the
/// parsed entries.
const MAX_LIST_BYTES: usize = MAX_SERVERS * MAX_BYTES_PER_SERVER;

/// Applies versions of one address in order. `known` may be old, and a watch may repeat what is known.
struct Follower {
    node: Rc<Node>,
    status: Rc<WatchStatus>,
    /// The version that was applied last, as this address numbers them.
    seq: Option<u64>,
    /// Whether the last call was answered with a watch.
    opened: bool,
    /// The installation's limits for polling its list service, if it has any; and when the service wants the next call.
    poll_limits: Option<PollLimits>,
    retry_after: Option<Duration>,
    /// Whether an empty list is applied or doubted.
    empty_list: EmptyListProtection,
    started_at: Instant,
}

impl Follower {
    /// How long a call may take to be answered.
    fn answer_timeout(&self) -> Duration {
        self.poll_limits
            .as_ref()
            .map_or(WATCH_TIMEOUT, |poll_limits| poll_limits.answer_within)
    }

    /// When an empty list that is not believed is read again, since `started_at`; `None` where there is none.
    fn empty_list_settles_at(&self) -> Option<Duration> {
        let limits = self.poll_limits.as_ref()?;
        self.empty_list.poll_again_after(limits.empty_after)
    }

    /// Whether a list is applied; one that is not is read whole again.
    fn accepts_list(&mut self, list: &List) -> bool {
        let Some(poll_limits) = self.poll_limits.as_ref().filter(|_| list.whole) else {
            return true;
        };
        let known = self.node.ready();
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
                "discovery: its list is empty; the known servers are kept until that has lasted"
            );
        }
        accepted
    }

    fn take(&mut self, list: &List) {
        debug!(
            seq = list.seq,
            whole = list.whole,
            hosts = list.hosts.len(),
            "discovery: a list"
        );
        if !self.accepts_list(list) {
            return;
        }
        if list.whole || self.seq.is_none_or(|seq| list.seq > seq) {
            self.seq = Some(list.seq);
            self.node.on_discovery_list(list);
            self.node.record_list(list);
        }
        if !self.status.listed.replace(true) {
            self.status.first.notify_one();
        }
    }
}

/// Follows the list for ever, and moves when discovery gets another address. While the service is down, and until the
/// new address has sent a list, the old list stays, and a watch that is open at the old address is still read: it may
/// announce a drain while the new address is silent.
pub async fn follow(
    node: Rc<Node>,
    mut address: watch::Receiver<SocketAddr>,
    known: Option<List>,
    poll_limits: Option<PollLimits>,
) {
    let settings = &node.platform.settings;
    let place = (settings.node.0, settings.node_count);
    let started_at = Instant::now();
    let follower = || Follower {
        node: Rc::clone(&node),
        status: Rc::default(),
        seq: None,
        opened: false,
        poll_limits: poll_limits.clone(),
        retry_after: None,
        empty_list: EmptyListProtection::default(),
        started_at,
    };
    let mut first = follower();
    if let Some(known) = known {
        first.take(&List {
            whole: true,
            ..known
        });
        first.status = Rc::default();
    }
    // The first calls of a fleet whose nodes start together would take the service away from all that it serves: they
    // are spread over time.
    if let Some(first) = poll_limits
        .as_ref()
        .map(|poll_limits| poll_limits.first_call(place, fastrand::f64()))
    {
        tokio::time::sleep(first).await;
    }
    let mut next = Some(first);
    let mut previous: Option<WatchTask> = None;
    loop {
        // Each address has its own version: the next may number its lists otherwise, and a newer list would look old.
        let follower = next.take().unwrap_or_else(follower);
        let (status, now) = (Rc::clone(&follower.status), *address.borrow_and_update());
        node.watch_statuses.follow(&status);
        let mut current: WatchTask = (Rc::clone(&status), Box::pin(follow_address(follower, now)));
        loop {
            tokio::select! {
                biased;
                Ok(()) = address.changed() => break,
                () = status.first.notified() => previous = None,
                () = &mut current.1 => {}
                () = follow_previous(&mut previous) => previous = None,
            }
        }
        // Of two abandoned addresses the one that is still read is kept: there are never more than two.
        if status.listed.get() || previous.is_none() {
            status.abandoned.set(true);
            previous = Some(current).filter(|_| status.open.get());
        }
    }
}

/// The status of an address, and the task that follows it.
type WatchTask = (Rc<WatchStatus>, Pin<Box<dyn Future<Output = ()>>>);

/// Reads on from the watch of an abandoned address, until it ends.
async fn follow_previous(previous: &mut Option<WatchTask>) {
    match previous {
        Some((_, current)) => current.await,
        None => pending().await,
    }
}

/// Follows the list at one address, until that is abandoned and its watch has ended.
async fn follow_address(mut follower: Follower, address: SocketAddr) {
    let nodes = follower.node.platform.settings.node_count;
    let pushed = follower.node.platform.settings.discovery == DiscoveryMode::Pushed;
    let mut backoff = match &follower.poll_limits {
        Some(poll_limits) => PollBackoff::with_limits(nodes, poll_limits),
        // Where lists are pushed the address is this machine's agent.
        None if pushed => PollBackoff::for_agent(),
        None => PollBackoff::for_fleet(nodes),
    };
    let mut logged = false;
    loop {
        follower.opened = false;
        let ended = watch_list(&mut follower, address, &mut backoff).await;
        follower.status.open.set(false);
        if follower.status.abandoned.get() {
            return;
        }
        if let Err(error) = ended {
            if !std::mem::replace(&mut logged, true) {
                warn!("discovery: {}", chain(&error));
            }
        }
        let pause = match follower.retry_after.take() {
            Some(after) => backoff.after_response(after, fastrand::f64()),
            None if follower.opened => backoff.after_watch_end(fastrand::f64()),
            None => backoff.after_failure(fastrand::f64()),
        };
        logged &= !follower.opened;
        tokio::time::sleep(pause).await;
    }
}

/// One watch, until it ends.
async fn watch_list(
    follower: &mut Follower,
    address: SocketAddr,
    backoff: &mut PollBackoff,
) -> Result<(), DiscoveryError> {
    let mut watch = open_watch(follower, address, backoff).await?;
    let status = Rc::clone(&follower.status);
    follower.opened = true;
    status.calls.borrow_mut().clear();
    status.watch.replace(watch.stream.clone());
    status.taken.set(false);
    status.open.set(true);
    let mut lists = JsonObjects::new(MAX_LIST_BYTES);
    while let Some(data) = next_data(follower, &mut watch).await? {
        // White space counts too: it says that nothing has changed.
        follower.node.record_list_contact();
        let mut rest = &data[..];
        while let Some(list) = lists.next(&mut rest)? {
            follower.take(&serde_json::from_slice(&list)?);
        }
    }
    Err(DiscoveryError::Ended)
}

/// Calls until the service answers with a watch.
async fn open_watch(
    follower: &mut Follower,
    address: SocketAddr,
    backoff: &mut PollBackoff,
) -> Result<Watch, DiscoveryError> {
    // While an empty list is not believed the whole list is read again.
    let from = follower
        .seq
        .filter(|_| follower.empty_list_settles_at().is_none());
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

/// The next data of a watch; `None` at its end. A silent machine keeps its connection open: only missing data shows that it
/// is gone.
async fn next_data(
    follower: &Follower,
    watch: &mut Watch,
) -> Result<Option<Bytes>, DiscoveryError> {
    loop {
        let settles_in = follower
            .empty_list_settles_at()
            .map(|at| at.saturating_sub(follower.started_at.elapsed()));
        let read_timeout = settles_in.map_or(WATCH_TIMEOUT, |span| span.min(WATCH_TIMEOUT));
        let next = poll_fn(|context| {
            let next = watch.poll_next(context);
            follower.status.taken.set(next.is_pending());
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
