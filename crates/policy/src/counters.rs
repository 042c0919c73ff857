//! Counters of the engine's decisions since its start. Summed over a fleet they show what happens to requests and
//! attempts; no rule depends on them. The exported names are older than the terms of this crate, and are kept for
//! operators.

use crate::interface::Outcome;

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $variant:ident => $name:literal,)+) => {
        /// A counted event at this node.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $($(#[doc = $doc])+ $variant,)+
        }

        /// Exported names of the counters, in the order of the enum.
        const NAMES: &[&str] = &[$($name,)+];
    };
}

counters! {
    /// A request of a customer whose previous request at this node was less than a second ago.
    SeenWithinOneSecond => "seen_within_1s",
    /// A request of a customer whose previous request at this node was 1 s to 10 s ago.
    SeenWithinTenSeconds => "seen_within_10s",
    /// A request of a customer whose previous request at this node was at least 10 s ago, or of a new customer.
    NotSeenRecently => "seen_anew",
    /// A rejection because the customer's bucket or shards have no tokens, an owner denied the request for any reason,
    /// its deadline was too near, or a limit had been reached when its body was complete.
    RejectedOverQuota => "refused_short",
    /// A rejection without a grant request, because an owner has responded that nothing can be granted yet, or because
    /// too many grant requests of the customer are open.
    RejectedByCachedDecision => "refused_held",
    /// A rejection without a grant request, because the customer is far over its quota and only a sample of its
    /// requests is sent to an owner.
    RejectedBySampling => "refused_thinned",
    /// A rejection without a grant request, because the back end is overloaded and the request has a low priority.
    RejectedByLoadShedding => "refused_shed",
    /// A rejection because no owner responded and the request is not allowed without one.
    RejectedNoOwner => "refused_homeless",
    /// An admission without an owner, because none can be reached.
    AdmittedWithoutOwner => "alone",
    /// An admission by a lease.
    AdmittedByLease => "went_by_loan",
    /// As an owner: a lease issued.
    LeasesIssued => "loans",
    /// A rejection because the request was not sent within half of its time, or its latency objective could not be met.
    RejectedNotSent => "refused_unsent",
    /// A rejection or failure after at least one attempt, because the deadline was reached or no retry is allowed.
    EndedAfterAttempts => "refused_spent",
    /// A grant request sent to an owner.
    GrantRequests => "asked",
    /// A grant request without a response in time.
    GrantRequestTimeouts => "unanswered",
    /// A grant request that was abandoned with retransmissions left, because its time was over or the message budget
    /// was exhausted.
    GrantRequestsGivenUp => "given_up_early",
    /// A grant response without an open grant request: it was late or a duplicate, or the request had ended.
    GrantResponsesLate => "answered_late",
    /// A grant received from an owner.
    GrantsReceived => "granted",
    /// A grant that expired before its request was sent.
    GrantsExpired => "grants_expired",
    /// As an owner: a grant request received.
    GrantRequestsReceived => "homed",
    /// As an owner: a grant request denied because the shard has no tokens.
    GrantsDeniedOverQuota => "home_short",
    /// As an owner: a grant request denied because too many attempts are in flight.
    GrantsDeniedInFlight => "home_full",
    /// As an owner: a grant request denied because the hard limit is nearly reached.
    GrantsDeniedHardLimit => "home_over_ceiling",
    /// A first attempt sent.
    FirstAttempts => "first_attempts",
    /// A retry sent.
    Retries => "further_attempts",
    /// An attempt sent to an ejected server as a health probe.
    HealthProbes => "trials",
    /// An attempt sent to a server in slow start.
    SlowStartAttempts => "cold_sends",
    /// A slow-start permit received from another node.
    PermitsReceived => "rights_given_to",
    /// A slow-start permit transferred to another node.
    PermitsTransferred => "rights_given_away",
    /// An immediate rejection because servers in slow start cannot take the request in time.
    RejectedBySlowStart => "refused_too_cold",
    /// An attempt that succeeded.
    AttemptsSucceeded => "attempts_good",
    /// An attempt that ended with an error of the server, a lost connection, a time-out or a stall.
    AttemptsFaulted => "attempts_bad",
    /// An attempt that the server rejected.
    AttemptsRejected => "attempts_full",
    /// An attempt that failed to connect.
    AttemptsUnreachable => "attempts_unreachable",
    /// An ejection of a server for a class.
    Ejections => "ejections",
    /// An observation of a peer that was newer than the latest one known here.
    ObservationsReceived => "rumours_heard",
    /// A dispatch with queued requests that found no server with capacity.
    NoCapacity => "no_room",
}

/// Number of counters.
const COUNT: usize = NAMES.len();

/// All counters, from 0 at the engine's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counters([u64; COUNT]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; COUNT])
    }
}

impl Counters {
    /// Increments a counter by one.
    pub(crate) fn add(&mut self, counter: Counter) {
        self.0[counter as usize] += 1;
    }

    /// Counts the end of an attempt. An attempt that was cancelled or never sent is not counted, as it shows nothing
    /// about the server, unless it was cancelled because the server stalled.
    pub(crate) fn attempt_ended(&mut self, outcome: Outcome, stalled: bool) {
        match outcome {
            _ if stalled => self.add(Counter::AttemptsFaulted),
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Ok => self.add(Counter::AttemptsSucceeded),
            Outcome::Rejected => self.add(Counter::AttemptsRejected),
            Outcome::Unreachable => self.add(Counter::AttemptsUnreachable),
            _ => self.add(Counter::AttemptsFaulted),
        }
    }

    /// Current value of one counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize]
    }

    /// Exported names and current values of all counters.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        NAMES.iter().copied().zip(self.0)
    }
}
