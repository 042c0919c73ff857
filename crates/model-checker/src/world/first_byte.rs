//! Writes the first byte of a request, and verifies that it may be written.

use super::client::{Dispatched, WrittenAttempt};
use super::connection::Connection;
use super::oracle::retry_is_harmless;
use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::{EndpointState, World};
use saffronpaddle_exchange::ConnectionId;

impl<M: PolicyModel> World<M> {
    /// Writes the first byte of the request on a connection.
    pub(super) fn write_first_byte(
        &mut self,
        setup: &Setup,
        connection: ConnectionId,
    ) -> Result<(), PropertyViolation> {
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return violated(
                Property::OneRequestPerConnection,
                "the first byte is written on a connection that does not exist",
            );
        };
        let Some(carried) = &mut carrier.carried else {
            return violated(
                Property::OneRequestPerConnection,
                "the first byte is written on a connection without a request",
            );
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
            // The attempt with the lowest unended number: all other attempts have ended.
            number: client.unended_attempts().trailing_zeros(),
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
                format!("two attempts of request {request} are outstanding"),
            );
        }
        if !client.is_waiting() {
            return violated(
                Property::OneAttempt,
                format!(
                    "the first byte of request {request} is written although no client is waiting"
                ),
            );
        }
        let Dispatched { server, at } = dispatched;
        let harmful = client
            .first_dispatched
            .is_some_and(|first| !retry_is_harmless(setup, request, first, server, at));
        if harmful {
            return violated(
                Property::SingleEffect,
                format!("request {request} is written again although it may have run"),
            );
        }
        if client.body_consumed {
            return violated(
                Property::BodySentOnce,
                format!("request {request} is written again although its body was already sent"),
            );
        }
        Ok(())
    }
}

/// Verifies the state of the connection that is written to, and its server and address.
fn verify_carrier(
    carrier: &Connection,
    endpoint: EndpointState,
    request: u8,
) -> Result<(), PropertyViolation> {
    let server = carrier.server;
    if !carrier.inbound.is_empty() || carrier.reset {
        return violated(
            Property::NoUnreadBytes,
            format!("request {request} is written on a connection with unread bytes or a reset"),
        );
    }
    if !endpoint.ready {
        return violated(
            Property::ReadyServer,
            format!("the first byte of request {request} is written to server {server}, which is draining"),
        );
    }
    if endpoint.address != carrier.address {
        return violated(
            Property::CurrentAddress,
            format!("the first byte of request {request} is written to a former address of server {server}"),
        );
    }
    Ok(())
}
