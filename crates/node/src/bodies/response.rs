//! The body of a response that is streamed from a server to its client.

use super::{PolledFrame, STALL_TIMEOUT};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::time::Instant;

/// A response body that is passed on while it is still received.
pub struct StreamedResponseBody {
    /// Called once: with `true` when all was received, with `false` when it never will be.
    on_end: Option<Box<dyn FnOnce(bool)>>,
    /// Called when it is dropped before its end.
    on_abandoned: Box<dyn Fn()>,
    pub(super) size: Option<u64>,
    first: VecDeque<Bytes>,
    rest: Incoming,
    stall: Pin<Box<tokio::time::Sleep>>,
}

impl fmt::Debug for StreamedResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedResponseBody")
            .field("size", &self.size)
            .finish_non_exhaustive()
    }
}

impl StreamedResponseBody {
    /// A body of which these pieces were received.
    pub fn new(
        on_end: Box<dyn FnOnce(bool)>,
        on_abandoned: Box<dyn Fn()>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> StreamedResponseBody {
        let received: u64 = first.iter().map(|piece| piece.len() as u64).sum();
        let size = rest.size_hint().exact().map(|rest| received + rest);
        let stall = Box::pin(tokio::time::sleep(STALL_TIMEOUT));
        StreamedResponseBody {
            on_end: Some(on_end),
            on_abandoned,
            size,
            first,
            rest,
            stall,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.first.is_empty() && (self.on_end.is_none() || self.rest.is_end_stream())
    }

    /// All was received, or never will be.
    fn ends(&mut self, complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }

    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> PolledFrame {
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
                    self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    // A reader that knows the length polls no more after the last byte.
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
        if self.on_end.is_some() {
            (self.on_abandoned)();
        }
    }
}
