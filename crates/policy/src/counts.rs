//! What the module has done since its start, counted: the figures that tell, added up over a fleet, where tries and
//! attempts go. Nothing hangs on them.

use crate::interface::Outcome;

/// What is counted, each an event here at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Of {
    /// A try whose customer was last seen here under a second ago, under ten, or longer ago or never: whether units drawn ahead
    /// would be used.
    Soon,
    /// See there.
    Later,
    /// See there.
    Anew,
    /// A try refused: its customer's share or its homes have no room.
    Short,
    /// Refused unasked: its homes have said that nothing can be had yet.
    Held,
    /// Refused unasked: its customer asks far too much.
    Thinned,
    /// Refused unasked: the back end is pressed, and it is worth little.
    Shed,
    /// Refused: no home answered, and the own store has no room.
    Homeless,
    /// Let go unasked, as no home is heard.
    Alone,
    /// Let go unasked, by what a home has lent.
    Lent,
    /// As a home, lent something.
    Lends,
    /// Refused: by half of its time it was not sent, or its aim was out of reach.
    Unsent,
    /// Refused or failed at the end of its time, or as it may not be sent again.
    Spent,
    /// A home was asked.
    Asked,
    /// A home did not answer in time.
    Unanswered,
    /// An ask was given up that might have been put again: its time was over, or there were no words for it.
    Unsaid,
    /// An answer came after that.
    AnsweredLate,
    /// A home let a try go.
    Granted,
    /// A grant ran out before its try was sent.
    Expired,
    /// This gateway was asked as a home.
    Homed,
    /// As a home, said no: its part of the quota is short.
    HomeShort,
    /// The same: too many attempts are out.
    HomeFull,
    /// The same: the ceiling is near.
    HomeOver,
    /// A first attempt.
    First,
    /// A further attempt.
    Again,
    /// An attempt at a server that is out.
    Trial,
    /// An attempt at a cold server.
    Cold,
    /// A right to send to a cold server that came from another gateway, and one that was given away.
    Gifted,
    /// See there.
    Gave,
    /// Refused at once: cold servers can't take it in time.
    TooCold,
    /// An attempt that ended well.
    Good,
    /// An attempt whose server gave an error, broke off or was silent.
    Bad,
    /// An attempt that was turned away unrun.
    Full,
    /// An attempt that could not connect.
    Unreachable,
    /// A server was put on trial for a class.
    Ejected,
    /// A rumour that told of later than what was known.
    Heard,
    /// A dispatch that found no server with room, with requests waiting.
    NoRoom,
}

/// How many counters there are.
const ALL: usize = Of::NoRoom as usize + 1;
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
pub struct Counts([u64; ALL]);

impl Default for Counts {
    fn default() -> Counts {
        Counts([0; ALL])
    }
}

impl Counts {
    /// One more.
    pub(crate) fn add(&mut self, of: Of) {
        self.0[of as usize] += 1;
    }

    /// An attempt has ended so. One that was called off, or never sent, tells of no server.
    pub(crate) fn ended(&mut self, outcome: Outcome, stalled: bool) {
        match outcome {
            _ if stalled => self.add(Of::Bad),
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Ok => self.add(Of::Good),
            Outcome::Full => self.add(Of::Full),
            Outcome::Unreachable => self.add(Of::Unreachable),
            _ => self.add(Of::Bad),
        }
    }

    /// How many so far.
    pub fn of(&self, of: Of) -> u64 {
        self.0[of as usize]
    }

    /// All of them by name.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        NAMES.iter().copied().zip(self.0)
    }
}
