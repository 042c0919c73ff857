//! Holds the first byte of a request back until the exchange has allowed it.

use crate::upstream_events;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use saffronpaddle_exchange::{ConnectionId, Event};
use saffronpaddle_netio::{is_quiet, Socket};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Scheduler yields that a first byte waits for changes of the endpoint list to be read: one each for tokio's I/O driver, the
/// connection's task and the watch, and some to spare. It ends the wait where a watch is never read.
const MAX_DISCOVERY_YIELDS: u32 = 16;

/// Whether bytes may be written on a connection, and who decides that.
pub(super) struct Gate {
    /// By number, as an upgrade requires a stream that could go to another thread, though none does.
    pub owner: u64,
    pub connection: ConnectionId,
    pub open: Arc<AtomicBool>,
}

/// A stream on which no request's first byte is written before the exchange has decided.
pub(super) struct GatedStream {
    stream: TokioIo<Socket>,
    gate: Gate,
    /// Rounds that a first byte has waited, and the one that it waits for.
    waited: u32,
    round: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl GatedStream {
    /// A stream on which nothing may be written before the gate is open.
    pub(super) fn new(stream: TokioIo<Socket>, gate: Gate) -> GatedStream {
        GatedStream {
            stream,
            gate,
            waited: 0,
            round: None,
        }
    }

    /// The stream, no longer gated; `None` where it is being inspected in this very moment.
    pub(super) fn into_stream(self) -> Option<TcpStream> {
        self.stream.into_inner().into_inner()
    }

    /// Has the exchange decide on the first byte. Drains that were announced are applied before that: a loop that was
    /// late may find both at once.
    fn ask(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.open.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        if let Some(owner) = upstream_events::owner(self.gate.owner) {
            let forward = owner.ready_request(self.gate.connection);
            // The client of a connection that was just accepted may have disconnected again before the kernel has
            // reported either: one round shows it.
            let unobserved = forward
                .as_ref()
                .is_some_and(|forward| forward.client.unwatched());
            while (unobserved && self.waited == 0)
                || (self.waited < MAX_DISCOVERY_YIELDS && owner.has_unread_endpoints())
            {
                let round = self.round.get_or_insert_with(|| Box::pin(yield_now()));
                ready!(round.as_mut().poll(context));
                (self.waited, self.round) = (self.waited + 1, None);
            }
            self.waited = 0;
            // A client may have disconnected while this loop was late, or behind bytes that nobody reads. Its request
            // would be executed for nobody: this is checked in the same instant as the first byte.
            if let Some(forward) = forward.filter(|forward| forward.client.client_is_gone()) {
                Rc::clone(&owner).client_gone(&forward);
            }
            // Bytes that are left of one response would be read as the next: the exchange must know of them.
            let quiet = is_quiet(self.stream.inner().stream());
            owner.on_event(
                Event::FirstByteReady {
                    connection: self.gate.connection,
                    quiet,
                },
                None,
            );
        }
        Poll::Ready(if self.gate.open.load(Ordering::Relaxed) {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        })
    }
}

impl Read for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.ask(context))?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.ask(context))?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
