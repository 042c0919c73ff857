//! A response body that is streamed from a server to its client.

use super::{PolledFrame, STALL_TIMEOUT};
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
    /// Called at most once: with `true` when the body was received completely, with `false` when it failed.
    on_end: Option<Box<dyn FnOnce(bool)>>,
    /// Called if the body is dropped before its end.
    on_abandoned: Box<dyn Fn()>,
    /// Size in bytes, if the server declared it.
    pub(super) size: Option<u64>,
    /// Chunks that were buffered before streaming began.
    received: VecDeque<Bytes>,
    rest: Incoming,
    stall_timer: SilenceTimer,
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
        rest: Incoming,
    ) -> StreamedResponseBody {
        let received_bytes: u64 = received.iter().map(|chunk| chunk.len() as u64).sum();
        let size = rest.size_hint().exact().map(|rest| received_bytes + rest);
        let stall_timer = SilenceTimer::new(Instant::now() + STALL_TIMEOUT);
        StreamedResponseBody {
            on_end: Some(on_end),
            on_abandoned,
            size,
            received,
            rest,
            stall_timer,
        }
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.received.is_empty() && (self.on_end.is_none() || self.rest.is_end_stream())
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
            if self.received.is_empty() && self.rest.is_end_stream() {
                self.report_end(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.stall_timer.reset(Instant::now() + STALL_TIMEOUT);
                    // hyper does not poll again after the last byte of a body of known length.
                    if self.rest.is_end_stream() {
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
}

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        if self.on_end.is_some() {
            (self.on_abandoned)();
        }
    }
}
