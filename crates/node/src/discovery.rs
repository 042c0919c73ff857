//! Discovery: a watch on the list of app servers, opened again whenever it ends or falls silent, and held on to while its
//! address moves until the new one has spoken.

use crate::config::List;
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
use saffronpaddle_netio::{is_quiet, Socket};
use saffronpaddle_policy::interface::DiscoveryMode;
use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Weak as Looked};
use std::task::{Context as Polled, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{debug, warn};

/// A watch says something every 2 s; one that is this late is taken for dead. Guards drains: what discovery
/// has to tell counts as told 6 s later, also on a watch that nobody serves any more.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// Servers of the longest list that is read, and bytes of one in the full form with room for long names: 40,000 of ten letters each take
/// 124 bytes a server.
const SERVERS_MOST: usize = 40_000;
const SERVER_MOST: usize = 256;
/// Most bytes of one list. Guards memory: its text is kept until its last byte has come, and then stands beside its entries.
const LIST_MOST: usize = SERVERS_MOST * SERVER_MOST;

/// How one address stands to the list.
#[derive(Default)]
struct Word {
    /// It has told its first list.
    told: Cell<bool>,
    first: Notify,
    /// A watch of it is open.
    open: Cell<bool>,
    /// The connection of that watch, and whether all that was read of it has been taken.
    watch: RefCell<Looked<TcpStream>>,
    taken: Cell<bool>,
    /// Connections of calls that are not answered yet.
    asked: RefCell<Vec<Looked<TcpStream>>>,
    /// Discovery has moved: nothing new is asked of this one.
    left: Cell<bool>,
}

impl Word {
    /// Whether something of it has come that the node has not taken yet: on its watch, or as the answer to a call.
    fn is_behind(&self) -> bool {
        let has_more =
            |stream: &Looked<TcpStream>| stream.upgrade().is_some_and(|stream| !is_quiet(&stream));
        (self.open.get() && (!self.taken.get() || has_more(&self.watch.borrow())))
            || self.asked.borrow().iter().any(has_more)
    }

    /// A call is out.
    fn asks(&self, stream: &Arc<TcpStream>) {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|stream| stream.strong_count() > 0);
        asked.push(Arc::downgrade(stream));
    }
}

/// The addresses of discovery that are followed now: one, or two while it moves.
#[derive(Default)]
pub struct Words(RefCell<Vec<Weak<Word>>>);

impl Words {
    fn follow(&self, word: &Rc<Word>) {
        let mut words = self.0.borrow_mut();
        words.retain(|word| word.strong_count() > 0);
        words.push(Rc::downgrade(word));
    }

    /// Whether news of the list has come to this machine that the node has not taken yet. Danger: a loop that was late, which
    /// finds a drain and a request waiting for it and writes the request first.
    pub fn are_behind(&self) -> bool {
        self.0
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .any(|word| word.is_behind())
    }
}

/// Applies versions of one address in order. `known` may be old, and a watch may tell again what is known.
struct Follower {
    node: Rc<Node>,
    word: Rc<Word>,
    /// The version that was taken last, as this address numbers them.
    seq: Option<u64>,
    /// Whether the last call was answered with a watch.
    opened: bool,
    /// What the installation says of its list service, if it says anything; and what the service said of the next call.
    terms: Option<PollLimits>,
    come_back: Option<Duration>,
    /// Whether an empty list is in doubt.
    doubt: EmptyListProtection,
    born: Instant,
}

impl Follower {
    /// How long a call may take to be answered.
    fn answers(&self) -> Duration {
        self.terms
            .as_ref()
            .map_or(SILENT_FOR, |terms| terms.answer_within)
    }

    /// Whether a list is to be believed; one that is not is asked for whole again.
    fn believes(&mut self, list: &List) -> bool {
        let Some(terms) = self.terms.as_ref().filter(|_| list.whole) else {
            return true;
        };
        let known = self.node.ready();
        let believed = self.doubt.accepts(
            self.born.elapsed(),
            list.hosts.len(),
            known,
            terms.empty_after,
        );
        if !believed {
            warn!(
                servers = known,
                empty_for_ms = terms.empty_after.as_millis() as u64,
                "discovery: its list is empty; the known servers are kept until that has lasted"
            );
        }
        believed
    }

    fn take(&mut self, list: &List) {
        debug!(
            seq = list.seq,
            whole = list.whole,
            hosts = list.hosts.len(),
            "discovery: a list"
        );
        if !self.believes(list) {
            return;
        }
        if list.whole || self.seq.is_none_or(|seq| list.seq > seq) {
            self.seq = Some(list.seq);
            self.node.listed(list);
            self.node.remember(list);
        }
        if !self.word.told.replace(true) {
            self.word.first.notify_one();
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
    terms: Option<PollLimits>,
) {
    let place = (node.named.settings.node.0, node.named.settings.node_count);
    let born = Instant::now();
    let follower = || Follower {
        node: Rc::clone(&node),
        word: Rc::default(),
        seq: None,
        opened: false,
        terms: terms.clone(),
        come_back: None,
        doubt: EmptyListProtection::default(),
        born,
    };
    let mut first = follower();
    if let Some(known) = known {
        first.take(&List {
            whole: true,
            ..known
        });
        first.word = Rc::default();
    }
    // Danger: a fleet that starts at one stroke, whose first calls take the service away from all that it serves.
    if let Some(first) = terms
        .as_ref()
        .map(|terms| terms.first_call(place, fastrand::f64()))
    {
        tokio::time::sleep(first).await;
    }
    let mut next = Some(first);
    let mut before: Option<Staying> = None;
    loop {
        // Guards against versions of one discovery that are numbered otherwise than those of the next: each has its own.
        let follower = next.take().unwrap_or_else(follower);
        let (word, now) = (Rc::clone(&follower.word), *address.borrow_and_update());
        node.words.follow(&word);
        let mut staying: Staying = (Rc::clone(&word), Box::pin(stay(follower, now)));
        loop {
            tokio::select! {
                biased;
                Ok(()) = address.changed() => break,
                () = word.first.notified() => before = None,
                () = &mut staying.1 => {}
                () = left(&mut before) => before = None,
            }
        }
        // Of two that were left, the one that is heard: there are never more than two.
        if word.told.get() || before.is_none() {
            word.left.set(true);
            before = Some(staying).filter(|_| word.open.get());
        }
    }
}

/// A call on one address that goes on, and how that stands.
type Staying = (Rc<Word>, Pin<Box<dyn Future<Output = ()>>>);

/// Hears on the watch of an address that was left, until it ends.
async fn left(before: &mut Option<Staying>) {
    match before {
        Some((_, staying)) => staying.await,
        None => pending().await,
    }
}

/// Follows the list at one address, until that was left and its watch has ended.
async fn stay(mut follower: Follower, address: SocketAddr) {
    let nodes = follower.node.named.settings.node_count;
    let pushed = follower.node.named.settings.discovery == DiscoveryMode::Pushed;
    let mut pace = match &follower.terms {
        Some(terms) => PollBackoff::with_limits(nodes, terms),
        // Where lists are pushed the address is the agent of this machine.
        None if pushed => PollBackoff::for_agent(),
        None => PollBackoff::for_fleet(nodes),
    };
    let mut told = false;
    loop {
        follower.opened = false;
        let ended = watch_list(&mut follower, address, &mut pace).await;
        follower.word.open.set(false);
        if follower.word.left.get() {
            return;
        }
        if let Err(error) = ended {
            if !std::mem::replace(&mut told, true) {
                warn!("discovery: {error:#}");
            }
        }
        let pause = match follower.come_back.take() {
            Some(after) => pace.after_response(after, fastrand::f64()),
            None if follower.opened => pace.after_watch_end(fastrand::f64()),
            None => pace.after_failure(fastrand::f64()),
        };
        told &= !follower.opened;
        tokio::time::sleep(pause).await;
    }
}

/// What drives a call's connection until that ends; it goes with its owner. No task of its own. Danger: news that one task has
/// read off the socket and another has not taken yet, while a first byte finds the socket empty.
struct Driver(Option<Pin<Box<dyn Future<Output = ()>>>>);

impl Driver {
    fn drive(&mut self, context: &mut Polled<'_>) {
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
    stream: Looked<TcpStream>,
}

impl Watch {
    /// The next frame; none has come only once all that the machine holds was read.
    fn poll_next(&mut self, context: &mut Polled<'_>) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
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
enum NoWatch {
    /// The service has said when to come back.
    ComeBack(StatusCode, Duration),
    Failed(anyhow::Error),
}

/// One call, until it is answered. `answers`: how long that may take, with the connection.
async fn call(
    word: Rc<Word>,
    address: SocketAddr,
    path: String,
    answers: Duration,
) -> Result<Watch, NoWatch> {
    let opened = async {
        let by = Instant::now() + answers;
        let connect = TcpStream::connect(address);
        let stream = timeout(SILENT_FOR.min(answers), connect)
            .await
            .context("it does not come up")??;
        let stream = Arc::new(stream);
        let looked = Arc::downgrade(&stream);
        word.asks(&stream);
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
        anyhow::Ok((driver, looked, answer))
    };
    let (driver, stream, answer) = opened.await.map_err(NoWatch::Failed)?;
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
    let failed = || NoWatch::Failed(anyhow!("the watch was answered {}", answer.status()));
    Err(after.map_or_else(failed, |after| {
        NoWatch::ComeBack(answer.status(), Duration::from_secs(after))
    }))
}

/// Calls again and again, also while earlier calls are still open, until one is answered with a watch. The others end with it.
async fn soonest(
    word: &Rc<Word>,
    address: SocketAddr,
    path: &str,
    answers: Duration,
    pace: &mut PollBackoff,
    mut beside: Duration,
) -> Watch {
    let mut calls = JoinSet::new();
    let mut told = false;
    loop {
        let begun = Instant::now();
        debug!(%address, "discovery: a call begins");
        calls.spawn_local(call(Rc::clone(word), address, path.to_owned(), answers));
        let next = sleep(beside);
        tokio::pin!(next);
        loop {
            let error = tokio::select! {
                () = &mut next => break,
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(watch)) => return watch,
                    Ok(Err(NoWatch::Failed(error))) => error,
                    Ok(Err(NoWatch::ComeBack(status, after))) => {
                        let pause = pace.after_hedged_response(after, begun.elapsed(), fastrand::f64());
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
            if !std::mem::replace(&mut told, true) {
                warn!("discovery: {error:#}");
            }
        }
        beside = pace.hedge_delay(fastrand::f64()).unwrap_or(beside);
    }
}

/// One watch, until it ends.
async fn watch_list(
    follower: &mut Follower,
    address: SocketAddr,
    pace: &mut PollBackoff,
) -> Result<()> {
    // A list that is in doubt is asked for whole.
    let settles = follower
        .terms
        .as_ref()
        .and_then(|terms| follower.doubt.poll_again_after(terms.empty_after));
    let from = follower.seq.filter(|_| settles.is_none());
    let from = from.map_or(String::new(), |seq| format!("&from={seq}"));
    let path = format!("/api/targets?watch=1{from}");
    let answers = pace.answer_within().unwrap_or_else(|| follower.answers());
    let word = Rc::clone(&follower.word);
    let mut watch = match pace.hedge_delay(fastrand::f64()) {
        Some(beside) => soonest(&word, address, &path, answers, pace, beside).await,
        None => match call(Rc::clone(&word), address, path, answers).await {
            Ok(watch) => watch,
            Err(NoWatch::Failed(error)) => return Err(error),
            Err(NoWatch::ComeBack(status, after)) => {
                follower.come_back = Some(after);
                bail!("the watch was answered {status}");
            }
        },
    };
    follower.opened = true;
    word.asked.borrow_mut().clear();
    word.watch.replace(watch.stream.clone());
    word.taken.set(false);
    word.open.set(true);
    let mut lists = JsonObjects::new(LIST_MOST);
    // A silent machine keeps its connection open: only the missing signs of life tell.
    loop {
        let doubt = follower
            .terms
            .as_ref()
            .and_then(|terms| follower.doubt.poll_again_after(terms.empty_after));
        let settles = doubt.map(|at| at.saturating_sub(follower.born.elapsed()));
        let patience = settles.map_or(SILENT_FOR, |settles| settles.min(SILENT_FOR));
        let next = poll_fn(|context| {
            let next = watch.poll_next(context);
            word.taken.set(next.is_pending());
            next
        });
        let frame = match timeout(patience, next).await {
            Ok(frame) => frame,
            Err(_) if settles.is_some_and(|settles| settles <= SILENT_FOR) => {
                bail!("its empty list is settled")
            }
            Err(_) => bail!("the watch is silent"),
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // White space too: nothing has changed.
        follower.node.heard_list();
        let mut rest = &data[..];
        while let Some(list) = lists.next(&mut rest).context("the watch")? {
            follower.take(&serde_json::from_slice(&list).context("a list of the watch")?);
        }
    }
    bail!("the watch ended")
}

#[cfg(test)]
mod tests;
