//! Holds back the first byte of a request until the exchange has allowed it.

use crate::memory::{Memory, ReadAllowance};
use crate::upstream_events;
use crate::write_progress::WriteProgress;
use saffronpaddle_exchange::{ConnectionId, Event};
use saffronpaddle_netio::{has_no_unread_bytes, Socket};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Maximum number of scheduler yields that a first byte waits for unread changes of the endpoint list: one each for
/// tokio's I/O driver, the connection's task and the watch, plus a margin. Ends the wait if a watch is never read.
const MAX_DISCOVERY_YIELDS: u32 = 16;

/// Whether bytes may be written on a connection, and the owner that decides it.
pub(super) struct Gate {
    /// Registration number of the owner. An upgrade requires a stream that is `Send`, so it cannot hold an `Rc`.
    pub owner_number: u64,
    pub connection: ConnectionId,
    pub writes_allowed: Arc<AtomicBool>,
    pub write_progress: Arc<WriteProgress>,
}

/// A stream that writes the first byte of a request only after the exchange has allowed it.
pub(super) struct GatedStream {
    stream: Socket,
    gate: Gate,
    read_allowance: ReadAllowance,
    /// Scheduler yields that the first byte has waited so far.
    yields: u32,
    /// The yield that the first byte waits for now.
    pending_yield: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl GatedStream {
    /// Wraps a stream on which nothing may be written until the gate allows it.
    pub(super) fn new(stream: TcpStream, gate: Gate, memory: &Memory) -> GatedStream {
        GatedStream {
            stream: Socket::new(stream),
            gate,
            read_allowance: ReadAllowance::new(memory.clone()),
            yields: 0,
            pending_yield: None,
        }
    }

    /// Returns the stream without its gate; `None` while another holder of the socket is inspecting it.
    pub(super) fn into_stream(self) -> Option<TcpStream> {
        self.stream.into_inner()
    }

    /// Lets the exchange decide on the first byte. Announced drains are applied before: after a delay the event loop
    /// may find a drain and a request at the same time.
    fn poll_write_permission(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.writes_allowed.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        if let Some(owner) = upstream_events::owner(self.gate.owner_number) {
            let forward = owner.prepared_request(self.gate.connection);
            // The client of a connection that was just accepted may have disconnected before the kernel reported either
            // event. One scheduler yield lets the disconnection show.
            let needs_check = forward
                .as_ref()
                .is_some_and(|forward| forward.client.is_read_paused());
            while (needs_check && self.yields == 0)
                || (self.yields < MAX_DISCOVERY_YIELDS && owner.has_unread_endpoints())
            {
                let pending_yield = self
                    .pending_yield
                    .get_or_insert_with(|| Box::pin(yield_now()));
                ready!(pending_yield.as_mut().poll(context));
                (self.yields, self.pending_yield) = (self.yields + 1, None);
            }
            self.yields = 0;
            // A client may have disconnected while the event loop was delayed, or after bytes that are not read. A
            // server would execute its request although no client reads the response, so this is checked immediately
            // before the first byte.
            if let Some(forward) = forward.filter(|forward| forward.client.client_is_gone()) {
                Rc::clone(&owner).on_client_disconnected(&forward);
            }
            // Bytes left over from an earlier response would be read as the next one, so they are reported to the
            // exchange.
            let no_unread_bytes = has_no_unread_bytes(self.stream.stream());
            owner.on_event(
                Event::FirstByteReady {
                    connection: self.gate.connection,
                    no_unread_bytes,
                },
                None,
            );
        }
        Poll::Ready(if self.gate.writes_allowed.load(Ordering::Relaxed) {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        })
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let max_bytes = self.read_allowance.max_bytes();
        ready!(Pin::new(&mut self.stream).poll_read_at_most(context, buffer, max_bytes))?;
        let read_bytes = buffer.filled().len() - filled_before;
        self.read_allowance.record_read(read_bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_permission(context))?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.gate.write_progress.record(written.is_ready());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_permission(context))?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.gate.write_progress.record(written.is_ready());
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
