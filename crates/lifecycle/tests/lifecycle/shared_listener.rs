//! A listener that outlives the process: who serves what arrives while the process stops.

use crate::support::*;
use saffronpaddle_lifecycle::*;

/// A process that begins to close at 10 s and has to have answered all requests by 13 s.
const LISTENER: SharedListener = SharedListener {
    closing_since: ms(10_000),
    answer_by: ms(13_000),
};

/// Guards against connections that wait for the next process while a long request keeps this one from exiting.
#[test]
fn a_process_that_is_held_by_an_old_connection_accepts_new_ones_until_shortly_before_its_deadline()
{
    let oldest_since = ms(4_000);
    let until = Acceptance::AcceptUntil(ms(12_700));
    assert_eq!(LISTENER.acceptance(ms(10_100), oldest_since), until);
    assert_eq!(LISTENER.acceptance(ms(12_699), oldest_since), until);
    assert_eq!(
        LISTENER.acceptance(ms(12_700), oldest_since),
        Acceptance::Stop
    );
}

/// Guards against a process that never exits because new connections keep arriving.
#[test]
fn a_process_whose_connections_are_young_leaves_new_ones_to_the_next_process() {
    assert_eq!(
        LISTENER.acceptance(ms(10_000), ms(4_000)),
        Acceptance::PauseUntil(ms(10_100)),
        "the open connections may be about to end"
    );
    assert_eq!(
        LISTENER.acceptance(ms(11_000), ms(10_990)),
        Acceptance::PauseUntil(ms(11_090))
    );
}

/// Guards against connections that nobody accepts as the successor has failed after the signal to stop.
#[test]
fn a_closing_process_whose_successor_has_gone_accepts_again() {
    let mut node = TestNode::ready();
    node.send(Event::SuccessorPresent(true));
    let out = node.stop();
    assert!(contains(&out, &Action::PauseAccepting));
    node.advance(600);
    assert_eq!(node.lifecycle.state(), State::Closing);
    let out = node.send(Event::SuccessorPresent(false));
    assert!(contains(&out, &Action::ResumeAccepting), "{out:?}");
    let out = node.send(Event::SuccessorPresent(true));
    assert!(contains(&out, &Action::PauseAccepting), "{out:?}");
}
