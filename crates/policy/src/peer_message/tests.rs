//! The encoding of peer messages. Nodes of two builds run in one fleet, so each must decode the datagrams of the other.
//! The fixture contains a message of each kind as encoded by the build before this test was added.

use super::*;
use crate::endpoint_table::short_server_id;
use crate::interface::{NodeId, ServerId};
use saffronpaddle_quota::LeaseReport;

/// A customer id that uses all five bytes of its field.
const CUSTOMER: CustomerId = CustomerId(0x0A_0B0C_0D0E);
/// One message per line: its name and its bytes in hexadecimal digits.
const FIXTURE: &str = include_str!("../../tests/fixtures/peer_messages.txt");

fn payload() -> GossipPayload {
    let observation = |server: u64, class: usize, fault_rate: f64, age: Micros| Observation {
        short_server_id: short_server_id(ServerId(server)),
        class: ClassId(class),
        fault_rate,
        fleet_faults: GossipAverage::of(fault_rate, 2.25),
        wait_per_attempt: 96_000.0,
        age,
    };
    GossipPayload {
        service_rate: 3.5,
        normalized_latencies: vec![GossipAverage::of(0.75, 4.0), GossipAverage::of(1.5, 0.25)],
        in_flight: GossipAverage::of(2.0, 1.0),
        observations: vec![
            observation(7, 0, 0.5, 320_000),
            observation(99, 1, 0.0, 3_200_000),
        ],
    }
}

fn request(
    requester: Option<RequesterState>,
    lease_demand: Option<LeaseDemand>,
    payload: Option<GossipPayload>,
) -> PeerMessage {
    let request = GrantRequestMessage {
        serial: 0x0102,
        customer: CUSTOMER,
        plan: PlanId(3),
        subset: NodeSubset {
            first: NodeId(258),
            size: 24,
        },
        owner: 5,
        units: 2.5,
        requester,
        lease_demand,
    };
    PeerMessage::GrantRequest { request, payload }
}

fn requester(uptime_s: u8, reported_fill: Option<ReportedFill>) -> RequesterState {
    RequesterState {
        uptime_s,
        reported_fill,
    }
}

fn grant_response(decision: GrantDecision) -> GrantResponse {
    GrantResponse {
        decision,
        sampling_probability: 0.6,
        retry_after: 40_000,
        fill_ratio: 0.8,
    }
}

fn response(
    serial: u16,
    decision: GrantDecision,
    lease: LeaseOffer,
    payload: Option<GossipPayload>,
) -> PeerMessage {
    PeerMessage::GrantResponse {
        serial,
        response: grant_response(decision),
        lease,
        payload,
    }
}

fn legacy_response(decision: GrantDecision) -> PeerMessage {
    PeerMessage::LegacyGrantResponse {
        serial: 9,
        response: grant_response(decision),
        payload: payload(),
    }
}

fn usage_report(incarnation: u32, usages: &[(CustomerId, u16)]) -> PeerMessage {
    let usage = |(customer, counter): &(CustomerId, u16)| CustomerUsage {
        customer: *customer,
        counter: *counter,
    };
    PeerMessage::UsageReport(UsageReport {
        incarnation,
        usages: usages.iter().map(usage).collect(),
    })
}

/// A message and its name in the fixture.
type Sample = (&'static str, PeerMessage);

/// The messages of the fixture, in its order.
fn samples() -> Vec<Sample> {
    let all = [
        usage_reports(),
        grant_requests(),
        grant_responses(),
        permit_messages(),
    ];
    all.into_iter().flatten().collect()
}

fn usage_reports() -> Vec<Sample> {
    vec![
        (
            "usage_report",
            usage_report(1_234_567, &[(CUSTOMER, 0xFFFE), (CustomerId(1), 8)]),
        ),
        ("usage_report_without_customers", usage_report(1, &[])),
    ]
}

fn grant_requests() -> Vec<Sample> {
    let fill = Some(ReportedFill {
        ratio: 0.4,
        age: 640_000,
    });
    let current = Some(LeaseReport {
        rate: 1.25,
        capacity: 0.625,
        remaining: 1_280_000,
    });
    let demand = |rate, current| Some(LeaseDemand { rate, current });
    vec![
        ("legacy_grant_request", request(None, None, Some(payload()))),
        (
            "grant_request",
            request(Some(requester(17, fill)), None, None),
        ),
        (
            "grant_request_without_reported_fill",
            request(Some(requester(255, None)), None, Some(payload())),
        ),
        (
            "grant_request_with_lease_demand",
            request(Some(requester(17, fill)), demand(2.0, current), None),
        ),
        (
            "grant_request_with_first_lease_demand",
            request(Some(requester(0, None)), demand(0.5, None), Some(payload())),
        ),
    ]
}

fn grant_responses() -> Vec<Sample> {
    use GrantDecision::{Granted, OverHardLimit, OverQuota, TooManyInFlight};
    let lease = LeaseOffer::Issued(Lease {
        rate: 0.75,
        capacity: 1.5,
        initial_tokens: 0.5,
    });
    vec![
        (
            "grant_response_granted",
            response(9, Granted, LeaseOffer::NotAsked, None),
        ),
        (
            "grant_response_over_quota",
            response(9, OverQuota, LeaseOffer::NotAsked, Some(payload())),
        ),
        (
            "grant_response_too_many_in_flight",
            response(65_535, TooManyInFlight, LeaseOffer::NotAsked, None),
        ),
        (
            "grant_response_over_hard_limit",
            response(9, OverHardLimit, LeaseOffer::NotAsked, None),
        ),
        (
            "grant_response_with_lease",
            response(9, Granted, lease, None),
        ),
        (
            "grant_response_with_denied_lease",
            response(9, OverQuota, LeaseOffer::Denied, Some(payload())),
        ),
        ("legacy_grant_response_granted", legacy_response(Granted)),
        (
            "legacy_grant_response_over_quota",
            legacy_response(OverQuota),
        ),
    ]
}

fn permit_messages() -> Vec<Sample> {
    let permit = TransferredPermit {
        server_started_at: 1_700_000,
        expires_at: 2_900_000,
        sequence: 513,
    };
    vec![
        (
            "permit_release",
            PeerMessage::PermitRelease {
                serial: 0x0304,
                customer: CUSTOMER,
            },
        ),
        (
            "permit_transfer",
            PeerMessage::PermitTransfer {
                short_server_id: short_server_id(ServerId(7)),
                permit,
            },
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The names and bytes of the messages in the fixture.
fn fixture() -> Vec<(&'static str, Vec<u8>)> {
    let byte = |pair: &[u8]| {
        u8::from_str_radix(std::str::from_utf8(pair).expect("the fixture is ASCII"), 16)
            .expect("the bytes are hexadecimal digits")
    };
    let line = |line: &'static str| {
        let (name, digits) = line
            .split_once(' ')
            .expect("each line has a name and bytes");
        (name, digits.as_bytes().chunks(2).map(byte).collect())
    };
    FIXTURE.lines().map(line).collect()
}

#[test]
fn every_kind_of_message_is_encoded_to_the_bytes_of_the_fixture() {
    let written: String = samples()
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&encode(message))))
        .collect();
    assert_eq!(
        written, FIXTURE,
        "the encoded messages differ from the fixture:\n{written}"
    );
}

#[test]
fn every_message_of_the_fixture_is_decoded_and_encoded_to_the_same_bytes() {
    for (name, bytes) in fixture() {
        let message =
            decode(&bytes).unwrap_or_else(|| panic!("{name}: the fixture cannot be decoded"));
        let mut expected = bytes.clone();
        if name == "grant_request_with_lease_demand" {
            // The remaining time of a lease is rounded up each time it is encoded.
            *expected.last_mut().expect("the message is not empty") += 1;
        }
        assert_eq!(
            hex(&encode(&message)),
            hex(&expected),
            "{name}: encoded to other bytes than it was decoded from"
        );
    }
}

/// A truncated datagram must not be decoded, except where the remaining bytes are a complete message: usage reports are
/// lists, and may end after any entry.
#[test]
fn message_truncated_in_its_first_fields_is_not_decoded() {
    for (name, bytes) in fixture()
        .into_iter()
        .filter(|(name, _)| !name.starts_with("usage_report"))
    {
        for length in 0..7.min(bytes.len()) {
            assert!(
                decode(&bytes[..length]).is_none(),
                "{name}: decoded although truncated to {length} bytes"
            );
        }
    }
}
