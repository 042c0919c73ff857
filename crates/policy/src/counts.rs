//! What the module has done since its start, counted: the figures that tell, added up over a fleet, where tries and
//! attempts go. Nothing hangs on them.

use crate::interface::Outcome;

/// What is counted, each an event here at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// A try whose customer was last seen here under a second ago, under ten, or longer ago or never: whether units drawn ahead
    /// would be used.
    SeenWithinOneSecond,
    /// See there.
    SeenWithinTenSeconds,
    /// See there.
    SeenForTheFirstTime,
    /// A try refused: its customer's share or its homes have no room.
    RejectedOverQuota,
    /// Refused unasked: its homes have said that nothing can be had yet.
    RejectedByCachedDecision,
    /// Refused unasked: its customer asks far too much.
    RejectedBySampling,
    /// Refused unasked: the back end is pressed, and it is worth little.
    RejectedByLoadShedding,
    /// Refused: no home answered, and the own store has no room.
    RejectedNoOwner,
    /// Let go unasked, as no home is heard.
    AdmittedWithoutOwner,
    /// Let go unasked, by what a home has lent.
    AdmittedByLease,
    /// As a home, lent something.
    LeasesIssued,
    /// Refused: by half of its time it was not sent, or its aim was out of reach.
    RejectedNotSent,
    /// Refused or failed at the end of its time, or as it may not be sent again.
    EndedAfterAttempts,
    /// A home was asked.
    GrantRequests,
    /// A home did not answer in time.
    GrantRequestTimeouts,
    /// An ask was given up that might have been put again: its time was over, or there were no words for it.
    GrantRequestsGivenUp,
    /// An answer came after that.
    GrantResponsesLate,
    /// A home let a try go.
    GrantsReceived,
    /// A grant ran out before its try was sent.
    GrantsExpired,
    /// This gateway was asked as a home.
    GrantRequestsReceived,
    /// As a home, said no: its part of the quota is short.
    GrantsDeniedOverQuota,
    /// The same: too many attempts are out.
    GrantsDeniedInFlight,
    /// The same: the ceiling is near.
    GrantsDeniedHardLimit,
    /// A first attempt.
    FirstAttempts,
    /// A further attempt.
    Retries,
    /// An attempt at a server that is out.
    HealthProbes,
    /// An attempt at a cold server.
    SlowStartAttempts,
    /// A right to send to a cold server that came from another gateway, and one that was given away.
    PermitsReceived,
    /// See there.
    PermitsTransferred,
    /// Refused at once: cold servers can't take it in time.
    RejectedBySlowStart,
    /// An attempt that ended well.
    AttemptsSucceeded,
    /// An attempt whose server gave an error, broke off or was silent.
    AttemptsFaulted,
    /// An attempt that was turned away unrun.
    AttemptsRejected,
    /// An attempt that could not connect.
    AttemptsUnreachable,
    /// A server was put on trial for a class.
    Ejections,
    /// A rumour that told of later than what was known.
    ObservationsReceived,
    /// A dispatch that found no server with room, with requests waiting.
    NoCapacity,
}

/// How many counters there are.
const ALL: usize = Counter::NoCapacity as usize + 1;
/// Their names, in the same order.
const NAMES: [&str; ALL] = [
    "seen_within_1s",
    "seen_within_10s",
    "seen_anew",
    "refused_short",
    "refused_held",
    "refused_thinned",
    "refused_shed",
    "refused_homeless",
    "alone",
    "went_by_loan",
    "loans",
    "refused_unsent",
    "refused_spent",
    "asked",
    "unanswered",
    "given_up_early",
    "answered_late",
    "granted",
    "grants_expired",
    "homed",
    "home_short",
    "home_full",
    "home_over_ceiling",
    "first_attempts",
    "further_attempts",
    "trials",
    "cold_sends",
    "rights_given_to",
    "rights_given_away",
    "refused_too_cold",
    "attempts_good",
    "attempts_bad",
    "attempts_full",
    "attempts_unreachable",
    "ejections",
    "rumours_heard",
    "no_room",
];

/// The counts, all from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counters([u64; ALL]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; ALL])
    }
}

impl Counters {
    /// One more.
    pub(crate) fn add(&mut self, of: Counter) {
        self.0[of as usize] += 1;
    }

    /// An attempt has ended so. One that was called off, or never sent, tells of no server.
    pub(crate) fn ended(&mut self, outcome: Outcome, stalled: bool) {
        match outcome {
            _ if stalled => self.add(Counter::AttemptsFaulted),
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Ok => self.add(Counter::AttemptsSucceeded),
            Outcome::Rejected => self.add(Counter::AttemptsRejected),
            Outcome::Unreachable => self.add(Counter::AttemptsUnreachable),
            _ => self.add(Counter::AttemptsFaulted),
        }
    }

    /// How many so far.
    pub fn get(&self, of: Counter) -> u64 {
        self.0[of as usize]
    }

    /// All of them by name.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        NAMES.iter().copied().zip(self.0)
    }
}
