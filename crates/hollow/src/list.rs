//! A node's watch on the list of app servers, as `saffronpaddle-node` keeps its own: the same protocol, reader, pauses and calls.

use crate::node::Node;
use crate::shard::Shard;
use anyhow::{bail, Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_endpoints::{HedgedPolls, JsonObjects, PollBackoff};
use saffronpaddle_node::config::List;
use saffronpaddle_policy::interface::DiscoveryMode;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// As in `saffronpaddle-node`: a watch that says nothing for so long is taken for dead.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// And the most bytes of one list.
pub const LIST_MOST: usize = 40_000 * 256;

struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Watch {
    _driver: Driver,
    body: Incoming,
}

/// Follows the list for ever.
pub async fn follow(shard: Rc<Shard>, node: Rc<Node>) {
    let mut pace = match node.discovery {
        DiscoveryMode::Pushed => PollBackoff::for_agent(),
        DiscoveryMode::Subscribed => PollBackoff::for_fleet(shard.spec.gateways),
    };
    let mut seq = None;
    loop {
        let mut opened = false;
        if let Err(error) = watch(&shard, &node, (&mut seq, &mut opened), pace.hedged()).await {
            shard.complain(&error);
        }
        let pause = if opened {
            pace.after_watch_end(fastrand::f64())
        } else {
            pace.after_failure(fastrand::f64())
        };
        sleep(pause).await;
    }
}

async fn call(address: SocketAddr, path: String, answers: Duration) -> Result<Watch> {
    let stream = timeout(SILENT_FOR.min(answers), TcpStream::connect(address)).await??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = Driver(tokio::task::spawn_local(async move {
        // How it ended shows in the watch.
        let _ = connection.await;
    }));
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string());
    let answer = timeout(
        answers,
        sender.send_request(request.body(Empty::<Bytes>::new())?),
    )
    .await??;
    if answer.status() != StatusCode::OK {
        bail!("the watch was answered {}", answer.status());
    }
    Ok(Watch {
        _driver: driver,
        body: answer.into_body(),
    })
}

/// Calls again and again while earlier calls are still open, until one is answered with a watch.
async fn soonest(shard: &Shard, path: &str, hedged: HedgedPolls) -> Watch {
    let mut calls = JoinSet::new();
    loop {
        shard.figures.borrow_mut().list.0 += 1;
        calls.spawn_local(call(shard.spec.list, path.to_owned(), hedged.answer_within));
        let next = sleep(hedged.every);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => break,
                Some(ended) = calls.join_next() => {
                    if let Ok(Ok(watch)) = ended {
                        return watch;
                    }
                }
            }
        }
    }
}

async fn watch(
    shard: &Rc<Shard>,
    node: &Rc<Node>,
    (seq, opened): (&mut Option<u64>, &mut bool),
    hedged: Option<HedgedPolls>,
) -> Result<()> {
    let from = seq.map_or(String::new(), |seq| format!("&from={seq}"));
    let path = format!("/api/targets?watch=1{from}");
    let mut watch = if let Some(hedged) = hedged {
        soonest(shard, &path, hedged).await
    } else {
        shard.figures.borrow_mut().list.0 += 1;
        call(shard.spec.list, path, SILENT_FOR).await?
    };
    *opened = true;
    let mut lists = JsonObjects::new(LIST_MOST);
    loop {
        let frame = timeout(SILENT_FOR, watch.body.frame())
            .await
            .context("the watch is silent")?;
        let Some(frame) = frame else {
            bail!("the watch ended")
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        shard.figures.borrow_mut().list.1 += data.len() as u64;
        if data.trim_ascii().is_empty() {
            // A sign of life.
            continue;
        }
        let _turn = shard.turn().await;
        let mut rest = &data[..];
        while let Some(list) = lists.next(&mut rest).context("the watch")? {
            let list: List = serde_json::from_slice(&list).context("a list of the watch")?;
            if list.whole || seq.is_none_or(|seq| list.seq > seq) {
                *seq = Some(list.seq);
                shard.listed(node, &list);
            }
        }
    }
}
