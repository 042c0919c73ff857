//! Counts of what the engine has done since its start. Added up over a fleet they tell where requests and attempts go;
//! no rule depends on them. Their names among the figures are older than the terms of this crate, and stay as staff know
//! them.

use crate::interface::Outcome;

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $variant:ident => $name:literal,)+) => {
        /// What is counted, each an event at this node.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $($(#[doc = $doc])+ $variant,)+
        }

        /// Names of the counters among the figures, in the order of the enum.
        const NAMES: &[&str] = &[$($name,)+];
    };
}

counters! {
    /// A request whose customer was last seen here less than a second ago.
    SeenWithinOneSecond => "seen_within_1s",
    /// A request whose customer was last seen here less than ten seconds ago.
    SeenWithinTenSeconds => "seen_within_10s",
    /// A request whose customer was last seen here longer ago, or never.
    SeenForTheFirstTime => "seen_anew",
    /// Rejected: the customer's bucket or shards have no tokens, an owner denied the request for any reason, its deadline was
    /// too near, or a limit was full when its body was complete.
    RejectedOverQuota => "refused_short",
    /// Rejected without a grant request: an owner has said that none can be granted yet.
    RejectedByCachedDecision => "refused_held",
    /// Rejected without a grant request: the customer asks for far too much, and a sample of its requests asks.
    RejectedBySampling => "refused_thinned",
    /// Rejected without a grant request: the back end is overloaded and the request has a low priority.
    RejectedByLoadShedding => "refused_shed",
    /// Rejected: no owner answered, and nothing allows the request without one.
    RejectedNoOwner => "refused_homeless",
    /// Admitted without an owner, as none can be reached.
    AdmittedWithoutOwner => "alone",
    /// Admitted by a lease.
    AdmittedByLease => "went_by_loan",
    /// As an owner, issued a lease.
    LeasesIssued => "loans",
    /// Rejected: not sent by half of its time, or its objective was out of reach.
    RejectedNotSent => "refused_unsent",
    /// Rejected or failed at its deadline, or as it may not be sent again.
    EndedAfterAttempts => "refused_spent",
    /// A grant request to an owner.
    GrantRequests => "asked",
    /// A grant request that was not answered in time.
    GrantRequestTimeouts => "unanswered",
    /// A grant request that was given up with retransmissions left: its time was over, or there was no message budget.
    GrantRequestsGivenUp => "given_up_early",
    /// A grant response whose request is no longer open: it came too late, twice, or after the request had ended.
    GrantResponsesLate => "answered_late",
    /// An owner granted a request.
    GrantsReceived => "granted",
    /// A grant expired before its request was sent.
    GrantsExpired => "grants_expired",
    /// As an owner, received a grant request.
    GrantRequestsReceived => "homed",
    /// As an owner, denied one: the shard has no tokens.
    GrantsDeniedOverQuota => "home_short",
    /// As an owner, denied one: too many attempts are in flight.
    GrantsDeniedInFlight => "home_full",
    /// As an owner, denied one: the hard limit is near.
    GrantsDeniedHardLimit => "home_over_ceiling",
    /// A first attempt.
    FirstAttempts => "first_attempts",
    /// A retry.
    Retries => "further_attempts",
    /// An attempt at an ejected server, as a health probe.
    HealthProbes => "trials",
    /// An attempt at a server in slow start.
    SlowStartAttempts => "cold_sends",
    /// A slow-start permit that another node transferred here.
    PermitsReceived => "rights_given_to",
    /// A slow-start permit that was transferred to another node.
    PermitsTransferred => "rights_given_away",
    /// Rejected at once: servers in slow start cannot take it in time.
    RejectedBySlowStart => "refused_too_cold",
    /// An attempt that succeeded.
    AttemptsSucceeded => "attempts_good",
    /// An attempt whose server gave an error, lost the connection or was silent.
    AttemptsFaulted => "attempts_bad",
    /// An attempt that the server rejected.
    AttemptsRejected => "attempts_full",
    /// An attempt that could not connect.
    AttemptsUnreachable => "attempts_unreachable",
    /// A server was ejected for a class.
    Ejections => "ejections",
    /// An observation from a peer that was newer than what was known.
    ObservationsReceived => "rumours_heard",
    /// A dispatch that found no server with capacity while requests were queued.
    NoCapacity => "no_room",
}

/// How many counters there are.
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
    /// Adds one.
    pub(crate) fn add(&mut self, counter: Counter) {
        self.0[counter as usize] += 1;
    }

    /// Counts the end of an attempt. One that was cancelled or never sent says nothing of a server, unless it was
    /// cancelled because the server stalled.
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

    /// The value of one counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize]
    }

    /// All counters by name.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        NAMES.iter().copied().zip(self.0)
    }
}
