//! Idempotency: decides whether a request may be dispatched again, and whether it may be rejected, which signals to
//! the client that repeating it is safe.
//!
//! Rule: once an attempt may have been executed, the request is dispatched again only if a second execution has no
//! effect. The policy engine calls this module when it chooses a server, and the exchange calls it again right before
//! it writes the first byte. Other modules only apply the class's [`Idempotency`]: a request that must never be
//! executed twice is ended at once (`attempt_results`) and is not cancelled for a retry (`stalled_attempts`), and only
//! idempotent requests are used as health probes (`server_selection`).
//!
//! Inputs: the effect of a second execution of a request of the class ([`Idempotency`]), and the location and time of
//! the first dispatched attempt that may have been executed ([`DispatchedAttempt`]). Attempts that were certainly not
//! executed (rejected, unreachable, not sent) do not count. The deduplication window, in µs, starts at the dispatch;
//! its length is a setting of the class.

use crate::interface::{DeduplicationDomainId, DeduplicationScope, Idempotency, Micros, ZoneId};

/// Location of a server for deduplication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerLocation {
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Deduplication domain: the servers that recognize each other's idempotency keys.
    pub domain: DeduplicationDomainId,
}

/// The first attempt of a request that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchedAttempt {
    /// Location of the server that it was dispatched to.
    pub location: ServerLocation,
    /// Time of the dispatch, µs, at which the deduplication window starts. The policy uses the time of its decision and
    /// the exchange the time of the first byte, which is later; the stricter check of the two applies.
    pub at: Micros,
}

/// Returns whether a request may be dispatched to a server at `target` now. `dispatched` is the first attempt that may
/// have been executed, `None` if there is none.
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

/// Returns whether a request may be rejected, which signals to the client that repeating the request is safe.
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
