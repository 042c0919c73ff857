//! Bodies of requests on their way to a server, and of responses on their way to a client. One that is streamed keeps a few
//! pieces at a time; how fast it goes is up to the slower of its ends.

mod request;
mod response;

pub use request::StreamedRequestBody;
pub use response::StreamedResponseBody;

use crate::downstream::BusyGuard;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Most bytes of a body that is buffered whole, either way: up to here a request can be sent again, and a response is
/// passed on once it is complete.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Most bytes of a body that is streamed. It ends bodies that would never end.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// How long a streamed body may make no progress. An end that has gone silently would otherwise keep a connection on
/// either side for ever.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What was read of a body: all of it, or its first pieces and the rest.
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
    /// Buffered whole.
    Buffered(Full<Bytes>),
    /// Streamed as it is received.
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

/// The body of a response on its way to a client.
pub struct DownstreamBody {
    body: ResponseBody,
    /// Marks the client's connection busy until the response is written.
    busy_guard: Option<BusyGuard>,
}

enum ResponseBody {
    Buffered(Full<Bytes>),
    Streaming(StreamedResponseBody),
}

impl DownstreamBody {
    /// Keeps a connection marked as busy for as long as this body lives.
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
    fn from(body: StreamedResponseBody) -> DownstreamBody {
        DownstreamBody {
            body: ResponseBody::Streaming(body),
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
            ResponseBody::Streaming(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ResponseBody::Buffered(full) => full.is_end_stream(),
            ResponseBody::Streaming(body) => body.is_over(),
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
