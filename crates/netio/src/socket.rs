//! A TCP connection that one task reads and writes while others observe it.
//!
//! tokio's own stream takes a read or write that moved fewer bytes than asked for as a sign that the kernel would block
//! next. If that is wrong, it waits for an event that never comes. This one goes by `EWOULDBLOCK` only.

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

/// Whether the other side has closed the connection, as far as the kernel knows, even if there are unread bytes before its
/// end.
pub fn has_ended(stream: &TcpStream) -> bool {
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(readiness) => readiness.is_ok_and(tokio::io::Ready::is_read_closed),
        Poll::Pending => false,
    }
}

/// Whether a connection has nothing to read, not even its end. It asks the kernel, as the runtime learns of an event only
/// when it polls next.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let peeked = retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// The reading and writing side. Calls that a signal interrupts are retried.
#[derive(Debug)]
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Wraps a connection.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Socket {
        Socket(stream.into())
    }

    /// The connection, to observe it.
    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// The connection without its wrapper; `None` while another handle to it exists.
    pub fn into_inner(self) -> Option<TcpStream> {
        Arc::try_unwrap(self.0).ok()
    }

    /// Calls `write` until the kernel takes some bytes.
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
        // A socket has no buffer of its own.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
