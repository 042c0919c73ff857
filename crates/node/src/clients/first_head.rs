//! Waits for the first request head of a connection without reading it, unless there is plenty of memory.
//!
//! A connection whose client has sent no complete head costs little: the head waits in the kernel, and the HTTP library's
//! buffers are made once there is something to serve. Crowds of clients that write heads slowly, or never, would else
//! use as much memory as those that are served. A large body waits in the kernel, too, until there is memory for it.

use super::body_memory::SMALL_BODY_BYTES;
use crate::downstream::DownstreamConnection;
use saffronpaddle_netio::{is_read_closed, peek, timeout};
use std::cell::RefCell;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The largest head that is looked at. One that is not complete by then is left to the HTTP library, which rejects it.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Most headers of a head, as the HTTP library has it.
const MAX_HEADERS: usize = 100;
/// An incomplete head of more bytes than this is looked at once in an interval only, as each look copies it.
const LARGE_HEAD_BYTES: usize = 1024;
const LARGE_HEAD_INTERVAL: Duration = Duration::from_millis(50);

/// How often an incomplete head is looked at although nothing seems to have arrived.
const INCOMPLETE_HEAD_INTERVAL: Duration = Duration::from_millis(100);

thread_local! {
    /// The buffer that heads are copied to, shared by all connections of the thread.
    static HEAD: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_HEAD_BYTES]);
}

/// How long the body that a head declares may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeclaredBody {
    /// No body, or one that needs no memory of its own.
    Small,
    /// A large body of this many bytes; `None` if unknown.
    Large(Option<u64>),
}

/// What became of a connection before its first request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstHead {
    /// A head of `bytes` bytes is there, or something that the HTTP library has to reject.
    Received {
        /// Number of bytes of the head.
        bytes: usize,
        /// The body that follows.
        body: DeclaredBody,
    },
    /// The connection has ended.
    ConnectionEnded,
}

/// What the kernel holds of a head.
struct Look {
    bytes: usize,
    /// The head, once it is complete.
    head: Option<FirstHead>,
}

/// Waits until the kernel holds the first head of a connection.
pub(super) async fn wait(stream: &TcpStream, downstream: &DownstreamConnection) -> FirstHead {
    let mut seen_bytes = 0;
    loop {
        let readable = stream.readable();
        if seen_bytes == 0 {
            if readable.await.is_err() {
                return FirstHead::ConnectionEnded;
            }
        } else {
            // A look may have seen only a part, after which nothing need arrive.
            let _ = timeout(INCOMPLETE_HEAD_INTERVAL, readable).await;
        }
        match look_at_head(stream) {
            Ok(Look { bytes: 0, .. }) => return FirstHead::ConnectionEnded,
            Ok(look) => {
                if look.bytes != seen_bytes {
                    downstream.record_unread_bytes();
                }
                if let Some(head) = look.head {
                    return head;
                }
                seen_bytes = look.bytes;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return FirstHead::ConnectionEnded,
        }
        // Until more arrives, the connection counts as not readable.
        let nothing_new = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = stream.try_io(Interest::READABLE, nothing_new);
        if is_read_closed(stream) {
            return FirstHead::ConnectionEnded;
        }
        if seen_bytes > LARGE_HEAD_BYTES {
            sleep(LARGE_HEAD_INTERVAL).await;
        }
    }
}

/// Looks at what the kernel holds of a connection.
fn look_at_head(stream: &TcpStream) -> io::Result<Look> {
    HEAD.with_borrow_mut(|buffer| {
        let bytes = peek(stream, buffer)?;
        let is_full = bytes == buffer.len();
        let head = parse(&buffer[..bytes]).or(is_full.then_some(REJECTED));
        Ok(Look { bytes, head })
    })
}

/// A head that the HTTP library rejects.
const REJECTED: FirstHead = FirstHead::Received {
    bytes: 0,
    body: DeclaredBody::Small,
};

/// The head in these bytes; `None` if it is not complete.
fn parse(bytes: &[u8]) -> Option<FirstHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(bytes)) => Some(FirstHead::Received {
            bytes,
            body: declared_body(request.headers),
        }),
        Err(_) => Some(REJECTED),
    }
}

fn declared_body(headers: &[httparse::Header<'_>]) -> DeclaredBody {
    let value_of = |name: &str| {
        let header = headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        header.and_then(|header| std::str::from_utf8(header.value).ok())
    };
    if value_of("transfer-encoding").is_some() {
        return DeclaredBody::Large(None);
    }
    let size = value_of("content-length").and_then(|value| value.trim().parse().ok());
    match size {
        Some(size) if size > SMALL_BODY_BYTES as u64 => DeclaredBody::Large(Some(size)),
        _ => DeclaredBody::Small,
    }
}
