//! Clients' connections as they are observed: when bytes are received, and whether a request is being answered.

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

/// One client's connection. It is shared within one thread only; an upgrade requires a type that could go to another.
pub struct DownstreamConnection {
    /// The start of this type's times.
    epoch: Instant,
    /// Its socket belongs to its task; here it is only inspected.
    stream: Weak<TcpStream>,
    accepted_us: u64,
    last_active_us: AtomicU64,
    /// A time before which the bytes that were read last had not reached the kernel, µs since `epoch`.
    sent_after_us: AtomicU64,
    /// When the head that is being read began, µs since `epoch` and one more; 0 for no head.
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
    /// It is being evicted, and checks a last time whether a request was received.
    evicted: AtomicBool,
    eviction: Notify,
}

/// A span in µs.
const fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

impl DownstreamConnection {
    /// A connection that was just accepted, and that reached the kernel after `connected`.
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

    /// Evicts the connection, unless a request turns out to have been received whole.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.eviction.notify_one();
    }

    /// Waits for its eviction.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// A request was received: the connection stays for now.
    pub fn cancel_eviction(&self) {
        self.evicted.store(false, Ordering::Relaxed);
    }

    /// Whether a request is being read or answered.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }

    /// Whether a request is answered while nobody reads what follows it, so that the client's disconnection goes
    /// unnoticed.
    pub fn unwatched(&self) -> bool {
        self.is_busy() && !self.reading.load(Ordering::Relaxed)
    }

    /// Whether its client has disconnected, as far as the kernel has reported that: also behind bytes that nobody has
    /// read.
    pub fn client_is_gone(&self) -> bool {
        self.stream
            .upgrade()
            .is_none_or(|stream| has_ended(&stream))
    }

    /// Whether it has become unwatched since this was last asked.
    pub fn is_newly_unwatched(&self) -> bool {
        let unwatched = self.unwatched();
        // Written seldom, as this is asked in each round of the connection.
        unwatched != self.reported_unwatched.load(Ordering::Relaxed)
            && !self.reported_unwatched.swap(unwatched, Ordering::Relaxed)
    }

    /// Whether it is being evicted.
    pub fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Its state now.
    pub fn state(&self) -> ConnectionState {
        let head_started_us = self.head_started_us.load(Ordering::Relaxed);
        ConnectionState {
            accepted_at: Duration::from_micros(self.accepted_us),
            last_active_at: Duration::from_micros(self.last_active_us.load(Ordering::Relaxed)),
            head_started_at: head_started_us.checked_sub(1).map(Duration::from_micros),
            // A client that takes the last bytes of a response slowly would lose them if the connection counted as
            // idle.
            busy: self.is_busy() || self.blocked.load(Ordering::Relaxed) || self.is_evicted(),
            has_requested: self.has_requested(),
        }
    }

    /// Whether it has had a request.
    pub fn has_requested(&self) -> bool {
        self.has_requested.load(Ordering::Relaxed)
    }

    /// Whether a head on it had both a length and an encoding, of which hyper drops one unseen.
    pub fn is_ambiguously_framed(&self) -> bool {
        self.is_ambiguously_framed.load(Ordering::Relaxed)
    }

    /// How long the bytes that were read last may have been queued, in the kernel or here behind an earlier response;
    /// zero where that is too little to count. A server would otherwise be promised time that its client no longer has.
    pub fn time_queued(&self) -> Duration {
        rested(
            Duration::from_micros(self.sent_after_us.load(Ordering::Relaxed)),
            self.epoch.elapsed(),
        )
    }

    /// Bytes for the client were taken by the kernel, or have to wait.
    fn wrote(&self, taken: bool) {
        if taken {
            self.last_active_us
                .store(micros(self.epoch.elapsed()), Ordering::Relaxed);
        }
        self.blocked.store(!taken, Ordering::Relaxed);
    }

    /// Bytes were read, for which hyper had waited or not.
    fn read(&self, bytes: &[u8], heads: &mut HeadScanner, waited: bool) {
        let now = micros(self.epoch.elapsed());
        self.last_active_us.store(now, Ordering::Relaxed);
        match event_loop::arrived_after()
            .map(|since| micros(since.saturating_duration_since(self.epoch)))
        {
            // Where the connection was polled in vain before the loop's last whole round, the client had sent nothing
            // by then. Otherwise the bytes came after those that were read before them, or, on a new connection, after
            // that reached the kernel.
            Some(since) if waited && since > self.accepted_us => {
                self.sent_after_us.store(since.min(now), Ordering::Relaxed);
            }
            Some(_) => {}
            None => self.sent_after_us.store(now, Ordering::Relaxed),
        }
        if self.busy.load(Ordering::Relaxed) {
            // A body, or the head of a pipelined request.
        } else if self.head_started_us.load(Ordering::Relaxed) == 0 {
            self.head_started_us.store(now + 1, Ordering::Relaxed);
        }
        if heads.take(bytes) {
            self.is_ambiguously_framed.store(true, Ordering::Relaxed);
        }
    }
}

/// Marks a connection as busy for as long as it lives.
pub struct BusyGuard(Arc<DownstreamConnection>);

impl BusyGuard {
    /// Marks it from now on.
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

/// A client's connection whose bytes are observed as they are read and written.
pub struct ObservedStream {
    stream: Socket,
    downstream: Arc<DownstreamConnection>,
    heads: HeadScanner,
}

impl ObservedStream {
    /// Observes a connection.
    pub fn new(stream: Arc<TcpStream>, downstream: Arc<DownstreamConnection>) -> ObservedStream {
        ObservedStream {
            stream: Socket::new(stream),
            downstream,
            heads: HeadScanner::new(),
        }
    }

    /// The connection, no longer observed; `None` where it is being inspected in this very moment, which lasts no
    /// longer than a call.
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
