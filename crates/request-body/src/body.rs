//! The body of one request: what was received of it, and what an attempt has taken.

use crate::piece_queue::PieceQueue;
use bytes::Bytes;

/// Maximum number of bytes that are held of a body: of a request for its attempts, of a response before it is forwarded.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of a body. Stops bodies without an end.
pub const MAX_BODY_BYTES: u64 = 40 << 20;

/// Identifies an attempt among those that started to take the body of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptNumber(u32);

/// What an attempt gets when it asks for the next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// The next part.
    Piece(Bytes),
    /// Nothing yet: the client has to send more, or the attempt's first byte has to be committed.
    Pending,
    /// Nothing yet: the body is complete, and its last part is held back until [`RequestBody::release`].
    AwaitsRelease,
    /// Nothing more: the attempt has the complete body.
    End,
    /// Nothing more: the body can't be completed, or not for this attempt.
    Failed,
}

/// How much of a body has been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reception {
    #[default]
    Receiving,
    Complete,
    Failed,
}

/// The body of a request, on its way from its client to a server.
///
/// An HTTP client takes parts of a body before it writes the first byte of the request, and by then its connection may
/// have ended. So what an attempt takes is kept until its first byte is committed: until then another attempt starts with
/// the first byte of the body, afterwards none does.
#[derive(Debug)]
pub struct RequestBody {
    /// What was received and is not yet committed.
    pieces: PieceQueue,
    /// Number of pieces that the current attempt has taken and that are kept.
    taken: usize,
    /// The attempt that started last.
    current: AttemptNumber,
    /// The attempt whose first byte may have been written.
    committed: Option<AttemptNumber>,
    reception: Reception,
    /// The current attempt may take the last part.
    released: bool,
    /// No attempt needs the rest: it is received and dropped.
    discards: bool,
    bytes_received: u64,
    /// Number of bytes that are held before an attempt has to take some.
    window_bytes: usize,
}

impl Default for RequestBody {
    /// A body of which nothing has arrived, and of which as much may be held as of any.
    fn default() -> RequestBody {
        RequestBody::new(PieceQueue::default(), MAX_BUFFERED_BYTES)
    }
}

impl RequestBody {
    /// Creates a body of which `received` has arrived, and of which up to `window_bytes` are held before an attempt has to
    /// take some. The window has to exceed a piece, as the last piece is held back.
    pub fn new(received: PieceQueue, window_bytes: usize) -> RequestBody {
        RequestBody {
            bytes_received: received.len() as u64,
            pieces: received,
            taken: 0,
            current: AttemptNumber::default(),
            committed: None,
            reception: Reception::default(),
            released: false,
            discards: false,
            window_bytes,
        }
    }

    /// Whether the rest of the body is still to be received.
    pub fn is_receiving(&self) -> bool {
        self.reception == Reception::Receiving
    }

    /// Whether the body can't be received completely.
    pub fn is_failed(&self) -> bool {
        self.reception == Reception::Failed
    }

    /// Whether the request has its answer, so that no attempt needs the rest.
    pub fn is_discarded(&self) -> bool {
        self.discards
    }

    /// Whether an attempt has still to take or to send bytes that were received.
    pub fn has_unsent_bytes(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Whether bytes can be received now. If not, an attempt has to take some first.
    pub fn can_receive(&self) -> bool {
        self.is_receiving() && (self.discards || self.pieces.len() < self.window_bytes)
    }

    /// Records bytes that were received. The body fails if they are too many.
    pub fn push(&mut self, data: &[u8]) {
        self.bytes_received += data.len() as u64;
        if self.bytes_received > MAX_BODY_BYTES {
            return self.fail();
        }
        if self.is_receiving() && !self.discards {
            self.pieces.push(data);
        }
    }

    /// Records that the last byte was received.
    pub fn complete(&mut self) {
        if self.is_receiving() {
            self.reception = Reception::Complete;
            self.pieces.close_piece();
        }
    }

    /// Records that the rest can't be received. Attempts fail from now on.
    pub fn fail(&mut self) {
        self.reception = Reception::Failed;
        self.pieces.clear();
    }

    /// Records that the request has its answer: attempts fail from now on, and the rest is dropped as it is received.
    pub fn discard(&mut self) {
        self.discards = true;
        self.pieces.clear();
    }

    /// Starts an attempt, which replaces the one before.
    pub fn start_attempt(&mut self) -> AttemptNumber {
        self.current.0 += 1;
        self.taken = 0;
        self.released = false;
        self.current
    }

    /// Number of pieces that the current attempt has taken and that are kept for another one.
    pub fn pieces_kept(&self) -> usize {
        self.taken
    }

    /// Records that the first byte of an attempt may be written. What it has taken is no longer kept.
    pub fn commit(&mut self, attempt: AttemptNumber) {
        if attempt == self.current && self.committed.is_none() {
            self.committed = Some(attempt);
            self.pieces.remove_first(std::mem::take(&mut self.taken));
        }
    }

    /// Allows an attempt to take the last part of the body.
    pub fn release(&mut self, attempt: AttemptNumber) {
        self.released |= attempt == self.current;
    }

    /// Whether an attempt has taken the complete body.
    pub fn is_taken(&self, attempt: AttemptNumber) -> bool {
        self.may_take(attempt)
            && self.reception == Reception::Complete
            && self.pieces.get(self.taken).is_none()
    }

    /// Takes the next part of the body for an attempt.
    pub fn next(&mut self, attempt: AttemptNumber) -> Next {
        if !self.may_take(attempt) {
            return Next::Failed;
        }
        let complete = self.reception == Reception::Complete;
        let Some(piece) = self.pieces.get(self.taken) else {
            return if complete { Next::End } else { Next::Pending };
        };
        let is_last = !self.pieces.has_bytes_after(self.taken);
        if is_last && !(complete && self.committed.is_some()) {
            return Next::Pending;
        }
        if is_last && !self.released {
            return Next::AwaitsRelease;
        }
        let piece = piece.clone();
        if self.committed.is_some() {
            self.pieces.remove_first(1);
        } else {
            self.taken += 1;
        }
        Next::Piece(piece)
    }

    /// Whether the body can still become complete for an attempt.
    fn may_take(&self, attempt: AttemptNumber) -> bool {
        let has_start = self.committed.is_none_or(|committed| committed == attempt);
        let is_available = self.reception != Reception::Failed && !self.discards;
        attempt == self.current && has_start && is_available
    }
}
