//! Test oracle for the rules of retries and rejections.
//!
//! It deliberately reimplements the rules of `saffronpaddle_policy::idempotency`: an oracle that called the code under
//! test could not detect faults in it.

use super::client::Dispatched;
use super::setup::Setup;
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency, Micros};

/// Returns whether a request may be dispatched to a server although an attempt may have run.
pub(super) fn retry_is_harmless(
    setup: &Setup,
    request: u8,
    first: Dispatched,
    server: u8,
    now: Micros,
) -> bool {
    let before = setup.servers[usize::from(first.server)];
    let target = setup.servers[usize::from(server)];
    match setup.idempotency(request) {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let deduplicated = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => before.zone == target.zone,
                DeduplicationScope::Domain => before.domain == target.domain,
            };
            deduplicated && now <= first.at + window
        }
    }
}

/// Returns whether a request may be rejected although an attempt may have run.
pub(super) fn rejection_is_harmless(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent
            | Idempotency::WithKey {
                scope: DeduplicationScope::All,
                ..
            }
    )
}
