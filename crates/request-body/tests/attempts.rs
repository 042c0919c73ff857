//! What attempts get of a body, over random sequences of events.

use proptest::prelude::*;
use saffronpaddle_request_body::{
    AttemptNumber, Next, PieceQueue, RequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BYTES, PIECE_BYTES,
};

/// Length of the longest chunk that a client sends in these tests, in bytes.
const MAX_CHUNK_BYTES: usize = 40_000;

/// An event of a body.
#[derive(Clone, Debug)]
enum Step {
    /// The client sends a chunk of this length, if there is room.
    Receive(usize),
    Complete,
    StartAttempt,
    Commit,
    Release,
    /// The current attempt takes what is there.
    Take,
    /// The attempt before the current one still asks for a part.
    TakeStale,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..MAX_CHUNK_BYTES).prop_map(Step::Receive),
        1 => Just(Step::Complete),
        2 => Just(Step::StartAttempt),
        1 => Just(Step::Commit),
        1 => Just(Step::Release),
        6 => Just(Step::Take),
        1 => Just(Step::TakeStale),
    ]
}

/// A body, and what its client sent and its attempts got.
#[derive(Default)]
struct World {
    body: RequestBody,
    sent: Vec<u8>,
    complete: bool,
    attempts: Vec<AttemptNumber>,
    /// What the current attempt has got.
    got: Vec<u8>,
    committed: Option<AttemptNumber>,
    released: bool,
}

impl World {
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Receive(length) if self.body.can_receive() => {
                let start = self.sent.len();
                let data: Vec<u8> = (start..start + length).map(|at| (at / 7) as u8).collect();
                self.body.push(&data);
                self.sent.extend(data);
            }
            Step::Receive(_) => {}
            Step::Complete => {
                self.body.complete();
                self.complete = true;
            }
            Step::StartAttempt => {
                self.attempts.push(self.body.start_attempt());
                self.got.clear();
                self.released = false;
            }
            Step::Commit => {
                if let Some(current) = self.attempts.last() {
                    self.body.commit(*current);
                    self.committed = self.committed.or(Some(*current));
                }
            }
            Step::Release => {
                if let Some(current) = self.attempts.last() {
                    self.body.release(*current);
                    self.released = true;
                }
            }
            Step::Take => {
                if let Some(current) = self.attempts.last().copied() {
                    self.take(current)?;
                }
            }
            Step::TakeStale => {
                if let Some(stale) = self.attempts.iter().nth_back(1) {
                    prop_assert_eq!(self.body.next(*stale), Next::Failed);
                }
            }
        }
        Ok(())
    }

    fn take(&mut self, current: AttemptNumber) -> Result<(), TestCaseError> {
        let may_take = self.committed.is_none_or(|committed| committed == current);
        loop {
            match self.body.next(current) {
                Next::Piece(piece) => {
                    prop_assert!(may_take, "a part is sent again after it was committed");
                    self.got.extend(&piece);
                    prop_assert!(self.sent.starts_with(&self.got));
                    let is_whole = self.got.len() == self.sent.len();
                    prop_assert!(!is_whole || (self.complete && self.released));
                }
                Next::End => {
                    prop_assert!(may_take && self.complete);
                    prop_assert!(self.got == self.sent, "an attempt ends with another body");
                    prop_assert!(self.body.is_taken(current));
                    return Ok(());
                }
                Next::Pending => {
                    prop_assert!(may_take && !(self.complete && self.committed.is_some()));
                    return Ok(());
                }
                Next::AwaitsRelease => {
                    let is_committed = self.committed == Some(current);
                    prop_assert!(is_committed && self.complete && !self.released);
                    return Ok(());
                }
                Next::Failed => {
                    prop_assert!(!may_take);
                    return Ok(());
                }
            }
        }
    }
}

proptest! {
    /// Guards against an attempt that gets a body without its start, as the parts that an earlier one took are gone.
    #[test]
    fn an_attempt_gets_a_body_from_its_first_byte_or_fails(steps in prop::collection::vec(any_step(), 1..80)) {
        let mut world = World::default();
        for step in &steps {
            world.apply(step)?;
        }
    }
}

/// Takes parts of a body until none is there, and returns their bytes.
fn take_all(body: &mut RequestBody, attempt: AttemptNumber) -> Vec<u8> {
    let mut taken = Vec::new();
    while let Next::Piece(piece) = body.next(attempt) {
        taken.extend(&piece);
    }
    taken
}

#[test]
fn an_attempt_that_replaces_one_without_a_committed_byte_gets_the_same_parts() {
    let mut body = RequestBody::default();
    body.push(&vec![b'a'; 3 * PIECE_BYTES]);
    let first = body.start_attempt();
    assert_eq!(take_all(&mut body, first).len(), 2 * PIECE_BYTES);
    let second = body.start_attempt();
    assert_eq!(take_all(&mut body, second).len(), 2 * PIECE_BYTES);
    body.commit(second);
    let third = body.start_attempt();
    assert_eq!(body.next(third), Next::Failed);
}

/// The parts that are kept for another attempt use the room of parts that follow.
#[test]
fn what_is_held_of_a_body_is_bounded_while_no_byte_is_committed() {
    let mut body = RequestBody::default();
    let attempt = body.start_attempt();
    let mut received = 0;
    while body.can_receive() {
        body.push(&[b'a'; 1000]);
        received += 1000;
        take_all(&mut body, attempt);
    }
    assert!(received < MAX_BUFFERED_BYTES + 1000, "{received} bytes");
    body.commit(attempt);
    assert!(body.can_receive());
}

#[test]
fn a_body_over_the_limit_fails() {
    let mut body = RequestBody::default();
    let attempt = body.start_attempt();
    body.commit(attempt);
    let chunk = vec![b'a'; 1 << 20];
    for _ in 0..MAX_BODY_BYTES >> 20 {
        body.push(&chunk);
        take_all(&mut body, attempt);
    }
    assert!(body.is_receiving());
    body.push(b"a");
    assert!(!body.is_receiving());
    assert_eq!(body.next(attempt), Next::Failed);
}

/// After the answer the rest is received without being held, so that the client can write all and read its answer.
#[test]
fn the_rest_of_an_answered_request_is_received_and_dropped() {
    let mut body = RequestBody::default();
    let attempt = body.start_attempt();
    body.push(&vec![b'a'; 2 * MAX_BUFFERED_BYTES]);
    assert!(!body.can_receive());
    body.discard();
    assert_eq!(body.next(attempt), Next::Failed);
    for _ in 0..10 {
        assert!(body.can_receive());
        body.push(&vec![b'a'; MAX_BUFFERED_BYTES]);
    }
    body.complete();
    assert!(!body.is_receiving());
}

/// The number of pieces depends on the bytes only, however small the chunks are in which they arrive.
#[test]
fn small_chunks_fill_pieces_and_keep_their_order() {
    let body: Vec<u8> = (0..2 * PIECE_BYTES + 7).map(|at| (at / 7) as u8).collect();
    for chunk in [1, 100, PIECE_BYTES, body.len()] {
        let mut queue = PieceQueue::default();
        body.chunks(chunk).for_each(|data| queue.push(data));
        assert_eq!(queue.len(), body.len());
        let pieces = queue.into_pieces();
        let sizes: Vec<usize> = pieces.into_iter().map(|piece| piece.len()).collect();
        assert_eq!(sizes, [PIECE_BYTES, PIECE_BYTES, 7], "chunks of {chunk}");
        let mut queue = PieceQueue::default();
        body.chunks(chunk).for_each(|data| queue.push(data));
        assert!(queue.into_bytes() == body, "chunks of {chunk}");
    }
}
