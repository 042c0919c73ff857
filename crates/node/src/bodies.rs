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

/// Most bytes of a body that is kept whole, either way: up to here a request can be sent again, and an answer is passed on
/// once it is whole.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Most bytes of a body that goes by. Guards against bodies without end.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// How long a body that goes by may stand still. Guards against ends that have gone without a word: for as long, it holds a
/// connection on either side.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

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
