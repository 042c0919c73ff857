//! When a request may be dispatched again, and when it may be rejected with a promise of no effect.
//!
//! The rule, in one sentence: once an attempt may have run, the request is dispatched again only where a second
//! execution has no effect. The policy engine asks this module when it chooses a server, and the exchange asks it again right
//! before the first byte. Other modules only draw conclusions from the class's [`Idempotency`]: a request that must never
//! run twice is given up at once (`attempt_results`), is not cancelled for a retry (`stalled_attempts`), and only an
//! idempotent one is risked as a health probe (`server_selection`).
//!
//! Inputs: what a second execution of the request's class would do ([`Idempotency`]), and where and when its first
//! attempt that may have run was dispatched ([`DispatchedAttempt`]). An attempt that certainly did not run (rejected,
//! unreachable, not sent) is not one. The deduplication window runs from the dispatch, in µs; it comes from the
//! settings of the class.

use crate::interface::{DeduplicationDomainId, DeduplicationScope, Idempotency, Micros, ZoneId};

/// Where a server is, as far as deduplication goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerLocation {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its deduplication domain.
    pub domain: DeduplicationDomainId,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchedAttempt {
    /// Where it went.
    pub location: ServerLocation,
    /// When it was dispatched, µs: the deduplication window begins then. The policy counts from its decision, the exchange
    /// from the first byte, which is later; the stricter of the two governs.
    pub at: Micros,
}

/// Whether a request may be dispatched to a server now, given its first attempt that may have run, if any.
pub fn retry_allowed(
    idempotency: Idempotency,
    dispatched: Option<DispatchedAttempt>,
    target: ServerLocation,
    now: Micros,
) -> bool {
    let Some(first) = dispatched else {
        return true;
    };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let deduplicated = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => target.zone == first.location.zone,
                DeduplicationScope::Domain => target.domain == first.location.domain,
            };
            deduplicated && now <= first.at.saturating_add(window)
        }
    }
}

/// Whether a request may be rejected, which promises its client that trying again is harmless.
pub fn rejection_allowed(idempotency: Idempotency, dispatched: Option<DispatchedAttempt>) -> bool {
    if dispatched.is_none() {
        return true;
    }
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, .. } => scope == DeduplicationScope::All,
    }
}
