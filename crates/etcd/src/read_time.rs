//! A connection that records when bytes were read off its socket.
//!
//! The 250 ms of a drain run from that moment. The time at which a message is decoded is later by its wait for the task.

use saffronpaddle_netio::Socket;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// When the bytes of a connection were read.
#[derive(Clone, Debug, Default)]
pub struct ReadTimes(Arc<Mutex<Reads>>);

#[derive(Debug, Default)]
struct Reads {
    /// The first read since a message was last taken.
    first: Option<Instant>,
    last: Option<Instant>,
}

impl ReadTimes {
    fn record(&self) {
        let now = Instant::now();
        let mut reads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reads.first.get_or_insert(now);
        reads.last = Some(now);
    }

    /// When the message that has just been decoded was read: at the first read since the message before it. If its bytes
    /// came together with those of the message before, it was read no later than at the last read.
    pub fn take(&self) -> Instant {
        let mut reads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reads
            .first
            .take()
            .or(reads.last)
            .unwrap_or_else(Instant::now)
    }
}

/// A socket that records its reads.
pub struct TimedSocket {
    /// The socket.
    pub stream: Socket,
    /// Where the reads are recorded.
    pub read_times: ReadTimes,
}

impl AsyncRead for TimedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.read_times.record();
        }
        read
    }
}

impl AsyncWrite for TimedSocket {
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
