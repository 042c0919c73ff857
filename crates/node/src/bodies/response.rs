//! A response body that is streamed from a server to its client.

use super::response_start::{ResponseStart, StartEnd};
use super::{PolledFrame, STALL_TIMEOUT};
use crate::memory::MemoryGrant;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use saffronpaddle_netio::SilenceTimer;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::time::Instant;

/// A response body that is forwarded while it is being received.
pub struct StreamedResponseBody {
    /// Called at most once: with `true` when the rest was received completely, with `false` when it failed. Not called if
    /// the response ends in its start.
    on_end: Option<Box<dyn FnOnce(bool)>>,
    /// Called if the body is dropped before its end.
    on_abandoned: Box<dyn Fn()>,
    /// Size in bytes, if the server declared it.
    pub(super) size: Option<u64>,
    /// Chunks that were buffered before streaming began.
    received: VecDeque<Bytes>,
    rest: ResponseRest,
    stall_timer: SilenceTimer,
    /// What the response holds on its way.
    _memory: MemoryGrant,
}

/// Where the rest of a streamed response is read.
pub enum ResponseRest {
    /// By the attempt, as the response may be short.
    ByAttempt(ResponseStart),
    /// By the client's part, as the response is long.
    ByClient(Incoming),
    /// Nowhere: the response is complete, or has failed.
    Ended,
}

impl fmt::Debug for StreamedResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedResponseBody")
            .field("size", &self.size)
            .finish_non_exhaustive()
    }
}

impl StreamedResponseBody {
    /// Creates a body of which the chunks in `received` have arrived.
    pub fn new(
        on_end: Box<dyn FnOnce(bool)>,
        on_abandoned: Box<dyn Fn()>,
        received: VecDeque<Bytes>,
        rest: ResponseRest,
        memory: MemoryGrant,
    ) -> StreamedResponseBody {
        let received_bytes: u64 = received.iter().map(|chunk| chunk.len() as u64).sum();
        let size = rest.size().map(|rest| received_bytes + rest);
        let stall_timer = SilenceTimer::new(Instant::now() + STALL_TIMEOUT);
        StreamedResponseBody {
            on_end: Some(on_end),
            on_abandoned,
            size,
            received,
            rest,
            stall_timer,
            _memory: memory,
        }
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.received.is_empty()
            && match &self.rest {
                ResponseRest::ByAttempt(_) => false,
                ResponseRest::ByClient(rest) => self.on_end.is_none() || rest.is_end_stream(),
                ResponseRest::Ended => true,
            }
    }

    /// Calls `on_end` unless it was called before.
    fn report_end(&mut self, complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }

    /// Polls for the next frame. Fails if the server makes no progress for [`STALL_TIMEOUT`].
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> PolledFrame {
        if let Some(chunk) = self.received.pop_front() {
            if self.received.is_empty() && self.is_end_stream() {
                self.report_end(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if let ResponseRest::ByAttempt(start) = &self.rest {
            match ready!(start.poll(context)) {
                Ok(data) => return Poll::Ready(Some(Ok(Frame::data(data)))),
                Err(StartEnd::Complete) => self.rest = ResponseRest::Ended,
                Err(StartEnd::Failed) => {
                    self.rest = ResponseRest::Ended;
                    return Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())));
                }
                Err(StartEnd::Long(rest)) => {
                    self.rest = ResponseRest::ByClient(rest);
                    self.stall_timer.reset(Instant::now() + STALL_TIMEOUT);
                }
            }
        }
        self.poll_rest(context)
    }

    /// Polls for the next frame of a long response.
    fn poll_rest(&mut self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let ResponseRest::ByClient(rest) = &mut self.rest else {
                return Poll::Ready(None);
            };
            match Pin::new(&mut *rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.stall_timer.reset(Instant::now() + STALL_TIMEOUT);
                    // hyper does not poll again after the last byte of a body of known length.
                    if rest.is_end_stream() {
                        self.report_end(true);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Poll::Ready(None) => {
                    self.report_end(true);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    self.report_end(false);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Poll::Pending => {
                    ready!(Pin::new(&mut self.stall_timer).poll(context));
                    self.report_end(false);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            }
        }
    }

    /// Whether the exchange still waits for the end of the response.
    fn is_unfinished(&self) -> bool {
        match &self.rest {
            ResponseRest::ByAttempt(start) => start.is_unfinished(),
            ResponseRest::ByClient(_) => self.on_end.is_some(),
            ResponseRest::Ended => false,
        }
    }
}

impl ResponseRest {
    /// Number of bytes that are yet to be received, if the server declared it.
    fn size(&self) -> Option<u64> {
        match self {
            ResponseRest::ByClient(rest) => rest.size_hint().exact(),
            ResponseRest::ByAttempt(_) | ResponseRest::Ended => None,
        }
    }
}

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        if self.is_unfinished() {
            (self.on_abandoned)();
        }
    }
}
