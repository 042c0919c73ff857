//! What holds of a state beyond its last step.

use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::World;

impl<M: PolicyModel> World<M> {
    /// What holds once nothing is left to happen: all waiting clients are answered, and nothing is kept.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn verify_end(&self) -> Result<(), PropertyViolation> {
        for (request, client) in self.clients.iter().enumerate() {
            if client.arrived_at.is_none() || !client.waits() {
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
                Property::Resources,
                format!("{sizes:?} requests and connections are kept"),
            );
        }
        Ok(())
    }

    /// After a stop only connections with an attempt are kept.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn verify_stopped(&self) -> Result<(), PropertyViolation> {
        let idle = self
            .connections
            .values()
            .any(|connection| !connection.closing && connection.up && connection.carried.is_none());
        if self.stopped && idle {
            return violated(
                Property::Resources,
                "a connection is kept though the node leaves",
            );
        }
        Ok(())
    }

    /// The policy was told the end of each attempt of the requests that the exchange no longer keeps.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn verify_attempt_ends(&self, setup: &Setup) -> Result<(), PropertyViolation> {
        for (request, client) in self.clients.iter().enumerate() {
            let next = self.clients.get(request + 1);
            let id_reused = setup.shared_id && next.is_some_and(|next| next.arrived_at.is_some());
            let kept = self.exchange.contains(&setup.request_id(request as u8));
            if !id_reused && client.sends != client.ends && !kept {
                return violated(
                    Property::OneEnd,
                    format!("an attempt of {request} is forgotten and its end was not told"),
                );
            }
        }
        Ok(())
    }
}
