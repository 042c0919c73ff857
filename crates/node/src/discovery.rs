//! Discovery: a watch on the list of app servers, opened again whenever it ends or falls silent.

use crate::config::List;
use crate::node::Node;
use anyhow::{bail, ensure, Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_roster::Pace;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

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
}

impl Follower {
    fn take(&mut self, list: &List) {
        if list.whole || self.seq.is_none_or(|seq| list.seq > seq) {
            self.seq = Some(list.seq);
            self.node.listed(list);
            self.node.remember(list);
        }
    }
}

/// Follows the list for ever, and moves when discovery gets another address. While it is down, and until the
/// new one has spoken, the old list stands.
pub async fn follow(node: Rc<Node>, mut address: watch::Receiver<SocketAddr>, known: Option<List>) {
    let mut follower = Follower { node, seq: None, opened: false };
    if let Some(known) = known {
        follower.take(&List { whole: true, ..known });
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
    let mut pace = Pace::of(follower.node.named.settings.gateways);
    let mut told = false;
    loop {
        follower.opened = false;
        if let Err(error) = watch_list(follower, address).await {
            if !std::mem::replace(&mut told, true) {
                eprintln!("discovery: {error:#}");
            }
        }
        if follower.opened {
            pace.answered();
            told = false;
        }
        tokio::time::sleep(pace.pause(fastrand::f64())).await;
    }
}

/// A task that ends with its owner: a watch that is left must not keep its connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One watch, until it ends.
async fn watch_list(follower: &mut Follower, address: SocketAddr) -> Result<()> {
    let stream = timeout(SILENT_FOR, TcpStream::connect(address)).await??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _driver = Driver(tokio::task::spawn_local(async move {
        // How it ended shows in the watch.
        let _ = connection.await;
    }));
    read(follower, &mut sender, address).await
}

async fn read(
    follower: &mut Follower, sender: &mut http1::SendRequest<Empty<Bytes>>, address: SocketAddr,
) -> Result<()> {
    let from = follower.seq.map_or(String::new(), |seq| format!("&from={seq}"));
    let request = Request::builder().uri(format!("/api/targets?watch=1{from}"));
    let request = request.header(HOST, address.to_string()).body(Empty::new())?;
    let answer = timeout(SILENT_FOR, sender.send_request(request)).await??;
    ensure!(answer.status() == StatusCode::OK, "the watch was answered {}", answer.status());
    follower.opened = true;
    let mut body = answer.into_body();
    let mut line = Vec::new();
    // A silent machine keeps its connection open: only the missing signs of life tell.
    while let Some(frame) = timeout(SILENT_FOR, body.frame()).await.context("the watch is silent")? {
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
