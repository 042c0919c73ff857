//! Bodies that go by as they come: of requests on their way to a server, of answers on their way to a client. Each holds a
//! few pieces at a time; how fast it goes is up to the slower of its ends.

use crate::node::Node;
use crate::seats::Busy;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::SendRequest;
use saffronpaddle_exchange::{ConnectionId, Event, Ticket};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Most bytes of a body that is kept whole, either way: up to here a request can be sent again, and an answer is passed on
/// once it is whole.
pub const BODY_MOST: usize = 64 * 1024;
/// Most bytes of a body that goes by. Guards against bodies without end.
pub const LARGEST: u64 = 40 << 20;
/// How long a body that goes by may stand still. Guards against ends that have gone without a word: for as long, it holds a
/// connection on either side.
const STALL: Duration = Duration::from_secs(10);

/// What has come of a body: all of it, or its first pieces and the rest.
pub type Gathered = Result<Bytes, (VecDeque<Bytes>, Incoming)>;

/// The pieces of a body as one; copied only where there are several.
pub fn joined(mut pieces: VecDeque<Bytes>) -> Bytes {
    if pieces.len() <= 1 {
        return pieces.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    pieces
        .iter()
        .for_each(|piece| whole.extend_from_slice(piece));
    whole.freeze()
}

type Polled = Poll<Option<Result<Frame<Bytes>, io::Error>>>;

/// The body of a request on its way to a server.
pub enum Outgoing {
    /// Kept whole.
    Full(Full<Bytes>),
    /// It goes by.
    Coming(Rc<Pipe>),
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Polled {
        match self.get_mut() {
            Outgoing::Full(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Outgoing::Coming(pipe) => pipe.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Full(full) => full.is_end_stream(),
            Outgoing::Coming(pipe) => pipe.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Full(full) => full.size_hint(),
            Outgoing::Coming(pipe) => pipe.size.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// A body that has not come whole, between the client that writes it and the server that it goes to. Its last piece is held
/// back until the exchange lets it go.
pub struct Pipe {
    /// By number, as a body may outlive its node's loop.
    node: u64,
    id: RequestId,
    ticket: Cell<Option<Ticket>>,
    patience: Duration,
    size: Option<u64>,
    told: Cell<bool>,
    released: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    piped: RefCell<Piped>,
}

struct Piped {
    /// What had come before it was clear that it would not be whole soon.
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// The newest piece: it may be the last.
    held: Option<Bytes>,
    /// Nothing more comes, well or not.
    ended: bool,
    failed: bool,
    bytes: u64,
}

impl Piped {
    /// The next piece that comes; none at the end.
    fn next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(piece) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(piece)));
        }
        loop {
            let frame = match ready!(Pin::new(&mut self.rest).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                None => return Poll::Ready(None),
            };
            // Trailers are the client's matter with this node.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.bytes += data.len() as u64;
            if self.bytes > LARGEST {
                return Poll::Ready(Some(Err(io::Error::other("the body is too large"))));
            }
            if !data.is_empty() {
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }

    fn fail(&mut self) {
        (self.ended, self.failed, self.held) = (true, true, None);
        self.first.clear();
    }
}

impl Pipe {
    /// A body of which these pieces have come; its client waits for so long once the last has.
    pub fn new(
        node: u64,
        id: RequestId,
        patience: Duration,
        size: Option<u64>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> Pipe {
        let bytes = first.iter().map(|piece| piece.len() as u64).sum();
        Pipe {
            node,
            id,
            ticket: Cell::new(None),
            patience,
            size,
            told: Cell::new(false),
            released: Cell::new(false),
            waker: RefCell::default(),
            piped: RefCell::new(Piped {
                first,
                rest,
                held: None,
                ended: false,
                failed: false,
                bytes,
            }),
        }
    }

    /// Which taking of its request it belongs to.
    pub fn taken(&self, ticket: Ticket) {
        self.ticket.set(Some(ticket));
    }

    /// The last piece may go.
    pub fn release(&self) {
        self.released.set(true);
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    fn is_over(&self) -> bool {
        let piped = self.piped.borrow();
        piped.ended && piped.held.is_none() && !piped.failed
    }

    fn poll(&self, context: &mut Context<'_>) -> Polled {
        loop {
            let mut piped = self.piped.borrow_mut();
            if piped.failed {
                return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
            }
            if piped.ended {
                if piped.held.is_none() {
                    return Poll::Ready(None);
                }
                if self.released.get() {
                    return Poll::Ready(piped.held.take().map(|piece| Ok(Frame::data(piece))));
                }
                *self.waker.borrow_mut() = Some(context.waker().clone());
                drop(piped);
                if self.told.replace(true) {
                    return Poll::Pending;
                }
                let (Some(node), Some(ticket)) = (Node::here(self.node), self.ticket.get()) else {
                    return Poll::Pending;
                };
                let deadline = node.now() + self.patience.as_micros() as Micros;
                node.happened(
                    Event::BodyComplete {
                        id: self.id.clone(),
                        ticket,
                        deadline,
                    },
                    None,
                );
                if !self.released.get() {
                    return Poll::Pending;
                }
                continue;
            }
            match ready!(piped.next(context)) {
                Some(Ok(piece)) => {
                    if let Some(before) = piped.held.replace(piece) {
                        return Poll::Ready(Some(Ok(Frame::data(before))));
                    }
                }
                Some(Err(_)) => piped.fail(),
                None => piped.ended = true,
            }
        }
    }

    /// Reads what is left and drops it, so that an answer meets a client that has written all. Whoever else read from it
    /// does so no more.
    pub async fn drain(&self) {
        let next = || std::future::poll_fn(|context| self.piped.borrow_mut().next(context));
        while !self.piped.borrow().ended {
            if !matches!(tokio::time::timeout(STALL, next()).await, Ok(Some(Ok(_)))) {
                self.piped.borrow_mut().ended = true;
            }
        }
    }
}

/// The body of an answer on its way to a client.
pub struct Reply {
    body: Answering,
    /// The client's connection has a request for as long as its answer is not out.
    busy_guard: Option<Busy>,
}

enum Answering {
    Full(Full<Bytes>),
    Passing(Passing),
}

impl Reply {
    /// Which connection is busy with it.
    pub fn keep(&mut self, busy: Busy) {
        self.busy_guard = Some(busy);
    }
}

impl<B: Into<Bytes>> From<B> for Reply {
    fn from(bytes: B) -> Reply {
        Reply {
            body: Answering::Full(Full::new(bytes.into())),
            busy_guard: None,
        }
    }
}

impl From<Passing> for Reply {
    fn from(passing: Passing) -> Reply {
        Reply {
            body: Answering::Passing(passing),
            busy_guard: None,
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Polled {
        match &mut self.get_mut().body {
            Answering::Full(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Answering::Passing(passing) => passing.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Answering::Full(full) => full.is_end_stream(),
            Answering::Passing(passing) => passing.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Answering::Full(full) => full.size_hint(),
            Answering::Passing(passing) => passing
                .size
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// An answer that goes by as it comes, and the connection that it comes on.
pub struct Passing {
    node: u64,
    link: ConnectionId,
    left: mpsc::UnboundedSender<ConnectionId>,
    sender: Option<SendRequest<Outgoing>>,
    size: Option<u64>,
    first: VecDeque<Bytes>,
    rest: Incoming,
    over: bool,
    stall: Pin<Box<tokio::time::Sleep>>,
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("link", &self.link)
            .field("size", &self.size)
            .finish_non_exhaustive()
    }
}

impl Passing {
    /// An answer of which these pieces have come on a connection.
    pub fn new(
        node: u64,
        link: ConnectionId,
        left: mpsc::UnboundedSender<ConnectionId>,
        sender: SendRequest<Outgoing>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> Passing {
        let come: u64 = first.iter().map(|piece| piece.len() as u64).sum();
        let size = rest.size_hint().exact().map(|rest| come + rest);
        let stall = Box::pin(tokio::time::sleep(STALL));
        Passing {
            node,
            link,
            left,
            sender: Some(sender),
            size,
            first,
            rest,
            over: false,
            stall,
        }
    }

    fn is_over(&self) -> bool {
        self.first.is_empty() && (self.over || self.rest.is_end_stream())
    }

    /// It has come whole, or never will.
    fn ends(&mut self, whole: bool) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        let Some(node) = Node::here(self.node) else {
            return;
        };
        let (link, outcome) = (self.link, Outcome::Ok);
        if let Some(sender) = self.sender.take() {
            node.upstream.free_again(link, sender);
        }
        node.happened(
            if whole {
                Event::ResponseComplete {
                    connection: link,
                    outcome,
                }
            } else {
                Event::ConnectionLost { connection: link }
            },
            None,
        );
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Polled {
        if let Some(piece) = self.first.pop_front() {
            if self.first.is_empty() && self.rest.is_end_stream() {
                self.ends(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.stall.as_mut().reset(Instant::now() + STALL);
                    // Who knows the length asks no more after the last byte.
                    if self.rest.is_end_stream() {
                        self.ends(true);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Poll::Ready(None) => {
                    self.ends(true);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    self.ends(false);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(context));
                    self.ends(false);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            }
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if !self.over {
            // At the node's end nobody listens any more.
            let _ = self.left.send(self.link);
        }
    }
}
