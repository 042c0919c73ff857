//! Encoding of messages.

use super::{
    kind, GossipPayload, GrantRequestMessage, LeaseOffer, Observation, PeerMessage, RequesterState,
    UsageReport, AGE_STEP, CUSTOMER_BYTES, DECISIONS, FAULT_RATE_STEPS, LEASE_CAPACITY_STEPS,
    LEASE_RATE_STEPS, MAX_BYTES, MAX_CLASSES, MAX_USAGES, OBSERVATION_BYTES, REPORT_AGE_STEP,
    RETRY_AFTER_STEP, SHARE_STEPS, STEPS_PER_UNIT, VERSION, WAIT_STEP,
};
use crate::gossip_average::GossipAverage;
use crate::interface::{CustomerId, Micros};
use saffronpaddle_quota::{GrantDecision, GrantResponse, Lease, LeaseDemand, LeaseReport};
use saffronpaddle_slow_start::TransferredPermit;

/// Value of a one-byte duration that stands for an absent one.
const NO_DURATION: u8 = u8::MAX;

/// Encodes a message. Leaves out customers' usages, classes and observations beyond those that fit.
pub(crate) fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    match message {
        PeerMessage::UsageReport(report) => encode_usage_report(report, &mut bytes),
        PeerMessage::GrantRequest { request, payload } => {
            encode_grant_request(request, &mut bytes);
            encode_optional_payload(payload.as_ref(), &mut bytes);
        }
        PeerMessage::GrantResponse {
            serial,
            response,
            lease,
            payload,
        } => {
            encode_grant_response(*serial, response, *lease, &mut bytes);
            encode_optional_payload(payload.as_ref(), &mut bytes);
        }
        PeerMessage::LegacyGrantResponse {
            serial,
            response,
            payload,
        } => {
            bytes.push(kind::LEGACY_GRANT_RESPONSE);
            bytes.extend(serial.to_le_bytes());
            bytes.push(u8::from(response.decision != GrantDecision::Granted));
            bytes.push(share(response.sampling_probability));
            encode_payload(payload, &mut bytes);
        }
        PeerMessage::PermitRelease { serial, customer } => {
            bytes.push(kind::PERMIT_RELEASE);
            bytes.extend(serial.to_le_bytes());
            bytes.extend(customer_bytes(*customer));
        }
        PeerMessage::PermitTransfer {
            short_server_id,
            permit,
        } => encode_permit_transfer(*short_server_id, permit, &mut bytes),
    }
    bytes
}

fn encode_usage_report(report: &UsageReport, bytes: &mut Vec<u8>) {
    bytes.push(kind::USAGE_REPORT);
    bytes.extend(report.incarnation.to_le_bytes());
    for usage in report.usages.iter().take(MAX_USAGES) {
        bytes.extend(customer_bytes(usage.customer));
        bytes.extend(usage.counter.to_le_bytes());
    }
}

fn encode_grant_request(request: &GrantRequestMessage, bytes: &mut Vec<u8>) {
    bytes.push(match (request.requester, request.lease_demand) {
        (Some(_), Some(_)) => kind::GRANT_REQUEST_WITH_LEASE,
        (Some(_), None) => kind::GRANT_REQUEST,
        (None, _) => kind::LEGACY_GRANT_REQUEST,
    });
    bytes.extend(request.serial.to_le_bytes());
    bytes.extend(customer_bytes(request.customer));
    bytes.extend([request.plan.0 as u8, request.owner]);
    bytes.extend((request.subset.first.0 as u16).to_le_bytes());
    bytes.extend((request.subset.size as u16).to_le_bytes());
    bytes.extend(((request.units * STEPS_PER_UNIT).round() as u16).to_le_bytes());
    let Some(requester) = &request.requester else {
        return;
    };
    encode_requester(requester, bytes);
    if let Some(demand) = &request.lease_demand {
        encode_lease_demand(demand, bytes);
    }
}

fn encode_requester(requester: &RequesterState, bytes: &mut Vec<u8>) {
    bytes.push(requester.uptime_s);
    bytes.extend(match requester.reported_fill {
        Some(fill) => [share(fill.ratio), steps(fill.age, REPORT_AGE_STEP)],
        None => [0, NO_DURATION],
    });
}

/// Encodes a lease demand. The lease that the requester holds is rounded up, so that its issuer never assumes a smaller
/// one.
fn encode_lease_demand(demand: &LeaseDemand, bytes: &mut Vec<u8>) {
    bytes.extend(lease_rate(demand.rate, f64::round));
    match demand.current {
        Some(LeaseReport {
            rate,
            capacity,
            remaining,
        }) => {
            let capacity = (capacity * LEASE_CAPACITY_STEPS).ceil();
            let remaining = steps(remaining, REPORT_AGE_STEP).saturating_add(1);
            bytes.extend(lease_rate(rate, f64::ceil));
            bytes.extend([capacity.clamp(0.0, 255.0) as u8, remaining.min(254)]);
        }
        None => bytes.extend([0, 0, 0, NO_DURATION]),
    }
}

fn encode_grant_response(
    serial: u16,
    response: &GrantResponse,
    lease: LeaseOffer,
    bytes: &mut Vec<u8>,
) {
    bytes.push(match lease {
        LeaseOffer::NotAsked => kind::GRANT_RESPONSE,
        LeaseOffer::Denied | LeaseOffer::Issued(_) => kind::GRANT_RESPONSE_WITH_LEASE,
    });
    bytes.extend(serial.to_le_bytes());
    let number = DECISIONS
        .iter()
        .position(|decision| *decision == response.decision);
    bytes.push(number.unwrap_or(1) as u8);
    bytes.push(share(response.sampling_probability));
    bytes.push(steps(response.retry_after, RETRY_AFTER_STEP));
    bytes.push(share(response.fill_ratio));
    match lease {
        LeaseOffer::NotAsked => {}
        LeaseOffer::Denied => encode_lease(&Lease::default(), bytes),
        LeaseOffer::Issued(lease) => encode_lease(&lease, bytes),
    }
}

/// Encodes a lease. It is rounded down, so that its holder never has more than its issuer accounts for.
fn encode_lease(lease: &Lease, bytes: &mut Vec<u8>) {
    let units = |value: f64| (value * LEASE_CAPACITY_STEPS).floor().clamp(0.0, 255.0) as u8;
    bytes.extend(lease_rate(lease.rate, f64::floor));
    bytes.extend([units(lease.capacity), units(lease.initial_tokens)]);
}

fn encode_permit_transfer(short_server_id: u16, permit: &TransferredPermit, bytes: &mut Vec<u8>) {
    bytes.push(kind::PERMIT_TRANSFER);
    bytes.extend(short_server_id.to_le_bytes());
    bytes.extend(permit.server_started_at.to_le_bytes());
    bytes.extend(permit.expires_at.to_le_bytes());
    bytes.extend(permit.sequence.to_le_bytes());
}

fn encode_optional_payload(payload: Option<&GossipPayload>, bytes: &mut Vec<u8>) {
    if let Some(payload) = payload {
        encode_payload(payload, bytes);
    }
}

fn encode_payload(payload: &GossipPayload, bytes: &mut Vec<u8>) {
    bytes.push(fixed_point(payload.service_rate));
    bytes.extend(average(&payload.in_flight));
    bytes.push(payload.normalized_latencies.len().min(MAX_CLASSES) as u8);
    for latency in payload.normalized_latencies.iter().take(MAX_CLASSES) {
        bytes.extend(average(latency));
    }
    for observation in &payload.observations {
        if bytes.len() + OBSERVATION_BYTES > MAX_BYTES {
            break;
        }
        encode_observation(observation, bytes);
    }
}

fn encode_observation(observation: &Observation, bytes: &mut Vec<u8>) {
    let fault_rate = observation.fleet_faults.mean().unwrap_or(0.0);
    let fault_steps = (fault_rate.clamp(0.0, 1.0) * f64::from(FAULT_RATE_STEPS)).round() as u8;
    let class = (observation.class.0 % MAX_CLASSES) as u8;
    bytes.extend(observation.short_server_id.to_le_bytes());
    bytes.push(class * (FAULT_RATE_STEPS + 1) + fault_steps);
    bytes.push(observation.fleet_faults.encoded_count());
    bytes.push(byte(observation.wait_per_attempt / WAIT_STEP));
    bytes.push((observation.age / AGE_STEP).min(255) as u8);
}

fn customer_bytes(customer: CustomerId) -> [u8; CUSTOMER_BYTES] {
    let mut bytes = [0; CUSTOMER_BYTES];
    bytes.copy_from_slice(&customer.0.to_le_bytes()[..CUSTOMER_BYTES]);
    bytes
}

/// Encodes the mean and the count of a gossip average.
fn average(average: &GossipAverage) -> [u8; 2] {
    [
        fixed_point(average.mean().unwrap_or(0.0)),
        average.encoded_count(),
    ]
}

/// Encodes a duration in steps, at most 254, as 255 is [`NO_DURATION`].
fn steps(duration: Micros, step: Micros) -> u8 {
    (duration / step).min(254) as u8
}

/// Encodes the rate of a lease, rounded by `round`.
fn lease_rate(rate: f64, round: impl Fn(f64) -> f64) -> [u8; 2] {
    (round(rate * LEASE_RATE_STEPS).clamp(0.0, 65_535.0) as u16).to_le_bytes()
}

fn share(value: f64) -> u8 {
    byte(value * SHARE_STEPS)
}

fn fixed_point(value: f64) -> u8 {
    byte(value * STEPS_PER_UNIT)
}

fn byte(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}
