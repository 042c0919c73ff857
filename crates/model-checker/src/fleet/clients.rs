//! The clients: their requests and disconnects.

use super::event::{NodeRef, SimulationEvent};
use super::simulation::{Simulation, CUSTOMERS};
use saffronpaddle_exchange::{Event, Ticket};
use saffronpaddle_policy::interface::{
    ClassId, CustomerId, Event as PolicyEvent, Micros, NodeId, PlanId, RequestId,
};
use saffronpaddle_test_doubles::oracle::{RepeatSafety, SentRequest, Unanswered};

/// Part of the client's deadline that the front end reserves for the delivery of the answer, µs.
const DELIVERY_RESERVE: Micros = 5_000;
/// Most nodes that serve a customer.
const MAX_SUBSET_SIZE: u32 = 2;
/// One in this many clients disconnects before it is answered.
const LEAVING_CLIENT_ODDS: u8 = 25;

impl Simulation {
    /// Sends a client's request to one of its customer's nodes.
    pub fn request_arrives(&mut self, number: usize) {
        let customer = self.random.u64(..CUSTOMERS);
        let class = usize::from(self.random.f64() > self.fleet.classes[0].share);
        let nodes = self.nodes.len() as u32;
        let subset_size = MAX_SUBSET_SIZE.min(nodes);
        let first_node = customer as u32 % nodes;
        let node = (first_node + self.random.u32(..subset_size)) as usize % self.nodes.len();
        let id = RequestId(format!("{}-{number}", self.fleet.classes[class].name).into());
        self.record_request(&id, class, node, customer);
        let deadline = self.fleet.classes[class].deadline;
        let timeout = deadline.as_micros() as Micros - DELIVERY_RESERVE;
        let ticket = self.nodes[node].exchange.next_ticket();
        self.nodes[node].waiting.insert(id.clone(), ticket);
        self.open.insert(id.clone(), node);
        if self.random.u8(..LEAVING_CLIENT_ODDS) == 0 {
            self.schedule_leaving(node, id.clone(), ticket, timeout);
        }
        let plan = customer as usize % self.fleet.plans.len();
        let event = Event::RequestReceived {
            idempotency: self.settings[node].settings.classes[class].idempotency,
            deadline: self.now + timeout,
            response_streamed: false,
            policy_event: PolicyEvent::RequestArrived {
                id,
                class: ClassId(class),
                plan: PlanId(plan),
                customer: CustomerId(customer),
                units: 1.0,
                subset_first: NodeId(first_node),
                subset_size,
                timeout,
                complete: true,
            },
        };
        self.deliver(node, event, None);
    }

    /// Reports a request to the oracle.
    fn record_request(&mut self, id: &RequestId, class: usize, node: usize, customer: u64) {
        let keyed = self.fleet.classes[class].keyed;
        let sent_request = SentRequest {
            id: id.0.to_string(),
            key: keyed.then(|| id.0.to_string()),
            repeat_safety: if keyed {
                RepeatSafety::Keyed
            } else {
                RepeatSafety::Safe
            },
            node,
            customer,
            units: 1.0,
            timeout: self.fleet.classes[class].deadline,
        };
        self.oracle.request_sent(self.elapsed(), sent_request);
    }

    /// Schedules the disconnect of a client at a random time before its timeout.
    fn schedule_leaving(&mut self, node: usize, id: RequestId, ticket: Ticket, timeout: Micros) {
        let delay = self.random.u64(..timeout);
        let node = self.node_ref(node);
        self.schedule(delay, SimulationEvent::ClientLeaves { node, id, ticket });
    }

    /// Disconnects the client of a request, unless it is already answered.
    pub fn client_leaves(&mut self, node: NodeRef, id: RequestId, ticket: Ticket) {
        let is_waiting = self.nodes[node.index].waiting.get(&id) == Some(&ticket);
        if !self.is_alive(node) || !is_waiting {
            return;
        }
        self.oracle
            .request_unanswered(&id.0, Unanswered::ClientDisconnected);
        self.nodes[node.index].waiting.remove(&id);
        self.open.remove(&id);
        self.deliver(node.index, Event::ClientGone { id, ticket }, None);
    }
}
