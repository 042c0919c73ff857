//! Translates the simulator's messages into events of the policy engine.

use crate::endpoint_list::EndpointLists;
use crate::error::{ErrorKind, Result};
use crate::line::Line;
use crate::protocol::{field, message, outcome, update};
use saffronpaddle_policy::interface::{
    AttemptNumber, ClassId, CustomerId, EndpointUpdate, Event, NodeId, Outcome, PlanId, RequestId,
};
use saffronpaddle_policy::setup::PlatformSettings;

/// Translates a line into an event. Returns `None` for messages that the policy engine does not use.
///
/// # Errors
/// Returns an error if the message is unknown, or one of its fields is missing or invalid.
pub fn parse_event(
    line: &Line,
    settings: &PlatformSettings,
    lists: &EndpointLists,
) -> Result<Option<Event>> {
    let event = match line.name {
        message::ENDPOINTS_CHANGED => endpoints_changed(line, &settings.zones, lists)?,
        message::REQUEST_ARRIVED => request_arrived(line, settings)?,
        message::RESPONSE_STARTED => Event::ResponseStarted {
            id: request_id(line)?,
        },
        message::ATTEMPT_ENDED => Event::AttemptEnded {
            id: request_id(line)?,
            attempt: AttemptNumber(line.number(field::ATTEMPT)?),
            outcome: parse_outcome(line)?,
            request_closed: line.flag(field::REQUEST_CLOSED)?,
        },
        message::REQUEST_ABANDONED => Event::RequestAbandoned {
            id: request_id(line)?,
        },
        message::TIMER_FIRED => Event::TimerFired {
            token: line.number(field::TIMER_TOKEN)?,
        },
        message::PEER_MESSAGE => Event::PeerMessage {
            from: NodeId(line.number(field::SENDER)?),
            bytes: line.bytes(field::BYTES)?,
        },
        // The engine sends no health probes and does not use the shared counter; the responses are only validated.
        message::PROBE_RESPONSE | message::COUNTER_RESPONSE => {
            parse_outcome(line)?;
            return Ok(None);
        }
        unknown => return Err(line.error(ErrorKind::UnknownMessage(unknown.to_owned()))),
    };
    Ok(Some(event))
}

fn endpoints_changed(line: &Line, zone_names: &[String], lists: &EndpointLists) -> Result<Event> {
    let update = match line.text(field::UPDATE)? {
        update::UNAVAILABLE => return Ok(Event::EndpointsUnavailable),
        update::DELTA => EndpointUpdate::Delta,
        update::SNAPSHOT | update::STORED_SNAPSHOT => EndpointUpdate::Snapshot,
        _ => return Err(line.invalid(field::UPDATE)),
    };
    Ok(Event::EndpointsChanged {
        update,
        endpoints: lists.resolve(line, zone_names)?,
    })
}

fn request_arrived(line: &Line, settings: &PlatformSettings) -> Result<Event> {
    Ok(Event::RequestArrived {
        id: request_id(line)?,
        class: ClassId(index_of_name(line, field::CLASS, &settings.classes)?),
        plan: PlanId(index_of_name(line, field::PLAN, &settings.plans)?),
        customer: CustomerId(line.number(field::CUSTOMER)?),
        units: line.non_negative(field::UNITS)?,
        subset_first: NodeId(line.number(field::FIRST_NODE)?),
        subset_size: line.number(field::SUBSET_SIZE)?,
        timeout: line.number(field::TIMEOUT)?,
        complete: true,
    })
}

fn request_id(line: &Line) -> Result<RequestId> {
    match line.text(field::REQUEST)? {
        "" => Err(line.invalid(field::REQUEST)),
        id => Ok(RequestId(id.into())),
    }
}

fn parse_outcome(line: &Line) -> Result<Outcome> {
    match line.number(field::OUTCOME)? {
        outcome::OK => Ok(Outcome::Ok),
        outcome::ERROR => Ok(Outcome::Error),
        outcome::REJECTED => Ok(Outcome::Rejected),
        outcome::TIMED_OUT => Ok(Outcome::TimedOut),
        outcome::UNREACHABLE => Ok(Outcome::Unreachable),
        outcome::CONNECTION_LOST => Ok(Outcome::ConnectionLost),
        outcome::CANCELLED => Ok(Outcome::Cancelled),
        outcome::NOT_SENT => Ok(Outcome::NotSent),
        _ => Err(line.invalid(field::OUTCOME)),
    }
}

fn index_of_name(line: &Line, field: &'static str, names: &[String]) -> Result<usize> {
    let name = line.text(field)?;
    names
        .iter()
        .position(|known| known == name)
        .ok_or_else(|| line.invalid(field))
}
