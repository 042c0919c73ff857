//! Requests whose body is incomplete: how long they may be held back without an attempt, and what is charged when their
//! last byte is sent.

mod common;

use common::fleet::Fleet;
use common::settings::{endpoint, settings, HARD_LIMITED, KEYED_IN_DOMAIN, METERED, UNLIMITED};
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

/// Nodes of a fleet in which the owners of a quota grant requests.
const LARGE_FLEET: u32 = 24;
/// A customer of a large fleet with two nodes.
const CUSTOMER_OF_TWO: TestCustomer = TestCustomer {
    id: 7,
    first: NodeId(0),
    subset_size: 2,
};
/// Interval at which the uploads of a large fleet arrive, which is within their customer's quota.
const UPLOAD_INTERVAL: Micros = 250 * MILLISECOND;
/// Uploads of a large fleet.
const FLEET_UPLOADS: usize = 40;

/// Starts uploads in turn at the two nodes of a customer, and returns the index of the node of each.
fn start_uploads(fleet: &mut Fleet, plan: usize) -> Vec<(usize, RequestId)> {
    let mut uploads = Vec::new();
    for number in 0..FLEET_UPLOADS {
        let index = number % 2;
        let node = &mut fleet.nodes[index];
        let id = node.upload_of(KEYED_IN_DOMAIN, plan, CUSTOMER_OF_TWO, BODY_TIMEOUT);
        fleet.send_messages(index);
        uploads.push((index, id));
        fleet.advance(UPLOAD_INTERVAL);
    }
    assert!(uploads
        .iter()
        .all(|(index, id)| fleet.nodes[*index].is_in_flight(id)));
    uploads
}

/// Completes the body of an upload.
fn complete_upload(fleet: &mut Fleet, (index, id): &(usize, RequestId)) {
    fleet.nodes[*index].complete_body(id, TIMEOUT);
    fleet.send_messages(*index);
}

/// Returns the number of requests whose last byte was released.
fn count_released(fleet: &Fleet) -> usize {
    fleet.nodes.iter().map(TestNode::count_released).sum()
}

/// Guards against grants that are used when an upload is complete, long after owners issued them.
#[test]
fn uploads_that_end_together_in_a_large_fleet_stay_within_the_hard_limit() {
    /// The capacity of the hard limit, what accrues in the time of the test, and one request.
    const MAX_RELEASED: usize = HARD_LIMIT_CAPACITY + 8 + 1;
    let mut fleet = Fleet::new(LARGE_FLEET, 8, |_| {});
    fleet.advance(5 * SECOND);
    let uploads = start_uploads(&mut fleet, HARD_LIMITED);
    for upload in &uploads {
        complete_upload(&mut fleet, upload);
    }
    fleet.advance(SECOND);
    let released = count_released(&fleet);
    assert!(
        (1..=MAX_RELEASED).contains(&released),
        "{released} of {FLEET_UPLOADS} released"
    );
}

/// Guards against units that are taken twice, when an upload arrives and when it is complete.
#[test]
fn uploads_within_the_quota_of_a_large_fleet_take_their_units_once() {
    let mut fleet = Fleet::new(LARGE_FLEET, 8, |settings| {
        settings.plans[METERED].rate = 5.0;
        settings.plans[METERED].burst = 6.0;
    });
    fleet.advance(5 * SECOND);
    let uploads = start_uploads(&mut fleet, METERED);
    for upload in &uploads {
        complete_upload(&mut fleet, upload);
        fleet.advance(UPLOAD_INTERVAL);
    }
    let released = count_released(&fleet);
    assert!(
        released >= FLEET_UPLOADS - 2,
        "{released} of {FLEET_UPLOADS} released at four fifths of the quota"
    );
}

/// Guards against uploads that are held for a grant that never comes: their clients need an answer in time.
#[test]
fn a_complete_upload_whose_owners_are_silent_is_rejected_in_half_of_its_time() {
    let mut node = TestNode::with_servers(2, settings(2, LARGE_FLEET), SECOND, 8);
    node.advance(5 * SECOND);
    let id = node.upload_of(KEYED_IN_DOMAIN, HARD_LIMITED, CUSTOMER_OF_TWO, BODY_TIMEOUT);
    node.advance(100 * MILLISECOND);
    assert!(node.is_in_flight(&id));
    let mut actions = node.complete_body(&id, TIMEOUT);
    actions.extend(node.advance(TIMEOUT / 2));
    let rejects = |action: &Action| matches!(action, Action::Reject { .. });
    assert!(actions.iter().any(rejects));
    assert_eq!(node.count_released(), 0);
}
