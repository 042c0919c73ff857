//! A connection that notes when bytes were read off its socket. Guards the 250 ms of a drain: they run from there, and
//! not from when the bytes were decoded and their turn came.

use saffronpaddle_netio::Socket;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// When a connection's bytes were read.
#[derive(Clone, Debug, Default)]
pub struct Stamp(Arc<Mutex<Reads>>);

#[derive(Debug, Default)]
struct Reads {
    /// The first read since a message was last taken.
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Stamp {
    fn note(&self) {
        let now = Instant::now();
        let mut reads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reads.first.get_or_insert(now);
        reads.last = Some(now);
    }

    /// The moment for the message that has just been decoded: the first read since the one before. A message whose bytes
    /// came with those of the one before was read no later than the last read.
    pub fn take(&self) -> Instant {
        let mut reads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reads
            .first
            .take()
            .or(reads.last)
            .unwrap_or_else(Instant::now)
    }
}

/// The connection.
pub struct Stamped {
    pub stream: Socket,
    pub stamp: Stamp,
}

impl AsyncRead for Stamped {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.stamp.note();
        }
        read
    }
}

impl AsyncWrite for Stamped {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
