//! Shutdown: how long requests are accepted and completed, and when the process exits.

use crate::support::*;
use saffronpaddle_lifecycle::*;

#[test]
fn a_stop_drains_then_closes_then_exits_at_its_limits() {
    let mut node = TestNode::ready();
    let out = node.stop();
    assert!(
        count_messages(&out, &ManagerMessage::Stopping) == 1
            && contains(&out, &Action::CloseAfterResponses),
        "STOPPING is sent once and responses close their connections: {out:?}"
    );
    assert_eq!(
        count_messages(&out, &ManagerMessage::ExtendTimeout(ms(4_600))),
        1
    );
    assert!(!node.lifecycle.ready());
    assert!(!contains(&node.advance(599), &Action::StopAccepting));
    assert!(contains(&node.advance(1), &Action::StopAccepting));
    assert_eq!(node.lifecycle.state(), State::Closing);
    assert!(!contains(&node.advance(2_999), &Action::Exit));
    assert!(
        contains(&node.advance(1), &Action::Exit),
        "a client that never reads does not delay the exit"
    );
}

#[test]
fn a_stop_ends_once_all_connections_have_closed() {
    let mut node = TestNode::ready();
    node.stop();
    node.advance(600);
    assert!(contains(
        &node.send(Event::ConnectionsClosed),
        &Action::Exit
    ));
}

#[test]
fn a_second_sigterm_stops_accepting_but_finishes_work_in_flight() {
    let mut node = TestNode::ready();
    node.stop();
    node.advance(100);
    let out = node.stop();
    assert!(
        contains(&out, &Action::StopAccepting) && !contains(&out, &Action::Exit),
        "the listener closes and the process does not exit: {out:?}"
    );
    let out = node.stop();
    assert!(
        !contains(&out, &Action::Exit),
        "a third signal changes nothing: {out:?}"
    );
    assert!(contains(&node.advance(3_000), &Action::Exit));
}

#[test]
fn sigterm_while_starting_exits() {
    let mut node = TestNode::new();
    let out = node.stop();
    assert!(
        count_messages(&out, &ManagerMessage::Stopping) == 1 && contains(&out, &Action::Exit),
        "no connection was accepted: {out:?}"
    );
    // Once the node listens, it may have accepted a connection.
    let mut node = TestNode::new();
    node.send(Event::Listening);
    let out = node.stop();
    assert!(!contains(&out, &Action::Exit) && node.lifecycle.state() == State::Draining);
    let out = node.observe_for(&healthy(), 500);
    assert_eq!(
        count_messages(&out, &ManagerMessage::Ready),
        0,
        "a stopping node never becomes ready"
    );
}

/// The platform kills a process 0.7 s after its longest deadline, of which it counts at most 3 s. Responses that a
/// process has not sent by then are lost.
#[test]
fn a_process_exits_before_the_platform_kills_it_for_any_longest_deadline() {
    for (longest, killed_after) in [
        (400, 1_100),
        (2_900, 3_600),
        (3_000, 3_700),
        (9_113, 3_700),
        (3_600_000, 3_700),
    ] {
        assert_eq!(kill_after(ms(longest)), ms(killed_after));
        let mut node = TestNode::with_limits(Limits::immediate(ms(longest)));
        node.send(Event::Listening);
        node.now = ms(10_000);
        node.stop();
        let plan = node
            .lifecycle
            .shutdown_plan()
            .expect("a stop was requested");
        let killed = ms(10_000 + killed_after);
        assert!(
            plan.exit_by < killed,
            "longest deadline {longest} ms: {plan:?}"
        );
        assert!(
            plan.answer_by + MAX_SCHEDULING_DELAY < killed,
            "longest deadline {longest} ms: {plan:?}"
        );
        assert!(
            plan.answer_by > ms(10_000 + killed_after - 400),
            "longest deadline {longest} ms: the process uses the available time: {plan:?}"
        );
        while node.lifecycle.state() != State::Gone {
            assert!(node.now < plan.exit_by, "the process exits by exit_by");
            node.now = node.lifecycle.deadline().expect("the state has a timeout");
            node.send(Event::Tick);
        }
    }
}

/// A suspended process reads the signal late, but the platform's kill timeout runs from the time of sending.
#[test]
fn a_stop_signal_that_is_read_late_leaves_less_time_to_stop() {
    let mut node = TestNode::ready();
    node.now = ms(20_000);
    node.send(Event::Stop { since: ms(19_850) });
    let plan = node
        .lifecycle
        .shutdown_plan()
        .expect("a stop was requested");
    assert_eq!(plan.exit_by, ms(19_850 + 3_600));
    // A process that was suspended for longer than the kill timeout still sends its responses.
    let mut node = TestNode::ready();
    node.now = ms(60_000);
    node.send(Event::Stop { since: ms(0) });
    let plan = node
        .lifecycle
        .shutdown_plan()
        .expect("a stop was requested");
    assert!(
        plan.answer_by > node.now && plan.exit_by < node.now + ms(300),
        "the process has some time left, but less than 300 ms: {plan:?}"
    );
}

/// A reload may complete after the signal to stop. Its limits must not move the exit past the platform's kill.
#[test]
fn limits_set_after_the_signal_to_stop_do_not_move_the_exit() {
    let mut node = TestNode::ready();
    node.send(Event::Reload);
    node.stop();
    let plan = node.lifecycle.shutdown_plan();
    node.lifecycle.set_limits(Limits {
        close_timeout: ms(60_000),
        drain_duration: ms(60_000),
        ..limits()
    });
    node.send(Event::Reloaded { applied: true });
    assert!(contains(&node.advance(600), &Action::StopAccepting));
    assert_eq!(node.lifecycle.shutdown_plan(), plan);
    assert!(contains(&node.advance(3_000), &Action::Exit));
}

/// A second signal to stop may only bring the exit forward.
#[test]
fn a_second_sigterm_never_delays_the_exit() {
    let mut node = TestNode::ready();
    node.stop();
    let first = node
        .lifecycle
        .shutdown_plan()
        .expect("a stop was requested");
    node.advance(599);
    node.stop();
    let second = node
        .lifecycle
        .shutdown_plan()
        .expect("a stop was requested");
    assert!(
        second.exit_by <= first.exit_by && second.answer_by <= first.answer_by,
        "the second plan is later: {first:?}, then {second:?}"
    );
}
