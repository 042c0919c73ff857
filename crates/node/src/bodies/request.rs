//! A request body that is streamed from its client to a server.

use super::{PolledFrame, MAX_BODY_BYTES, STALL_TIMEOUT};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use saffronpaddle_exchange::Ticket;
use saffronpaddle_netio::timeout;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll, Waker};

/// A request body that is forwarded while it is being received. Its last chunk is held back until the exchange releases
/// it.
pub struct StreamedRequestBody {
    /// Called once, when the body has been received completely and its last chunk is held back. The body may outlive
    /// the event loop of its node.
    on_complete: Box<dyn Fn(Ticket)>,
    /// The exchange's ticket of the request.
    ticket: Cell<Option<Ticket>>,
    /// Size in bytes, if the client declared it.
    pub(super) size: Option<u64>,
    completion_reported: Cell<bool>,
    released: Cell<bool>,
    /// Wakes the task that waits for the release of the last chunk.
    release_waker: RefCell<Option<Waker>>,
    state: RefCell<RequestBodyState>,
}

struct RequestBodyState {
    /// Chunks that were buffered before streaming began.
    received: VecDeque<Bytes>,
    rest: Incoming,
    /// The latest chunk, held back because it may be the last.
    held_back: Option<Bytes>,
    /// Nothing more is read; the body is complete, failed or was drained.
    ended: bool,
    failed: bool,
    /// Bytes received so far.
    bytes: u64,
}

impl RequestBodyState {
    /// Returns the next chunk; `None` at the end.
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(chunk) = self.received.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        loop {
            let frame = match ready!(Pin::new(&mut self.rest).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                None => return Poll::Ready(None),
            };
            // Trailers are not forwarded.
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
        (self.ended, self.failed, self.held_back) = (true, true, None);
        self.received.clear();
    }
}

impl StreamedRequestBody {
    /// Creates a body of `size` bytes (`None` if unknown), of which the chunks in `received` have arrived.
    pub fn new(
        on_complete: Box<dyn Fn(Ticket)>,
        size: Option<u64>,
        received: VecDeque<Bytes>,
        rest: Incoming,
    ) -> StreamedRequestBody {
        let bytes = received.iter().map(|chunk| chunk.len() as u64).sum();
        StreamedRequestBody {
            on_complete,
            ticket: Cell::new(None),
            size,
            completion_reported: Cell::new(false),
            released: Cell::new(false),
            release_waker: RefCell::default(),
            state: RefCell::new(RequestBodyState {
                received,
                rest,
                held_back: None,
                ended: false,
                failed: false,
                bytes,
            }),
        }
    }

    /// Sets the ticket that is passed to `on_complete`.
    pub fn set_ticket(&self, ticket: Ticket) {
        self.ticket.set(Some(ticket));
    }

    /// Allows the last chunk to be sent.
    pub fn release(&self) {
        self.released.set(true);
        self.release_waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    pub(super) fn is_end_stream(&self) -> bool {
        let state = self.state.borrow();
        state.ended && state.held_back.is_none() && !state.failed
    }

    /// Polls for the next frame. Is pending before the last chunk until that is released.
    pub(super) fn poll(&self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let mut state = self.state.borrow_mut();
            if state.failed {
                return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
            }
            if state.ended {
                if state.held_back.is_none() {
                    return Poll::Ready(None);
                }
                if self.released.get() {
                    return Poll::Ready(state.held_back.take().map(|chunk| Ok(Frame::data(chunk))));
                }
                *self.release_waker.borrow_mut() = Some(context.waker().clone());
                drop(state);
                if self.completion_reported.replace(true) {
                    return Poll::Pending;
                }
                let Some(ticket) = self.ticket.get() else {
                    return Poll::Pending;
                };
                (self.on_complete)(ticket);
                if !self.released.get() {
                    return Poll::Pending;
                }
                continue;
            }
            match ready!(state.poll_next(context)) {
                Some(Ok(chunk)) => {
                    if let Some(previous) = state.held_back.replace(chunk) {
                        return Poll::Ready(Some(Ok(Frame::data(previous))));
                    }
                }
                Some(Err(_)) => state.fail(),
                None => state.ended = true,
            }
        }
    }

    /// Reads and discards the rest, so that the client has written everything before it gets the response. From then on
    /// the rest is not forwarded.
    pub async fn drain(&self) {
        let next = || std::future::poll_fn(|context| self.state.borrow_mut().poll_next(context));
        while !self.state.borrow().ended {
            if !matches!(timeout(STALL_TIMEOUT, next()).await, Ok(Some(Ok(_)))) {
                self.state.borrow_mut().ended = true;
            }
        }
    }
}
