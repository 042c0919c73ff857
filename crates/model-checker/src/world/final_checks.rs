//! Checks of a state as a whole, after the step that leads to it.

use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::World;

impl<M: PolicyModel> World<M> {
    /// Verifies a terminated world: all waiting clients are answered, and no request or connection is kept.
    ///
    /// # Errors
    /// The violated property.
    pub fn verify_terminated(&self) -> Result<(), PropertyViolation> {
        for (request, client) in self.clients.iter().enumerate() {
            if client.arrived_at.is_none() || !client.is_waiting() {
                continue;
            }
            return violated(
                Property::Liveness,
                format!("request {request} is never answered"),
            );
        }
        let sizes = self.exchange.table_sizes();
        if sizes != (0, 0) || !self.connections.is_empty() {
            return violated(
                Property::BoundedResources,
                format!("requests and connections {sizes:?} are kept after termination"),
            );
        }
        Ok(())
    }

    /// Verifies that a draining node keeps only connections with an attempt.
    ///
    /// # Errors
    /// The violated property.
    pub fn verify_draining(&self) -> Result<(), PropertyViolation> {
        let idle = self
            .connections
            .values()
            .any(|connection| !connection.closing && connection.up && connection.carried.is_none());
        if self.draining && idle {
            return violated(
                Property::BoundedResources,
                "an idle connection is kept although the node is draining",
            );
        }
        Ok(())
    }

    /// Verifies that the policy was notified of the end of each attempt of the requests that the exchange has removed.
    ///
    /// # Errors
    /// The violated property.
    pub fn verify_attempt_ends(&self, setup: &Setup) -> Result<(), PropertyViolation> {
        for (request, client) in self.clients.iter().enumerate() {
            let next = self.clients.get(request + 1);
            let id_reused = setup.shared_id && next.is_some_and(|next| next.arrived_at.is_some());
            let kept = self.exchange.contains(&setup.request_id(request as u8));
            if !id_reused && client.sent_attempts != client.ended_attempts && !kept {
                return violated(
                    Property::OneEndPerAttempt,
                    format!(
                        "request {request} was removed without reporting the end of an attempt"
                    ),
                );
            }
        }
        Ok(())
    }
}
