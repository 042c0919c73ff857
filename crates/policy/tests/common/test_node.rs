//! A test node with a policy engine: it keeps the time, the timers and the attempts in flight, and checks every action.

use super::observed_request::ObservedRequest;
use super::settings::endpoint;
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;
use std::collections::BTreeMap;

/// Interval at which timers are checked, µs.
const STEP: Micros = 2 * MILLISECOND;
/// Maximum length of a message between nodes, bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// A timer set by the engine.
#[derive(Clone, Copy)]
pub struct PendingTimer {
    pub at: Micros,
    pub token: u64,
}

/// An attempt that has been sent and has not ended.
#[derive(Clone)]
pub struct InFlightAttempt {
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub server: ServerId,
}

/// A customer and the subset of nodes that receive its requests.
#[derive(Clone, Copy)]
pub struct TestCustomer {
    pub id: u64,
    pub first: NodeId,
    pub subset_size: u32,
}

/// A node that asserts the rules of [`observed_request`](super::observed_request) at every action.
pub struct TestNode {
    pub now: Micros,
    pub engine: PolicyEngine,
    pub settings: Settings,
    pub timers: Vec<PendingTimer>,
    pub endpoints: BTreeMap<ServerId, Endpoint>,
    pub in_flight: Vec<InFlightAttempt>,
    /// All actions of the engine since the start.
    pub actions: Vec<Action>,
    requests: BTreeMap<RequestId, ObservedRequest>,
    last_request: u64,
}

impl TestNode {
    /// Creates a node that starts at `now` with an empty endpoint list.
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Self {
        let engine =
            PolicyEngine::new(seed, settings.clone(), now).expect("the settings are valid");
        TestNode {
            now,
            engine,
            settings,
            timers: Vec::new(),
            endpoints: BTreeMap::new(),
            in_flight: Vec::new(),
            actions: Vec::new(),
            requests: BTreeMap::new(),
            last_request: 0,
        }
    }

    /// Creates a node whose endpoint list has `servers` ready servers, numbered from 0.
    pub fn with_servers(seed: u64, settings: Settings, now: Micros, servers: u64) -> Self {
        let mut node = TestNode::new(seed, settings, now);
        let endpoints = (0..servers).map(endpoint).collect();
        node.update_endpoints(EndpointUpdate::Snapshot, endpoints);
        node
    }

    /// Applies a change of the endpoint list.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if update == EndpointUpdate::Snapshot {
            self.endpoints.clear();
        }
        for endpoint in &endpoints {
            self.endpoints.insert(endpoint.server, *endpoint);
        }
        self.handle(Event::EndpointsChanged { update, endpoints });
    }

    /// Sends a request of a customer whose subset is the entire fleet.
    pub fn request(
        &mut self,
        class: ClassId,
        plan: usize,
        customer: u64,
        timeout: Micros,
    ) -> RequestId {
        let customer = TestCustomer {
            id: customer,
            first: NodeId(0),
            subset_size: self.settings.node_count,
        };
        self.request_of(class, plan, customer, timeout)
    }

    /// Sends a request of a customer whose subset is only this node.
    pub fn request_of_own_customer(
        &mut self,
        class: ClassId,
        plan: usize,
        customer: u64,
        timeout: Micros,
    ) -> RequestId {
        let customer = TestCustomer {
            id: customer,
            first: self.settings.node,
            subset_size: 1,
        };
        self.request_of(class, plan, customer, timeout)
    }

    /// Sends a request of one unit of a customer with the given subset.
    pub fn request_of(
        &mut self,
        class: ClassId,
        plan: usize,
        customer: TestCustomer,
        timeout: Micros,
    ) -> RequestId {
        self.receive_request(class, plan, customer, timeout, true)
    }

    /// Sends the start of a request of one unit of a customer with the given subset. Its body is incomplete, and may
    /// take up to `body_timeout`.
    pub fn upload_of(
        &mut self,
        class: ClassId,
        plan: usize,
        customer: TestCustomer,
        body_timeout: Micros,
    ) -> RequestId {
        self.receive_request(class, plan, customer, body_timeout, false)
    }

    fn receive_request(
        &mut self,
        class: ClassId,
        plan: usize,
        customer: TestCustomer,
        timeout: Micros,
        complete: bool,
    ) -> RequestId {
        self.last_request += 1;
        let id = RequestId(format!("r{}", self.last_request).into());
        let observed = ObservedRequest::new(
            self.settings.classes[class.0].idempotency,
            self.settings.permissions.max_attempts,
            self.now + timeout,
            complete,
        );
        self.requests.insert(id.clone(), observed);
        self.handle(Event::RequestArrived {
            id: id.clone(),
            class,
            plan: PlanId(plan),
            customer: CustomerId(customer.id),
            units: 1.0,
            subset_first: customer.first,
            subset_size: customer.subset_size,
            timeout,
            complete,
        });
        id
    }

    /// Completes the body of a request, whose client waits for `timeout` from now on.
    pub fn complete_body(&mut self, id: &RequestId, timeout: Micros) -> Vec<Action> {
        let deadline = self.now + timeout;
        self.observed(id).deadline = deadline;
        self.handle(Event::BodyComplete {
            id: id.clone(),
            timeout,
        })
    }

    /// Returns the number of requests whose last byte was released.
    pub fn count_released(&self) -> usize {
        let is_release = |action: &&Action| matches!(action, Action::ReleaseBody { .. });
        self.actions.iter().filter(is_release).count()
    }

    /// Abandons a request, as when its client disconnects.
    pub fn abandon(&mut self, id: &RequestId) {
        self.requests
            .get_mut(id)
            .expect("the request was sent by this node")
            .open = false;
        self.handle(Event::RequestAbandoned { id: id.clone() });
    }

    /// Ends the attempt in flight of a request.
    pub fn end_attempt(&mut self, id: &RequestId, outcome: Outcome) -> Vec<Action> {
        let index = self
            .in_flight
            .iter()
            .position(|in_flight| in_flight.id == *id)
            .expect("the request has an attempt in flight");
        let ended = self.in_flight.remove(index);
        let request = self
            .requests
            .get_mut(&ended.id)
            .expect("the request was sent by this node");
        let request_closed = request.attempt_ended(ended.server, outcome);
        self.handle(Event::AttemptEnded {
            id: ended.id,
            attempt: ended.attempt,
            outcome,
            request_closed,
        })
    }

    /// Returns the server of the request's attempt in flight, if there is one.
    pub fn server_of(&self, id: &RequestId) -> Option<ServerId> {
        let attempt = self.in_flight.iter().find(|attempt| attempt.id == *id);
        attempt.map(|attempt| attempt.server)
    }

    /// Returns whether an attempt of a request is in flight.
    pub fn is_in_flight(&self, id: &RequestId) -> bool {
        self.server_of(id).is_some()
    }

    /// Ends the request's attempt in flight, if there is one, with a response. Returns whether there was one.
    pub fn answer_if_in_flight(&mut self, id: &RequestId) -> bool {
        let in_flight = self.is_in_flight(id);
        if in_flight {
            self.end_attempt(id, Outcome::Ok);
        }
        in_flight
    }

    /// Returns whether the node has reported that it limits the attempts of the lowest class.
    pub fn has_started_limit(&self) -> bool {
        self.actions.iter().any(|action| {
            matches!(
                action,
                Action::Report(Diagnostic::ConcurrencyLimitStarted { .. })
            )
        })
    }

    /// Ends all attempts in flight with a response, and returns their number.
    pub fn answer_all(&mut self) -> usize {
        let answered = self.in_flight.clone();
        for attempt in &answered {
            self.end_attempt(&attempt.id, Outcome::Ok);
        }
        answered.len()
    }

    /// Passes an event to the engine, and checks and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Passes a message of another node to the engine.
    pub fn receive(&mut self, from: NodeId, bytes: Vec<u8>) -> Vec<Action> {
        self.handle(Event::PeerMessage { from, bytes })
    }

    /// Fires all due timers.
    pub fn fire_timers(&mut self) -> Vec<Action> {
        let now = self.now;
        let is_due = |timer: &PendingTimer| timer.at <= now;
        let due: Vec<_> = self.timers.iter().copied().filter(is_due).collect();
        self.timers.retain(|timer| !is_due(timer));
        let mut actions = Vec::new();
        for timer in due {
            actions.extend(self.handle(Event::TimerFired { token: timer.token }));
        }
        actions
    }

    /// Advances the time in steps, and fires due timers and checks deadlines at each step.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += STEP;
            actions.extend(self.fire_timers());
            for (id, request) in &self.requests {
                request.check_deadline(id, self.now);
            }
        }
        actions
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, server, .. } => self.check_send(id, *server),
            Action::Reject { id, .. } => self.observed(id).check_answer(true),
            Action::Fail { id } => self.observed(id).check_answer(false),
            Action::SetTimer { after, token } => self.timers.push(PendingTimer {
                at: self.now + after,
                token: *token,
            }),
            Action::Broadcast { bytes } | Action::SendToPeer { bytes, .. } => {
                assert!(
                    bytes.len() <= MAX_MESSAGE_BYTES,
                    "a message of {} bytes, longer than {MAX_MESSAGE_BYTES}",
                    bytes.len()
                );
            }
            Action::ReleaseBody { id, attempt } => self.observed(id).check_release(*attempt),
            Action::Cancel { .. }
            | Action::Subscribe
            | Action::SendToSiblings(_)
            | Action::Report(_) => {}
        }
    }

    fn check_send(&mut self, id: &RequestId, server: ServerId) {
        assert_eq!(
            self.endpoints[&server].status,
            EndpointStatus::Ready,
            "rule 3: an attempt was sent to {server:?}, which is not ready"
        );
        let attempt = self.observed(id).check_send(server);
        self.in_flight.push(InFlightAttempt {
            id: id.clone(),
            attempt,
            server,
        });
    }

    fn observed(&mut self, id: &RequestId) -> &mut ObservedRequest {
        self.requests
            .get_mut(id)
            .expect("the request was sent by this node")
    }
}

/// Returns the number of attempts that these actions send.
pub fn count_sends(actions: &[Action]) -> usize {
    let is_send = |action: &&Action| matches!(action, Action::Send { .. });
    actions.iter().filter(is_send).count()
}

/// Returns the number of messages that these actions send to single peers.
pub fn count_peer_messages(actions: &[Action]) -> usize {
    let is_message = |action: &&Action| matches!(action, Action::SendToPeer { .. });
    actions.iter().filter(is_message).count()
}
