//! Requests of clients that have no final answer yet.

use super::Node;
use crate::answer::Answer;
use crate::bodies::BodyEvent;
use crate::forward::Forward;
use saffronpaddle_exchange::{Event, Ticket};
use saffronpaddle_policy::interface::{Event as PolicyEvent, Micros, RequestId, SiblingMessage};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that has no final answer yet.
pub(super) struct Pending {
    ticket: Ticket,
    forward: Rc<Forward>,
    answer: oneshot::Sender<Answer>,
}

impl Node {
    /// Submits a request to the exchange. Returns `None` if its id is in use or may have run: answers are routed by id, and
    /// an id runs once.
    pub fn submit(
        self: &Rc<Self>,
        arrival: PolicyEvent,
        forward: Forward,
    ) -> Option<(oneshot::Receiver<Answer>, Ticket)> {
        let id = forward.id.clone();
        let ticket = {
            let exchange = self.exchange.borrow();
            if exchange.is_known(&id) {
                return None;
            }
            exchange.next_ticket()
        };
        let (idempotency, response_streamed) = (forward.idempotency, forward.response_streamed);
        let remaining = forward.deadline.saturating_duration_since(Instant::now());
        let deadline = self.clock.now() + remaining.as_micros() as Micros;
        let (answer, answer_receiver) = oneshot::channel();
        forward
            .streamed_body()
            .into_iter()
            .for_each(|body| body.set_ticket(ticket));
        let pending = Pending {
            ticket,
            forward: Rc::new(forward),
            answer,
        };
        self.requests.borrow_mut().insert(id, pending);
        self.handle(
            Event::RequestReceived {
                idempotency,
                deadline,
                response_streamed,
                policy_event: arrival,
            },
            None,
        );
        Some((answer_receiver, ticket))
    }

    /// The ids that must not run at another process of this node: of requests that may have run, or may do so here.
    pub fn used_ids(&self) -> Vec<RequestId> {
        let exchange = self.exchange.borrow();
        let open = exchange.open_requests().map(|request| request.id);
        exchange.finished_ids().cloned().chain(open).collect()
    }

    /// Records the ids of requests that another process of this node may have run.
    pub fn record_used_ids(self: &Rc<Self>, ids: Vec<RequestId>) {
        self.handle(Event::RanElsewhere { ids }, None);
    }

    /// Records the id of a request that another process of this node has dispatched.
    pub fn record_sibling_request(self: &Rc<Self>, message: &SiblingMessage) {
        if let SiblingMessage::AttemptStarted(attempt) = message {
            self.record_used_ids(vec![attempt.request.clone()]);
        }
    }

    /// Abandons a request whose client no longer waits. Does nothing if the request already has its answer.
    pub fn abandon(self: &Rc<Self>, id: &RequestId, ticket: Ticket) {
        let open = self
            .requests
            .borrow()
            .get(id)
            .is_some_and(|pending| pending.ticket == ticket);
        if open {
            self.requests.borrow_mut().remove(id);
            self.handle(
                Event::ClientGone {
                    id: id.clone(),
                    ticket,
                },
                None,
            );
        }
    }

    /// Abandons a request whose client has disconnected, before the client's connection reports the disconnect.
    pub(super) fn abandon_forward(self: &Rc<Self>, forward: &Rc<Forward>) {
        let pending = self
            .requests
            .borrow()
            .get(&forward.id)
            .map(|request| (request.ticket, Rc::clone(&request.forward)));
        if let Some((ticket, _)) = pending.filter(|(_, open)| Rc::ptr_eq(open, forward)) {
            self.abandon(&forward.id, ticket);
        }
    }

    /// The forwarded form of a pending request; `None` if no request with this id is pending.
    pub(super) fn forward(&self, id: &RequestId) -> Option<Rc<Forward>> {
        let requests = self.requests.borrow();
        requests.get(id).map(|pending| Rc::clone(&pending.forward))
    }

    /// Sends a request its final answer and removes it from the pending requests.
    pub(super) fn answer(&self, id: &RequestId, answer: Answer) {
        if let Some(pending) = self.requests.borrow_mut().remove(id) {
            // Sending fails if the client has disconnected.
            let _ = pending.answer.send(answer);
        }
    }

    /// Returns a callback that passes the events of a streamed request body to the exchange. The client waits for
    /// `timeout` from its last byte on, which it may take up to `body_timeout` to send.
    pub fn report_body(
        self: &Rc<Self>,
        id: RequestId,
        timeout: Duration,
        body_timeout: Duration,
    ) -> impl Fn(Ticket, BodyEvent) + 'static {
        let node = Rc::downgrade(self);
        move |ticket, event| {
            let Some(node) = node.upgrade() else { return };
            let now = node.now();
            let deadline_of = |waited| (now + micros(timeout)).saturating_sub(micros(waited));
            let id = id.clone();
            let event = match event {
                BodyEvent::Complete(waited) => Event::BodyComplete {
                    id,
                    ticket,
                    deadline: deadline_of(waited),
                },
                BodyEvent::ClientMayWait(waited) => Event::BodyDeadlineChanged {
                    id,
                    ticket,
                    deadline: deadline_of(waited),
                },
                BodyEvent::Failed => Event::BodyFailed { id, ticket },
                BodyEvent::ClientSends => Event::BodyDeadlineChanged {
                    id,
                    ticket,
                    deadline: now + micros(body_timeout),
                },
            };
            node.handle(event, None);
        }
    }
}

/// A duration in µs.
fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}
