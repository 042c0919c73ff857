//! Connections to app servers, the attempts on them and how these end.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_decision::interface::{Micros, Outcome, RequestId, ServerId};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Most bytes of a body that is taken in any case, either way.
pub const BODY_MOST: usize = 64 * 1024;
/// Most bytes of a larger one, which is taken only while memory allows. Guards against bodies without end.
pub const LARGE_MOST: usize = 1024 * 1024;
/// Idle connections kept at one server.
const IDLE_MOST: usize = 64;
/// Share of the settings' idle limit for which a connection is kept. Guards against a request written to a
/// connection that the server is closing: it would end as a reset, which may have run.
const IDLE_SHARE: f64 = 0.6;
/// How long a connection stands after an answer before it is used again. Guards against what comes right behind an
/// answer: a second copy that arrives just after the next request was written would pass for its answer.
const SETTLE: Duration = Duration::from_millis(10);
/// Most bytes buffered of one app server's answer before its body. Guards memory against heads that never end.
const HEAD_MOST: usize = 32 * 1024;
/// What the machine says when this process, not the server, lacks something: too many descriptors here or on the
/// whole machine, no address, buffer or memory left.
const OWN_LACK: [i32; 5] = [24, 23, 99, 105, 12];
/// Between rounds that retire idle connections.
const RETIRE_EVERY: Duration = Duration::from_millis(500);

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
    pub method: Method,
    /// Path and query.
    pub target: String,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
    /// When the edge node stops waiting.
    pub deadline: Instant,
}

/// A connection, whom it reaches, its driver and what was written to it.
struct Link {
    dial: SocketAddr,
    /// The driver owns it: the socket is closed with the driver.
    stream: Weak<RefCell<TokioIo<TcpStream>>>,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    wrote: Rc<Cell<bool>>,
    idle_since: Instant,
}

impl Link {
    /// Closes the socket, and comes back only when that is done.
    async fn close(self) {
        self.driver.abort();
        // It was aborted or has ended: either way the socket is closed.
        let _ = self.driver.await;
    }

    fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether nothing has come since the last answer, not even an end. The machine is asked, as hyper may not have
    /// looked yet. Guards against the rest of one answer being read as the next.
    fn quiet(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let stream = stream.borrow();
        let seen = SockRef::from(stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        seen.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

struct Place {
    dial: SocketAddr,
    ready: bool,
    idle: Vec<Link>,
}

impl Place {
    fn close_idle(&mut self) {
        self.idle.drain(..).for_each(|link| link.driver.abort());
    }
}

pub struct Upstream {
    pub room: Room,
    places: RefCell<HashMap<ServerId, Place>>,
    /// Sockets that are open, and the most there may be.
    sockets: Rc<Cell<usize>>,
    most: usize,
    idle_for: Duration,
    connect_timeout: Duration,
}

impl Upstream {
    pub fn new(room: Room, most: usize, conn_idle: Micros, connect_timeout: Micros) -> Upstream {
        Upstream {
            room,
            places: RefCell::default(),
            sockets: Rc::default(),
            most,
            idle_for: Duration::from_micros(conn_idle).mul_f64(IDLE_SHARE),
            connect_timeout: Duration::from_micros(connect_timeout),
        }
    }

    /// Follows the list. Who is gone, or not on a whole list, and who moved, loses its idle connections.
    pub fn listed(&self, whole: bool, servers: impl Iterator<Item = (ServerId, SocketAddr, bool)>) {
        let mut places = self.places.borrow_mut();
        if whole {
            places.values_mut().for_each(|place| place.ready = false);
        }
        for (server, dial, ready) in servers {
            let place = places.entry(server).or_insert_with(|| Place { dial, ready, idle: Vec::new() });
            if place.dial != dial {
                place.close_idle();
            }
            (place.dial, place.ready) = (dial, ready);
        }
        places.values_mut().filter(|place| !place.ready).for_each(Place::close_idle);
        places.retain(|_, place| place.ready);
    }

    /// How many servers are ready.
    pub fn ready(&self) -> usize {
        self.places.borrow().len()
    }

    /// Retires connections that have stood idle for long, for ever.
    pub async fn retire(&self) {
        loop {
            tokio::time::sleep(RETIRE_EVERY).await;
            for place in self.places.borrow_mut().values_mut() {
                let fresh = |link: &Link| link.usable() && link.idle_since.elapsed() < self.idle_for;
                let (kept, old) = place.idle.drain(..).partition(fresh);
                place.idle = kept;
                old.into_iter().for_each(|link: Link| link.driver.abort());
            }
        }
    }

    /// One attempt, to its end. When it comes back, its connection is closed or free again.
    pub async fn attempt(
        &self, forward: &Forward, server: ServerId, until: Instant, called_off: oneshot::Receiver<()>,
        open: impl Fn() -> bool,
    ) -> (Outcome, Option<Bytes>) {
        tokio::pin!(called_off);
        let link = match self.idle(server) {
            Some(link) => link,
            None => {
                let connected = tokio::select! {
                    biased;
                    _ = &mut called_off => return (Outcome::NotSent, None),
                    () = tokio::time::sleep_until(until) => return (Outcome::Unreachable, None),
                    connected = self.connect(server) => connected,
                };
                match connected {
                    Ok(link) => link,
                    Err(outcome) => return (outcome, None),
                }
            }
        };
        // Much may have changed while the connection came up. Guards drains, and a request that was answered
        // meanwhile: what is not written has never run.
        let wanted = open() && Instant::now() < until;
        if !wanted || !self.leads_to(server, &link) {
            self.keep(server, link);
            return (Outcome::NotSent, None);
        }
        let mut link = link;
        link.wrote.set(false);
        // The answer comes first. Guards against blaming a server for an answer that this node was late to read.
        let outcome = tokio::select! {
            biased;
            answer = exchange(&mut link.sender, forward, link.dial, until, &self.room) => answer,
            _ = &mut called_off => Err(Outcome::Cancelled),
            () = tokio::time::sleep_until(until) => Err(Outcome::TimedOut),
        };
        let never = !link.wrote.get();
        match outcome {
            Ok((outcome, body)) => {
                self.keep(server, link);
                (outcome, body)
            }
            Err(outcome) => {
                link.close().await;
                // A request of which some bytes were written counts as one that may have run.
                (if never { unwritten(outcome) } else { outcome }, None)
            }
        }
    }

    /// Whether a connection reaches a server where it is now. Guards addresses that pass from one to another.
    fn leads_to(&self, server: ServerId, link: &Link) -> bool {
        self.places.borrow().get(&server).is_some_and(|place| place.dial == link.dial)
    }

    /// The idle connection that was used last, so that the others may grow old.
    fn idle(&self, server: ServerId) -> Option<Link> {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(&server)?;
        loop {
            let settled = place.idle.iter().rposition(|link| link.idle_since.elapsed() >= SETTLE)?;
            let link = place.idle.remove(settled);
            if link.usable() && link.idle_since.elapsed() < self.idle_for && link.quiet() {
                return Some(link);
            }
            link.driver.abort();
        }
    }

    fn keep(&self, server: ServerId, mut link: Link) {
        link.idle_since = Instant::now();
        let fits = self.leads_to(server, &link) && !link.sender.is_closed();
        match self.places.borrow_mut().get_mut(&server) {
            Some(place) if fits && place.idle.len() < IDLE_MOST => place.idle.push(link),
            _ => link.driver.abort(),
        }
    }

    async fn connect(&self, server: ServerId) -> Result<Link, Outcome> {
        let dial = self.places.borrow().get(&server).map(|place| place.dial).ok_or(Outcome::NotSent)?;
        if self.sockets.get() >= self.most && !self.spare_one().await {
            return Err(Outcome::NotSent);
        }
        let slot = Slot::take(&self.sockets);
        let stream = tokio::time::timeout(self.connect_timeout, TcpStream::connect(dial)).await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            // Guards against blaming a server for what is lacking here.
            Ok(Err(error)) if error.raw_os_error().is_some_and(|code| OWN_LACK.contains(&code)) => {
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::Unreachable),
        };
        // Without it a request in two pieces would wait for an acknowledgement; it works all the same.
        let _ = stream.set_nodelay(true);
        let wrote = Rc::new(Cell::new(false));
        let stream = Rc::new(RefCell::new(TokioIo::new(stream)));
        let seen = Rc::downgrade(&stream);
        let io = Watched { stream, wrote: Rc::clone(&wrote), _slot: slot };
        let handshake = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(io).await;
        let Ok((sender, connection)) = handshake else { return Err(Outcome::Unreachable) };
        let driver = tokio::task::spawn_local(async move {
            // How it ended shows in the exchange.
            let _ = connection.await;
        });
        Ok(Link { dial, stream: seen, sender, driver, wrote, idle_since: Instant::now() })
    }

    /// Closes the connection that has been idle longest; false if there is none.
    async fn spare_one(&self) -> bool {
        let oldest = {
            let mut places = self.places.borrow_mut();
            let some = places.values_mut().filter(|place| !place.idle.is_empty());
            some.min_by_key(|place| place.idle[0].idle_since).map(|place| place.idle.remove(0))
        };
        match oldest {
            Some(link) => {
                link.close().await;
                true
            }
            None => false,
        }
    }
}

/// How an attempt ended of which nothing was written: it never ran.
fn unwritten(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Broken | Outcome::TimedOut => Outcome::Unreachable,
        _ => Outcome::NotSent,
    }
}

/// Writes the request and reads its whole answer. An error is an answer that did not come whole.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>, forward: &Forward, dial: SocketAddr, until: Instant, room: &Room,
) -> Result<(Outcome, Option<Bytes>), Outcome> {
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    let mut request = Request::builder()
        .method(&forward.method)
        .uri(&forward.target)
        .header(HOST, dial.to_string())
        .header("x-request-id", &*forward.id.0)
        .header("x-deadline", format!("{left}m"));
    if let Some(key) = &forward.key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(forward.body.clone())).map_err(|_| Outcome::NotSent)?;
    let answer = sender.send_request(request).await.map_err(|_| Outcome::Broken)?;
    // Guards against an answer that turns the connection into something else, or that never ends.
    let room = room.take(answer.body().size_hint().lower());
    let Some((most, _held)) = room.filter(|_| !answer.status().is_informational()) else {
        return Err(Outcome::Broken);
    };
    let outcome = outcome(&answer);
    // Guards against an answer that ends with its connection: nobody could tell whether it is whole.
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| answer.headers().contains_key(name));
    if !framed {
        return Err(Outcome::Broken);
    }
    // Buffered whole, so that a client never gets an answer that was cut.
    let body = Limited::new(answer.into_body(), most).collect().await.map_err(|_| Outcome::Broken)?;
    Ok((outcome, (outcome == Outcome::Ok).then(|| body.to_bytes())))
}

fn outcome<B>(answer: &Response<B>) -> Outcome {
    let not_run = answer.headers().get("x-not-run").is_some_and(|value| value == "1");
    match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Counts an open socket for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(sockets: &Rc<Cell<usize>>) -> Slot {
        sockets.set(sockets.get() + 1);
        Slot(Rc::clone(sockets))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A socket that notes when a byte is written to it.
struct Watched {
    /// Its link looks at it too.
    stream: Rc<RefCell<TokioIo<TcpStream>>>,
    wrote: Rc<Cell<bool>>,
    _slot: Slot,
}

impl Watched {
    fn note(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.wrote.set(true);
        }
        written
    }
}

impl Read for Watched {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer)
    }
}

impl Write for Watched {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        self.note(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, parts);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;

    /// An attempt whose request or server changes as its connection comes up: how it ends, and what was
    /// written before the connection was closed.
    async fn changed(change: impl Fn(&Upstream, SocketAddr) -> bool) -> (Outcome, Vec<u8>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("an address");
        let (server, wait) = (ServerId(1), Duration::from_secs(60));
        let upstream = Upstream::new(Room::new(0), 8, 15_000_000, 60_000_000);
        upstream.listed(true, [(server, dial, true)].into_iter());
        let forward = Forward {
            id: RequestId("a".into()),
            method: Method::GET,
            target: "/read/0".to_owned(),
            key: None,
            body: Bytes::new(),
            deadline: Instant::now() + wait,
        };
        let (_call_off, called_off) = oneshot::channel();
        let open = || change(&upstream, dial);
        let (outcome, body) = upstream.attempt(&forward, server, forward.deadline, called_off, open).await;
        assert!(body.is_none());
        upstream.listed(true, std::iter::empty());
        let (mut stream, _) = listener.accept().await.expect("it connected");
        let mut written = Vec::new();
        stream.read_to_end(&mut written).await.expect("it closes");
        (outcome, written)
    }

    async fn all_end_unsent() {
        assert_eq!(changed(|_, _| false).await, (Outcome::NotSent, Vec::new()), "answered meanwhile");
        let drains = |upstream: &Upstream, dial| {
            upstream.listed(false, [(ServerId(1), dial, false)].into_iter());
            true
        };
        assert_eq!(changed(drains).await, (Outcome::NotSent, Vec::new()), "drains meanwhile");
        let moves = |upstream: &Upstream, dial: SocketAddr| {
            let elsewhere = SocketAddr::new(dial.ip(), dial.port() ^ 1);
            upstream.listed(false, [(ServerId(1), elsewhere, true)].into_iter());
            true
        };
        assert_eq!(changed(moves).await, (Outcome::NotSent, Vec::new()), "moves meanwhile");
    }

    #[test]
    fn nothing_is_written_once_the_request_is_answered_or_the_server_drains_or_moves() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, all_end_unsent());
    }
}
