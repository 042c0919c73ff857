//! Observes client connections: when bytes are received and sent, and whether a request is being answered.

use crate::bodies::MAX_BUFFERED_BYTES;
use crate::event_loop;
use crate::head_scanner::HeadScanner;
use crate::memory::{Memory, MemoryGrant, ReadAllowance, SMALL_READ_BYTES};
use crate::write_progress::WriteProgress;
use saffronpaddle_connection_eviction::{time_unread, ConnectionState};
use saffronpaddle_memory_budget::Holder;
use saffronpaddle_netio::{is_read_closed, unread_bytes, Socket};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The observed state of a client connection. It is used in one thread only; it is `Send` and `Sync` because an upgrade
/// requires a stream that is `Send`.
pub struct DownstreamConnection {
    /// The origin of all times in this type.
    epoch: Instant,
    /// The socket, which the connection's task owns; here it is only inspected.
    stream: Weak<TcpStream>,
    accepted_us: u64,
    last_active_us: AtomicU64,
    /// The bytes that were read last reached the kernel after this time, µs since `epoch`.
    sent_after_us: AtomicU64,
    /// When the first bytes of the current head were read, in µs since `epoch` plus 1; 0 if no head is being read.
    head_started_us: AtomicU64,
    /// A request is being read or answered.
    busy: AtomicBool,
    /// The node waits for the client to send more of a request body.
    awaits_body: AtomicBool,
    has_requested: AtomicBool,
    write_progress: WriteProgress,
    /// Memory for the body of the first request, until that is read.
    reserved_memory: Mutex<Option<MemoryGrant>>,
    /// Number of bytes of the current body that were not read; [`u64::MAX`] if unknown.
    unread_body_bytes: AtomicU64,
    /// A head contained both `Content-Length` and `Transfer-Encoding`.
    is_ambiguously_framed: AtomicBool,
    /// hyper is waiting for bytes, so it notices the end of the connection itself.
    read_pending: AtomicBool,
    /// The result of `is_read_paused` at the last call of `is_newly_read_paused`.
    reported_read_paused: AtomicBool,
    /// The connection is being evicted, after a last check for a received request.
    evicted: AtomicBool,
    eviction: Notify,
}

/// A duration in µs.
const fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

impl DownstreamConnection {
    /// Creates the state of a connection that was just accepted and reached the kernel after `arrived_after`.
    pub fn new(
        epoch: Instant,
        arrived_after: Instant,
        stream: &Arc<TcpStream>,
    ) -> Arc<DownstreamConnection> {
        let stream = Arc::downgrade(stream);
        let accepted_us = micros(epoch.elapsed());
        let (last_active_us, head_started_us) = (AtomicU64::new(accepted_us), AtomicU64::new(0));
        let sent_after_us =
            AtomicU64::new(micros(arrived_after.saturating_duration_since(epoch)).min(accepted_us));
        let [busy, awaits_body, has_requested, is_ambiguously_framed, read_pending, reported_read_paused, evicted] =
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
            awaits_body,
            has_requested,
            write_progress: WriteProgress::default(),
            reserved_memory: Mutex::default(),
            unread_body_bytes: AtomicU64::new(0),
            is_ambiguously_framed,
            read_pending,
            reported_read_paused,
            evicted,
            eviction,
        })
    }

    /// Requests eviction of the connection. It is kept if a complete request turns out to have been received.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.eviction.notify_one();
    }

    /// Waits until eviction is requested.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Keeps the connection because a request was received.
    pub fn cancel_eviction(&self) {
        self.evicted.store(false, Ordering::Relaxed);
    }

    /// Keeps memory for the body of the next request.
    pub fn reserve_memory(&self, grant: MemoryGrant) {
        *self.reserved_memory() = Some(grant);
    }

    /// Takes the memory that was kept for the body of this request.
    pub fn take_reserved_memory(&self) -> Option<MemoryGrant> {
        self.reserved_memory().take()
    }

    fn reserved_memory(&self) -> MutexGuard<'_, Option<MemoryGrant>> {
        self.reserved_memory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the client has sent something, also if it was not read.
    pub fn record_activity(&self) {
        self.last_active_us
            .store(micros(self.epoch.elapsed()), Ordering::Relaxed);
    }

    /// Number of bytes that this machine has received and the node has not read, `max` at the most.
    pub fn unread_bytes(&self, max: usize) -> usize {
        let stream = self.stream.upgrade();
        stream.map_or(0, |stream| unread_bytes(&stream, max))
    }

    /// Whether this machine has received the rest of a body whose length is known.
    pub fn body_is_received(&self) -> bool {
        let missing = self.unread_body_bytes.load(Ordering::Relaxed) as usize;
        missing <= MAX_BUFFERED_BYTES && self.unread_bytes(missing) >= missing
    }

    /// Whether a request is being read or answered.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed)
    }

    /// Whether a request is being answered while hyper does not read the connection, so that a disconnection of the
    /// client goes unnoticed.
    pub fn is_read_paused(&self) -> bool {
        self.is_busy() && !self.read_pending.load(Ordering::Relaxed)
    }

    /// Whether the kernel knows that the client has disconnected, even if unread bytes precede the end of the stream.
    pub fn client_is_gone(&self) -> bool {
        self.stream
            .upgrade()
            .is_none_or(|stream| is_read_closed(&stream))
    }

    /// Whether reading has paused since the last call.
    pub fn is_newly_read_paused(&self) -> bool {
        let is_read_paused = self.is_read_paused();
        // Called on every poll of the connection, so it writes only on a change.
        is_read_paused != self.reported_read_paused.load(Ordering::Relaxed)
            && !self
                .reported_read_paused
                .swap(is_read_paused, Ordering::Relaxed)
    }

    /// Whether the connection is being evicted.
    pub fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Returns the current state for eviction decisions.
    pub fn state(&self) -> ConnectionState {
        let head_started_us = self.head_started_us.load(Ordering::Relaxed);
        ConnectionState {
            accepted_at: Duration::from_micros(self.accepted_us),
            last_active_at: self.last_active_at(),
            head_started_at: head_started_us.checked_sub(1).map(Duration::from_micros),
            // A client that reads the end of a response slowly would lose it if the connection counted as idle.
            busy: (self.is_busy() && !self.awaits_body())
                || self.write_progress.is_blocked()
                || self.is_evicted(),
            awaits_body: self.awaits_body(),
            has_requested: self.has_requested(),
        }
    }

    /// Whether the node waits for the client to send more of a request body: the connection is busy, but its request is
    /// incomplete.
    pub fn awaits_body(&self) -> bool {
        self.awaits_body.load(Ordering::Relaxed)
    }

    /// When bytes were last read or written.
    pub fn last_active_at(&self) -> Duration {
        Duration::from_micros(self.last_active_us.load(Ordering::Relaxed))
    }

    /// Whether a part of a head has arrived, and not the rest.
    pub fn has_partial_head(&self) -> bool {
        self.head_started_us.load(Ordering::Relaxed) != 0
    }

    /// Whether the connection has carried a request.
    pub fn has_requested(&self) -> bool {
        self.has_requested.load(Ordering::Relaxed)
    }

    /// Whether a head contained both `Content-Length` and `Transfer-Encoding`, of which hyper drops one silently.
    pub fn is_ambiguously_framed(&self) -> bool {
        self.is_ambiguously_framed.load(Ordering::Relaxed)
    }

    /// How long the bytes that were read last may have been queued, in the kernel or in this process behind an earlier
    /// response; zero if that is negligible. It is deducted from the request's timeout: a server would otherwise be
    /// promised time that its client no longer has.
    pub fn time_queued(&self) -> Duration {
        time_unread(self.sent_after(), self.now())
    }

    /// The time on the clock of this connection.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// The bytes that were read last, and all that the client has sent after them, reached the kernel after this time.
    pub fn sent_after(&self) -> Duration {
        Duration::from_micros(self.sent_after_us.load(Ordering::Relaxed))
    }

    /// Records a write that the kernel accepted or that has to wait.
    fn record_write(&self, accepted: bool) {
        if accepted {
            self.last_active_us
                .store(micros(self.epoch.elapsed()), Ordering::Relaxed);
        }
        self.write_progress.record(accepted);
    }

    /// Whether the kernel accepts bytes for the client.
    pub fn write_progress(&self) -> &WriteProgress {
        &self.write_progress
    }

    /// Records that the client has sent bytes of its first head, which are not read yet.
    pub fn record_unread_bytes(&self) {
        let now = micros(self.epoch.elapsed());
        self.last_active_us.store(now, Ordering::Relaxed);
        let arrived_after = event_loop::arrived_after()
            .map_or(now, |at| micros(at.saturating_duration_since(self.epoch)));
        if arrived_after > self.accepted_us {
            self.sent_after_us
                .store(arrived_after.min(now), Ordering::Relaxed);
        }
        if self.head_started_us.load(Ordering::Relaxed) == 0 {
            self.head_started_us.store(now + 1, Ordering::Relaxed);
        }
    }

    /// Records bytes that were read. `was_pending`: the previous read was pending.
    fn record_read(&self, bytes: &[u8], head_scanner: &mut HeadScanner, was_pending: bool) {
        let now = micros(self.epoch.elapsed());
        self.last_active_us.store(now, Ordering::Relaxed);
        match event_loop::arrived_after()
            .map(|arrived_after| micros(arrived_after.saturating_duration_since(self.epoch)))
        {
            // If a read was pending before the event loop's last complete iteration, the client had sent nothing by
            // then. Otherwise the bytes arrived after the bytes read before them or, on a new connection, after the
            // connection reached the kernel.
            Some(arrived_after) if was_pending && arrived_after > self.accepted_us => {
                self.sent_after_us
                    .store(arrived_after.min(now), Ordering::Relaxed);
            }
            Some(_) => {}
            None => self.sent_after_us.store(now, Ordering::Relaxed),
        }
        if self.busy.load(Ordering::Relaxed) {
            // These bytes belong to a body or to the head of a pipelined request.
        } else if self.head_started_us.load(Ordering::Relaxed) == 0 {
            self.head_started_us.store(now + 1, Ordering::Relaxed);
        }
        if head_scanner.scan(bytes) {
            self.is_ambiguously_framed.store(true, Ordering::Relaxed);
        }
        let unread_body_bytes = head_scanner.missing_body_bytes().unwrap_or(u64::MAX);
        self.unread_body_bytes
            .store(unread_body_bytes, Ordering::Relaxed);
    }
}

/// Marks a connection as busy until dropped.
pub struct BusyGuard(Arc<DownstreamConnection>);

impl BusyGuard {
    /// Marks the connection as busy. The head that was being read is complete.
    pub fn new(downstream: &Arc<DownstreamConnection>) -> BusyGuard {
        downstream.busy.store(true, Ordering::Relaxed);
        downstream.has_requested.store(true, Ordering::Relaxed);
        downstream.head_started_us.store(0, Ordering::Relaxed);
        BusyGuard(Arc::clone(downstream))
    }

    /// The connection that is marked.
    pub fn downstream(&self) -> &DownstreamConnection {
        &self.0
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

/// Marks a connection as one whose client has to send more of a request body, until dropped.
pub struct BodyWaitGuard(Arc<DownstreamConnection>);

impl BodyWaitGuard {
    /// Marks the connection.
    pub fn new(downstream: &Arc<DownstreamConnection>) -> BodyWaitGuard {
        downstream.awaits_body.store(true, Ordering::Relaxed);
        BodyWaitGuard(Arc::clone(downstream))
    }
}

impl Drop for BodyWaitGuard {
    fn drop(&mut self) {
        self.0.awaits_body.store(false, Ordering::Relaxed);
    }
}

/// A client connection that records its reads and writes in a [`DownstreamConnection`].
pub struct ObservedStream {
    stream: Socket,
    downstream: Arc<DownstreamConnection>,
    head_scanner: HeadScanner,
    read_allowance: ReadAllowance,
    /// Number of bytes of an incomplete head that were read.
    head_bytes: usize,
    /// Memory for a head that exceeds the first buffer. The buffer keeps its size, so the grant stays with the connection.
    head_memory: Option<MemoryGrant>,
}

/// Memory for the largest head, in bytes: its buffer doubles as it grows.
const LARGE_HEAD_BYTES: u64 = 56 * 1024;

impl ObservedStream {
    /// Wraps a connection to record its reads and writes. Its reads draw from `memory`.
    pub fn new(
        stream: Socket,
        downstream: Arc<DownstreamConnection>,
        memory: Memory,
    ) -> ObservedStream {
        ObservedStream {
            stream,
            downstream,
            head_scanner: HeadScanner::new(),
            read_allowance: ReadAllowance::new(memory),
            head_bytes: 0,
            head_memory: None,
        }
    }

    /// The number of bytes that may be read now. Is pending while there is no memory for the rest of a large head: its
    /// client can be told from others by nothing yet, and waits.
    fn poll_allowed_bytes(&mut self, context: &mut Context<'_>) -> Poll<usize> {
        if !self.downstream.has_partial_head() {
            self.head_bytes = 0;
        }
        let max_bytes = self.read_allowance.max_bytes();
        let room = (SMALL_READ_BYTES - 1).saturating_sub(self.head_bytes);
        if self.head_memory.is_some() || self.downstream.is_busy() {
            return Poll::Ready(max_bytes);
        }
        if room == 0 {
            let memory = self.read_allowance.memory();
            let grant = ready!(memory.poll_draw(context, Holder::RequestHead, LARGE_HEAD_BYTES));
            self.head_memory = Some(grant);
            return Poll::Ready(max_bytes);
        }
        Poll::Ready(max_bytes.min(room))
    }

    /// Returns the connection without its wrapper; `None` while another holder of the socket is inspecting it, which
    /// takes only one call.
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
        let allowed_bytes = ready!(self.poll_allowed_bytes(context));
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read_at_most(context, buffer, allowed_bytes);
        let was_pending = self
            .downstream
            .read_pending
            .swap(read.is_pending(), Ordering::Relaxed);
        ready!(read)?;
        let read_bytes = buffer.filled().len() - filled_before;
        self.read_allowance.record_read(read_bytes);
        self.head_bytes += read_bytes;
        let ObservedStream {
            downstream,
            head_scanner,
            ..
        } = &mut *self;
        if read_bytes > 0 {
            downstream.record_read(&buffer.filled()[filled_before..], head_scanner, was_pending);
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
        self.downstream.record_write(written.is_ready());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.downstream.record_write(written.is_ready());
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
