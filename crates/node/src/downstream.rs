//! What is seen of clients' connections: when bytes come, and whether a request is being answered.

use crate::event_loop;
use crate::head_scanner::HeadScanner;
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
pub struct DownstreamConnection {
    epoch: Instant,
    /// Its socket is its task's; here it is only looked at.
    stream: Weak<TcpStream>,
    accepted_us: u64,
    last_active_us: AtomicU64,
    /// What was read last came after this.
    sent_after_us: AtomicU64,
    /// µs since `began`, one more than that; 0 for no head.
    head_started_us: AtomicU64,
    busy: AtomicBool,
    has_requested: AtomicBool,
    /// Bytes wait to be taken by the client.
    blocked: AtomicBool,
    /// A head had both a length and an encoding.
    is_ambiguously_framed: AtomicBool,
    /// The library waits for bytes: it sees the connection's end by itself.
    reading: AtomicBool,
    /// It was unwatched when that was last asked.
    reported_unwatched: AtomicBool,
    /// It was told to go, and looks a last time whether a request has come.
    evicted: AtomicBool,
    eviction: Notify,
}

const fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

impl DownstreamConnection {
    /// One that has just been accepted, and that came to the machine after `connected`.
    pub fn new(
        epoch: Instant,
        connected: Instant,
        stream: &Arc<TcpStream>,
    ) -> Arc<DownstreamConnection> {
        let stream = Arc::downgrade(stream);
        let accepted_us = micros(epoch.elapsed());
        let (last_active_us, head_started_us) = (AtomicU64::new(accepted_us), AtomicU64::new(0));
        let sent_after_us =
            AtomicU64::new(micros(connected.saturating_duration_since(epoch)).min(accepted_us));
        let [busy, has_requested, blocked, is_ambiguously_framed, reading, reported_unwatched, evicted] =
            [(); 7].map(|()| AtomicBool::new(false));
        let eviction = Notify::new();
        Arc::new(DownstreamConnection {
            epoch,
            stream,
            accepted_us,
            last_active_us,
            sent_after_us,
            head_started_us,
            busy,
            has_requested,
            blocked,
            is_ambiguously_framed,
            reading,
            reported_unwatched,
            evicted,
            eviction,
        })
    }

    /// Tells the connection to go, unless a request turns out to have come whole.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.eviction.notify_one();
    }

    /// Waits for that word.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// A request had come: it stays for now.
    pub fn cancel_eviction(&self) {
        self.evicted.store(false, Ordering::Relaxed);
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
    pub fn client_is_gone(&self) -> bool {
        self.stream
            .upgrade()
            .is_none_or(|stream| has_ended(&stream))
    }

    /// Whether it has begun to be unwatched since this was last asked.
    pub fn is_newly_unwatched(&self) -> bool {
        let unwatched = self.unwatched();
        // Written seldom: this is asked in each round of the connection.
        unwatched != self.reported_unwatched.load(Ordering::Relaxed)
            && !self.reported_unwatched.swap(unwatched, Ordering::Relaxed)
    }

    /// Whether it was told to go, and has not gone yet.
    pub fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    /// What is seen of it now.
    pub fn state(&self) -> ConnectionState {
        let head_started_us = self.head_started_us.load(Ordering::Relaxed);
        ConnectionState {
            accepted_at: Duration::from_micros(self.accepted_us),
            last_active_at: Duration::from_micros(self.last_active_us.load(Ordering::Relaxed)),
            head_started_at: head_started_us.checked_sub(1).map(Duration::from_micros),
            // Danger: an answer that is cut off as its client takes the last of it slowly.
            busy: self.is_busy() || self.blocked.load(Ordering::Relaxed) || self.is_evicted(),
            has_requested: self.has_requested(),
        }
    }

    /// Whether it has had a request.
    pub fn has_requested(&self) -> bool {
        self.has_requested.load(Ordering::Relaxed)
    }

    /// Whether a head on it had both a length and an encoding, of which the library drops one unseen.
    pub fn is_ambiguously_framed(&self) -> bool {
        self.is_ambiguously_framed.load(Ordering::Relaxed)
    }

    /// How long what was read last may have rested in the machine, or waited here for an earlier answer; nothing where that is too
    /// little to count. Danger: a server is told more time than its client has.
    pub fn time_queued(&self) -> Duration {
        rested(
            Duration::from_micros(self.sent_after_us.load(Ordering::Relaxed)),
            self.epoch.elapsed(),
        )
    }

    /// Bytes for the client were taken by the machine, or have to wait.
    fn wrote(&self, taken: bool) {
        if taken {
            self.last_active_us
                .store(micros(self.epoch.elapsed()), Ordering::Relaxed);
        }
        self.blocked.store(!taken, Ordering::Relaxed);
    }

    /// Bytes were read, which the library had waited for or not.
    fn read(&self, bytes: &[u8], heads: &mut HeadScanner, waited: bool) {
        let now = micros(self.epoch.elapsed());
        self.last_active_us.store(now, Ordering::Relaxed);
        match event_loop::arrived_after()
            .map(|since| micros(since.saturating_duration_since(self.epoch)))
        {
            // Who was waited for since before the loop's last whole round had sent nothing by then. Else they came after what was
            // read before them, or, on a new connection, after that came to the machine.
            Some(since) if waited && since > self.accepted_us => {
                self.sent_after_us.store(since.min(now), Ordering::Relaxed);
            }
            Some(_) => {}
            None => self.sent_after_us.store(now, Ordering::Relaxed),
        }
        if self.busy.load(Ordering::Relaxed) {
            // A body, or the head of a request that is sent ahead.
        } else if self.head_started_us.load(Ordering::Relaxed) == 0 {
            self.head_started_us.store(now + 1, Ordering::Relaxed);
        }
        if heads.take(bytes) {
            self.is_ambiguously_framed.store(true, Ordering::Relaxed);
        }
    }
}

/// A connection that has a request, for as long as that is being taken or answered.
pub struct BusyGuard(Arc<DownstreamConnection>);

impl BusyGuard {
    /// From now on.
    pub fn new(downstream: &Arc<DownstreamConnection>) -> BusyGuard {
        downstream.busy.store(true, Ordering::Relaxed);
        downstream.has_requested.store(true, Ordering::Relaxed);
        downstream.head_started_us.store(0, Ordering::Relaxed);
        BusyGuard(Arc::clone(downstream))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0
            .last_active_us
            .store(micros(self.0.epoch.elapsed()), Ordering::Relaxed);
        self.0.busy.store(false, Ordering::Relaxed);
    }
}

/// A client's connection whose bytes are seen as they come.
pub struct ObservedStream {
    stream: Socket,
    downstream: Arc<DownstreamConnection>,
    heads: HeadScanner,
}

impl ObservedStream {
    /// Watches a connection.
    pub fn new(stream: Arc<TcpStream>, downstream: Arc<DownstreamConnection>) -> ObservedStream {
        ObservedStream {
            stream: Socket::new(stream),
            downstream,
            heads: HeadScanner::new(),
        }
    }

    /// The connection, no longer watched; none where somebody looks at it in this very moment, which nobody does for longer.
    pub fn into_inner(self) -> Option<TcpStream> {
        self.stream.into_inner()
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let waited = self
            .downstream
            .reading
            .swap(read.is_pending(), Ordering::Relaxed);
        ready!(read)?;
        let ObservedStream {
            downstream, heads, ..
        } = &mut *self;
        if buffer.filled().len() > before {
            downstream.read(&buffer.filled()[before..], heads, waited);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.downstream.wrote(written.is_ready());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.downstream.wrote(written.is_ready());
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
