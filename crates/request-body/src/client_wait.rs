//! Since when a client may be waiting for the answer to its request.

use crate::Time;

/// By how many bytes a client can be ahead of the node: the maximum that the kernels of both ends buffer.
pub const MAX_CLIENT_LEAD_BYTES: u64 = 10 << 20;

/// Bounds when a client wrote the last byte of a body of which the node has not received everything.
///
/// While the node does not read, it can't see whether its client has written the last byte. Two facts bound that time
/// from below: the bytes that were read last reached the kernel after a known time, and a byte is written only once the
/// node has read what is [`MAX_CLIENT_LEAD_BYTES`] before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientWait {
    /// Size in bytes, if the client declared it.
    size: Option<u64>,
    received: u64,
    /// Number of bytes received at the latest step of the lead.
    step_bytes: u64,
    step_at: Time,
    /// The client has written the last byte after this time, as the node had to read others before.
    written_after: Time,
}

impl ClientWait {
    /// Creates the bound for a body of `size` bytes (`None` if unknown), of which nothing was received.
    pub fn new(size: Option<u64>) -> ClientWait {
        ClientWait {
            size,
            received: 0,
            step_bytes: 0,
            step_at: Time::ZERO,
            written_after: Time::ZERO,
        }
    }

    /// Records that `bytes` more were received.
    pub fn record_received(&mut self, now: Time, bytes: u64) {
        let was_writing = self.is_still_writing();
        self.received += bytes;
        if was_writing && !self.is_still_writing() {
            self.written_after = now;
        }
        if self.received - self.step_bytes >= MAX_CLIENT_LEAD_BYTES {
            self.written_after = self.written_after.max(self.step_at);
            (self.step_bytes, self.step_at) = (self.received, now);
        }
    }

    /// Whether the client is sure to have more to write: the kernels can't buffer what is left.
    fn is_still_writing(&self) -> bool {
        let rest = self.size.map(|size| size.saturating_sub(self.received));
        rest.is_some_and(|rest| rest > MAX_CLIENT_LEAD_BYTES)
    }

    /// Returns since when the client may be waiting. The node has not read since `paused_at`, and what it read last
    /// reached the kernel after `sent_after`.
    ///
    /// A client that is still writing waits for the node, not for an answer, and does so since the pause began.
    pub fn since(&self, sent_after: Time, paused_at: Time) -> Time {
        if self.is_still_writing() {
            return paused_at;
        }
        sent_after.max(self.written_after)
    }
}
