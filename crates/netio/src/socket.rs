//! A TCP connection that one task reads and writes while others observe it.
//!
//! tokio's `TcpStream` takes a partial read or write as a sign that the next call would block. If it would not, the
//! stream waits for a readiness event that never arrives. [`Socket`] therefore waits only after the kernel returned
//! `EWOULDBLOCK`.

use crate::retry_interrupted;
use bytes::BufMut;
use nix::sys::socket::{recv, MsgFlags};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
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

/// Copies what the kernel has received on a connection into a buffer, and leaves it there to be read.
///
/// # Errors
/// Nothing was received, or the connection has failed.
pub fn peek(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(|| {
        recv(stream.as_raw_fd(), buffer, MsgFlags::MSG_PEEK).map_err(io::Error::from)
    })
}

/// Most bytes that are read at once while the runtime may not know of them.
const FIRST_READ_BYTES: usize = 16 * 1024;

thread_local! {
    /// The buffer of reads that do not wait for the runtime.
    static FIRST_READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; FIRST_READ_BYTES]);
    /// The buffer that [`unread_bytes`] gives to the kernel, which does not write to it.
    static COUNT_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Number of bytes that the kernel has received on a connection and nobody has read, `max` at the most.
pub fn unread_bytes(stream: &TcpStream, max: usize) -> usize {
    // With MSG_TRUNC the kernel counts the bytes and does not copy them (`tcp(7)`).
    let flags = (MsgFlags::MSG_PEEK | MsgFlags::MSG_TRUNC).bits();
    COUNT_BUFFER.with_borrow_mut(|buffer| {
        buffer.reserve(max);
        let room = &mut buffer.spare_capacity_mut()[..max];
        let received = retry_interrupted(|| SockRef::from(stream).recv_with_flags(room, flags));
        received.unwrap_or(0)
    })
}

/// The handle that reads and writes the connection. Calls that a signal interrupts are retried.
#[derive(Debug)]
pub struct Socket {
    stream: Arc<TcpStream>,
    /// The runtime may not know of bytes that the kernel holds, so reads do not wait for it.
    has_unannounced_bytes: bool,
}

impl Socket {
    /// Wraps a connection.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Socket {
        Socket {
            stream: stream.into(),
            has_unannounced_bytes: false,
        }
    }

    /// Wraps a connection of which the kernel holds bytes that somebody has looked at with [`peek`].
    pub fn with_peeked_bytes(stream: impl Into<Arc<TcpStream>>) -> Socket {
        Socket {
            stream: stream.into(),
            has_unannounced_bytes: true,
        }
    }

    /// Reads bytes that the runtime may not know of. `None` if there are none.
    fn read_unannounced(
        &mut self,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Option<io::Result<()>> {
        let read = FIRST_READ_BUFFER.with_borrow_mut(|bytes| {
            let max_bytes = max_bytes.min(bytes.len()).min(buffer.remaining());
            let part = &mut bytes[..max_bytes];
            let stream = &self.stream;
            let read = retry_interrupted(|| {
                recv(stream.as_raw_fd(), part, MsgFlags::MSG_DONTWAIT).map_err(io::Error::from)
            })?;
            buffer.put_slice(&part[..read]);
            Ok(())
        });
        match read {
            Err(error) if io::Error::kind(&error) == io::ErrorKind::WouldBlock => {
                self.has_unannounced_bytes = false;
                None
            }
            read => Some(read),
        }
    }

    /// Returns the connection, for observing its state.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Unwraps the connection. `None` if other handles to it exist.
    pub fn into_inner(self) -> Option<TcpStream> {
        Arc::try_unwrap(self.stream).ok()
    }

    /// Calls `write` until the kernel accepts some bytes or fails with an error other than `EWOULDBLOCK`.
    fn write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match retry_interrupted(|| write(&self.stream)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Reads at most `max_bytes` into a buffer.
    pub fn poll_read_at_most(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        if self.has_unannounced_bytes {
            if let Some(read) = self.read_unannounced(buffer, max_bytes) {
                return Poll::Ready(read);
            }
        }
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            // Does not write to the part of the buffer that is not filled, so a connection without bytes uses no memory for
            // it.
            let mut limited = (&mut *buffer).limit(max_bytes);
            match retry_interrupted(|| self.stream.try_read_buf(&mut limited)) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
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
        self.poll_read_at_most(context, buffer, usize::MAX)
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
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
