//! Clients' requests that have no final answer yet.

use super::Node;
use crate::answer::Answer;
use crate::forward::Forward;
use saffronpaddle_exchange::{Event, Ticket};
use saffronpaddle_policy::interface::{Event as PolicyEvent, Micros, RequestId};
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
    /// Submits a request. `None` if its id is in use: two owners of one id would mix up their responses.
    pub fn submit(
        self: &Rc<Self>,
        arrival: PolicyEvent,
        forward: Forward,
    ) -> Option<(oneshot::Receiver<Answer>, Ticket)> {
        let id = forward.id.clone();
        let ticket = {
            let exchange = self.exchange.borrow();
            if exchange.contains(&id) {
                return None;
            }
            exchange.next_ticket()
        };
        let effect = forward.effect;
        let left = forward.deadline.saturating_duration_since(Instant::now());
        let deadline = self.clock.now() + left.as_micros() as Micros;
        let (answer, answered) = oneshot::channel();
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
                idempotency: effect,
                deadline,
                policy_event: arrival,
            },
            None,
        );
        Some((answered, ticket))
    }

    /// Abandons a request whose client waits no more. One that was answered is left alone.
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

    /// Abandons a request whose client has disconnected, before its connection reports that.
    pub(super) fn abandon_forward(self: &Rc<Self>, forward: &Rc<Forward>) {
        let pending = self
            .requests
            .borrow()
            .get(&forward.id)
            .map(|row| (row.ticket, Rc::clone(&row.forward)));
        if let Some((ticket, _)) = pending.filter(|(_, open)| Rc::ptr_eq(open, forward)) {
            self.abandon(&forward.id, ticket);
        }
    }

    /// A pending request as it is forwarded.
    pub(super) fn forward(&self, id: &RequestId) -> Option<Rc<Forward>> {
        let requests = self.requests.borrow();
        requests.get(id).map(|pending| Rc::clone(&pending.forward))
    }

    /// Answers a request, which is pending no more.
    pub(super) fn answer(&self, id: &RequestId, answer: Answer) {
        if let Some(pending) = self.requests.borrow_mut().remove(id) {
            // A client that has gone meanwhile takes no answer.
            let _ = pending.answer.send(answer);
        }
    }

    /// Reports that the body of a request that is streamed has come whole. Its client waits for `timeout` from then on.
    pub fn report_body_complete(
        self: &Rc<Self>,
        id: RequestId,
        timeout: Duration,
    ) -> impl Fn(Ticket) + 'static {
        let node = Rc::downgrade(self);
        move |ticket| {
            let Some(node) = node.upgrade() else { return };
            let deadline = node.now() + timeout.as_micros() as Micros;
            let id = id.clone();
            node.handle(
                Event::BodyComplete {
                    id,
                    ticket,
                    deadline,
                },
                None,
            );
        }
    }
}
