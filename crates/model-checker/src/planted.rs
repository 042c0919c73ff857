//! The planted faults that the checker has to detect, and the world in which each is searched for.

use crate::search::{search, Limits, SearchResult};
use crate::setups;
use crate::world::{AnyPolicy, Setup};
use saffronpaddle_exchange::Bug;

/// Returns the name of the world in which a fault is detected.
pub fn world_name(bug: Bug) -> &'static str {
    match bug {
        Bug::AnswerAfterCancel
        | Bug::CancelWithoutClose
        | Bug::EndToldTwice
        | Bug::EndNeverTold => "one-keyed",
        Bug::GroupForgotten | Bug::SlotLost | Bug::TwoAttemptsOut => "one-keyed",
        Bug::RefusalAfterRun | Bug::UnsafeResent => "one-unsafe",
        Bug::DrainCheckedBeforeConnectOnly | Bug::AddressNotCompared => "list",
        Bug::WindowFromLastSend | Bug::WindowCheckedAtChoiceOnly => "window",
        Bug::ReuseWithBytesWaiting | Bug::NoSettling | Bug::DoubleRelease => "copies",
        Bug::TicketIgnored => "one-id",
        Bug::IdleNotCounted | Bug::ResendAfterFirstByte => "one-wire",
        Bug::KeptAfterStop => "stop",
        Bug::EndForgotten => "ending",
        Bug::DeadlineRacedByReply | Bug::AlarmForgotten => "late",
        Bug::GoneBodySentAgain | Bug::EarlyAnswerKept | Bug::RunsBeforeWhole => "coming",
        Bug::PassingCalledOff | Bug::ShortResponseUnbounded => "passing",
    }
}

/// Searches for a planted fault. Returns `None` if no small world has the name that [`world_name`] gives.
pub fn find_bug(bug: Bug, threads: usize) -> Option<(Setup, SearchResult)> {
    let setup = setups::small()
        .into_iter()
        .find(|setup| setup.name == world_name(bug))?;
    let result = search(&setup, AnyPolicy, Some(bug), Limits::default(), threads);
    Some((setup, result))
}
