//! The policies with which a world can be run.

use saffronpaddle_exchange::Policy;
use saffronpaddle_policy::interface::{Action, Event as PolicyEvent, Micros};
use saffronpaddle_policy::PolicyEngine;
use std::hash::{DefaultHasher, Hash};

/// A policy whose state can be hashed, so that the search recognizes equal states.
pub trait PolicyModel: Clone {
    /// Handles an event at `now` (µs) and appends the actions to take, as [`Policy::handle`] does.
    fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<Action>);
    /// Hashes all state that future actions depend on.
    fn digest(&self, hasher: &mut DefaultHasher);
    /// Returns whether the world chooses the policy's actions nondeterministically.
    fn is_arbitrary(&self) -> bool;
}

/// An arbitrary policy: the world takes, on its behalf, every action that any policy could take.
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

/// Wraps a policy and records its events and actions until the world verifies them.
#[derive(Clone)]
pub(super) struct RecordingPolicy<M> {
    pub model: M,
    /// Events that the policy received since the last verification.
    pub events: Vec<PolicyEvent>,
    /// Actions that the policy took since the last verification.
    pub actions: Vec<Action>,
}

impl<M> RecordingPolicy<M> {
    /// Wraps a policy, with empty records.
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
