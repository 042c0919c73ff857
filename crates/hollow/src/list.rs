//! A hollow node's watch on the list of app servers, with the protocol, parser, backoff and hedged calls of
//! `saffronpaddle-node`.

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

/// A watch without data for this long is closed, as in `saffronpaddle-node`.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest list that a node accepts, bytes, as in `saffronpaddle-node`.
pub const MAX_LIST_BYTES: usize = 40_000 * 256;

/// The task that drives a connection to the list service. Dropping this value ends it.
struct ConnectionDriver(JoinHandle<()>);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open watch.
struct Watch {
    _driver: ConnectionDriver,
    body: Incoming,
}

/// Follows the list and reconnects after each failure; never returns.
pub async fn follow(shard: Rc<Shard>, node: Rc<Node>) {
    let mut backoff = match node.discovery {
        DiscoveryMode::Pushed => PollBackoff::for_agent(),
        DiscoveryMode::Subscribed => PollBackoff::for_fleet(shard.spec.fleet_size),
    };
    let mut seq = None;
    loop {
        let mut opened = false;
        if let Err(error) = watch(&shard, &node, (&mut seq, &mut opened), backoff.hedged()).await {
            shard.report_watch_error(&error);
        }
        let pause = if opened {
            backoff.after_watch_end(fastrand::f64())
        } else {
            backoff.after_failure(fastrand::f64())
        };
        sleep(pause).await;
    }
}

/// Opens a watch. Fails if the list service does not answer with status 200 in time.
async fn call(address: SocketAddr, path: String, answer_timeout: Duration) -> Result<Watch> {
    let stream = timeout(
        WATCH_TIMEOUT.min(answer_timeout),
        TcpStream::connect(address),
    )
    .await??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = ConnectionDriver(tokio::task::spawn_local(async move {
        // The watch's body reports the error.
        let _ = connection.await;
    }));
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string());
    let answer = timeout(
        answer_timeout,
        sender.send_request(request.body(Empty::<Bytes>::new())?),
    )
    .await??;
    if answer.status() != StatusCode::OK {
        bail!(
            "the list service answered the watch with status {}",
            answer.status()
        );
    }
    Ok(Watch {
        _driver: driver,
        body: answer.into_body(),
    })
}

/// Starts a further call at each hedging interval while earlier ones are unanswered; returns the first watch that
/// opens.
async fn hedged_call(shard: &Shard, path: &str, hedged: HedgedPolls) -> Watch {
    let mut calls = JoinSet::new();
    loop {
        shard.totals.borrow_mut().list_traffic.0 += 1;
        calls.spawn_local(call(
            shard.spec.list_address,
            path.to_owned(),
            hedged.answer_within,
        ));
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

/// Opens a watch and applies its lists until it fails. Sets `opened` once it is open, and `seq` to the last version
/// applied.
async fn watch(
    shard: &Rc<Shard>,
    node: &Rc<Node>,
    (seq, opened): (&mut Option<u64>, &mut bool),
    hedged: Option<HedgedPolls>,
) -> Result<()> {
    let from = seq.map_or(String::new(), |seq| format!("&from={seq}"));
    let path = format!("/api/targets?watch=1{from}");
    let mut watch = if let Some(hedged) = hedged {
        hedged_call(shard, &path, hedged).await
    } else {
        shard.totals.borrow_mut().list_traffic.0 += 1;
        call(shard.spec.list_address, path, WATCH_TIMEOUT).await?
    };
    *opened = true;
    let mut lists = JsonObjects::new(MAX_LIST_BYTES);
    loop {
        let frame = timeout(WATCH_TIMEOUT, watch.body.frame())
            .await
            .with_context(|| {
                format!("the watch on the list sent no data within {WATCH_TIMEOUT:?}")
            })?;
        let Some(frame) = frame else {
            bail!("the list service closed the watch")
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        shard.totals.borrow_mut().list_traffic.1 += data.len() as u64;
        if data.trim_ascii().is_empty() {
            // An empty line is a heartbeat.
            continue;
        }
        let _permit = shard.list_permit().await;
        let mut rest = &data[..];
        while let Some(list) = lists
            .next(&mut rest)
            .context("parsing the watch on the list")?
        {
            let list: List =
                serde_json::from_slice(&list).context("decoding a list from the watch")?;
            if list.whole || seq.is_none_or(|seq| list.seq > seq) {
                *seq = Some(list.seq);
                shard.apply_list(node, &list);
            }
        }
    }
}
