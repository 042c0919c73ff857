//! Clients: their connections, what they ask and the answers that they get.

pub mod late;

use crate::bodies::{self, joined, Gathered, Pipe, BODY_MOST, LARGEST};
use crate::node::{Answer, Node, Payload};
use crate::seats::{Busy, Seat, Watched};
use crate::sockets;
use crate::upstream::{Forward, Going};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderValue, CONNECTION, RETRY_AFTER, SEC_WEBSOCKET_VERSION, TRANSFER_ENCODING, UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::upgrade::OnUpgrade;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_admin::End;
use saffronpaddle_crowd::{Limits, Press};
use saffronpaddle_decision::interface::{
    ClassId, CustomerId, Effect, Event, GatewayId, PlanId, RequestId, Settings,
};
use saffronpaddle_decision::setup::Named;
use saffronpaddle_exchange::Ticket;
use saffronpaddle_lifecycle::Reasons;
use saffronpaddle_netio::AcceptFailure;
use saffronpaddle_sockets::upgrade::{self, Offer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::{coop, AbortHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};
use tracing::debug;

/// Time kept back for an answer's way to the client.
const DELIVERY: Duration = Duration::from_millis(5);
/// How long the part of a body that is kept may take from its head on, before any of it has come. Guards against bodies that
/// stop half-way.
const BODY_WITHIN: Duration = Duration::from_millis(2500);
/// How long so many bytes of it take a slow client that means well; twice what one at 64 kB a second needs.
const BODY_PACE: (Duration, u32) = (Duration::from_secs(1), 32_000);
/// How long a body that goes by may take, where its client goes on: the largest at the slowest. What is out for it draws on
/// nothing meanwhile.
const COMING_WITHIN: Duration = Duration::from_secs(1200);
/// How often connections are looked at for those whose time is up.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How soon, and how often from then on, a connection is looked at whose client would not be seen to leave.
const UNWATCHED_EVERY: Duration = Duration::from_millis(25);
/// Most bytes buffered for one client, so that all together stay far from the memory limit.
const BUFFER_MOST: usize = 32 * 1024;
/// Ended connections that may wait to be forgotten together.
const ENDED_KEPT: usize = 32;
/// How long a connection that has never asked may still ask once the edge node closes. Guards a request that is on its
/// way when the node that the machine gave the connection to is told to stop.
const FIRST_WITHIN: Duration = Duration::from_millis(500);
/// Rounds of the loop in which bytes that the machine holds reach a request's reader: the driver's, the connection's and one more.
const LAST_LOOKS: usize = 3;
/// Pause after a connection that could not be accepted, for lack of descriptors mostly; shorter where one is closed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How often that is waited for once the node takes no more.
const PAUSES_AT_THE_END: u32 = 10;
/// How often who may make way is looked for while one waits for a place and nobody has ended.
const ROOM_AGAIN: Duration = Duration::from_millis(5);

/// How far the edge node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Not ready any more; all that comes is served, and each answer closes its connection.
    Leaving,
    /// The same, and connections that are idle are closed. It may go back to serving.
    Emptying,
    /// No new connection is accepted, and idle ones are closed.
    Closing,
}

/// How the node stands towards clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    pub phase: Phase,
    /// Whether connections are taken from the listener.
    pub accepts: bool,
    /// Whether the five rules can be kept for new work, and if not, why.
    pub ready: bool,
    pub why: Reasons,
    /// The process was told to stop, and answers all that it has by then.
    pub answer_by: Option<Instant>,
}

impl Standing {
    /// How it stands before anything was seen.
    pub fn unready() -> Standing {
        Standing {
            phase: Phase::Serving,
            accepts: true,
            ready: false,
            why: Reasons::default(),
            answer_by: None,
        }
    }
}

type Reply = Response<bodies::Reply>;

/// Comes back when the edge node has come so far on its way out, or when nobody is left to say so.
async fn reached(mut standing: watch::Receiver<Standing>, phase: Phase) {
    let _ = standing.wait_for(|standing| standing.phase >= phase).await;
}

/// The connections of all clients.
struct Crowd {
    began: Instant,
    tasks: JoinSet<()>,
    seats: Vec<Taken>,
    press: Press,
    /// A connection is unwatched from now on.
    unwatched: Rc<Notify>,
}

/// One of them. Its socket is its task's; here it is only looked at.
struct Taken {
    seat: Arc<Seat>,
    task: AbortHandle,
}

impl Crowd {
    fn new() -> Crowd {
        let (tasks, seats, press) = (JoinSet::new(), Vec::new(), Press::default());
        Crowd { began: Instant::now(), tasks, seats, press, unwatched: Rc::default() }
    }

    fn seat(&mut self, (stream, connected): Came, node: &Rc<Node>, phase: &watch::Receiver<Standing>) {
        let stream = Arc::new(stream);
        let seat = Seat::new(self.began, connected, &stream);
        let unwatched = Rc::clone(&self.unwatched);
        let talk = converse(stream, Rc::clone(node), phase.clone(), Arc::clone(&seat), unwatched);
        let task = self.tasks.spawn_local(talk);
        self.seats.push(Taken { seat, task });
        // Guards memory: a handle keeps what its task has left behind.
        if self.seats.len() > self.tasks.len() + ENDED_KEPT {
            self.tidy();
        }
    }

    /// Forgets connections that have ended.
    fn tidy(&mut self) {
        self.seats.retain(|taken| !taken.task.is_finished());
    }

    /// Has connections go whose time is up, and closes those whose client has gone.
    fn look(&mut self) {
        self.tidy();
        self.look_at_unwatched();
        let now = self.began.elapsed();
        for Taken { seat, .. } in &self.seats {
            if Limits::USUAL.over(now, &seat.seen()) {
                seat.send_away();
            }
        }
    }

    /// Closes connections whose client has gone unseen, and says whether others are still unwatched. Danger: the library stops
    /// reading where a client has sent more than its request, and does not see that it leaves: what waits would be sent on for
    /// nobody.
    fn look_at_unwatched(&self) -> bool {
        let mut more = false;
        for Taken { seat, task } in &self.seats {
            if seat.unwatched() {
                if seat.has_left() {
                    debug!(why = "client_left", "a connection closes");
                    task.abort();
                } else {
                    more = true;
                }
            }
        }
        more
    }

    /// Has as many make way as are needed for one more, and some for those who come behind it. Guards against crowds that shut
    /// out others: where all places are taken, who has been silent longest goes. None of them is waited for.
    fn make_way(&mut self, most: usize) {
        self.tidy();
        let now = self.began.elapsed();
        let going = self.seats.iter().filter(|taken| taken.seat.is_going()).count();
        let way = self.press.make_way(now, most, self.tasks.len(), going);
        if way.must + way.may == 0 {
            return;
        }
        let seen: Vec<_> = self.seats.iter().map(|taken| taken.seat.seen()).collect();
        for place in Limits::USUAL.make_way(now, &seen, way) {
            self.seats[place].seat.send_away();
        }
    }
}

/// A connection that was accepted, and a moment after which it came to the machine.
type Came = (TcpStream, Instant);

/// The connections that the machine holds until they are accepted.
struct Backlog {
    listener: TcpListener,
    /// What waits in it came after this.
    clear: Instant,
    /// What is accepted now may have been there before the last look.
    behind: bool,
}

impl Backlog {
    fn new(listener: TcpListener) -> Backlog {
        Backlog { listener, clear: Instant::now(), behind: true }
    }

    /// Accepts the next. The machine does not say when a connection came: no later than it is accepted, and after the backlog was
    /// last found empty. That is an upper bound of its wait. It is small where all is let in at once that comes; in a node whose
    /// places are all taken by requests that are answered it may take more off a newcomer's time than it has waited, down to a
    /// refusal at once: that makes room, so that the backlog is found empty soon.
    async fn accept(&mut self) -> io::Result<Came> {
        poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            let since = || late::since().unwrap_or_else(Instant::now);
            match &accepted {
                // A task that has had its share of the loop is told of nothing, whatever there is.
                Poll::Pending if !coop::has_budget_remaining() => {}
                Poll::Pending => (self.clear, self.behind) = (self.clear.max(since()), false),
                Poll::Ready(_) if self.behind => {}
                Poll::Ready(_) => (self.clear, self.behind) = (self.clear.max(since()), true),
            }
            accepted.map_ok(|(stream, _)| (stream, self.clear))
        })
        .await
    }

    /// All that wait in it. What the machine has accepted counts as taken, and would be reset with the listener; a call that
    /// fails for a moment is made again.
    async fn rest(&self) -> Vec<Came> {
        let (mut rest, mut pauses) = (Vec::new(), 0);
        while let Ok(accepted) = tokio::time::timeout(Duration::ZERO, self.listener.accept()).await {
            match accepted {
                Ok((stream, _)) => rest.push((stream, self.clear)),
                Err(error) if AcceptFailure::of(&error) == AcceptFailure::OfOneConnection => {}
                Err(_) if pauses >= PAUSES_AT_THE_END => break,
                Err(_) => {
                    pauses += 1;
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            }
        }
        rest
    }

    /// Nobody waits for what comes.
    fn left_alone(&mut self) {
        self.behind = true;
    }
}

/// When unwatched connections are looked at next.
struct Soon {
    /// Told where there is one that was none before.
    unwatched: Rc<Notify>,
    /// None while there is none.
    at: Option<Instant>,
}

impl Soon {
    /// Comes back when they are to be looked at. What has been waited for is kept where this is dropped before.
    async fn due(&mut self) {
        if self.at.is_none() {
            self.unwatched.notified().await;
            self.again(true);
        }
        if let Some(at) = self.at {
            tokio::time::sleep_until(at).await;
        }
    }

    /// They have been looked at; whether there are more.
    fn again(&mut self, more: bool) {
        self.at = more.then(|| Instant::now() + UNWATCHED_EVERY);
    }
}

/// Accepts clients until the edge node closes, then serves out those that it has. At most `most` at a time. A listener
/// that is `shared` goes on in other hands: what waits in its backlog is theirs.
pub async fn serve(
    listener: TcpListener, shared: bool, node: Rc<Node>, most: usize, phase: watch::Receiver<Standing>,
) {
    let (mut crowd, mut backlog) = (Crowd::new(), Backlog::new(listener));
    let mut look = tokio::time::interval(LOOK_EVERY);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut soon = Soon { unwatched: Rc::clone(&crowd.unwatched), at: None };
    let mut standing = phase.clone();
    let closed = reached(phase.clone(), Phase::Closing);
    tokio::pin!(closed);
    // Accepted, and without a place as yet.
    let mut waits: Option<Came> = None;
    // The machine has no descriptor left for another.
    let mut lacks = false;
    loop {
        // Ended connections are let go of.
        while crowd.tasks.try_join_next().is_some() {}
        let most = node.links.part(most);
        if waits.is_some() {
            if crowd.tasks.len() >= most {
                crowd.make_way(most);
            } else if let Some(came) = waits.take() {
                crowd.seat(came, &node, &phase);
            }
        }
        let full = waits.is_some() || lacks;
        let accepts = standing.borrow_and_update().accepts && !full;
        if !accepts {
            backlog.left_alone();
        }
        tokio::select! {
            accepted = backlog.accept(), if accepts => match accepted {
                Ok(came) => {
                    crowd.press.came(crowd.began.elapsed());
                    waits = Some(came);
                }
                Err(error) => match AcceptFailure::of(&error) {
                    AcceptFailure::OfOneConnection => {}
                    // The connection waits until there is a descriptor for it.
                    AcceptFailure::NoDescriptor => {
                        crowd.make_way(crowd.tasks.len());
                        lacks = true;
                    }
                    AcceptFailure::Passing => lacks = true,
                },
            },
            () = &mut closed => break,
            Ok(()) = standing.changed() => {}
            _ = look.tick() => crowd.look(),
            () = soon.due() => soon.again(crowd.look_at_unwatched()),
            // One that ends, by itself or not, has closed its socket.
            Some(_) = crowd.tasks.join_next(), if full => {
                lacks = false;
            }
            () = tokio::time::sleep(if lacks { ACCEPT_AGAIN } else { ROOM_AGAIN }), if full => {
                lacks = false;
            }
        }
    }
    node.leave();
    waits.into_iter().for_each(|came| crowd.seat(came, &node, &phase));
    if !shared {
        for came in backlog.rest().await {
            crowd.seat(came, &node, &phase);
        }
    }
    drop(backlog);
    loop {
        tokio::select! {
            ended = crowd.tasks.join_next() => if ended.is_none() {
                break;
            },
            _ = look.tick() => crowd.look(),
            () = soon.due() => soon.again(crowd.look_at_unwatched()),
        }
    }
    if let Some(front) = &node.front {
        front.all_over().await;
    }
}

/// One client's connection, until it ends or is sent away.
async fn converse(
    stream: Arc<TcpStream>, node: Rc<Node>, phase: watch::Receiver<Standing>, seat: Arc<Seat>,
    unwatched: Rc<Notify>,
) {
    let talk = talk(stream, node, phase, Arc::clone(&seat));
    tokio::pin!(talk);
    loop {
        let watched = poll_fn(|context| {
            let polled = talk.as_mut().poll(context);
            if polled.is_pending() && seat.is_newly_unwatched() {
                unwatched.notify_one();
            }
            polled
        });
        tokio::select! {
            biased;
            () = watched => return,
            () = seat.sent_away() => {}
        }
        // Danger: a request whose last byte comes in the instant in which its connection is closed. What the machine holds
        // is read first; who turns out to have asked stays.
        for _ in 0..LAST_LOOKS {
            tokio::task::yield_now().await;
            // No timer: each would take a tick of its own, and a crowd would be let in by the tick.
            if poll_fn(|context| Poll::Ready(talk.as_mut().poll(context).is_ready())).await {
                return;
            }
        }
        if !seat.is_busy() {
            debug!(why = "sent_away", asked = seat.asked(), "a connection closes");
            return;
        }
        seat.stays();
    }
}

async fn talk(stream: Arc<TcpStream>, node: Rc<Node>, phase: watch::Receiver<Standing>, seat: Arc<Seat>) {
    let _ = stream.set_nodelay(true);
    let seen = phase.clone();
    let held = Arc::clone(&seat);
    let watched = Watched::new(stream, Arc::clone(&seat));
    let service = service_fn(move |request| {
        let (node, seen, seat) = (Rc::clone(&node), seen.clone(), Arc::clone(&held));
        async move {
            let busy = Busy::new(&seat);
            let mut reply = respond(&node, request, &seen, &seat).await;
            reply.body_mut().keep(busy);
            if seen.borrow().phase > Phase::Serving {
                reply.headers_mut().insert(CONNECTION, CLOSE);
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut http = http1::Builder::new();
    // How long heads may take is seen to from outside.
    http.header_read_timeout(None).max_buf_size(BUFFER_MOST);
    http.auto_date_header(false);
    let connection = http.serve_connection(TokioIo::new(watched), service).with_upgrades();
    tokio::pin!(connection);
    tokio::select! {
        biased;
        _ = &mut connection => return,
        () = reached(phase.clone(), Phase::Emptying) => {}
    }
    // What the machine holds is read before the connection counts as idle.
    tokio::task::yield_now().await;
    // Danger: the library takes a kept connection for idle though half of a head has come on it.
    let wait = match seat.seen() {
        seen if seen.head.is_some() => Limits::USUAL.head_within,
        seen if seen.asked => Duration::ZERO,
        _ => FIRST_WITHIN,
    };
    // No longer than the process takes requests at all.
    let left = phase.borrow().answer_by.map(|end| end.saturating_duration_since(Instant::now()));
    let wait = left.map_or(wait, |left| wait.min(left));
    if tokio::time::timeout(wait, &mut connection).await.is_ok() {
        return;
    }
    debug!(
        why = "process_stops",
        asked = seat.asked(),
        waited_ms = wait.as_millis() as u64,
        "a connection closes"
    );
    connection.as_mut().graceful_shutdown();
    // A client that broke off has been told to the node by the request's guard.
    let _ = connection.await;
}

async fn respond(
    node: &Rc<Node>, request: Request<Incoming>, phase: &watch::Receiver<Standing>, seat: &Arc<Seat>,
) -> Reply {
    // Guards against a request that hides another in its body: of a length and an encoding, hyper drops one unseen.
    let coding = request.headers().get(TRANSFER_ENCODING);
    if coding.is_some_and(|coding| seat.hides() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        let words = "a body has a Content-Length or is chunked, not both\n";
        return unread(node, request.headers(), (StatusCode::BAD_REQUEST, words));
    }
    if request.method() == Method::GET && request.uri().path() == "/-/ready" {
        let standing = phase.borrow().clone();
        let status = if standing.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut reply = Response::new(standing.why.to_string().into());
        *reply.status_mut() = status;
        return reply;
    }
    let (mut request, offer) = match node.front {
        Some(_) => match upgrade::read(request.method(), request.version(), request.headers()) {
            Ok(offer) => (request, offer),
            Err((status, what)) => return not_upgraded(status, what),
        },
        None => (request, None),
    };
    let upgrades = offer.as_ref().map(|_| hyper::upgrade::on(&mut request));
    let (head, body) = request.into_parts();
    let mut asked = match read(&node.named, &head) {
        Ok(asked) => asked,
        Err(bad) => return unread(node, &head.headers, bad),
    };
    let class = asked.class;
    let turned_away = |status, what| {
        node.turned_away(class, End::Faulted);
        turned_away(status, what)
    };
    if let (Some(offer), Some(upgrades)) = (offer, upgrades) {
        return socket(node, asked, head, offer, upgrades, seat).await;
    }
    if body.size_hint().lower() > LARGEST {
        return turned_away(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
    }
    let size = body.size_hint().exact();
    let (body, pipe) = match gather(body).await {
        Some(Ok(body)) => (body, None),
        Some(Err((first, rest))) => (Bytes::new(), Some((first, rest))),
        None => return turned_away(StatusCode::BAD_REQUEST, "the body did not come whole\n"),
    };
    if asked.effect == Effect::Safe && (pipe.is_some() || !body.is_empty()) {
        return turned_away(StatusCode::BAD_REQUEST, "this class takes no body\n");
    }
    // The time of one whose body goes by has not begun.
    if pipe.is_none() && !asked.has_waited(seat.rested()) {
        return too_late(node, class);
    }
    let patience = asked.patience.saturating_sub(DELIVERY);
    let (mut event, mut forward) = asked.arrived(head, body, seat);
    let pipe = pipe.map(|(first, rest)| {
        Rc::new(Pipe::new(node.number(), forward.id.clone(), patience, size, first, rest))
    });
    if let Some(pipe) = &pipe {
        // Its client's time begins with its last byte.
        forward.body = Going::Coming(Rc::clone(pipe));
        forward.deadline = Instant::now() + COMING_WITHIN;
        if let Event::Request { patience, whole, .. } = &mut event {
            (*patience, *whole) = (COMING_WITHIN.as_micros() as u64, false);
        }
    }
    let answer = ask(node, event, forward).await;
    if let Some(pipe) = &pipe {
        // Guards against an answer that is lost as its client still writes.
        pipe.drain().await;
    }
    match answer {
        Some(answer) => reply(answer),
        None => {
            node.turned_away(class, End::Faulted);
            in_use()
        }
    }
}

/// Reads a body that is kept; of one that is too large for that, what had come when that was clear. `None` if it broke off, or
/// came too slowly.
async fn gather(mut body: Incoming) -> Option<Gathered> {
    let (mut pieces, mut size) = (VecDeque::new(), 0);
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Some(Err((pieces, body)));
    }
    if body.is_end_stream() {
        return Some(Ok(Bytes::new()));
    }
    let began = Instant::now();
    loop {
        let until = began + BODY_WITHIN + BODY_PACE.0.mul_f64(size as f64 / f64::from(BODY_PACE.1));
        let Some(frame) = tokio::time::timeout_at(until, body.frame()).await.ok()? else { break };
        let Ok(data) = frame.ok()?.into_data() else { continue };
        size += data.len();
        pieces.push_back(data);
        if size > BODY_MOST {
            return Some(Err((pieces, body)));
        }
    }
    Some(Ok(joined(pieces)))
}

/// Has a socket opened: a request like any other, whose answer is the socket.
async fn socket(
    node: &Rc<Node>, mut asked: Asked, head: hyper::http::request::Parts, offer: Offer, upgrades: OnUpgrade,
    seat: &Arc<Seat>,
) -> Reply {
    let Some(front) = node.front.as_ref().filter(|front| front.class == asked.class) else {
        return not_upgraded(StatusCode::BAD_REQUEST, "this class is not that of sockets\n");
    };
    if !asked.has_waited(seat.rested()) {
        return too_late(node, asked.class);
    }
    let place = match front.admit(node, asked.customer, asked.terms.spread) {
        Ok(place) => place,
        Err(shut) => {
            let mut reply = refused(Some(Duration::from_micros(shut.retry_in)));
            *reply.body_mut() = shut.why.into();
            return reply;
        }
    };
    let (event, mut forward) = asked.arrived(head, Bytes::new(), seat);
    forward.offer = Some(offer);
    let Some(answer) = ask(node, event, forward).await else { return in_use() };
    let Answer::Served(Payload::Switched(switched)) = answer else { return reply(answer) };
    let mut answer = plain(StatusCode::SWITCHING_PROTOCOLS, "");
    let headers = answer.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static("websocket"));
    headers.extend(switched.accepted());
    tokio::task::spawn_local(async move {
        // It fails where the client has gone before its answer.
        let Ok(upgraded) = upgrades.await else { return };
        let Ok(parts) = upgraded.downcast::<TokioIo<Watched>>() else { return };
        if let Some(stream) = parts.io.into_inner().into_inner() {
            sockets::relay(place, stream, parts.read_buf, *switched).await;
        }
    });
    answer
}

/// Turns an upgrade away, and says which version is spoken.
fn not_upgraded(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = turned_away(status, words);
    reply.headers_mut().insert(SEC_WEBSOCKET_VERSION, upgrade::VERSION);
    reply
}

/// An answer to what can't be served, after which nothing that comes on the connection is believed.
fn turned_away(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = plain(status, words);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

/// The same to what makes no request, which counts as one of its class if its head names one.
fn unread(node: &Node, headers: &HeaderMap, (status, words): Bad) -> Reply {
    debug!(
        request = text(headers, "x-request-id"),
        status = status.as_u16(),
        why = words.trim_end(),
        "turned away"
    );
    if let Some(class) = class_of(&node.named, headers) {
        node.turned_away(class, End::Faulted);
    }
    turned_away(status, words)
}

/// Tells the node when the client goes away: the answer's future is dropped then.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    id: RequestId,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.node.abandon(&self.id, self.ticket);
    }
}

/// Waits for a request's final answer; `None` if its id is in use.
async fn ask(node: &Rc<Node>, event: Event, forward: Forward) -> Option<Answer> {
    let id = forward.id.clone();
    let (answered, ticket) = node.take(event, forward)?;
    let _waiting = Waiting { node, id, ticket };
    Some(answered.await.unwrap_or(Answer::Failed))
}

fn in_use() -> Reply {
    turned_away(StatusCode::BAD_REQUEST, "X-Request-Id: in use\n")
}

fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served(Payload::Body(body)) => Response::new(body.into()),
        Answer::Served(Payload::Passing(passing)) => Response::new((*passing).into()),
        Answer::Served(Payload::Passed(status, body)) => {
            let mut reply = Response::new(body.into());
            *reply.status_mut() = status;
            reply
        }
        Answer::Refused(retry_in) => refused(retry_in),
        // Who asked for no socket gets none.
        Answer::Served(Payload::Switched(_)) | Answer::Failed => plain(StatusCode::BAD_GATEWAY, ""),
    }
}

/// Its time was up before it was read: it is refused at once, and nothing of it is sent on.
fn too_late(node: &Node, class: ClassId) -> Reply {
    node.turned_away(class, End::Throttled);
    refused(None)
}

/// Trying again is harmless, and may help after so long.
fn refused(retry_in: Option<Duration>) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_in.map(|span| format!("{:.3}", span.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

fn plain(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = Response::new(words.into());
    *reply.status_mut() = status;
    reply
}

/// What a request's head says, all of it within the settings.
struct Asked {
    id: RequestId,
    class: ClassId,
    plan: PlanId,
    customer: CustomerId,
    terms: Terms,
    patience: Duration,
    effect: Effect,
}

/// Why a request is turned away.
type Bad = (StatusCode, &'static str);

/// The class that a request's head names.
fn class_of(named: &Named, headers: &HeaderMap) -> Option<ClassId> {
    let class = text(headers, "x-class")?;
    named.classes.iter().position(|known| known == class).map(ClassId)
}

/// Reads the head of a client's request. Nothing has been touched by then: what is wrong with it is told, and that
/// is all.
fn read(named: &Named, head: &hyper::http::request::Parts) -> Result<Asked, Bad> {
    let bad = |what| (StatusCode::BAD_REQUEST, what);
    let headers = &head.headers;
    // Guards against a header that two readers take in two ways.
    if READ_ONCE.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
        return Err(bad("a header is repeated\n"));
    }
    let id = text(headers, "x-request-id").filter(|id| (1..=64).contains(&id.len()));
    let id = RequestId(id.ok_or(bad("X-Request-Id: missing, or no word of 1 to 64 bytes\n"))?.into());
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let class = text(headers, "x-class").ok_or(bad("X-Class: missing\n"))?;
    let number = class_of(named, headers).ok_or(bad("X-Class: unknown\n"))?.0;
    let plan = text(headers, "x-tier").and_then(|plan| place(&named.plans, plan));
    let plan = PlanId(plan.ok_or(bad("X-Tier: missing or unknown\n"))?);
    let mut path = head.uri.path().trim_start_matches('/').split('/');
    if path.next() != Some(class) {
        return Err(bad("the path does not begin with the class\n"));
    }
    let customer =
        path.next_back().and_then(customer).ok_or(bad("the path does not end with a customer\n"))?;
    let longest = Duration::from_micros(named.longest_deadline);
    let patience = text(headers, "x-deadline").and_then(span).filter(|span| *span <= longest);
    let patience = patience.ok_or(bad("X-Deadline: missing or bad\n"))?;
    let terms = text(headers, "x-call-terms").and_then(|text| Terms::read(text, &named.settings));
    let terms = terms.ok_or(bad("X-Call-Terms: missing or bad\n"))?;
    let effect = named.settings.classes[number].effect;
    match (effect, &head.method) {
        (Effect::Safe, &Method::GET) | (Effect::Unsafe, &Method::POST) => {}
        (Effect::Keyed { .. }, &Method::POST) if headers.contains_key(KEY) => {}
        (Effect::Keyed { .. }, &Method::POST) => return Err(bad("Idempotency-Key: missing\n")),
        _ => return Err(bad("this class takes another method\n")),
    }
    Ok(Asked { id, class: ClassId(number), plan, customer, terms, patience, effect })
}

impl Asked {
    /// Its client's time began so long ago; `false` where nothing is left of it. Danger: a request that has waited in the machine
    /// while this node was late to take it. Its server would be told time that its client no longer has.
    fn has_waited(&mut self, rested: Duration) -> bool {
        self.patience = self.patience.saturating_sub(rested);
        rested.is_zero() || self.patience > DELIVERY
    }

    /// The request is whole; its client's time runs.
    fn arrived(self, head: hyper::http::request::Parts, body: Bytes, seat: &Arc<Seat>) -> (Event, Forward) {
        let patience = self.patience.saturating_sub(DELIVERY);
        let deadline = Instant::now() + patience;
        let event = Event::Request {
            id: self.id.clone(),
            class: self.class,
            plan: self.plan,
            customer: self.customer,
            units: self.terms.units,
            first: self.terms.first,
            spread: self.terms.spread,
            patience: patience.as_micros() as u64,
            whole: true,
        };
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let key = head.headers.get(KEY).cloned();
        (
            event,
            Forward {
                id: self.id,
                effect: self.effect,
                method: head.method,
                target,
                key,
                body: Going::Whole(body),
                offer: None,
                deadline,
                client: Arc::clone(seat),
            },
        )
    }
}

const KEY: &str = "idempotency-key";
const CLOSE: HeaderValue = HeaderValue::from_static("close");
/// Headers that a request may have once at the most.
const READ_ONCE: [&str; 8] =
    ["x-request-id", "x-class", "x-tier", "x-deadline", "x-call-terms", KEY, "content-length", "host"];

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A customer: 16 hex digits and no sign, a number below 2^33.
fn customer(text: &str) -> Option<CustomerId> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()?;
    (number < 1 << 33).then_some(CustomerId(number))
}

/// A plain decimal number; no sign, no exponent, no word that stands for one.
fn number(text: &str) -> Option<f64> {
    let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    plain.then(|| text.parse().ok()).flatten()
}

/// A number with its unit, `m` or `u`; an hour at the most.
fn span(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number = number(digits)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    (seconds > 0.0 && seconds <= 3600.0).then(|| Duration::from_secs_f64(seconds))
}

#[derive(Debug)]
struct Terms {
    units: f64,
    spread: u32,
    first: GatewayId,
}

impl Terms {
    /// Units and a set that the settings have room for. Names that are unknown are passed over; a term that is no
    /// term, or stands twice, spoils all.
    fn read(text: &str, settings: &Settings) -> Option<Terms> {
        let (mut units, mut spread, mut first) = (None, None, None);
        let whole =
            |value: &str| value.bytes().all(|byte| byte.is_ascii_digit()).then(|| value.parse().ok())?;
        let most = if settings.most_units > 0.0 { settings.most_units } else { f64::MAX };
        for term in text.split(',') {
            let (name, value) = term.trim().split_once('=')?;
            let again = match name {
                "units" => {
                    units.replace(number(value).filter(|units| *units > 0.0 && *units <= most)?).is_some()
                }
                "spread" => {
                    let fits = |spread: &u32| (1..=settings.gateways).contains(spread);
                    spread.replace(whole(value).filter(fits)?).is_some()
                }
                "first" => first.replace(whole(value).filter(|first| *first < settings.gateways)?).is_some(),
                _ => false,
            };
            if again {
                return None;
            }
        }
        Some(Terms { units: units?, spread: spread?, first: GatewayId(first?) })
    }
}

#[cfg(test)]
mod tests;
