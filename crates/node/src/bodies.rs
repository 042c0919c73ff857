//! Bodies that go by as they come: of requests on their way to a server, of answers on their way to a client. Each holds a
//! few pieces at a time; how fast it goes is up to the slower of its ends.

use crate::downstream::BusyGuard;
use crate::node::Node;
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
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Most bytes of a body that goes by. Guards against bodies without end.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
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

type PolledFrame = Poll<Option<Result<Frame<Bytes>, io::Error>>>;

/// The body of a request on its way to a server.
pub enum UpstreamRequestBody {
    /// Kept whole.
    Buffered(Full<Bytes>),
    /// It goes by.
    Streamed(Rc<StreamedRequestBody>),
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> PolledFrame {
        match self.get_mut() {
            UpstreamRequestBody::Buffered(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            UpstreamRequestBody::Streamed(pipe) => pipe.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            UpstreamRequestBody::Buffered(full) => full.is_end_stream(),
            UpstreamRequestBody::Streamed(pipe) => pipe.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamRequestBody::Buffered(full) => full.size_hint(),
            UpstreamRequestBody::Streamed(pipe) => {
                pipe.size.map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}

/// A body that has not come whole, between the client that writes it and the server that it goes to. Its last piece is held
/// back until the exchange lets it go.
pub struct StreamedRequestBody {
    /// By number, as a body may outlive its node's loop.
    node: u64,
    id: RequestId,
    ticket: Cell<Option<Ticket>>,
    client_timeout: Duration,
    size: Option<u64>,
    completion_reported: Cell<bool>,
    released: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    state: RefCell<RequestBodyState>,
}

struct RequestBodyState {
    /// What had come before it was clear that it would not be whole soon.
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// The newest piece: it may be the last.
    last_piece: Option<Bytes>,
    /// Nothing more comes, well or not.
    ended: bool,
    failed: bool,
    bytes: u64,
}

impl RequestBodyState {
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
            if self.bytes > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(io::Error::other("the body is too large"))));
            }
            if !data.is_empty() {
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }

    fn fail(&mut self) {
        (self.ended, self.failed, self.last_piece) = (true, true, None);
        self.first.clear();
    }
}

impl StreamedRequestBody {
    /// A body of which these pieces have come; its client waits for so long once the last has.
    pub fn new(
        node: u64,
        id: RequestId,
        client_timeout: Duration,
        size: Option<u64>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> StreamedRequestBody {
        let bytes = first.iter().map(|piece| piece.len() as u64).sum();
        StreamedRequestBody {
            node,
            id,
            ticket: Cell::new(None),
            client_timeout,
            size,
            completion_reported: Cell::new(false),
            released: Cell::new(false),
            waker: RefCell::default(),
            state: RefCell::new(RequestBodyState {
                first,
                rest,
                last_piece: None,
                ended: false,
                failed: false,
                bytes,
            }),
        }
    }

    /// Which taking of its request it belongs to.
    pub fn set_ticket(&self, ticket: Ticket) {
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
        let state = self.state.borrow();
        state.ended && state.last_piece.is_none() && !state.failed
    }

    fn poll(&self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let mut state = self.state.borrow_mut();
            if state.failed {
                return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
            }
            if state.ended {
                if state.last_piece.is_none() {
                    return Poll::Ready(None);
                }
                if self.released.get() {
                    return Poll::Ready(
                        state.last_piece.take().map(|piece| Ok(Frame::data(piece))),
                    );
                }
                *self.waker.borrow_mut() = Some(context.waker().clone());
                drop(state);
                if self.completion_reported.replace(true) {
                    return Poll::Pending;
                }
                let (Some(node), Some(ticket)) = (Node::by_number(self.node), self.ticket.get())
                else {
                    return Poll::Pending;
                };
                let deadline = node.now() + self.client_timeout.as_micros() as Micros;
                node.handle(
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
            match ready!(state.next(context)) {
                Some(Ok(piece)) => {
                    if let Some(before) = state.last_piece.replace(piece) {
                        return Poll::Ready(Some(Ok(Frame::data(before))));
                    }
                }
                Some(Err(_)) => state.fail(),
                None => state.ended = true,
            }
        }
    }

    /// Reads what is left and drops it, so that an answer meets a client that has written all. Whoever else read from it
    /// does so no more.
    pub async fn drain(&self) {
        let next = || std::future::poll_fn(|context| self.state.borrow_mut().next(context));
        while !self.state.borrow().ended {
            if !matches!(tokio::time::timeout(STALL, next()).await, Ok(Some(Ok(_)))) {
                self.state.borrow_mut().ended = true;
            }
        }
    }
}

/// The body of an answer on its way to a client.
pub struct DownstreamBody {
    body: ResponseBody,
    /// The client's connection has a request for as long as its answer is not out.
    busy_guard: Option<BusyGuard>,
}

enum ResponseBody {
    Buffered(Full<Bytes>),
    Streaming(StreamedResponseBody),
}

impl DownstreamBody {
    /// Which connection is busy with it.
    pub fn keep(&mut self, busy: BusyGuard) {
        self.busy_guard = Some(busy);
    }
}

impl<B: Into<Bytes>> From<B> for DownstreamBody {
    fn from(bytes: B) -> DownstreamBody {
        DownstreamBody {
            body: ResponseBody::Buffered(Full::new(bytes.into())),
            busy_guard: None,
        }
    }
}

impl From<StreamedResponseBody> for DownstreamBody {
    fn from(passing: StreamedResponseBody) -> DownstreamBody {
        DownstreamBody {
            body: ResponseBody::Streaming(passing),
            busy_guard: None,
        }
    }
}

impl Body for DownstreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> PolledFrame {
        match &mut self.get_mut().body {
            ResponseBody::Buffered(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ResponseBody::Streaming(passing) => passing.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ResponseBody::Buffered(full) => full.is_end_stream(),
            ResponseBody::Streaming(passing) => passing.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Buffered(full) => full.size_hint(),
            ResponseBody::Streaming(passing) => passing
                .size
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// An answer that goes by as it comes, and the connection that it comes on.
pub struct StreamedResponseBody {
    node: u64,
    link: ConnectionId,
    left: mpsc::UnboundedSender<ConnectionId>,
    sender: Option<SendRequest<UpstreamRequestBody>>,
    size: Option<u64>,
    first: VecDeque<Bytes>,
    rest: Incoming,
    over: bool,
    stall: Pin<Box<tokio::time::Sleep>>,
}

impl fmt::Debug for StreamedResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("link", &self.link)
            .field("size", &self.size)
            .finish_non_exhaustive()
    }
}

impl StreamedResponseBody {
    /// An answer of which these pieces have come on a connection.
    pub fn new(
        node: u64,
        link: ConnectionId,
        left: mpsc::UnboundedSender<ConnectionId>,
        sender: SendRequest<UpstreamRequestBody>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> StreamedResponseBody {
        let come: u64 = first.iter().map(|piece| piece.len() as u64).sum();
        let size = rest.size_hint().exact().map(|rest| come + rest);
        let stall = Box::pin(tokio::time::sleep(STALL));
        StreamedResponseBody {
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
        let Some(node) = Node::by_number(self.node) else {
            return;
        };
        let (link, outcome) = (self.link, Outcome::Ok);
        if let Some(sender) = self.sender.take() {
            node.upstream.return_connection(link, sender);
        }
        node.handle(
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

    fn poll(&mut self, context: &mut Context<'_>) -> PolledFrame {
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

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        if !self.over {
            // At the node's end nobody listens any more.
            let _ = self.left.send(self.link);
        }
    }
}
