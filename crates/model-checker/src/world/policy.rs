//! What decides inside the exchange of a world.

use saffronpaddle_exchange::Policy;
use saffronpaddle_policy::interface::{Action, Event as PolicyEvent, Micros};
use saffronpaddle_policy::PolicyEngine;
use std::hash::{DefaultHasher, Hash};

/// A policy whose states can be told apart.
pub trait PolicyModel: Clone {
    /// Handles an event as the exchange's policy.
    fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<Action>);
    /// Hashes all that its future depends on.
    fn digest(&self, hasher: &mut DefaultHasher);
    /// Whether it decides nothing by itself, and the world takes any action in its name.
    fn is_arbitrary(&self) -> bool;
}

/// Any policy at all: the world takes, in its name, every action that some policy might take, sensible or not.
#[derive(Clone, Debug)]
pub struct AnyPolicy;

impl PolicyModel for AnyPolicy {
    fn handle(&mut self, _: Micros, _: PolicyEvent, _: &mut Vec<Action>) {}
    fn digest(&self, _: &mut DefaultHasher) {}
    fn is_arbitrary(&self) -> bool {
        true
    }
}

/// The policy engine that nodes run.
#[derive(Clone)]
pub struct RealPolicy(pub PolicyEngine);

impl PolicyModel for RealPolicy {
    fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
    }
    fn digest(&self, hasher: &mut DefaultHasher) {
        format!("{:?}", self.0).hash(hasher);
    }
    fn is_arbitrary(&self) -> bool {
        false
    }
}

/// A policy whose events and actions are recorded until the world verifies them.
#[derive(Clone)]
pub(super) struct RecordingPolicy<M> {
    pub model: M,
    pub events: Vec<PolicyEvent>,
    pub actions: Vec<Action>,
}

impl<M> RecordingPolicy<M> {
    /// A policy of which nothing is recorded yet.
    pub fn new(model: M) -> RecordingPolicy<M> {
        RecordingPolicy {
            model,
            events: Vec::new(),
            actions: Vec::new(),
        }
    }
}

impl<M: PolicyModel> Policy for RecordingPolicy<M> {
    fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<Action>) {
        self.events.push(event.clone());
        let first_new = actions.len();
        self.model.handle(now, event, actions);
        self.actions.extend_from_slice(&actions[first_new..]);
    }
}
