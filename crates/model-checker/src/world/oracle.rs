//! The rule of retries and rejections, as the checker judges it.
//!
//! It repeats the rule of `saffronpaddle_policy::idempotency` on purpose: a judge that asked the code under test would
//! find no fault in it.

use super::client::Dispatched;
use super::setup::Setup;
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency, Micros};

/// Whether a request may be dispatched to a server though an attempt may have run.
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

/// Whether a request may be rejected though an attempt may have run.
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
