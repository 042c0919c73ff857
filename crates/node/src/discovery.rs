//! Discovery: a watch on the list of app servers, opened again whenever it ends or falls silent, and held on to while its
//! address moves until the new one has spoken.

use crate::config::List;
use crate::discovery_status::WatchStatus;
use crate::node::Node;
use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_endpoints::{EmptyListProtection, JsonObjects, PollBackoff, PollLimits};
use saffronpaddle_netio::Socket;
use saffronpaddle_policy::interface::DiscoveryMode;
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::{Arc, Weak as WeakArc};
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{debug, warn};

/// A watch says something every 2 s; one that is this late is taken for dead. Guards drains: what discovery
/// has to tell counts as told 6 s later, also on a watch that nobody serves any more.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Servers of the longest list that is read, and bytes of one in the full form with room for long names: 40,000 of ten letters each take
/// 124 bytes a server.
const MAX_SERVERS: usize = 40_000;
const MAX_BYTES_PER_SERVER: usize = 256;
/// Most bytes of one list. Guards memory: its text is kept until its last byte has come, and then stands beside its entries.
const MAX_LIST_BYTES: usize = MAX_SERVERS * MAX_BYTES_PER_SERVER;

/// Applies versions of one address in order. `known` may be old, and a watch may tell again what is known.
struct Follower {
    node: Rc<Node>,
    status: Rc<WatchStatus>,
    /// The version that was taken last, as this address numbers them.
    seq: Option<u64>,
    /// Whether the last call was answered with a watch.
    opened: bool,
    /// What the installation says of its list service, if it says anything; and what the service said of the next call.
    poll_limits: Option<PollLimits>,
    retry_after: Option<Duration>,
    /// Whether an empty list is in doubt.
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

    /// Whether a list is to be believed; one that is not is asked for whole again.
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

/// Follows the list for ever, and moves when discovery gets another address. While it is down, and until the
/// new one has spoken, the old list stands, and a watch that is open at the old address is heard on. Danger: a drain that
/// the old one still tells while the new one is silent.
pub async fn follow(
    node: Rc<Node>,
    mut address: watch::Receiver<SocketAddr>,
    known: Option<List>,
    poll_limits: Option<PollLimits>,
) {
    let place = (node.named.settings.node.0, node.named.settings.node_count);
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
    // Danger: a fleet that starts at one stroke, whose first calls take the service away from all that it serves.
    if let Some(first) = poll_limits
        .as_ref()
        .map(|poll_limits| poll_limits.first_call(place, fastrand::f64()))
    {
        tokio::time::sleep(first).await;
    }
    let mut next = Some(first);
    let mut previous: Option<WatchTask> = None;
    loop {
        // Guards against versions of one discovery that are numbered otherwise than those of the next: each has its own.
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
        // Of two that were left, the one that is heard: there are never more than two.
        if status.listed.get() || previous.is_none() {
            status.abandoned.set(true);
            previous = Some(current).filter(|_| status.open.get());
        }
    }
}

/// A call on one address that goes on, and how that stands.
type WatchTask = (Rc<WatchStatus>, Pin<Box<dyn Future<Output = ()>>>);

/// Hears on the watch of an address that was left, until it ends.
async fn follow_previous(previous: &mut Option<WatchTask>) {
    match previous {
        Some((_, current)) => current.await,
        None => pending().await,
    }
}

/// Follows the list at one address, until that was left and its watch has ended.
async fn follow_address(mut follower: Follower, address: SocketAddr) {
    let nodes = follower.node.named.settings.node_count;
    let pushed = follower.node.named.settings.discovery == DiscoveryMode::Pushed;
    let mut backoff = match &follower.poll_limits {
        Some(poll_limits) => PollBackoff::with_limits(nodes, poll_limits),
        // Where lists are pushed the address is the agent of this machine.
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
                warn!("discovery: {error:#}");
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

/// What drives a call's connection until that ends; it goes with its owner. No task of its own. Danger: news that one task has
/// read off the socket and another has not taken yet, while a first byte finds the socket empty.
struct Driver(Option<Pin<Box<dyn Future<Output = ()>>>>);

impl Driver {
    fn drive(&mut self, context: &mut TaskContext<'_>) {
        // How it ended shows in the watch.
        if self
            .0
            .as_mut()
            .is_some_and(|connection| connection.as_mut().poll(context).is_ready())
        {
            self.0 = None;
        }
    }
}

/// A call that was answered with a watch, and what drives its connection.
struct Watch {
    driver: Driver,
    body: Incoming,
    /// Its connection, to be looked at.
    stream: WeakArc<TcpStream>,
}

impl Watch {
    /// The next frame; none has come only once all that the machine holds was read.
    fn poll_next(
        &mut self,
        context: &mut TaskContext<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        // Danger: the library reads on only once the last frame has been taken and the next is asked for.
        for _ in 0..2 {
            self.driver.drive(context);
            let next = Pin::new(&mut self.body).poll_frame(context);
            if next.is_ready() {
                return next;
            }
        }
        Poll::Pending
    }
}

/// What a call was answered that is no watch.
enum WatchError {
    /// The service has said when to come back.
    RetryAfter(StatusCode, Duration),
    Failed(anyhow::Error),
}

/// One call, until it is answered. `answers`: how long that may take, with the connection.
async fn call(
    status: Rc<WatchStatus>,
    address: SocketAddr,
    path: String,
    answer_timeout: Duration,
) -> Result<Watch, WatchError> {
    let opened = async {
        let by = Instant::now() + answer_timeout;
        let connect = TcpStream::connect(address);
        let stream = timeout(WATCH_TIMEOUT.min(answer_timeout), connect)
            .await
            .context("it does not come up")??;
        let stream = Arc::new(stream);
        let weak_stream = Arc::downgrade(&stream);
        status.record_call(&stream);
        let (mut sender, connection) = http1::handshake(TokioIo::new(Socket::new(stream))).await?;
        let mut driver = Driver(Some(Box::pin(async move { _ = connection.await })));
        let request = Request::builder()
            .uri(path)
            .header(HOST, address.to_string());
        let mut answer = pin!(sender.send_request(request.body(Empty::<Bytes>::new())?));
        let answer = poll_fn(|context| {
            driver.drive(context);
            answer.as_mut().poll(context)
        });
        let answer = timeout_at(by, answer)
            .await
            .context("the call is not answered")??;
        anyhow::Ok((driver, weak_stream, answer))
    };
    let (driver, stream, answer) = opened.await.map_err(WatchError::Failed)?;
    if answer.status() == StatusCode::OK {
        return Ok(Watch {
            driver,
            body: answer.into_body(),
            stream,
        });
    }
    let after = answer
        .headers()
        .get(RETRY_AFTER)
        .and_then(|after| after.to_str().ok()?.trim().parse().ok());
    let failed = || WatchError::Failed(anyhow!("the watch was answered {}", answer.status()));
    Err(after.map_or_else(failed, |after| {
        WatchError::RetryAfter(answer.status(), Duration::from_secs(after))
    }))
}

/// Calls again and again, also while earlier calls are still open, until one is answered with a watch. The others end with it.
async fn call_hedged(
    status: &Rc<WatchStatus>,
    address: SocketAddr,
    path: &str,
    answer_timeout: Duration,
    backoff: &mut PollBackoff,
    mut hedge_delay: Duration,
) -> Watch {
    let mut calls = JoinSet::new();
    let mut logged = false;
    loop {
        let begun = Instant::now();
        debug!(%address, "discovery: a call begins");
        calls.spawn_local(call(
            Rc::clone(status),
            address,
            path.to_owned(),
            answer_timeout,
        ));
        let next = sleep(hedge_delay);
        tokio::pin!(next);
        loop {
            let error = tokio::select! {
                () = &mut next => break,
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(watch)) => return watch,
                    Ok(Err(WatchError::Failed(error))) => error,
                    Ok(Err(WatchError::RetryAfter(status, after))) => {
                        let pause = backoff.after_hedged_response(after, begun.elapsed(), fastrand::f64());
                        debug!(%status, ?after, ?pause, "discovery: told to come back");
                        if let Some(pause) = pause {
                            next.as_mut().reset(Instant::now() + pause);
                        }
                        anyhow!("the watch was answered {status}")
                    }
                    Err(_) => continue,
                },
            };
            debug!(error = format!("{error:#}"), "discovery: a call failed");
            if !std::mem::replace(&mut logged, true) {
                warn!("discovery: {error:#}");
            }
        }
        hedge_delay = backoff.hedge_delay(fastrand::f64()).unwrap_or(hedge_delay);
    }
}

/// One watch, until it ends.
async fn watch_list(
    follower: &mut Follower,
    address: SocketAddr,
    backoff: &mut PollBackoff,
) -> Result<()> {
    // A list that is in doubt is asked for whole.
    let settles = follower.poll_limits.as_ref().and_then(|poll_limits| {
        follower
            .empty_list
            .poll_again_after(poll_limits.empty_after)
    });
    let from = follower.seq.filter(|_| settles.is_none());
    let from = from.map_or(String::new(), |seq| format!("&from={seq}"));
    let path = format!("/api/targets?watch=1{from}");
    let answer_timeout = backoff
        .answer_within()
        .unwrap_or_else(|| follower.answer_timeout());
    let status = Rc::clone(&follower.status);
    let mut watch = match backoff.hedge_delay(fastrand::f64()) {
        Some(hedge_delay) => {
            call_hedged(
                &status,
                address,
                &path,
                answer_timeout,
                backoff,
                hedge_delay,
            )
            .await
        }
        None => match call(Rc::clone(&status), address, path, answer_timeout).await {
            Ok(watch) => watch,
            Err(WatchError::Failed(error)) => return Err(error),
            Err(WatchError::RetryAfter(status, after)) => {
                follower.retry_after = Some(after);
                bail!("the watch was answered {status}");
            }
        },
    };
    follower.opened = true;
    status.calls.borrow_mut().clear();
    status.watch.replace(watch.stream.clone());
    status.taken.set(false);
    status.open.set(true);
    let mut lists = JsonObjects::new(MAX_LIST_BYTES);
    // A silent machine keeps its connection open: only the missing signs of life tell.
    loop {
        let empty_list = follower.poll_limits.as_ref().and_then(|poll_limits| {
            follower
                .empty_list
                .poll_again_after(poll_limits.empty_after)
        });
        let settles = empty_list.map(|at| at.saturating_sub(follower.started_at.elapsed()));
        let read_timeout = settles.map_or(WATCH_TIMEOUT, |settles| settles.min(WATCH_TIMEOUT));
        let next = poll_fn(|context| {
            let next = watch.poll_next(context);
            status.taken.set(next.is_pending());
            next
        });
        let frame = match timeout(read_timeout, next).await {
            Ok(frame) => frame,
            Err(_) if settles.is_some_and(|settles| settles <= WATCH_TIMEOUT) => {
                bail!("its empty list is settled")
            }
            Err(_) => bail!("the watch is silent"),
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // White space too: nothing has changed.
        follower.node.record_list_contact();
        let mut rest = &data[..];
        while let Some(list) = lists.next(&mut rest).context("the watch")? {
            follower.take(&serde_json::from_slice(&list).context("a list of the watch")?);
        }
    }
    bail!("the watch ended")
}

#[cfg(test)]
mod tests;
