//! A TCP connection that one reads and writes and others look at.
//!
//! The runtime's own stream takes a read or write that moved less than was asked for as a sign that the machine has no
//! more; where that is not so, it waits for an event that does not come. This one goes by what the machine says.

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

/// Whether the other side of a connection has ended it, as far as the machine knows: also behind bytes that nobody has read.
pub fn has_ended(stream: &TcpStream) -> bool {
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(seen) => seen.is_ok_and(tokio::io::Ready::is_read_closed),
        Poll::Pending => false,
    }
}

/// Whether nothing has come on a connection that was not read, not even an end. The machine is asked, as nobody may have
/// looked yet.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let seen = retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
    seen.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// The one that reads and writes. Calls that a signal interrupts are made again.
#[derive(Debug)]
pub struct Socket(Arc<TcpStream>);

impl Socket {
    /// Wraps a connection.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Socket {
        Socket(stream.into())
    }

    /// The connection, to be looked at.
    pub fn stream(&self) -> &TcpStream {
        &self.0
    }

    /// The connection, no longer wrapped; none where somebody looks at it in this very moment, which nobody does for longer.
    pub fn into_inner(self) -> Option<TcpStream> {
        Arc::try_unwrap(self.0).ok()
    }

    /// Writes as soon as the machine takes something.
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
        // A socket keeps nothing back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
