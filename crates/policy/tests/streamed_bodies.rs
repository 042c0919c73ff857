//! Requests whose body is incomplete: how long they may be held back without an attempt, and what is charged when their
//! last byte is sent.

mod common;

use common::settings::{endpoint, settings, HARD_LIMITED, KEYED_IN_DOMAIN, UNLIMITED};
use common::test_node::{TestCustomer, TestNode};
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;

/// How long a body may be received.
const BODY_TIMEOUT: Micros = 1200 * SECOND;
/// How long the client waits for its answer once it has sent everything.
const TIMEOUT: Micros = 2 * SECOND;

/// An engine that knows no server and holds one request back, whose body is incomplete.
struct HeldRequest {
    engine: PolicyEngine,
    id: RequestId,
}

impl HeldRequest {
    fn new(now: Micros) -> HeldRequest {
        let engine = PolicyEngine::new(1, settings(0, 2), now).expect("the settings are valid");
        let id = RequestId("long".into());
        let mut held = HeldRequest { engine, id };
        let arrival = Event::RequestArrived {
            id: held.id.clone(),
            class: KEYED_IN_DOMAIN,
            plan: PlanId(UNLIMITED),
            customer: CustomerId(7),
            units: 1.0,
            subset_first: NodeId(0),
            subset_size: 1,
            timeout: BODY_TIMEOUT,
            complete: false,
        };
        assert!(!held.is_rejected_by(now, arrival));
        held
    }

    /// Passes an event to the engine, and returns whether it rejects the request.
    fn is_rejected_by(&mut self, now: Micros, event: Event) -> bool {
        let mut actions = Vec::new();
        self.engine.handle(now, event, &mut actions);
        actions
            .iter()
            .any(|action| matches!(action, Action::Reject { id, .. } if *id == self.id))
    }

    fn change_deadline(&mut self, now: Micros, timeout: Micros) -> bool {
        let id = self.id.clone();
        self.is_rejected_by(now, Event::BodyDeadlineChanged { id, timeout })
    }

    fn is_rejected_at(&mut self, now: Micros) -> bool {
        self.is_rejected_by(now, Event::TimerFired { token: 0 })
    }
}

/// Guards against a request that is held back for as long as its body may take, though its client has sent everything.
#[test]
fn a_held_request_whose_client_may_wait_is_rejected_within_half_of_its_time() {
    let mut held = HeldRequest::new(SECOND);
    assert!(!held.is_rejected_at(30 * SECOND));
    assert!(!held.change_deadline(31 * SECOND, TIMEOUT));
    assert!(!held.is_rejected_at(31 * SECOND + TIMEOUT / 2 - 100 * MILLISECOND));
    assert!(held.is_rejected_at(31 * SECOND + TIMEOUT / 2));
}

#[test]
fn a_held_request_whose_client_sends_again_is_not_rejected() {
    let mut held = HeldRequest::new(SECOND);
    assert!(!held.change_deadline(31 * SECOND, TIMEOUT));
    assert!(!held.change_deadline(31 * SECOND + TIMEOUT / 4, BODY_TIMEOUT));
    assert!(!held.is_rejected_at(31 * SECOND + 2 * TIMEOUT));
}

#[test]
fn a_held_request_whose_client_may_have_stopped_waiting_is_rejected_immediately() {
    let mut held = HeldRequest::new(SECOND);
    assert!(held.change_deadline(31 * SECOND, 0));
}

/// Capacity of the hard limit of [`HARD_LIMITED`], in requests of one unit.
const HARD_LIMIT_CAPACITY: usize = 12;
/// Uploads that are open at once.
const UPLOADS: usize = 30;
/// Time in which the hard limit's tokens have accrued.
const UPTIME: Micros = 60 * SECOND;
/// Time after which an engine has dropped what it does not need any more.
const CLEAN_UP_INTERVAL: Micros = 10 * SECOND;
/// Time after which the bucket of a customer without requests is dropped.
const BUCKET_RETENTION: Micros = 60 * SECOND;

/// A node with open uploads of one customer with a hard limit.
struct Uploads {
    node: TestNode,
    ids: Vec<RequestId>,
}

impl Uploads {
    /// Starts uploads at four servers.
    fn start() -> Uploads {
        let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
        node.advance(UPTIME);
        let customer = TestCustomer {
            id: 7,
            first: NodeId(0),
            subset_size: 1,
        };
        let upload = |_| node.upload_of(KEYED_IN_DOMAIN, HARD_LIMITED, customer, BODY_TIMEOUT);
        let ids: Vec<RequestId> = (0..UPLOADS).map(upload).collect();
        node.advance(100 * MILLISECOND);
        assert!(ids.iter().all(|id| node.is_in_flight(id)));
        Uploads { node, ids }
    }

    /// Completes all bodies at once, and returns the number of requests that are not rejected.
    fn complete(&mut self) -> usize {
        let mut served = 0;
        for id in &self.ids {
            let actions = self.node.complete_body(id, TIMEOUT);
            let rejects = |action: &Action| matches!(action, Action::Reject { .. });
            served += usize::from(!actions.iter().any(rejects));
        }
        served
    }
}

/// Guards against uploads that are sent without being charged, as their server is no longer known.
#[test]
fn uploads_whose_servers_have_left_the_list_stay_within_the_hard_limit() {
    let mut uploads = Uploads::start();
    let replacements = (3..8).map(endpoint).collect();
    uploads
        .node
        .update_endpoints(EndpointUpdate::Snapshot, replacements);
    uploads.node.advance(CLEAN_UP_INTERVAL);
    assert_eq!(uploads.complete(), HARD_LIMIT_CAPACITY);
    assert_eq!(uploads.node.count_released(), HARD_LIMIT_CAPACITY);
}

/// Guards against uploads that are sent without being charged, as their customer sent nothing else for a while.
#[test]
fn uploads_that_outlast_the_bucket_of_their_customer_stay_within_the_hard_limit() {
    let mut uploads = Uploads::start();
    uploads.node.advance(BUCKET_RETENTION + CLEAN_UP_INTERVAL);
    assert_eq!(uploads.complete(), HARD_LIMIT_CAPACITY);
    assert_eq!(uploads.node.count_released(), HARD_LIMIT_CAPACITY);
}
