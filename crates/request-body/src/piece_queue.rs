//! A queue of bytes in pieces of one size.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// Size of a piece in bytes.
pub const PIECE_BYTES: usize = 16 * 1024;

/// A chunk of this many bytes is likely to fill a piece with those that follow, so the piece is not grown step by step.
const LARGE_CHUNK_BYTES: usize = 4 * 1024;

/// Bytes in the order in which they were received.
///
/// They are copied into pieces of [`PIECE_BYTES`], so the memory that the queue uses depends on their number only. A chunk
/// of one byte that is kept as it arrived needs more memory for its administration than for its content.
#[derive(Debug, Default)]
pub struct PieceQueue {
    full: VecDeque<Bytes>,
    /// The piece that is being filled.
    last: BytesMut,
    bytes: usize,
}

impl PieceQueue {
    /// Appends bytes.
    pub fn push(&mut self, mut data: &[u8]) {
        self.bytes += data.len();
        while !data.is_empty() {
            if self.last.is_empty() && (data.len() >= LARGE_CHUNK_BYTES || !self.full.is_empty()) {
                self.last.reserve(PIECE_BYTES);
            }
            let (fitting, rest) = data.split_at(data.len().min(PIECE_BYTES - self.last.len()));
            self.last.extend_from_slice(fitting);
            data = rest;
            if self.last.len() == PIECE_BYTES {
                self.close_piece();
            }
        }
    }

    /// Ends the piece that is being filled, so that it can be read. The next bytes begin another one.
    pub fn close_piece(&mut self) {
        if !self.last.is_empty() {
            self.full.push_back(std::mem::take(&mut self.last).freeze());
        }
    }

    /// Number of bytes in the queue.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether the queue has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Whether bytes follow the ended piece at `index`.
    pub fn has_bytes_after(&self, index: usize) -> bool {
        index + 1 < self.full.len() || !self.last.is_empty()
    }

    /// The ended piece at `index`, counted from the first; `None` if there are fewer.
    pub fn get(&self, index: usize) -> Option<&Bytes> {
        self.full.get(index)
    }

    /// Removes the first `count` ended pieces.
    pub fn remove_first(&mut self, count: usize) {
        let removed = self.full.drain(..count.min(self.full.len()));
        self.bytes -= removed.map(|piece| piece.len()).sum::<usize>();
    }

    /// Removes all bytes.
    pub fn clear(&mut self) {
        *self = PieceQueue::default();
    }

    /// Returns the bytes in their pieces.
    pub fn into_pieces(mut self) -> VecDeque<Bytes> {
        self.close_piece();
        self.full
    }

    /// Returns all bytes as one piece.
    pub fn into_bytes(self) -> Bytes {
        let bytes = self.bytes;
        let mut pieces = self.into_pieces();
        if pieces.len() <= 1 {
            return pieces.pop_front().unwrap_or_default();
        }
        let mut all = BytesMut::with_capacity(bytes);
        pieces.iter().for_each(|piece| all.extend_from_slice(piece));
        all.freeze()
    }
}
