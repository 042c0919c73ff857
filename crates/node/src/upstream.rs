//! Connections to app servers: made, written to, read and closed as the exchange has it, and only so.

use crate::bodies::{
    joined, Gathered, StreamedRequestBody, StreamedResponseBody, UpstreamRequestBody,
    MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
};
use crate::downstream::DownstreamConnection;
use crate::node::{Node, Payload};
use crate::websocket::UpgradedConnection;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{
    HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_KEY,
    SEC_WEBSOCKET_PROTOCOL, SEC_WEBSOCKET_VERSION, TRANSFER_ENCODING, UPGRADE,
};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use saffronpaddle_exchange::{ConnectionId, Event};
use saffronpaddle_netio::{is_local_failure, is_quiet, Socket};
use saffronpaddle_policy::interface::{Idempotency, Outcome, RequestId, ServerId};
use saffronpaddle_websocket::upgrade::{self, Offer};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{yield_now, AbortHandle, JoinHandle};
use tokio::time::{timeout_at, Instant};

/// Most bytes buffered of one app server's answer before its body. Guards memory against heads that never end.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Rounds of the loop that a first byte waits for news of the list to be taken: the driver's, the connection's, the watch's, and
/// some to spare. Guards against a watch that is never read.
const MAX_DISCOVERY_ROUNDS: u32 = 16;
/// A client's request as it goes on to an app server.
pub struct Forward {
    pub id: RequestId,
    /// What a second execution would do.
    pub effect: Idempotency,
    pub method: Method,
    /// Path and query.
    pub target: String,
    pub key: Option<HeaderValue>,
    pub body: ForwardBody,
    /// The socket that is asked for.
    pub offer: Option<Offer>,
    /// When the edge node stops waiting.
    pub deadline: Instant,
    /// Who waits for the answer.
    pub client: Arc<DownstreamConnection>,
}

/// The body of a request that goes on.
pub enum ForwardBody {
    /// It has come whole, and can go again.
    Buffered(Bytes),
    /// It goes by, once.
    Streamed(Rc<StreamedRequestBody>),
}

impl Forward {
    /// Its body, if that goes by.
    pub fn coming(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            ForwardBody::Buffered(_) => None,
            ForwardBody::Streamed(pipe) => Some(pipe),
        }
    }
}

/// A connection, from the command to connect until it is closed.
struct UpstreamConnection {
    dial: SocketAddr,
    /// Connects, then drives the connection; the socket is closed with it.
    driver: JoinHandle<()>,
    /// Free for a request.
    sender: Option<SendRequest<UpstreamRequestBody>>,
    /// Writes a request and reads its answer.
    exchange: Option<AbortHandle>,
    /// The body that goes by on it.
    pipe: Option<Rc<StreamedRequestBody>>,
    /// The request that was last made ready on it.
    forward: Option<Rc<Forward>>,
    /// Whether bytes may be written. Shut when a request is made ready: before its first byte the exchange is asked.
    open: Arc<AtomicBool>,
}

/// All connections to app servers. What they are for is the exchange's matter.
pub struct Upstream {
    wires: RefCell<HashMap<ConnectionId, UpstreamConnection>>,
    /// Where answers that nobody takes any more are told. As many as there are connections at the most.
    tell_left: mpsc::UnboundedSender<ConnectionId>,
    left: RefCell<Option<mpsc::UnboundedReceiver<ConnectionId>>>,
}

impl Upstream {
    pub fn new() -> Upstream {
        let (tell_left, left) = mpsc::unbounded_channel();
        Upstream {
            wires: RefCell::default(),
            tell_left,
            left: RefCell::new(Some(left)),
        }
    }

    /// Connections whose answers nobody takes any more; to be asked for once.
    pub fn left(&self) -> Option<mpsc::UnboundedReceiver<ConnectionId>> {
        self.left.borrow_mut().take()
    }

    /// An answer that went by has come to its end.
    pub fn return_connection(&self, link: ConnectionId, sender: SendRequest<UpstreamRequestBody>) {
        if let Some(wire) = self.wires.borrow_mut().get_mut(&link) {
            (wire.sender, wire.exchange, wire.forward) = (Some(sender), None, None);
        }
    }

    /// Lets the last piece of a body go.
    pub fn release(&self, link: ConnectionId) {
        let pipe = self
            .wires
            .borrow()
            .get(&link)
            .and_then(|wire| wire.pipe.clone());
        pipe.into_iter().for_each(|pipe| pipe.release());
    }

    /// Makes a connection.
    pub fn connect(&self, node: &Rc<Node>, link: ConnectionId, dial: SocketAddr) {
        let open = Arc::new(AtomicBool::new(false));
        let driver =
            tokio::task::spawn_local(drive(Rc::clone(node), link, dial, Arc::clone(&open)));
        let wire = UpstreamConnection {
            dial,
            driver,
            sender: None,
            exchange: None,
            pipe: None,
            forward: None,
            open,
        };
        self.wires.borrow_mut().insert(link, wire);
    }

    /// Makes a request ready on a free connection. Its first byte goes when the exchange lets it.
    pub fn send(
        &self,
        node: &Rc<Node>,
        link: ConnectionId,
        server: ServerId,
        forward: Rc<Forward>,
    ) {
        let mut wires = self.wires.borrow_mut();
        let Some(wire) = wires.get_mut(&link) else {
            return;
        };
        let Some(sender) = wire.sender.take() else {
            return;
        };
        wire.open.store(false, Ordering::Relaxed);
        wire.pipe = forward.coming().cloned();
        wire.forward = Some(Rc::clone(&forward));
        let (node, dial) = (Rc::clone(node), wire.dial);
        let task = tokio::task::spawn_local(async move {
            let mut sender = sender;
            let left = node.time_left(&forward);
            let answer = exchange(&mut sender, &forward, left, server, dial).await;
            match answer {
                AttemptOutcome::Upgraded(switched) => {
                    // The connection is the socket's now.
                    node.upstream.wires.borrow_mut().remove(&link);
                    node.handle(
                        Event::Upgraded { connection: link },
                        Some(Payload::Upgraded(switched)),
                    );
                }
                AttemptOutcome::Streaming(first, rest) => {
                    let left = node.upstream.tell_left.clone();
                    let passing =
                        StreamedResponseBody::new(node.number(), link, left, sender, first, rest);
                    node.handle(
                        Event::ResponseStreaming { connection: link },
                        Some(Payload::Streaming(Box::new(passing))),
                    );
                }
                AttemptOutcome::Complete(outcome, payload) => {
                    node.upstream.return_connection(link, sender);
                    node.handle(
                        Event::ResponseComplete {
                            connection: link,
                            outcome,
                        },
                        payload,
                    );
                }
                AttemptOutcome::Lost => {
                    node.upstream.return_connection(link, sender);
                    node.handle(Event::ConnectionLost { connection: link }, None);
                }
            }
        });
        wire.exchange = Some(task.abort_handle());
    }

    /// The request that is made ready on a connection.
    fn ready(&self, link: ConnectionId) -> Option<Rc<Forward>> {
        self.wires
            .borrow()
            .get(&link)
            .and_then(|wire| wire.forward.clone())
    }

    /// Lets bytes be written.
    pub fn open(&self, link: ConnectionId) {
        if let Some(wire) = self.wires.borrow().get(&link) {
            wire.open.store(true, Ordering::Relaxed);
        }
    }

    /// Closes a connection, whatever is on it, and says when that is done.
    pub fn close(&self, node: &Rc<Node>, link: ConnectionId) {
        let Some(wire) = self.wires.borrow_mut().remove(&link) else {
            return;
        };
        wire.exchange.inspect(AbortHandle::abort);
        wire.driver.abort();
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            // It was aborted or has ended: either way the socket is closed.
            let _ = wire.driver.await;
            node.handle(Event::Closed { connection: link }, None);
        });
    }
}

/// Makes a connection and drives it until it ends.
async fn drive(node: Rc<Node>, link: ConnectionId, dial: SocketAddr, open: Arc<AtomicBool>) {
    let stream = match TcpStream::connect(dial).await {
        Ok(stream) => stream,
        Err(error) => {
            // Guards against blaming a server for what is lacking here.
            let lack = is_local_failure(&error);
            node.upstream.wires.borrow_mut().remove(&link);
            return node.handle(
                Event::ConnectFailed {
                    connection: link,
                    local_shortage: lack,
                },
                None,
            );
        }
    };
    // Without it a request in two pieces would wait for an acknowledgement; it works all the same.
    let _ = stream.set_nodelay(true);
    let stream = TokioIo::new(Socket::new(stream));
    let io = GatedStream {
        stream,
        node: node.number(),
        link,
        open,
        waited: 0,
        round: None,
    };
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io)
        .await;
    let Ok((sender, connection)) = handshake else {
        node.upstream.wires.borrow_mut().remove(&link);
        return node.handle(
            Event::ConnectFailed {
                connection: link,
                local_shortage: false,
            },
            None,
        );
    };
    if let Some(wire) = node.upstream.wires.borrow_mut().get_mut(&link) {
        wire.sender = Some(sender);
    }
    node.handle(Event::Connected { connection: link }, None);
    // How it ended shows in the exchange.
    let _ = connection.with_upgrades().await;
    node.handle(Event::ClosedByPeer { connection: link }, None);
}

/// What came of a request.
enum AttemptOutcome {
    /// An answer that is whole.
    Complete(Outcome, Option<Payload>),
    /// An answer of which so much has come, and that goes on as it comes.
    Streaming(VecDeque<Bytes>, Incoming),
    /// A socket.
    Upgraded(Box<UpgradedConnection>),
    /// Nothing whole, or no answer to this request.
    Lost,
}

/// How long an answer of unknown length may take to show that it is a short one.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Writes the request and reads its answer: whole if it is a short one, so that a client never gets one that was cut where
/// another attempt can help.
async fn exchange(
    sender: &mut SendRequest<UpstreamRequestBody>,
    forward: &Forward,
    left: Duration,
    server: ServerId,
    dial: SocketAddr,
) -> AttemptOutcome {
    let Some(answer) = head(sender, forward, left, dial).await else {
        return AttemptOutcome::Lost;
    };
    let (status, outcome) = (answer.status(), outcome(&answer));
    if let (StatusCode::SWITCHING_PROTOCOLS, Some(offer)) = (status, &forward.offer) {
        return switched(offer, server, answer)
            .await
            .map_or(AttemptOutcome::Lost, AttemptOutcome::Upgraded);
    }
    // Guards against an answer that turns the connection into something else.
    if status.is_informational() {
        return AttemptOutcome::Lost;
    }
    // Guards against a second copy of the last answer, where servers say whose it is.
    if answer
        .headers()
        .get("x-request-id")
        .is_some_and(|id| id.as_bytes() != forward.id.0.as_bytes())
    {
        return AttemptOutcome::Lost;
    }
    // Guards against an answer that ends with its connection, unasked: nobody could tell whether it is whole.
    let headers = answer.headers();
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| headers.contains_key(name));
    let ends = answer.version() == Version::HTTP_10
        || headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if !framed && !ends {
        return AttemptOutcome::Lost;
    }
    let passes = outcome == Outcome::Ok && forward.offer.is_none();
    let body = match short(answer.into_body()).await {
        Some(Ok(body)) => body,
        Some(Err((first, rest))) if passes => return AttemptOutcome::Streaming(first, rest),
        _ => return AttemptOutcome::Lost,
    };
    match (outcome, &forward.offer) {
        // What a server has against an upgrade is the client's to know.
        (Outcome::Error, Some(_)) if status.is_client_error() => {
            AttemptOutcome::Complete(Outcome::Ok, Some(Payload::UpgradeRejected(status, body)))
        }
        (Outcome::Ok, Some(_)) => AttemptOutcome::Complete(Outcome::Error, None),
        _ => AttemptOutcome::Complete(
            outcome,
            (outcome == Outcome::Ok).then_some(Payload::Body(body)),
        ),
    }
}

/// Reads a short body whole; of a long one, what had come when that was clear. `None` if it broke before.
async fn short(mut body: Incoming) -> Option<Gathered> {
    let (mut pieces, mut size) = (VecDeque::new(), 0);
    let known = body.size_hint().exact();
    if known.is_some_and(|known| known > MAX_BODY_BYTES) {
        return None;
    }
    if known.is_some_and(|known| known > MAX_BUFFERED_BODY_BYTES as u64) {
        return Some(Err((pieces, body)));
    }
    let until = Instant::now() + SHORT_BODY_TIMEOUT;
    loop {
        let frame = match known {
            Some(_) => body.frame().await,
            None => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Some(Err((pieces, body))),
            },
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        size += data.len();
        pieces.push_back(data);
        if size > MAX_BUFFERED_BODY_BYTES {
            return Some(Err((pieces, body)));
        }
    }
    Some(Ok(joined(pieces)))
}

/// Writes the request and reads the head of its answer.
async fn head(
    sender: &mut SendRequest<UpstreamRequestBody>,
    forward: &Forward,
    left: Duration,
    dial: SocketAddr,
) -> Option<Response<Incoming>> {
    let left = left.as_millis();
    let mut request = Request::builder()
        .method(&forward.method)
        .uri(&forward.target)
        .header(HOST, dial.to_string())
        .header("x-request-id", &*forward.id.0)
        .header("x-deadline", format!("{left}m"));
    if let Some(key) = &forward.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(offer) = &forward.offer {
        request = request
            .header(CONNECTION, "upgrade")
            .header(UPGRADE, "websocket")
            .header(SEC_WEBSOCKET_VERSION, upgrade::VERSION)
            .header(SEC_WEBSOCKET_KEY, &offer.key);
        let more = [
            (SEC_WEBSOCKET_PROTOCOL, &offer.protocols),
            (SEC_WEBSOCKET_EXTENSIONS, &offer.extensions),
        ];
        for (name, value) in more {
            request = value
                .iter()
                .fold(request, |request, value| request.header(&name, value));
        }
    }
    let body = match &forward.body {
        ForwardBody::Buffered(bytes) => UpstreamRequestBody::Buffered(Full::new(bytes.clone())),
        ForwardBody::Streamed(pipe) => UpstreamRequestBody::Streamed(Rc::clone(pipe)),
    };
    let request = request.body(body).ok()?;
    sender.ready().await.ok()?;
    sender.send_request(request).await.ok()
}

/// Takes the connection over, if the server has agreed to what was offered and to nothing else.
async fn switched(
    offer: &Offer,
    server: ServerId,
    answer: Response<Incoming>,
) -> Option<Box<UpgradedConnection>> {
    let switch = upgrade::verify(offer, answer.headers()).ok()?;
    let upgraded = hyper::upgrade::on(answer).await.ok()?;
    let parts = upgraded.downcast::<GatedStream>().ok()?;
    let (stream, early) = (parts.io.stream.into_inner().into_inner()?, parts.read_buf);
    let switched = UpgradedConnection {
        key: offer.key.clone(),
        switch,
        server,
        stream,
        early,
    };
    Some(Box::new(switched))
}

fn outcome<B>(answer: &Response<B>) -> Outcome {
    let not_run = answer
        .headers()
        .get("x-not-run")
        .is_some_and(|value| value == "1");
    match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}

/// A socket to which no request's first byte goes before the exchange was asked.
struct GatedStream {
    stream: TokioIo<Socket>,
    /// By number: an upgrade wants a socket that could go to another thread, though none does.
    node: u64,
    link: ConnectionId,
    open: Arc<AtomicBool>,
    /// Rounds that a first byte has waited, and the one that it waits for.
    waited: u32,
    round: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl GatedStream {
    /// Asks before the first byte. Drains that have been told are taken before that: a loop that was late may find both at once.
    fn ask(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.open.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        if let Some(node) = Node::by_number(self.node) {
            let forward = node.upstream.ready(self.link);
            // Danger: a new connection is read before the machine has told of it, so also not that its client has left again.
            let untold = forward
                .as_ref()
                .is_some_and(|forward| forward.client.unwatched());
            while (untold && self.waited == 0)
                || (self.waited < MAX_DISCOVERY_ROUNDS && node.watch_statuses.are_unread())
            {
                let round = self.round.get_or_insert_with(|| Box::pin(yield_now()));
                ready!(round.as_mut().poll(context));
                (self.waited, self.round) = (self.waited + 1, None);
            }
            self.waited = 0;
            // Danger: a client that has gone while this loop was late, or behind bytes that nobody reads. Who waits for the first byte
            // is asked in the same instant.
            if let Some(forward) = forward.filter(|forward| forward.client.client_is_gone()) {
                node.client_gone(&forward);
            }
            // Guards against the rest of one answer being read as the next.
            let quiet = is_quiet(self.stream.inner().stream());
            node.handle(
                Event::FirstByteReady {
                    connection: self.link,
                    quiet,
                },
                None,
            );
        }
        Poll::Ready(if self.open.load(Ordering::Relaxed) {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        })
    }
}

impl Read for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.ask(context))?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.ask(context))?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
