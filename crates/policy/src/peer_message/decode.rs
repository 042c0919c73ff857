//! Decoding of messages. Datagrams may be forged or corrupted, so every length is checked.

use super::{
    kind, CustomerUsage, GossipPayload, GrantRequestMessage, LeaseOffer, Observation, PeerMessage,
    RequesterState, UsageReport, AGE_STEP, CUSTOMER_BYTES, DECISIONS, FAULT_RATE_STEPS,
    LEASE_CAPACITY_STEPS, LEASE_RATE_STEPS, MAX_BYTES, MAX_CLASSES, REPORT_AGE_STEP,
    RETRY_AFTER_STEP, SHARE_STEPS, STEPS_PER_UNIT, VERSION, WAIT_STEP,
};
use crate::gossip_average::GossipAverage;
use crate::interface::{ClassId, CustomerId, Micros, NodeId, PlanId};
use crate::shard_owners::NodeSubset;
use saffronpaddle_quota::{
    GrantDecision, GrantResponse, Lease, LeaseDemand, LeaseReport, ReportedFill,
};
use saffronpaddle_slow_start::TransferredPermit;

/// Value of a one-byte duration that stands for an absent one.
const NO_DURATION: u8 = u8::MAX;

/// Decodes a datagram. Returns `None` if it is empty, truncated, too long, or of an unknown version or kind.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let mut reader = Reader(bytes);
    if bytes.len() > MAX_BYTES || reader.byte()? != VERSION {
        return None;
    }
    match reader.byte()? {
        kind::USAGE_REPORT => reader.usage_report(),
        kind::PERMIT_RELEASE => reader.permit_release(),
        kind::LEGACY_GRANT_REQUEST => {
            let request = reader.grant_request(Extension::None)?;
            let payload = Some(reader.payload()?);
            Some(PeerMessage::GrantRequest { request, payload })
        }
        kind::GRANT_REQUEST => reader.grant_request_with_payload(Extension::Requester),
        kind::GRANT_REQUEST_WITH_LEASE => {
            reader.grant_request_with_payload(Extension::RequesterAndLease)
        }
        kind::LEGACY_GRANT_RESPONSE => reader.legacy_grant_response(),
        kind::GRANT_RESPONSE => reader.grant_response(false),
        kind::GRANT_RESPONSE_WITH_LEASE => reader.grant_response(true),
        kind::PERMIT_TRANSFER => reader.permit_transfer(),
        _ => None,
    }
}

/// Fields that a kind of grant request has in addition to those of the earliest build.
#[derive(Clone, Copy, PartialEq)]
enum Extension {
    None,
    Requester,
    RequesterAndLease,
}

/// Reads fields from the front of the remaining bytes of a datagram. Methods return `None` if the bytes do not suffice.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn is_at_end(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads a little-endian number of `size` bytes.
    fn number(&mut self, size: usize) -> Option<u64> {
        let (taken, rest) = self.0.split_at_checked(size)?;
        self.0 = rest;
        Some(
            taken
                .iter()
                .rev()
                .fold(0, |number, byte| number << 8 | u64::from(*byte)),
        )
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.number(1)? as u8)
    }

    fn u16(&mut self) -> Option<u16> {
        Some(self.number(2)? as u16)
    }

    fn customer(&mut self) -> Option<CustomerId> {
        Some(CustomerId(self.number(CUSTOMER_BYTES)?))
    }

    fn share(&mut self) -> Option<f64> {
        Some(f64::from(self.byte()?) / SHARE_STEPS)
    }

    fn fixed_point(&mut self) -> Option<f64> {
        Some(f64::from(self.byte()?) / STEPS_PER_UNIT)
    }

    fn lease_rate(&mut self) -> Option<f64> {
        Some(f64::from(self.u16()?) / LEASE_RATE_STEPS)
    }

    fn lease_units(&mut self) -> Option<f64> {
        Some(f64::from(self.byte()?) / LEASE_CAPACITY_STEPS)
    }

    fn average(&mut self) -> Option<GossipAverage> {
        let mean = self.fixed_point()?;
        Some(GossipAverage::decoded(mean, self.byte()?))
    }

    fn usage_report(&mut self) -> Option<PeerMessage> {
        let incarnation = self.number(4)? as u32;
        let mut usages = Vec::new();
        while !self.is_at_end() {
            usages.push(CustomerUsage {
                customer: self.customer()?,
                counter: self.u16()?,
            });
        }
        Some(PeerMessage::UsageReport(UsageReport {
            incarnation,
            usages,
        }))
    }

    fn permit_release(&mut self) -> Option<PeerMessage> {
        let serial = self.u16()?;
        let customer = self.customer()?;
        self.is_at_end()
            .then_some(PeerMessage::PermitRelease { serial, customer })
    }

    fn permit_transfer(&mut self) -> Option<PeerMessage> {
        let short_server_id = self.u16()?;
        let permit = TransferredPermit {
            server_started_at: self.number(8)?,
            expires_at: self.number(8)?,
            sequence: self.u16()?,
        };
        Some(PeerMessage::PermitTransfer {
            short_server_id,
            permit,
        })
    }

    fn grant_request_with_payload(&mut self, extension: Extension) -> Option<PeerMessage> {
        let request = self.grant_request(extension)?;
        let payload = self.payload_if_any()?;
        Some(PeerMessage::GrantRequest { request, payload })
    }

    fn grant_request(&mut self, extension: Extension) -> Option<GrantRequestMessage> {
        let mut request = GrantRequestMessage {
            serial: self.u16()?,
            customer: self.customer()?,
            plan: PlanId(usize::from(self.byte()?)),
            owner: self.byte()?,
            subset: NodeSubset {
                first: NodeId(u32::from(self.u16()?)),
                size: u32::from(self.u16()?),
            },
            units: f64::from(self.u16()?) / STEPS_PER_UNIT,
            requester: None,
            lease_demand: None,
        };
        if extension != Extension::None {
            request.requester = Some(self.requester()?);
        }
        if extension == Extension::RequesterAndLease {
            request.lease_demand = Some(self.lease_demand()?);
        }
        Some(request)
    }

    fn requester(&mut self) -> Option<RequesterState> {
        let uptime_s = self.byte()?;
        let ratio = self.share()?;
        let age = self.byte()?;
        let fill = ReportedFill {
            ratio,
            age: Micros::from(age) * REPORT_AGE_STEP,
        };
        Some(RequesterState {
            uptime_s,
            reported_fill: (age < NO_DURATION).then_some(fill),
        })
    }

    fn lease_demand(&mut self) -> Option<LeaseDemand> {
        let demanded_rate = self.lease_rate()?;
        let rate = self.lease_rate()?;
        let capacity = self.lease_units()?;
        let remaining = self.byte()?;
        let current = LeaseReport {
            rate,
            capacity,
            remaining: Micros::from(remaining) * REPORT_AGE_STEP,
        };
        Some(LeaseDemand {
            rate: demanded_rate,
            current: (remaining < NO_DURATION).then_some(current),
        })
    }

    fn legacy_grant_response(&mut self) -> Option<PeerMessage> {
        let serial = self.u16()?;
        let decision = *DECISIONS[..2].get(usize::from(self.byte()?))?;
        let sampling_probability = self.share()?;
        let granted = decision == GrantDecision::Granted;
        let response = GrantResponse {
            decision,
            sampling_probability,
            retry_after: 0,
            fill_ratio: if granted { 1.0 } else { 0.0 },
        };
        Some(PeerMessage::LegacyGrantResponse {
            serial,
            response,
            payload: self.payload()?,
        })
    }

    fn grant_response(&mut self, with_lease: bool) -> Option<PeerMessage> {
        let serial = self.u16()?;
        let response = GrantResponse {
            decision: *DECISIONS.get(usize::from(self.byte()?))?,
            sampling_probability: self.share()?,
            retry_after: Micros::from(self.byte()?) * RETRY_AFTER_STEP,
            fill_ratio: self.share()?,
        };
        let lease = if with_lease {
            self.lease_offer()?
        } else {
            LeaseOffer::NotAsked
        };
        Some(PeerMessage::GrantResponse {
            serial,
            response,
            lease,
            payload: self.payload_if_any()?,
        })
    }

    fn lease_offer(&mut self) -> Option<LeaseOffer> {
        let lease = Lease {
            rate: self.lease_rate()?,
            capacity: self.lease_units()?,
            initial_tokens: self.lease_units()?,
        };
        Some(if lease.rate > 0.0 {
            LeaseOffer::Issued(lease)
        } else {
            LeaseOffer::Denied
        })
    }

    /// Reads the gossip payload. The inner `None` means that there is none, the outer that it is truncated.
    #[allow(clippy::option_option)]
    fn payload_if_any(&mut self) -> Option<Option<GossipPayload>> {
        if self.is_at_end() {
            return Some(None);
        }
        self.payload().map(Some)
    }

    fn payload(&mut self) -> Option<GossipPayload> {
        let service_rate = self.fixed_point()?;
        let in_flight = self.average()?;
        let classes = usize::from(self.byte()?).min(MAX_CLASSES);
        let mut normalized_latencies = Vec::new();
        for _ in 0..classes {
            normalized_latencies.push(self.average()?);
        }
        let mut observations = Vec::new();
        while !self.is_at_end() {
            observations.push(self.observation()?);
        }
        Some(GossipPayload {
            service_rate,
            normalized_latencies,
            in_flight,
            observations,
        })
    }

    fn observation(&mut self) -> Option<Observation> {
        let short_server_id = self.u16()?;
        let class_and_fault_rate = self.byte()?;
        let fault_steps = class_and_fault_rate % (FAULT_RATE_STEPS + 1);
        let class = class_and_fault_rate / (FAULT_RATE_STEPS + 1);
        let fault_rate = f64::from(fault_steps) / f64::from(FAULT_RATE_STEPS);
        Some(Observation {
            short_server_id,
            class: ClassId(usize::from(class)),
            fault_rate,
            fleet_faults: GossipAverage::decoded(fault_rate, self.byte()?),
            wait_per_attempt: f64::from(self.byte()?) * WAIT_STEP,
            age: Micros::from(self.byte()?) * AGE_STEP,
        })
    }
}
