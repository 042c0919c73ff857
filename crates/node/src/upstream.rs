//! Connections to app servers: made, written to, read and closed as the exchange has it, and only so.

use crate::node::{Node, Payload};
use crate::sockets::Switched;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{
    HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_KEY,
    SEC_WEBSOCKET_PROTOCOL, SEC_WEBSOCKET_VERSION, TRANSFER_ENCODING, UPGRADE,
};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_decision::interface::{Effect, Outcome, RequestId, ServerId};
use saffronpaddle_exchange::{Event, LinkId};
use saffronpaddle_sockets::upgrade::{self, Offer};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::Instant;

/// Most bytes of a body that is taken in any case, either way.
pub const BODY_MOST: usize = 64 * 1024;
/// Most bytes of a larger one, which is taken only while memory allows. Guards against bodies without end.
pub const LARGE_MOST: usize = 1024 * 1024;
/// Most bytes buffered of one app server's answer before its body. Guards memory against heads that never end.
const HEAD_MOST: usize = 32 * 1024;
/// What the machine says when this process, not the server, lacks something: too many descriptors here or on the
/// whole machine, no address, buffer or memory left.
const OWN_LACK: [i32; 5] = [24, 23, 99, 105, 12];

/// What all large bodies together may hold. Guards the memory limit: each alone is small against it.
pub struct Room(Rc<Cell<usize>>);

impl Room {
    pub fn new(bytes: usize) -> Room {
        Room(Rc::new(Cell::new(bytes)))
    }

    /// The most bytes of a body that says it has so many, and its hold on the room; `None` where it is too large.
    pub fn take(&self, says: u64) -> Option<(usize, Held)> {
        let large = usize::try_from(says).ok().filter(|size| *size <= LARGE_MOST)?;
        if large <= BODY_MOST {
            return Some((BODY_MOST, Held(Rc::clone(&self.0), 0)));
        }
        self.0.set(self.0.get().checked_sub(large)?);
        Some((large, Held(Rc::clone(&self.0), large)))
    }
}

/// A body's hold on the room for large ones.
pub struct Held(Rc<Cell<usize>>, usize);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() + self.1);
    }
}

/// A client's request as it goes on to an app server.
pub struct Forward {
    pub id: RequestId,
    /// What a second execution would do.
    pub effect: Effect,
    pub method: Method,
    /// Path and query.
    pub target: String,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
    /// The socket that is asked for.
    pub offer: Option<Offer>,
    /// When the edge node stops waiting.
    pub deadline: Instant,
}

/// A connection, from the command to connect until it is closed.
struct Wire {
    dial: SocketAddr,
    /// Connects, then drives the connection; the socket is closed with it.
    driver: JoinHandle<()>,
    /// Free for a request.
    sender: Option<SendRequest<Full<Bytes>>>,
    /// Writes a request and reads its answer.
    exchange: Option<AbortHandle>,
    /// Whether bytes may be written. Shut when a request is made ready: before its first byte the exchange is asked.
    open: Arc<AtomicBool>,
}

/// All connections to app servers. What they are for is the exchange's matter.
pub struct Upstream {
    pub room: Room,
    wires: RefCell<HashMap<LinkId, Wire>>,
}

impl Upstream {
    pub fn new(room: Room) -> Upstream {
        Upstream { room, wires: RefCell::default() }
    }

    /// Makes a connection.
    pub fn connect(&self, node: &Rc<Node>, link: LinkId, dial: SocketAddr) {
        let open = Arc::new(AtomicBool::new(false));
        let driver = tokio::task::spawn_local(drive(Rc::clone(node), link, dial, Arc::clone(&open)));
        let wire = Wire { dial, driver, sender: None, exchange: None, open };
        self.wires.borrow_mut().insert(link, wire);
    }

    /// Makes a request ready on a free connection. Its first byte goes when the exchange lets it.
    pub fn send(&self, node: &Rc<Node>, link: LinkId, server: ServerId, forward: Rc<Forward>) {
        let mut wires = self.wires.borrow_mut();
        let Some(wire) = wires.get_mut(&link) else { return };
        let Some(sender) = wire.sender.take() else { return };
        wire.open.store(false, Ordering::Relaxed);
        let (node, dial) = (Rc::clone(node), wire.dial);
        let task = tokio::task::spawn_local(async move {
            let mut sender = sender;
            let answer = exchange(&mut sender, &forward, server, dial, &node.upstream.room).await;
            if let Some((_, Some(Payload::Switched(_)))) = &answer {
                // The connection is the socket's now.
                node.upstream.wires.borrow_mut().remove(&link);
                return node.happened(Event::Upgraded { link }, answer.and_then(|(_, payload)| payload));
            }
            if let Some(wire) = node.upstream.wires.borrow_mut().get_mut(&link) {
                (wire.sender, wire.exchange) = (Some(sender), None);
            }
            match answer {
                Some((outcome, payload)) => node.happened(Event::Replied { link, outcome }, payload),
                None => node.happened(Event::Broken { link }, None),
            }
        });
        wire.exchange = Some(task.abort_handle());
    }

    /// Lets bytes be written.
    pub fn open(&self, link: LinkId) {
        if let Some(wire) = self.wires.borrow().get(&link) {
            wire.open.store(true, Ordering::Relaxed);
        }
    }

    /// Closes a connection, whatever is on it, and says when that is done.
    pub fn close(&self, node: &Rc<Node>, link: LinkId) {
        let Some(wire) = self.wires.borrow_mut().remove(&link) else { return };
        wire.exchange.inspect(AbortHandle::abort);
        wire.driver.abort();
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            // It was aborted or has ended: either way the socket is closed.
            let _ = wire.driver.await;
            node.happened(Event::Closed { link }, None);
        });
    }
}

/// Makes a connection and drives it until it ends.
async fn drive(node: Rc<Node>, link: LinkId, dial: SocketAddr, open: Arc<AtomicBool>) {
    let stream = match TcpStream::connect(dial).await {
        Ok(stream) => stream,
        Err(error) => {
            // Guards against blaming a server for what is lacking here.
            let lack = error.raw_os_error().is_some_and(|code| OWN_LACK.contains(&code));
            node.upstream.wires.borrow_mut().remove(&link);
            return node.happened(Event::ConnectFailed { link, lack }, None);
        }
    };
    // Without it a request in two pieces would wait for an acknowledgement; it works all the same.
    let _ = stream.set_nodelay(true);
    let io = Gated { stream: TokioIo::new(stream), node: node.number(), link, open };
    let handshake = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(io).await;
    let Ok((sender, connection)) = handshake else {
        node.upstream.wires.borrow_mut().remove(&link);
        return node.happened(Event::ConnectFailed { link, lack: false }, None);
    };
    if let Some(wire) = node.upstream.wires.borrow_mut().get_mut(&link) {
        wire.sender = Some(sender);
    }
    node.happened(Event::Connected { link }, None);
    // How it ended shows in the exchange.
    let _ = connection.with_upgrades().await;
    node.happened(Event::Gone { link }, None);
}

/// Writes the request and reads its whole answer; nothing if that did not come whole, or is none of this request.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>, forward: &Forward, server: ServerId, dial: SocketAddr, room: &Room,
) -> Option<(Outcome, Option<Payload>)> {
    let left = forward.deadline.saturating_duration_since(Instant::now()).as_millis();
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
        let more =
            [(SEC_WEBSOCKET_PROTOCOL, &offer.protocols), (SEC_WEBSOCKET_EXTENSIONS, &offer.extensions)];
        for (name, value) in more {
            request = value.iter().fold(request, |request, value| request.header(&name, value));
        }
    }
    let request = request.body(Full::new(forward.body.clone())).ok()?;
    sender.ready().await.ok()?;
    let answer = sender.send_request(request).await.ok()?;
    if let (StatusCode::SWITCHING_PROTOCOLS, Some(offer)) = (answer.status(), &forward.offer) {
        return switched(offer, server, answer).await;
    }
    // Guards against an answer that turns the connection into something else, or that never ends.
    let room = room.take(answer.body().size_hint().lower());
    let (most, _held) = room.filter(|_| !answer.status().is_informational())?;
    // Guards against a second copy of the last answer, where servers say whose it is.
    if answer.headers().get("x-request-id").is_some_and(|id| id.as_bytes() != forward.id.0.as_bytes()) {
        return None;
    }
    let (status, outcome) = (answer.status(), outcome(&answer));
    // Guards against an answer that ends with its connection: nobody could tell whether it is whole.
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| answer.headers().contains_key(name));
    if !framed {
        return None;
    }
    // Buffered whole, so that a client never gets an answer that was cut.
    let body = Limited::new(answer.into_body(), most).collect().await.ok()?;
    let body = body.to_bytes();
    Some(match (outcome, &forward.offer) {
        // What a server has against an upgrade is the client's to know.
        (Outcome::Error, Some(_)) if status.is_client_error() => {
            (Outcome::Ok, Some(Payload::Passed(status, body)))
        }
        (Outcome::Ok, Some(_)) => (Outcome::Error, None),
        _ => (outcome, (outcome == Outcome::Ok).then_some(Payload::Body(body))),
    })
}

/// Takes the connection over, if the server has agreed to what was offered and to nothing else.
async fn switched(
    offer: &Offer, server: ServerId, answer: Response<hyper::body::Incoming>,
) -> Option<(Outcome, Option<Payload>)> {
    let switch = upgrade::verify(offer, answer.headers()).ok()?;
    let upgraded = hyper::upgrade::on(answer).await.ok()?;
    let parts = upgraded.downcast::<Gated>().ok()?;
    let (stream, early) = (parts.io.stream.into_inner(), parts.read_buf);
    let switched = Switched { key: offer.key.clone(), switch, server, stream, early };
    Some((Outcome::Ok, Some(Payload::Switched(Box::new(switched)))))
}

fn outcome<B>(answer: &Response<B>) -> Outcome {
    let not_run = answer.headers().get("x-not-run").is_some_and(|value| value == "1");
    match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// A socket to which no request's first byte goes before the exchange was asked.
struct Gated {
    stream: TokioIo<TcpStream>,
    /// By number: an upgrade wants a socket that could go to another thread, though none does.
    node: u64,
    link: LinkId,
    open: Arc<AtomicBool>,
}

impl Gated {
    /// Whether nothing has come since the last answer, not even an end. The machine is asked, as hyper may not have
    /// looked yet. Guards against the rest of one answer being read as the next.
    fn quiet(&self) -> bool {
        let seen = SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        seen.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Asks before the first byte.
    fn ask(&self) -> io::Result<()> {
        if self.open.load(Ordering::Relaxed) {
            return Ok(());
        }
        if let Some(node) = Node::here(self.node) {
            node.happened(Event::Begin { link: self.link, quiet: self.quiet() }, None);
        }
        if self.open.load(Ordering::Relaxed) {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        }
    }
}

impl Read for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.ask()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.ask()?;
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
