//! Stalled attempts: detects servers that accept requests without responding, and broken network links.
//!
//! Rule: a server is ejected once one of its attempts is far older than the mean latency and the server has sent no
//! response since that attempt started. The attempt is cancelled if its request may be retried.
//!
//! Inputs: for each attempt its age in µs, the mean latency, the class's latency objective, and the time of its
//! server's last response. A rare expensive request may be the only one at its server, which then sends no other
//! response that would show that it works; the time limit of such an attempt is [`ONLY_ATTEMPT_FACTOR`] times as long.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, ClassId, Diagnostic, Idempotency, Micros, ServerId};
use crate::request::{Attempt, AttemptKey, AttemptStage};
use crate::server::Server;

/// Age, as a multiple of the mean latency, below which an attempt never counts as stalled.
const LATENCY_MULTIPLE: f64 = 4.0;
/// Age, as a multiple of its class's latency objective, below which an attempt never counts as stalled.
const OBJECTIVE_MULTIPLE: f64 = 0.5;
/// Lower bound on the capacity fraction by which the time limit of a server in slow start is divided.
const MIN_CAPACITY_FRACTION: f64 = 0.25;
/// Factor on the time limit of the only attempt at a server.
const ONLY_ATTEMPT_FACTOR: f64 = 1.5;

struct StalledAttempt {
    key: AttemptKey,
    server: ServerId,
    class: ClassId,
    sent_at: Micros,
}

impl PolicyEngine {
    /// Ejects the servers of stalled attempts, and cancels those attempts whose requests may be retried.
    pub(crate) fn handle_stalled_attempts(&mut self, now: Micros, actions: &mut Actions) {
        for stalled in self.stalled_attempts(now) {
            let probe_at = now.saturating_add(self.probe_interval());
            if self.endpoints.get(stalled.server).is_none() {
                continue;
            }
            self.eject_silent_server(now, &stalled, probe_at, actions);
            self.cancel_for_retry(stalled.key, actions);
        }
    }

    fn stalled_attempts(&self, now: Micros) -> Vec<StalledAttempt> {
        let is_stalled = |attempt: &Attempt| {
            let server = self.endpoints.get(attempt.server);
            server.is_some_and(|server| self.is_stalled(now, attempt, server))
        };
        self.requests
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == AttemptStage::AtServer && is_stalled(attempt))
            .map(|(key, attempt)| StalledAttempt {
                key: key.clone(),
                server: attempt.server,
                class: attempt.class,
                sent_at: attempt.sent_at,
            })
            .collect()
    }

    fn is_stalled(&self, now: Micros, attempt: &Attempt, server: &Server) -> bool {
        let class = &self.settings.classes[attempt.class.0];
        let objective_limit = class.latency_objective as f64 * OBJECTIVE_MULTIPLE;
        let limit = objective_limit.max(self.load.mean_latency * LATENCY_MULTIPLE);
        // A server in slow start is slower by its capacity fraction, and must not be ejected for that.
        let rules = &self.settings.slow_start;
        let fraction = server.capacity_fraction(rules, attempt.sent_at);
        let limit = limit / fraction.max(MIN_CAPACITY_FRACTION);
        let only_attempt_factor = if server.in_flight < 2 {
            ONLY_ATTEMPT_FACTOR
        } else {
            1.0
        };
        let responded_since = server.last_response_for_class(attempt.class.0) >= attempt.sent_at;
        let age = attempt.time_at_server(self.seen_until(now)) as f64;
        !responded_since && age > limit * only_attempt_factor
    }

    /// Ejects a server for the class of a stalled attempt, or for all classes if it has sent no response at all since
    /// that attempt started.
    fn eject_silent_server(
        &mut self,
        now: Micros,
        stalled: &StalledAttempt,
        probe_at: Micros,
        actions: &mut Actions,
    ) {
        let Some(mut server) = self.endpoints.edit(stalled.server) else {
            return;
        };
        let class = stalled.class.0;
        if server.statistics[class].is_ejected() {
            return;
        }
        self.counters.add(Counter::Ejections);
        // Not in a large fleet, where hundreds of nodes would log the same server.
        if !self.large_fleet {
            actions.push(Action::Report(Diagnostic::ServerSilent {
                server: stalled.server,
            }));
        }
        let silent_for_all_classes = server.last_response_at < stalled.sent_at;
        server.statistics[class].observed_at = now;
        for (other, statistics) in server.statistics.iter_mut().enumerate() {
            if other == class || silent_for_all_classes {
                statistics.fault_rate = 1.0;
                statistics.next_probe_at = Some(probe_at);
            }
        }
    }

    /// Cancels an attempt if its request may be retried.
    fn cancel_for_retry(&mut self, (id, attempt): AttemptKey, actions: &mut Actions) {
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[request.class.0];
        let permissions = &self.settings.permissions;
        let retryable = class.idempotency != Idempotency::NonIdempotent && !request.body_streamed;
        let has_attempts = request.attempts < permissions.max_attempts;
        let may_cancel = permissions.cancellation && !request.cancelled;
        if retryable && has_attempts && may_cancel && self.retries.allows() {
            request.cancelled = true;
            actions.push(Action::Cancel { id, attempt });
        }
    }
}
