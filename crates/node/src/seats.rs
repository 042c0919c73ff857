//! What is seen of clients' connections: when bytes come, and whether a request is being answered.

use crate::heads::Heads;
use saffronpaddle_crowd::Seat as Seen;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// One client's connection. Shared within one thread; an upgrade wants what could go to another, though none does.
pub struct Seat {
    began: Instant,
    came: u64,
    last: AtomicU64,
    /// µs since `began`, one more than that; 0 for no head.
    head: AtomicU64,
    busy: AtomicBool,
    asked: AtomicBool,
    /// Bytes wait to be taken by the client.
    blocked: AtomicBool,
    /// A head had both a length and an encoding.
    hides: AtomicBool,
}

const fn us(span: Duration) -> u64 {
    span.as_micros() as u64
}

impl Seat {
    /// One that has just come.
    pub fn new(began: Instant) -> Arc<Seat> {
        let came = us(began.elapsed());
        let (last, head) = (AtomicU64::new(came), AtomicU64::new(0));
        let [busy, asked, blocked, hides] = [(); 4].map(|()| AtomicBool::new(false));
        Arc::new(Seat { began, came, last, head, busy, asked, blocked, hides })
    }

    /// What is seen of it now.
    pub fn seen(&self) -> Seen {
        let head = self.head.load(Ordering::Relaxed);
        Seen {
            came: Duration::from_micros(self.came),
            last: Duration::from_micros(self.last.load(Ordering::Relaxed)),
            head: head.checked_sub(1).map(Duration::from_micros),
            // Danger: an answer that is cut off as its client takes the last of it slowly.
            busy: self.busy.load(Ordering::Relaxed) || self.blocked.load(Ordering::Relaxed),
            asked: self.asked(),
        }
    }

    /// Whether it has had a request.
    pub fn asked(&self) -> bool {
        self.asked.load(Ordering::Relaxed)
    }

    /// Whether a head on it had both a length and an encoding, of which the library drops one unseen.
    pub fn hides(&self) -> bool {
        self.hides.load(Ordering::Relaxed)
    }

    /// Bytes for the client were taken by the machine, or have to wait.
    fn wrote(&self, taken: bool) {
        if taken {
            self.last.store(us(self.began.elapsed()), Ordering::Relaxed);
        }
        self.blocked.store(!taken, Ordering::Relaxed);
    }

    fn read(&self, bytes: &[u8], heads: &mut Heads) {
        let now = us(self.began.elapsed());
        self.last.store(now, Ordering::Relaxed);
        if self.busy.load(Ordering::Relaxed) {
            // A body, or the head of a request that is sent ahead.
        } else if self.head.load(Ordering::Relaxed) == 0 {
            self.head.store(now + 1, Ordering::Relaxed);
        }
        if heads.take(bytes) {
            self.hides.store(true, Ordering::Relaxed);
        }
    }
}

/// A connection that has a request, for as long as that is being taken or answered.
pub struct Busy(Arc<Seat>);

impl Busy {
    /// From now on.
    pub fn new(seat: &Arc<Seat>) -> Busy {
        seat.busy.store(true, Ordering::Relaxed);
        seat.asked.store(true, Ordering::Relaxed);
        seat.head.store(0, Ordering::Relaxed);
        Busy(Arc::clone(seat))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.last.store(us(self.0.began.elapsed()), Ordering::Relaxed);
        self.0.busy.store(false, Ordering::Relaxed);
    }
}

/// A client's connection whose bytes are seen as they come.
pub struct Watched {
    stream: TcpStream,
    seat: Arc<Seat>,
    heads: Heads,
}

impl Watched {
    /// Watches a connection.
    pub fn new(stream: TcpStream, seat: Arc<Seat>) -> Watched {
        Watched { stream, seat, heads: Heads::new() }
    }

    /// The connection, no longer watched.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let Watched { seat, heads, .. } = &mut *self;
        if buffer.filled().len() > before {
            seat.read(&buffer.filled()[before..], heads);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.seat.wrote(written.is_ready());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.seat.wrote(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
