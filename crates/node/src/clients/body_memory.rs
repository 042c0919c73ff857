//! Memory for request bodies that exceed what each request has.
//!
//! Where there is none, the node does not read, and the body waits in the kernel. Once this machine has received all of it,
//! it is read before others: it is held for a short time, where the client of an incomplete one may have stopped.

use super::first_head::{DeclaredBody, FirstHead};
use crate::bodies::{ReceiveError, MAX_BUFFERED_BYTES};
use crate::downstream::{BodyWaitGuard, DownstreamConnection};
use crate::memory::{Memory, MemoryGrant, REQUEST_BYTES};
use saffronpaddle_memory_budget::Holder;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A body of at most this many bytes needs no memory but that of its request.
pub(super) const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Number of bytes that a streamed body holds where memory is short. The last of its pieces is held back, so it has to
/// exceed one piece.
const SMALL_WINDOW_BYTES: usize = 24 * 1024;
/// What a streamed body holds in addition to its window, in bytes: one read.
const WINDOW_OVERHEAD_BYTES: usize = 16 * 1024;
/// How often a waiting body asks again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait: a client that has stopped is owed an answer 3 s after it connected.
const MAX_WAIT: Duration = Duration::from_millis(2_300);

/// The memory of a body that is streamed, and how much of the body may be held.
pub(super) struct StreamWindow {
    pub bytes: usize,
    pub memory: MemoryGrant,
}

/// Draws the memory of bodies of one client's connection.
pub(super) struct BodyMemory<'a> {
    pub memory: &'a Memory,
    pub client: &'a Arc<DownstreamConnection>,
    /// How long the client waits for its response.
    pub timeout: Duration,
}

impl BodyMemory<'_> {
    /// Waits for the memory of the body that follows the first head of a connection, before the HTTP library reads
    /// either. Returns false if the client has stopped meanwhile, so that its request is incomplete.
    pub(super) async fn reserve(&self, head: FirstHead) -> bool {
        let FirstHead::Received {
            bytes,
            body: DeclaredBody::Large(size),
        } = head
        else {
            return true;
        };
        let is_received = || {
            let size = size.unwrap_or(u64::MAX);
            let all = size.saturating_add(bytes as u64);
            all <= MAX_LOOK_BYTES && self.client.unread_bytes(all as usize) as u64 >= all
        };
        match self.wait(buffered_bytes(size), &is_received).await {
            Ok(grant) => self.client.reserve_memory(grant),
            // The client gets an answer if it has sent all, or may have.
            Err(_) => return size.is_none() || is_received(),
        }
        true
    }

    /// Waits for the memory of a body that is kept.
    ///
    /// # Errors
    /// There was none for too long.
    pub(super) async fn draw(&self, bytes: usize) -> Result<MemoryGrant, ReceiveError> {
        if let Some(grant) = self.client.take_reserved_memory() {
            return Ok(grant);
        }
        self.wait(bytes, &|| self.client.body_is_received()).await
    }

    /// Waits for the memory of a body that is streamed.
    ///
    /// # Errors
    /// There was none for too long.
    pub(super) async fn draw_window(&self) -> Result<StreamWindow, ReceiveError> {
        let large = (MAX_BUFFERED_BYTES + WINDOW_OVERHEAD_BYTES) as u64 + REQUEST_BYTES;
        if let Some(memory) = self.memory.try_draw(Holder::ReadAhead, large) {
            drop(self.client.take_reserved_memory());
            return Ok(StreamWindow {
                bytes: MAX_BUFFERED_BYTES,
                memory,
            });
        }
        let memory = self
            .draw(SMALL_WINDOW_BYTES + WINDOW_OVERHEAD_BYTES)
            .await?;
        Ok(StreamWindow {
            bytes: SMALL_WINDOW_BYTES,
            memory,
        })
    }

    /// Waits for the memory of a body and of its request. `is_received` tells whether this machine has received the rest
    /// of the body.
    async fn wait(
        &self,
        bytes: usize,
        is_received: &impl Fn() -> bool,
    ) -> Result<MemoryGrant, ReceiveError> {
        if let Some(grant) = self.try_draw(bytes, is_received) {
            return Ok(grant);
        }
        let _wait_guard = BodyWaitGuard::new(self.client);
        let deadline = Instant::now() + self.timeout.min(MAX_WAIT);
        let mut received_bytes = 0;
        while Instant::now() < deadline {
            sleep(RETRY_INTERVAL).await;
            if let Some(grant) = self.try_draw(bytes, is_received) {
                return Ok(grant);
            }
            let received_now = self.client.unread_bytes(MAX_LOOK_BYTES as usize);
            if received_now > received_bytes {
                // The client goes on, though nothing is read.
                self.client.record_activity();
                received_bytes = received_now;
            }
        }
        Err(ReceiveError::NoMemory)
    }

    /// Draws the memory of a body and of its request, if there is any.
    fn try_draw(&self, bytes: usize, is_received: &impl Fn() -> bool) -> Option<MemoryGrant> {
        let bytes = bytes as u64 + REQUEST_BYTES;
        if self.memory.has_room(Holder::RequestBody, bytes) {
            return self.memory.try_draw(Holder::RequestBody, bytes);
        }
        let has_room = self.memory.has_room(Holder::ReceivedBody, bytes);
        if has_room && is_received() {
            return self.memory.try_draw(Holder::ReceivedBody, bytes);
        }
        None
    }
}

/// The most that is counted of what the kernel holds of a connection, in bytes.
const MAX_LOOK_BYTES: u64 = 2 * MAX_BUFFERED_BYTES as u64;

/// What is held of a body of this size (`None` if unknown) before it is passed on.
fn buffered_bytes(size: Option<u64>) -> usize {
    match size {
        Some(size) if size <= MAX_BUFFERED_BYTES as u64 => size as usize,
        Some(_) => SMALL_WINDOW_BYTES + WINDOW_OVERHEAD_BYTES,
        None => MAX_BUFFERED_BYTES,
    }
}
