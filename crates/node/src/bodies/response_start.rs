//! The start of a streamed response of unknown length. It is read at the pace of its server, whatever the pace of its
//! client: whether the client's deadline applies depends on how much the server gives.

use super::{MAX_BUFFERED_BYTES, STALL_TIMEOUT};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use saffronpaddle_netio::timeout;
use saffronpaddle_request_body::PieceQueue;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// How the start of a response ended.
pub enum StartEnd {
    /// The response is short, and was received completely.
    Complete,
    /// The response was not received completely: its server failed, or the attempt was aborted.
    Failed,
    /// The response is long. The rest is yet to be read.
    Long(Incoming),
}

/// What the reader of a response reports about its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseLength {
    /// The response was received completely.
    Short,
    /// More was received than is buffered. The client's part reads the rest.
    Long,
}

/// The server closed or reset the connection in the middle of its response, or gave nothing for [`STALL_TIMEOUT`].
#[derive(Clone, Copy, Debug)]
pub struct ResponseBroken;

/// The received bytes that the client has not taken yet.
#[derive(Default)]
struct State {
    received: PieceQueue,
    /// The reader has ended.
    ended: bool,
    /// How it has ended, until the client's part has taken it.
    end: Option<StartEnd>,
    client_waker: Option<Waker>,
}

/// The start of a streamed response, shared by the attempt that reads it and the client's connection that sends it on.
#[derive(Clone, Default)]
pub struct ResponseStart(Rc<RefCell<State>>);

impl ResponseStart {
    /// Creates a start of which `received` has arrived.
    pub fn new(received: PieceQueue) -> ResponseStart {
        let state = State {
            received,
            ..State::default()
        };
        ResponseStart(Rc::new(RefCell::new(state)))
    }

    /// Reads until the response is complete or turns out to be long, and calls `on_received` with the number of bytes each
    /// time that some are received. If the future is dropped before that, the client gets an error in place of the rest.
    ///
    /// # Errors
    /// The response breaks off.
    pub async fn read(
        self,
        mut rest: Incoming,
        on_received: impl Fn(usize),
    ) -> Result<ResponseLength, ResponseBroken> {
        let fail_guard = FailGuard(self);
        let start = &fail_guard.0;
        let mut received_bytes = start.0.borrow().received.len();
        loop {
            let frame = timeout(STALL_TIMEOUT, rest.frame()).await;
            let Some(frame) = frame.map_err(|_| ResponseBroken)? else {
                start.end(StartEnd::Complete);
                return Ok(ResponseLength::Short);
            };
            let Ok(data) = frame.map_err(|_| ResponseBroken)?.into_data() else {
                continue;
            };
            received_bytes += data.len();
            start.push(&data);
            on_received(data.len());
            if received_bytes > MAX_BUFFERED_BYTES {
                start.end(StartEnd::Long(rest));
                return Ok(ResponseLength::Long);
            }
        }
    }

    fn push(&self, data: &Bytes) {
        self.0.borrow_mut().received.push(data);
        self.wake_client();
    }

    fn end(&self, end: StartEnd) {
        let mut state = self.0.borrow_mut();
        state.ended = true;
        state.end = Some(end);
        drop(state);
        self.wake_client();
    }

    fn wake_client(&self) {
        let waker = self.0.borrow_mut().client_waker.take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Polls for the next bytes, or for the end if the client has taken all. A failure comes at once.
    pub fn poll(&self, context: &mut Context<'_>) -> Poll<Result<Bytes, StartEnd>> {
        let mut state = self.0.borrow_mut();
        if matches!(state.end, Some(StartEnd::Failed)) {
            return Poll::Ready(Err(StartEnd::Failed));
        }
        state.received.close_piece();
        if let Some(piece) = state.received.get(0).cloned() {
            state.received.remove_first(1);
            return Poll::Ready(Ok(piece));
        }
        if let Some(end) = state.end.take() {
            return Poll::Ready(Err(end));
        }
        state.client_waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Whether the attempt still reads the response, or has left the rest of a long one to the client's part.
    pub fn is_unfinished(&self) -> bool {
        self.is_being_read() || matches!(self.0.borrow().end, Some(StartEnd::Long(_)))
    }

    /// Whether the attempt still reads the response.
    fn is_being_read(&self) -> bool {
        !self.0.borrow().ended
    }
}

/// Ends the start of a response that is not read any further.
struct FailGuard(ResponseStart);

impl Drop for FailGuard {
    fn drop(&mut self) {
        if self.0.is_being_read() {
            self.0.end(StartEnd::Failed);
        }
    }
}
