//! Verifies that the first byte of a request may be written.

use super::client::{Dispatched, WrittenAttempt};
use super::connection::Connection;
use super::oracle::retry_is_harmless;
use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::{EndpointState, World};
use saffronpaddle_exchange::ConnectionId;

impl<M: PolicyModel> World<M> {
    /// The first byte of a request is written.
    pub(super) fn write_first_byte(
        &mut self,
        setup: &Setup,
        connection: ConnectionId,
    ) -> Result<(), PropertyViolation> {
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return violated(Property::OneOwner, "bytes on no connection");
        };
        let Some(carried) = &mut carrier.carried else {
            return violated(Property::OneOwner, "bytes of no request");
        };
        carried.written = true;
        let request = carried.request;
        let dispatched = Dispatched {
            server: carrier.server,
            at: self.now(setup),
        };
        self.verify_first_byte(setup, request, connection, dispatched)?;
        let client = self.client_mut(request);
        client.body_consumed = setup.streaming_bodies;
        client.written = Some(WrittenAttempt {
            // All attempts but this one have ended.
            number: client.unended_sends().trailing_zeros(),
            connection,
            dispatched,
        });
        Ok(())
    }

    fn verify_first_byte(
        &self,
        setup: &Setup,
        request: u8,
        connection: ConnectionId,
        dispatched: Dispatched,
    ) -> Result<(), PropertyViolation> {
        let carrier = &self.connections[&connection];
        let endpoint = self.endpoints[usize::from(carrier.server)];
        verify_carrier(carrier, endpoint, request)?;
        let client = self.client(request);
        if client.written.is_some() {
            return violated(
                Property::OneAttempt,
                format!("two attempts of {request} are out"),
            );
        }
        if !client.waits() {
            return violated(
                Property::OneAttempt,
                format!("bytes of {request}, for which nobody waits"),
            );
        }
        let Dispatched { server, at } = dispatched;
        let harmful = client
            .first_dispatched
            .is_some_and(|first| !retry_is_harmless(setup, request, first, server, at));
        if harmful {
            return violated(
                Property::OneEffect,
                format!("bytes of {request} again, and it may have run"),
            );
        }
        if client.body_consumed {
            return violated(
                Property::KeptBody,
                format!("bytes of {request} again, whose body is gone"),
            );
        }
        Ok(())
    }
}

/// Verifies the connection that is written to, and where it leads.
fn verify_carrier(
    carrier: &Connection,
    endpoint: EndpointState,
    request: u8,
) -> Result<(), PropertyViolation> {
    let server = carrier.server;
    if !carrier.inbound.is_empty() || carrier.reset {
        return violated(
            Property::Quiet,
            "a request on a connection on which something waits",
        );
    }
    if !endpoint.ready {
        return violated(
            Property::Drain,
            format!("bytes of {request} to server {server}, which drains"),
        );
    }
    if endpoint.address != carrier.address {
        return violated(
            Property::Address,
            format!("bytes of {request} for server {server} to an address it has left"),
        );
    }
    Ok(())
}
