//! Clients: their connections, what they ask and the answers that they get.

use crate::node::{Answer, Node};
use crate::upstream::{Forward, BODY_MOST};
use bytes::Bytes;
use doordock::interface::{ClassId, CustomerId, Effect, Event, GatewayId, PlanId, RequestId};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time kept back for an answer's way to the client.
const DELIVERY: Duration = Duration::from_millis(5);
/// How much later than the module's own last word a request is ended here.
const OVERDUE: Duration = Duration::from_millis(2);
/// A client that is silent within a request, or between two, for so long has its connection closed.
const SILENT_FOR: Duration = Duration::from_secs(60);
/// Most bytes buffered for one client, so that all together stay far from the memory limit.
const BUFFER_MOST: usize = 32 * 1024;
/// Pause after a connection that could not be accepted, for lack of descriptors mostly.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// How far the edge node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Not ready any more; all that comes is served, and each answer closes its connection.
    Leaving,
    /// No new connection is accepted, and idle ones are closed.
    Closing,
}

type Reply = Response<Full<Bytes>>;

/// Comes back when the edge node closes, or when nobody is left to say so.
async fn closing(mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Accepts clients until the edge node closes, then serves out those that it has. At most `most` at a time.
pub async fn serve(listener: TcpListener, node: Rc<Node>, most: usize, phase: watch::Receiver<Phase>) {
    let mut connections = JoinSet::new();
    let closed = closing(phase.clone());
    tokio::pin!(closed);
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < most => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(converse(stream, Rc::clone(&node), phase.clone()));
                }
                // Guards against running out of descriptors: the connection waits until there is one.
                Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
            },
            Some(_) = connections.join_next() => {}
            () = &mut closed => break,
        }
    }
    // What the machine has accepted counts as taken. Guards against resetting it with the listener.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        connections.spawn_local(converse(stream, Rc::clone(&node), phase.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn converse(stream: TcpStream, node: Rc<Node>, phase: watch::Receiver<Phase>) {
    let _ = stream.set_nodelay(true);
    let seen = phase.clone();
    let service = service_fn(move |request| {
        let (node, seen) = (Rc::clone(&node), seen.clone());
        async move {
            let mut reply = respond(&node, request, &seen).await;
            if *seen.borrow() > Phase::Serving {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(SILENT_FOR).max_buf_size(BUFFER_MOST);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        () = closing(phase) => connection.as_mut().graceful_shutdown(),
    }
    // A client that broke off has been told to the node by the request's guard.
    let _ = connection.await;
}

async fn respond(node: &Rc<Node>, request: Request<Incoming>, phase: &watch::Receiver<Phase>) -> Reply {
    if request.method() == Method::GET && request.uri().path() == "/-/ready" {
        let ready = *phase.borrow() == Phase::Serving;
        return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
    }
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_MOST).collect();
    let body = match tokio::time::timeout(SILENT_FOR, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        _ => return plain(StatusCode::BAD_REQUEST, "the body did not come whole\n"),
    };
    match read(node, &head, body) {
        Ok((event, forward)) => decide(node, event, forward).await,
        Err(what) => plain(StatusCode::BAD_REQUEST, what),
    }
}

/// Tells the node when the client goes away: the answer's future is dropped then.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.node.abandon(&self.id);
    }
}

async fn decide(node: &Rc<Node>, event: Event, forward: Forward) -> Reply {
    let (id, overdue) = (forward.id.clone(), forward.deadline + OVERDUE);
    let Some(answered) = node.take(event, forward) else {
        return plain(StatusCode::BAD_REQUEST, "X-Request-Id: in use\n");
    };
    let _waiting = Waiting { node, id };
    match tokio::time::timeout_at(overdue, answered).await {
        Ok(Ok(Answer::Served(body))) => Response::new(Full::new(body)),
        Ok(Ok(Answer::Refused(retry_in))) => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "");
            let seconds = retry_in.map(|span| format!("{:.3}", span.as_secs_f64()));
            if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
        // Guards against a request that nothing ends: past its time it fails, whatever the module says.
        Ok(Ok(Answer::Failed) | Err(_)) | Err(_) => plain(StatusCode::BAD_GATEWAY, ""),
    }
}

fn plain(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = Response::new(Full::from(words));
    *reply.status_mut() = status;
    reply
}

/// Reads a client's request; an error says what is wrong with it.
fn read(
    node: &Node, head: &hyper::http::request::Parts, body: Bytes,
) -> Result<(Event, Forward), &'static str> {
    let arrived = Instant::now();
    let headers = &head.headers;
    let id = text(headers, "x-request-id").filter(|id| (1..=64).contains(&id.len()));
    let id = RequestId(id.ok_or("X-Request-Id: missing, or no word of 1 to 64 bytes\n")?.into());
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let class = text(headers, "x-class").ok_or("X-Class: missing\n")?;
    let number = place(&node.named.classes, class).ok_or("X-Class: unknown\n")?;
    let plan = text(headers, "x-tier").and_then(|plan| place(&node.named.plans, plan));
    let plan = PlanId(plan.ok_or("X-Tier: missing or unknown\n")?);
    let mut path = head.uri.path().trim_start_matches('/').split('/');
    if path.next() != Some(class) {
        return Err("the path does not begin with the class\n");
    }
    let customer = path.next_back().filter(|last| last.len() == 16);
    let customer =
        customer.and_then(|last| u64::from_str_radix(last, 16).ok()).filter(|last| *last < 1 << 33);
    let customer = CustomerId(customer.ok_or("the path does not end with a customer\n")?);
    let patience = text(headers, "x-deadline").and_then(span).ok_or("X-Deadline: missing or bad\n")?;
    let terms = text(headers, "x-call-terms").and_then(Terms::read);
    let Terms { units, spread, first } = terms.ok_or("X-Call-Terms: missing or bad\n")?;
    let key = headers.get("idempotency-key").cloned();
    match (node.named.settings.classes[number].effect, &head.method) {
        (Effect::Safe, &Method::GET) => {}
        (Effect::Unsafe, &Method::POST) => {}
        (Effect::Keyed { .. }, &Method::POST) if key.is_some() => {}
        (Effect::Keyed { .. }, &Method::POST) => return Err("Idempotency-Key: missing\n"),
        _ => return Err("this class takes another method\n"),
    }
    let patience = patience.saturating_sub(DELIVERY);
    let event = Event::Request {
        id: id.clone(),
        class: ClassId(number),
        plan,
        customer,
        units,
        first,
        spread,
        patience: patience.as_micros() as u64,
    };
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let (method, deadline) = (head.method.clone(), arrived + patience);
    Ok((event, Forward { id, method, target, key, body, deadline }))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A number with its unit, `m` or `u`; an hour at the most.
fn span(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok()?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    (seconds > 0.0 && seconds <= 3600.0).then(|| Duration::from_secs_f64(seconds))
}

struct Terms {
    units: f64,
    spread: u32,
    first: GatewayId,
}

impl Terms {
    fn read(text: &str) -> Option<Terms> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for (name, value) in text.split(',').filter_map(|term| term.trim().split_once('=')) {
            match name {
                "units" => units = value.parse().ok().filter(|units| (0.0..1e6).contains(units)),
                "spread" => spread = value.parse().ok().filter(|spread| *spread > 0),
                "first" => first = value.parse().ok().map(GatewayId),
                _ => {}
            }
        }
        Some(Terms { units: units?, spread: spread?, first: first? })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_have_a_number_and_a_unit() {
        assert_eq!(span("480m"), Some(Duration::from_millis(480)));
        assert_eq!(span("1500u"), Some(Duration::from_micros(1500)));
        for bad in ["", "m", "480", "-1m", "0m", "NaNm", "infm", "1s", "4µ"] {
            assert_eq!(span(bad), None, "{bad:?}");
        }
    }

    #[test]
    fn terms_need_all_three() {
        let terms = Terms::read("units=2,spread=3,first=1,new=x").expect("whole terms");
        assert_eq!((terms.units, terms.spread, terms.first), (2.0, 3, GatewayId(1)));
        for bad in [
            "",
            "units=2,spread=3",
            "units=-1,spread=1,first=0",
            "units=NaN,spread=1,first=0",
            "units=1,spread=0,first=0",
        ] {
            assert!(Terms::read(bad).is_none(), "{bad:?}");
        }
    }
}
