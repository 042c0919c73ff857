//! The body of a request that is streamed from its client to a server.

use super::{PolledFrame, MAX_BODY_BYTES, STALL_TIMEOUT};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use saffronpaddle_exchange::Ticket;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll, Waker};

/// A request body that is forwarded while it is still received. Its last piece is held back until the exchange releases
/// it.
pub struct StreamedRequestBody {
    /// Called once, when all has been received and the last piece waits. The body may outlive its node's loop.
    on_complete: Box<dyn Fn(Ticket)>,
    ticket: Cell<Option<Ticket>>,
    pub(super) size: Option<u64>,
    completion_reported: Cell<bool>,
    released: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    state: RefCell<RequestBodyState>,
}

struct RequestBodyState {
    /// What was received before the body counted as streamed.
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// The newest piece, which may be the last.
    last_piece: Option<Bytes>,
    /// Nothing more is received, whether the body is complete or not.
    ended: bool,
    failed: bool,
    bytes: u64,
}

impl RequestBodyState {
    /// The next piece; `None` at the end.
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
        (self.ended, self.failed, self.last_piece) = (true, true, None);
        self.first.clear();
    }
}

impl StreamedRequestBody {
    /// A body of `size` bytes, if that is known, of which these pieces were received.
    pub fn new(
        on_complete: Box<dyn Fn(Ticket)>,
        size: Option<u64>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> StreamedRequestBody {
        let bytes = first.iter().map(|piece| piece.len() as u64).sum();
        StreamedRequestBody {
            on_complete,
            ticket: Cell::new(None),
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

    /// Sets the ticket of its request.
    pub fn set_ticket(&self, ticket: Ticket) {
        self.ticket.set(Some(ticket));
    }

    /// Releases the last piece.
    pub fn release(&self) {
        self.released.set(true);
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    pub(super) fn is_over(&self) -> bool {
        let state = self.state.borrow();
        state.ended && state.last_piece.is_none() && !state.failed
    }

    pub(super) fn poll(&self, context: &mut Context<'_>) -> PolledFrame {
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
                let Some(ticket) = self.ticket.get() else {
                    return Poll::Pending;
                };
                (self.on_complete)(ticket);
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

    /// Reads what is left and drops it, so that the response meets a client that has written everything. No other
    /// reader gets any of it from then on.
    pub async fn drain(&self) {
        let next = || std::future::poll_fn(|context| self.state.borrow_mut().next(context));
        while !self.state.borrow().ended {
            if !matches!(
                tokio::time::timeout(STALL_TIMEOUT, next()).await,
                Ok(Some(Ok(_)))
            ) {
                self.state.borrow_mut().ended = true;
            }
        }
    }
}
