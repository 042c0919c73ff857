//! The planted faults that the checker must find, and the world in which it looks for each.

use crate::search::{search, Found, Limits};
use crate::setups;
use crate::world::{AnyPolicy, Setup};
use saffronpaddle_exchange::Bug;

/// The name of the world in which a fault shows.
pub fn world_of(bug: Bug) -> &'static str {
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
        Bug::PassingCalledOff => "passing",
    }
}

/// Looks for a planted fault. None if there is no world of its name.
pub fn hunt(bug: Bug, threads: usize) -> Option<(Setup, Found)> {
    let setup = setups::small()
        .into_iter()
        .find(|setup| setup.name == world_of(bug))?;
    let found = search(&setup, AnyPolicy, Some(bug), Limits::default(), threads);
    Some((setup, found))
}
