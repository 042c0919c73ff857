//! Bodies of requests forwarded to a server, and of responses forwarded to a client. A streamed body holds a few chunks
//! at a time; the slower of its two peers sets the pace.

mod reader;
mod request;
mod response;
mod response_start;

pub use reader::{BodyReader, ReceiveError};
pub use request::{AttemptBody, BodyEvent, StreamedRequestBody};
pub use response::{ResponseRest, StreamedResponseBody};
pub use response_start::{ResponseBroken, ResponseLength, ResponseStart};
pub use saffronpaddle_request_body::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};

use crate::answer::ResponseBytes;
use crate::downstream::BusyGuard;
use crate::memory::MemoryGrant;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// How long a streamed response may make no progress. A peer that vanished without closing would otherwise hold a
/// connection on either side forever.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

type PolledFrame = Poll<Option<Result<Frame<Bytes>, io::Error>>>;

/// The body of a request forwarded to a server.
pub enum UpstreamRequestBody {
    /// Buffered completely.
    Buffered(Full<Bytes>),
    /// Streamed as it is received.
    Streamed(AttemptBody),
}

impl UpstreamRequestBody {
    /// The body if it is streamed.
    pub fn streamed(&self) -> Option<&AttemptBody> {
        match self {
            UpstreamRequestBody::Buffered(_) => None,
            UpstreamRequestBody::Streamed(body) => Some(body),
        }
    }
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> PolledFrame {
        match self.get_mut() {
            UpstreamRequestBody::Buffered(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            UpstreamRequestBody::Streamed(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            UpstreamRequestBody::Buffered(full) => full.is_end_stream(),
            UpstreamRequestBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamRequestBody::Buffered(full) => full.size_hint(),
            UpstreamRequestBody::Streamed(body) => {
                body.size().map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}

/// The body of a response forwarded to a client.
pub struct DownstreamBody {
    body: ResponseBody,
    /// Marks the client's connection as busy until the response is written.
    busy_guard: Option<BusyGuard>,
    /// The memory of the request, until its response is written.
    request_memory: Option<MemoryGrant>,
    /// The memory of a response that was received completely, until it is written.
    _response_memory: Option<MemoryGrant>,
}

enum ResponseBody {
    Buffered(Full<Bytes>),
    Streaming(StreamedResponseBody),
}

impl DownstreamBody {
    /// Keeps the client's connection marked as busy until this body is dropped.
    pub fn set_busy_guard(&mut self, busy: BusyGuard) {
        self.busy_guard = Some(busy);
    }

    /// Keeps the memory of the request until this body is dropped.
    pub fn set_request_memory(&mut self, memory: MemoryGrant) {
        self.request_memory = Some(memory);
    }
}

impl<B: Into<Bytes>> From<B> for DownstreamBody {
    fn from(bytes: B) -> DownstreamBody {
        DownstreamBody {
            body: ResponseBody::Buffered(Full::new(bytes.into())),
            busy_guard: None,
            request_memory: None,
            _response_memory: None,
        }
    }
}

impl From<ResponseBytes> for DownstreamBody {
    fn from(body: ResponseBytes) -> DownstreamBody {
        DownstreamBody {
            body: ResponseBody::Buffered(Full::new(body.bytes)),
            busy_guard: None,
            request_memory: None,
            _response_memory: body.memory,
        }
    }
}

impl From<StreamedResponseBody> for DownstreamBody {
    fn from(body: StreamedResponseBody) -> DownstreamBody {
        DownstreamBody {
            body: ResponseBody::Streaming(body),
            busy_guard: None,
            request_memory: None,
            _response_memory: None,
        }
    }
}

impl Body for DownstreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> PolledFrame {
        let this = self.get_mut();
        if let Some(busy_guard) = &this.busy_guard {
            let write_progress = busy_guard.downstream().write_progress();
            ready!(write_progress.poll_unblocked(context));
        }
        match &mut this.body {
            ResponseBody::Buffered(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ResponseBody::Streaming(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ResponseBody::Buffered(full) => full.is_end_stream(),
            ResponseBody::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Buffered(full) => full.size_hint(),
            ResponseBody::Streaming(body) => {
                body.size.map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}
