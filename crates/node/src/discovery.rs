//! Discovery: a watch on the list of app servers, opened again whenever it ends or falls silent.

use crate::config::List;
use crate::node::Node;
use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_decision::interface::Discovery;
use saffronpaddle_roster::{Doubt, Hedged, Pace, Terms};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// A watch says something every 2 s; one that is this late is taken for dead. Guards drains: what discovery
/// has to tell counts as told 6 s later, also on a watch that nobody serves any more.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// Most bytes of one line of a watch.
const LINE_MOST: usize = 4 << 20;

/// Applies versions in order. `known` may be old, and a watch may tell again what is known.
struct Follower {
    node: Rc<Node>,
    seq: Option<u64>,
    /// Whether the last call was answered with a watch.
    opened: bool,
    /// What the installation says of its list service, if it says anything; and what the service said of the next call.
    terms: Option<Terms>,
    come_back: Option<Duration>,
    /// Whether an empty list is in doubt.
    doubt: Doubt,
    born: Instant,
}

impl Follower {
    /// How long a call may take to be answered.
    fn answers(&self) -> Duration {
        self.terms.as_ref().map_or(SILENT_FOR, |terms| terms.answer_within)
    }

    /// Whether a list is to be believed; one that is not is asked for whole again.
    fn believes(&mut self, list: &List) -> bool {
        let Some(terms) = self.terms.as_ref().filter(|_| list.whole) else { return true };
        let known = self.node.ready();
        let believed = self.doubt.believes(self.born.elapsed(), list.hosts.len(), known, terms.empty_after);
        if !believed {
            eprintln!(
                "discovery: its list is empty; {known} servers are kept until that has lasted {} ms",
                terms.empty_after.as_millis()
            );
        }
        believed
    }

    fn take(&mut self, list: &List) {
        if !self.believes(list) {
            return;
        }
        if list.whole || self.seq.is_none_or(|seq| list.seq > seq) {
            self.seq = Some(list.seq);
            self.node.listed(list);
            self.node.remember(list);
        }
    }
}

/// Follows the list for ever, and moves when discovery gets another address. While it is down, and until the
/// new one has spoken, the old list stands.
pub async fn follow(
    node: Rc<Node>, mut address: watch::Receiver<SocketAddr>, known: Option<List>, terms: Option<Terms>,
) {
    let place = (node.named.settings.me.0, node.named.settings.gateways);
    let (come_back, doubt, born) = (None, Doubt::default(), Instant::now());
    let mut follower = Follower { node, seq: None, opened: false, terms, come_back, doubt, born };
    if let Some(known) = known {
        follower.take(&List { whole: true, ..known });
    }
    // Danger: a fleet that starts at one stroke, whose first calls take the service away from all that it serves.
    if let Some(first) = follower.terms.as_ref().map(|terms| terms.first_call(place, fastrand::f64())) {
        tokio::time::sleep(first).await;
    }
    loop {
        let now = *address.borrow_and_update();
        tokio::select! {
            () = stay(&mut follower, now) => {}
            Ok(()) = address.changed() => {}
        }
        // Guards against versions of one discovery that are numbered otherwise than those of the next.
        follower.seq = None;
    }
}

/// Follows the list at one address, for ever.
async fn stay(follower: &mut Follower, address: SocketAddr) {
    let nodes = follower.node.named.settings.gateways;
    let pushed = follower.node.named.settings.discovery == Discovery::Pushed;
    let mut pace = match &follower.terms {
        Some(terms) => Pace::within(nodes, terms),
        // Where lists are pushed the address is the agent of this machine.
        None if pushed => Pace::agent(),
        None => Pace::of(nodes),
    };
    let mut told = false;
    loop {
        follower.opened = false;
        if let Err(error) = watch_list(follower, address, pace.hedged()).await {
            if !std::mem::replace(&mut told, true) {
                eprintln!("discovery: {error:#}");
            }
        }
        if follower.opened {
            pace.answered();
            told = false;
        }
        let pause = match follower.come_back.take() {
            Some(after) => pace.told(after, fastrand::f64()),
            None => pace.pause(fastrand::f64()),
        };
        tokio::time::sleep(pause).await;
    }
}

/// A task that ends with its owner: a watch that is left must not keep its connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A call that was answered with a watch, and what drives its connection.
type Watch = (Driver, Incoming);

/// What a call was answered that is no watch.
enum NoWatch {
    /// The service has said when to come back.
    ComeBack(StatusCode, Duration),
    Failed(anyhow::Error),
}

/// One call, until it is answered. `answers`: how long that may take.
async fn call(address: SocketAddr, path: String, answers: Duration) -> Result<Watch, NoWatch> {
    let opened = async {
        let connect = TcpStream::connect(address);
        let stream = timeout(SILENT_FOR.min(answers), connect).await.context("it does not come up")??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = Driver(tokio::task::spawn_local(async move {
            // How it ended shows in the watch.
            let _ = connection.await;
        }));
        let request = Request::builder().uri(path).header(HOST, address.to_string());
        let answer = timeout(answers, sender.send_request(request.body(Empty::<Bytes>::new())?)).await;
        anyhow::Ok((driver, answer.context("the call is not answered")??))
    };
    let (driver, answer) = opened.await.map_err(NoWatch::Failed)?;
    if answer.status() == StatusCode::OK {
        return Ok((driver, answer.into_body()));
    }
    let after = answer.headers().get(RETRY_AFTER).and_then(|after| after.to_str().ok()?.trim().parse().ok());
    let failed = || NoWatch::Failed(anyhow!("the watch was answered {}", answer.status()));
    Err(after.map_or_else(failed, |after| NoWatch::ComeBack(answer.status(), Duration::from_secs(after))))
}

/// Calls again and again while earlier calls are still open, until one is answered with a watch. The others end with it.
async fn soonest(address: SocketAddr, path: &str, hedged: Hedged) -> Watch {
    let mut calls = JoinSet::new();
    let mut told = false;
    loop {
        calls.spawn_local(call(address, path.to_owned(), hedged.answer_within));
        let next = sleep(hedged.every);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => break,
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(watch)) => return watch,
                    Ok(Err(NoWatch::Failed(error))) if !std::mem::replace(&mut told, true) => {
                        eprintln!("discovery: {error:#}");
                    }
                    Ok(Err(_)) | Err(_) => {}
                },
            }
        }
    }
}

/// One watch, until it ends.
async fn watch_list(follower: &mut Follower, address: SocketAddr, hedged: Option<Hedged>) -> Result<()> {
    // A list that is in doubt is asked for whole.
    let settles = follower.terms.as_ref().and_then(|terms| follower.doubt.asks_again(terms.empty_after));
    let from = follower.seq.filter(|_| settles.is_none());
    let from = from.map_or(String::new(), |seq| format!("&from={seq}"));
    let path = format!("/api/targets?watch=1{from}");
    let (_driver, mut body) = match hedged {
        Some(hedged) => soonest(address, &path, hedged).await,
        None => match call(address, path, follower.answers()).await {
            Ok(watch) => watch,
            Err(NoWatch::Failed(error)) => return Err(error),
            Err(NoWatch::ComeBack(status, after)) => {
                follower.come_back = Some(after);
                bail!("the watch was answered {status}");
            }
        },
    };
    follower.opened = true;
    let mut line = Vec::new();
    // A silent machine keeps its connection open: only the missing signs of life tell.
    loop {
        let doubt = follower.terms.as_ref().and_then(|terms| follower.doubt.asks_again(terms.empty_after));
        let settles = doubt.map(|at| at.saturating_sub(follower.born.elapsed()));
        let patience = settles.map_or(SILENT_FOR, |settles| settles.min(SILENT_FOR));
        let frame = match timeout(patience, body.frame()).await {
            Ok(frame) => frame,
            Err(_) if settles.is_some_and(|settles| settles <= SILENT_FOR) => {
                bail!("its empty list is settled")
            }
            Err(_) => bail!("the watch is silent"),
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame?.into_data() else { continue };
        let mut rest = &data[..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            // An empty line too: nothing has changed.
            follower.node.heard_list();
            line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            if !line.trim_ascii().is_empty() {
                follower.take(&serde_json::from_slice(&line).context("a line of the watch")?);
            }
            line.clear();
        }
        line.extend_from_slice(rest);
        if line.len() > LINE_MOST {
            bail!("a line of the watch has no end");
        }
    }
    bail!("the watch ended")
}
