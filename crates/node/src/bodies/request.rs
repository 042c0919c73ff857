//! A request body that is streamed from its client to a server.

use super::{BodyReader, PolledFrame, ReceiveError};
use crate::downstream::DownstreamConnection;
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use hyper::body::Frame;
use saffronpaddle_exchange::Ticket;
use saffronpaddle_netio::timeout;
use saffronpaddle_request_body::{AttemptNumber, ClientWait, Next, PieceQueue, RequestBody};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tracing::debug;

/// A pause or a silence of at least this much is reported. Shorter ones are usual while a body is forwarded.
const MIN_REPORTED_PAUSE: Duration = Duration::from_millis(50);

/// An event of a body that concerns the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// The node has stopped reading, and the client may already have waited for its answer for this long.
    ClientMayWait(Duration),
    /// The node reads again, and the client is still sending.
    ClientSends,
    /// The body was received completely, and its last part is held back. The client may have waited for this long.
    Complete(Duration),
    /// The body can't be received completely.
    Failed,
}

/// A request body that is forwarded while it is being received. Its last part is held back until the exchange releases
/// it.
pub struct StreamedRequestBody {
    /// Called with each event. The body may outlive the event loop of its node.
    on_event: Box<dyn Fn(Ticket, BodyEvent)>,
    /// The exchange's ticket of the request.
    ticket: Cell<Option<Ticket>>,
    /// Size in bytes, if the client declared it.
    pub(super) size: Option<u64>,
    client: Arc<DownstreamConnection>,
    client_wait: Cell<ClientWait>,
    /// Since when the client may wait, if it was reported that it may.
    reported_wait: Cell<Option<Duration>>,
    completion_reported: Cell<bool>,
    state: RefCell<RequestBody>,
    /// Wakes the connection of the current attempt.
    attempt_waker: RefCell<Option<Waker>>,
    /// Notified when an attempt may have made room or has taken all but the last part, and when the rest is not needed.
    progress: Notify,
}

impl StreamedRequestBody {
    /// Creates a body of `size` bytes (`None` if unknown), of which `received` has arrived and up to `window_bytes` are held.
    pub fn new(
        on_event: Box<dyn Fn(Ticket, BodyEvent)>,
        client: Arc<DownstreamConnection>,
        size: Option<u64>,
        received: PieceQueue,
        window_bytes: usize,
    ) -> StreamedRequestBody {
        let mut client_wait = ClientWait::new(size);
        client_wait.record_received(client.now(), received.len() as u64);
        StreamedRequestBody {
            on_event,
            ticket: Cell::new(None),
            size,
            client,
            client_wait: Cell::new(client_wait),
            reported_wait: Cell::new(None),
            completion_reported: Cell::new(false),
            state: RefCell::new(RequestBody::new(received, window_bytes)),
            attempt_waker: RefCell::default(),
            progress: Notify::new(),
        }
    }

    /// Sets the ticket that is passed to `on_event`.
    pub fn set_ticket(&self, ticket: Ticket) {
        self.ticket.set(Some(ticket));
    }

    /// Receives the body until its end, as attempts make room or the answer makes the rest superfluous. If the future
    /// is dropped before the end, the body fails.
    ///
    /// # Errors
    /// The body can't be received completely, and its request has no answer yet.
    pub async fn receive(&self, reader: &mut BodyReader) -> Result<(), ReceiveError> {
        let _fail_guard = FailGuard(self);
        while self.state.borrow().is_receiving() {
            if !self.state.borrow().can_receive() {
                self.wait_for_progress().await;
                continue;
            }
            let received = self.next_bytes(reader).await;
            match received.and_then(|data| self.record_received(data)) {
                Ok(()) => {
                    self.review_reported_wait();
                    self.wake_attempt();
                }
                Err(_) if self.state.borrow().is_discarded() => return Ok(()),
                Err(error) => {
                    self.report(BodyEvent::Failed);
                    return Err(error);
                }
            }
        }
        while self.state.borrow().has_unsent_bytes() && !self.completion_reported.get() {
            self.wait_for_progress().await;
        }
        Ok(())
    }

    /// Waits for an attempt to take a part. The node does not read meanwhile, so the client may wait for its answer.
    async fn wait_for_progress(&self) {
        let paused_at = self.client.now();
        let progress = self.progress.notified();
        if timeout(MIN_REPORTED_PAUSE, progress).await.is_ok() {
            return;
        }
        let since = self.client_waits_since(paused_at);
        self.reported_wait.set(Some(since));
        let waited = self.client.now().saturating_sub(since);
        self.report(BodyEvent::ClientMayWait(waited));
        self.progress.notified().await;
    }

    fn client_waits_since(&self, paused_at: Duration) -> Duration {
        let sent_after = self.client.sent_after();
        self.client_wait.get().since(sent_after, paused_at)
    }

    /// The next bytes from the client; `None` at the end.
    async fn next_bytes(&self, reader: &mut BodyReader) -> Result<Option<Bytes>, ReceiveError> {
        if self.reported_wait.get().is_none() {
            return reader.next().await;
        }
        if let Ok(received) = timeout(MIN_REPORTED_PAUSE, reader.next()).await {
            return received;
        }
        // The kernel holds nothing more of the client.
        self.withdraw_wait();
        reader.next().await
    }

    /// Withdraws the report that the client may wait if it is too early by what was received since.
    fn review_reported_wait(&self) {
        let since = self.client_waits_since(self.client.now());
        if self
            .reported_wait
            .get()
            .is_some_and(|reported| since > reported)
        {
            self.withdraw_wait();
        }
    }

    /// Reports that the client is still sending.
    fn withdraw_wait(&self) {
        self.reported_wait.set(None);
        self.report(BodyEvent::ClientSends);
    }

    /// Records the next bytes, or the end if there are none.
    fn record_received(&self, data: Option<Bytes>) -> Result<(), ReceiveError> {
        match data {
            Some(data) => self.push(&data),
            None => self.state.borrow_mut().complete(),
        }
        if self.state.borrow().is_failed() {
            return Err(ReceiveError::TooLarge);
        }
        Ok(())
    }

    fn push(&self, data: &Bytes) {
        let mut client_wait = self.client_wait.get();
        client_wait.record_received(self.client.now(), data.len() as u64);
        self.client_wait.set(client_wait);
        self.state.borrow_mut().push(data);
    }

    /// Ends the forwarding: the request has its answer. The rest is received, so that the client has written everything
    /// before it gets the answer.
    pub fn discard_rest(&self) {
        self.state.borrow_mut().discard();
        self.progress.notify_one();
        self.wake_attempt();
    }

    fn wake_attempt(&self) {
        let waker = self.attempt_waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Starts an attempt, which gets the body from its first byte.
    /// `write_progress` is that of its connection.
    pub fn start_attempt(self: &Rc<Self>, write_progress: Arc<WriteProgress>) -> AttemptBody {
        let pieces_kept = self.state.borrow().pieces_kept();
        if pieces_kept > 0 {
            debug!(
                pieces = pieces_kept,
                "streamed body starts again: an attempt ended before its first byte"
            );
        }
        let number = self.state.borrow_mut().start_attempt();
        let body = Rc::clone(self);
        AttemptBody {
            body,
            number,
            write_progress,
        }
    }

    /// Reports to the exchange, once, that the body is complete.
    fn report_completion(&self) {
        if self.completion_reported.replace(true) {
            return;
        }
        self.progress.notify_one();
        let now = self.client.now();
        let waited = now.saturating_sub(self.client_waits_since(now));
        self.report(BodyEvent::Complete(waited));
    }

    fn report(&self, event: BodyEvent) {
        debug!(?event, "streamed body");
        if let Some(ticket) = self.ticket.get() {
            (self.on_event)(ticket, event);
        }
    }
}

/// Fails a body that its client is no longer able to complete.
struct FailGuard<'a>(&'a StreamedRequestBody);

impl Drop for FailGuard<'_> {
    fn drop(&mut self) {
        if self.0.state.borrow().is_receiving() {
            self.0.state.borrow_mut().fail();
            self.0.wake_attempt();
        }
    }
}

/// A streamed body as one attempt sends it.
#[derive(Clone)]
pub struct AttemptBody {
    body: Rc<StreamedRequestBody>,
    number: AttemptNumber,
    write_progress: Arc<WriteProgress>,
}

impl AttemptBody {
    /// Size in bytes, if the client declared it.
    pub(super) fn size(&self) -> Option<u64> {
        self.body.size
    }

    /// Records that the first byte of the attempt may be written. From then on no other attempt gets the body.
    pub fn commit(&self) {
        self.body.state.borrow_mut().commit(self.number);
        self.body.progress.notify_one();
        self.body.wake_attempt();
    }

    /// Allows the last part to be sent.
    pub fn release(&self) {
        self.body.state.borrow_mut().release(self.number);
        self.body.wake_attempt();
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.body.state.borrow().is_taken(self.number)
    }

    /// Polls for the next frame. Is pending before the last part until that is released.
    pub(super) fn poll(&self, context: &mut Context<'_>) -> PolledFrame {
        ready!(self.write_progress.poll_unblocked(context));
        let mut next = self.next();
        if next == Next::AwaitsRelease {
            // The exchange may release the last part at once.
            self.body.report_completion();
            next = self.next();
        }
        match next {
            Next::Piece(piece) => {
                self.body.progress.notify_one();
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Next::Pending | Next::AwaitsRelease => {
                *self.body.attempt_waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
            Next::End => Poll::Ready(None),
            Next::Failed => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
        }
    }

    fn next(&self) -> Next {
        self.body.state.borrow_mut().next(self.number)
    }
}
