//! A TCP connection that one task reads and writes while others observe it.
//!
//! tokio's `TcpStream` takes a partial read or write as a sign that the next call would block. If it would not, the
//! stream waits for a readiness event that never arrives. [`Socket`] therefore waits only after the kernel returned
//! `EWOULDBLOCK`.

use crate::retry_interrupted;
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Whether the kernel has received the peer's close of the connection. Unread bytes may still be buffered.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(readiness) => readiness.is_ok_and(tokio::io::Ready::is_read_closed),
        Poll::Pending => false,
    }
}

/// Whether a connection has nothing to read: no bytes, no end of stream and no error. Asks the kernel directly, because
/// the runtime receives events only at its next poll.
pub fn has_no_unread_bytes(stream: &TcpStream) -> bool {
    let peeked = retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// The handle that reads and writes the connection. Calls that a signal interrupts are retried.
#[derive(Debug)]
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Wraps a connection.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Socket {
        Socket(stream.into())
    }

    /// Returns the connection, for observing its state.
    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// Unwraps the connection. `None` if other handles to it exist.
    pub fn into_inner(self) -> Option<TcpStream> {
        Arc::try_unwrap(self.0).ok()
    }

    /// Calls `write` until the kernel accepts some bytes or fails with an error other than `EWOULDBLOCK`.
    fn write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match retry_interrupted(|| write(&self.0)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match retry_interrupted(|| self.0.try_read(buffer.initialize_unfilled())) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // There is no buffer in user space.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
