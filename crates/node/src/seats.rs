//! What is seen of clients' connections: when bytes come, and whether a request is being answered.

use crate::clients::late;
use crate::heads::Heads;
use saffronpaddle_connection_eviction::{rested, ConnectionState};
use saffronpaddle_netio::{has_ended, Socket};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One client's connection. Shared within one thread; an upgrade wants what could go to another, though none does.
pub struct Seat {
    began: Instant,
    /// Its socket is its task's; here it is only looked at.
    stream: Weak<TcpStream>,
    came: u64,
    last: AtomicU64,
    /// What was read last came after this.
    sent: AtomicU64,
    /// µs since `began`, one more than that; 0 for no head.
    head: AtomicU64,
    busy: AtomicBool,
    asked: AtomicBool,
    /// Bytes wait to be taken by the client.
    blocked: AtomicBool,
    /// A head had both a length and an encoding.
    hides: AtomicBool,
    /// The library waits for bytes: it sees the connection's end by itself.
    reading: AtomicBool,
    /// It was unwatched when that was last asked.
    noted: AtomicBool,
    /// It was told to go, and looks a last time whether a request has come.
    going: AtomicBool,
    go: Notify,
}

const fn us(span: Duration) -> u64 {
    span.as_micros() as u64
}

impl Seat {
    /// One that has just been accepted, and that came to the machine after `connected`.
    pub fn new(began: Instant, connected: Instant, stream: &Arc<TcpStream>) -> Arc<Seat> {
        let stream = Arc::downgrade(stream);
        let came = us(began.elapsed());
        let (last, head) = (AtomicU64::new(came), AtomicU64::new(0));
        let sent = AtomicU64::new(us(connected.saturating_duration_since(began)).min(came));
        let [busy, asked, blocked, hides, reading, noted, going] =
            [(); 7].map(|()| AtomicBool::new(false));
        let go = Notify::new();
        Arc::new(Seat {
            began,
            stream,
            came,
            last,
            sent,
            head,
            busy,
            asked,
            blocked,
            hides,
            reading,
            noted,
            going,
            go,
        })
    }

    /// Tells the connection to go, unless a request turns out to have come whole.
    pub fn send_away(&self) {
        self.going.store(true, Ordering::Relaxed);
        self.go.notify_one();
    }

    /// Waits for that word.
    pub async fn sent_away(&self) {
        self.go.notified().await;
    }

    /// A request had come: it stays for now.
    pub fn stays(&self) {
        self.going.store(false, Ordering::Relaxed);
    }

    /// Whether a request is being taken or answered.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }

    /// Whether a request is answered while nobody reads what comes behind it, so that its client's end is not seen either.
    pub fn unwatched(&self) -> bool {
        self.is_busy() && !self.reading.load(Ordering::Relaxed)
    }

    /// Whether its client has gone, as far as the machine has told this loop: also behind bytes that nobody has read.
    pub fn has_left(&self) -> bool {
        self.stream
            .upgrade()
            .is_none_or(|stream| has_ended(&stream))
    }

    /// Whether it has begun to be unwatched since this was last asked.
    pub fn is_newly_unwatched(&self) -> bool {
        let unwatched = self.unwatched();
        // Written seldom: this is asked in each round of the connection.
        unwatched != self.noted.load(Ordering::Relaxed)
            && !self.noted.swap(unwatched, Ordering::Relaxed)
    }

    /// Whether it was told to go, and has not gone yet.
    pub fn is_going(&self) -> bool {
        self.going.load(Ordering::Relaxed)
    }

    /// What is seen of it now.
    pub fn seen(&self) -> ConnectionState {
        let head = self.head.load(Ordering::Relaxed);
        ConnectionState {
            accepted_at: Duration::from_micros(self.came),
            last_active_at: Duration::from_micros(self.last.load(Ordering::Relaxed)),
            head_started_at: head.checked_sub(1).map(Duration::from_micros),
            // Danger: an answer that is cut off as its client takes the last of it slowly.
            busy: self.is_busy() || self.blocked.load(Ordering::Relaxed) || self.is_going(),
            has_requested: self.asked(),
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

    /// How long what was read last may have rested in the machine, or waited here for an earlier answer; nothing where that is too
    /// little to count. Danger: a server is told more time than its client has.
    pub fn rested(&self) -> Duration {
        rested(
            Duration::from_micros(self.sent.load(Ordering::Relaxed)),
            self.began.elapsed(),
        )
    }

    /// Bytes for the client were taken by the machine, or have to wait.
    fn wrote(&self, taken: bool) {
        if taken {
            self.last.store(us(self.began.elapsed()), Ordering::Relaxed);
        }
        self.blocked.store(!taken, Ordering::Relaxed);
    }

    /// Bytes were read, which the library had waited for or not.
    fn read(&self, bytes: &[u8], heads: &mut Heads, waited: bool) {
        let now = us(self.began.elapsed());
        self.last.store(now, Ordering::Relaxed);
        match late::since().map(|since| us(since.saturating_duration_since(self.began))) {
            // Who was waited for since before the loop's last whole round had sent nothing by then. Else they came after what was
            // read before them, or, on a new connection, after that came to the machine.
            Some(since) if waited && since > self.came => {
                self.sent.store(since.min(now), Ordering::Relaxed);
            }
            Some(_) => {}
            None => self.sent.store(now, Ordering::Relaxed),
        }
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
        self.0
            .last
            .store(us(self.0.began.elapsed()), Ordering::Relaxed);
        self.0.busy.store(false, Ordering::Relaxed);
    }
}

/// A client's connection whose bytes are seen as they come.
pub struct Watched {
    stream: Socket,
    seat: Arc<Seat>,
    heads: Heads,
}

impl Watched {
    /// Watches a connection.
    pub fn new(stream: Arc<TcpStream>, seat: Arc<Seat>) -> Watched {
        Watched {
            stream: Socket::new(stream),
            seat,
            heads: Heads::new(),
        }
    }

    /// The connection, no longer watched; none where somebody looks at it in this very moment, which nobody does for longer.
    pub fn into_inner(self) -> Option<TcpStream> {
        self.stream.into_inner()
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let waited = self.seat.reading.swap(read.is_pending(), Ordering::Relaxed);
        ready!(read)?;
        let Watched { seat, heads, .. } = &mut *self;
        if buffer.filled().len() > before {
            seat.read(&buffer.filled()[before..], heads, waited);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.seat.wrote(written.is_ready());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
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
