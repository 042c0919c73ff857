//! A connection that records when bytes were read from its socket.
//!
//! The time limit of a drain (250 ms) runs from that moment. A message is decoded only later, once its task is
//! scheduled.

use saffronpaddle_netio::Socket;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The times of the reads on one connection, shared between the connection and its user.
#[derive(Clone, Debug, Default)]
pub struct ReadTimes(Arc<Mutex<Reads>>);

#[derive(Debug, Default)]
struct Reads {
    /// The first read since the last call of [`ReadTimes::take`].
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

    /// Returns when the message that has just been decoded was read, which is the first read since the previous
    /// message. If its bytes arrived together with those of the previous message, this is the time of the last read.
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
    /// The TCP connection to the member.
    pub stream: Socket,
    /// The record of its reads, shared with the `Member`.
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
