use super::*;

const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn request(id: &str, repeats: RepeatSafety) -> SentRequest {
    let key = (repeats == RepeatSafety::Keyed).then(|| "k".to_owned());
    let (id, timeout) = (id.to_owned(), ms(1000));
    SentRequest {
        id,
        key,
        repeat_safety: repeats,
        node: 0,
        customer: 7,
        units: 1.0,
        timeout,
    }
}

fn oracle_with_request(repeats: RepeatSafety) -> Oracle {
    let mut oracle = Oracle::new(Bounds::default());
    oracle.request_sent(ms(0), request("a", repeats));
    oracle
}

fn breaches(oracle: &Oracle) -> Vec<Breach> {
    oracle.verdict().breaches
}

#[test]
fn a_run_that_follows_the_rules_has_no_violation() {
    let mut oracle = oracle_with_request(RepeatSafety::Keyed);
    oracle.attempt_received(ms(10), ms(10), "s", "a", 0.1);
    assert!(oracle.attempt_executed(ms(100), ms(100), 1, "a"));
    oracle.attempt_finished("a");
    oracle.response_received(ms(101), "a", Answer::Served);
    let verdict = oracle.verdict();
    assert!(verdict.breaches.is_empty(), "{verdict:?}");
    assert_eq!(
        (
            verdict.requests,
            verdict.served,
            verdict.attempts,
            verdict.effects
        ),
        (1, 1, 1, 1)
    );
}

#[test]
fn missing_second_and_late_responses_are_violations() {
    assert_eq!(
        breaches(&oracle_with_request(RepeatSafety::Safe)),
        [Breach::NoAnswer("a at node 0".to_owned())]
    );
    let mut oracle = oracle_with_request(RepeatSafety::Safe);
    oracle.response_received(ms(10), "a", Answer::Served);
    oracle.response_received(ms(11), "a", Answer::Failed);
    assert_eq!(breaches(&oracle), [Breach::AnsweredTwice("a".to_owned())]);
    let mut oracle = oracle_with_request(RepeatSafety::Safe);
    oracle.response_received(ms(1051), "a", Answer::Failed);
    assert_eq!(
        breaches(&oracle),
        [Breach::LateAnswer("a: 51 ms".to_owned())]
    );
    for (reason, lost) in [
        (Unanswered::Killed, 0),
        (Unanswered::ClientDisconnected, 0),
        (Unanswered::Lost, 1),
    ] {
        let mut oracle = oracle_with_request(RepeatSafety::Safe);
        oracle.request_unanswered("a", reason);
        assert_eq!(breaches(&oracle).len(), lost, "{reason:?}");
    }
}

#[test]
fn open_requests_are_counted_and_all_requests_are_listed_in_the_order_sent() {
    let mut oracle = Oracle::new(Bounds::default());
    let ids: Vec<String> = (0..100)
        .map(|number| format!("t{}", number * 7 % 100))
        .collect();
    for (node, id) in ids.iter().enumerate() {
        oracle.request_sent(
            ms(5),
            SentRequest {
                node,
                ..request(id, RepeatSafety::Safe)
            },
        );
    }
    oracle.request_sent(
        ms(6),
        SentRequest {
            node: 3,
            ..request(&ids[3], RepeatSafety::Safe)
        },
    );
    assert_eq!(
        oracle.open_requests(),
        100,
        "a request that is sent again counts once"
    );
    let ended: [fn(&mut Oracle, &str); 4] = [
        |oracle, id| oracle.response_received(ms(10), id, Answer::Refused),
        |oracle, id| oracle.request_unanswered(id, Unanswered::Killed),
        |oracle, id| oracle.client_disconnected(ms(10), id),
        |oracle, id| oracle.response_received(ms(10), id, Answer::Served),
    ];
    for (id, end) in ids.iter().zip(ended.iter().cycle()).take(40) {
        end(&mut oracle, id);
        // A second end of the same request does not count.
        oracle.response_received(ms(11), id, Answer::Served);
        oracle.request_unanswered(id, Unanswered::Lost);
    }
    oracle.response_received(ms(12), "unknown", Answer::Served);
    assert_eq!(oracle.open_requests(), 60);
    assert!(oracle.requests().map(|record| record.node).eq(0..100));
}

#[test]
fn overlapping_attempts_and_repeated_effects_are_violations() {
    let mut oracle = oracle_with_request(RepeatSafety::Safe);
    oracle.attempt_received(ms(10), ms(10), "s", "a", 0.1);
    oracle.attempt_received(ms(20), ms(20), "t", "a", 0.1);
    oracle.response_received(ms(30), "a", Answer::Served);
    assert_eq!(breaches(&oracle), [Breach::TwoAttempts("a".to_owned())]);
    // The end of the first attempt is observed with a delay, which may be too long.
    oracle.attempt_canceled(ms(71), "a");
    assert_eq!(breaches(&oracle), [Breach::TwoAttempts("a".to_owned())]);
    oracle.attempt_canceled(ms(70), "a");
    assert!(breaches(&oracle).is_empty());
    // One attempt after the other, to different groups: the second group does not know the key.
    let mut oracle = oracle_with_request(RepeatSafety::Keyed);
    for (group, server) in [(1, "s"), (2, "t")] {
        oracle.attempt_received(ms(10), ms(10), server, "a", 0.1);
        oracle.attempt_executed(ms(20), ms(20), group, "a");
        oracle.attempt_finished("a");
    }
    oracle.response_received(ms(30), "a", Answer::Served);
    assert_eq!(breaches(&oracle), [Breach::TwiceEffect("a".to_owned())]);
    // The same group drops the repeat while it remembers the key.
    for (at, twice) in [(2019, false), (2021, true)] {
        let mut oracle = oracle_with_request(RepeatSafety::Keyed);
        assert!(oracle.attempt_executed(ms(20), ms(20), 1, "a"));
        assert_eq!(
            oracle.attempt_executed(ms(at + 500), ms(at), 1, "a"),
            twice,
            "decided by the time of receipt"
        );
    }
    let mut oracle = oracle_with_request(RepeatSafety::Unsafe);
    oracle.attempt_executed(ms(20), ms(20), 1, "a");
    oracle.response_received(ms(30), "a", Answer::Refused);
    assert_eq!(
        breaches(&oracle),
        [Breach::RefusedAfterEffect("a".to_owned())]
    );
}

#[test]
fn attempts_after_a_drain_count_from_when_their_node_was_informed() {
    for (first, breach) in [(1299, false), (1301, true)] {
        let mut oracle = oracle_with_request(RepeatSafety::Safe);
        oracle.health_delivered(ms(1000), 0, "s", false);
        oracle.health_delivered(ms(1200), 0, "s", false);
        oracle.health_delivered(ms(0), 1, "s", false);
        oracle.attempt_received(ms(first + 50), ms(first), "s", "a", 0.1);
        oracle.response_received(ms(999), "a", Answer::Served);
        let verdict = oracle.verdict();
        assert_eq!(!verdict.breaches.is_empty(), breach, "{verdict:?}");
        assert_eq!(verdict.attempts_after_drain, 1);
    }
    let mut oracle = oracle_with_request(RepeatSafety::Safe);
    oracle.health_delivered(ms(0), 0, "s", false);
    oracle.health_delivered(ms(500), 0, "s", true);
    oracle.attempt_received(ms(700), ms(700), "s", "a", 0.1);
    assert_eq!(
        oracle.verdict().attempts_after_drain,
        0,
        "an attempt to a server that is ready again does not count"
    );
}

/// Guards against an attempt that is judged after its server is ready again although its first byte came before, and
/// against a ready server that counts although the node could not be informed of it.
#[test]
fn an_attempt_counts_by_its_first_byte_and_a_ready_server_only_if_it_was_delivered() {
    for (first, not_delivered, breach) in
        [(499, false, true), (500, false, false), (500, true, true)]
    {
        let mut oracle = oracle_with_request(RepeatSafety::Safe);
        oracle.health_delivered(ms(0), 0, "s", false);
        oracle.health_delivered(ms(500), 0, "s", true);
        if not_delivered {
            oracle.ready_not_delivered(ms(500), 0, "s");
        }
        oracle.attempt_received(ms(700), ms(first), "s", "a", 0.1);
        oracle.response_received(ms(999), "a", Answer::Served);
        let verdict = oracle.verdict();
        assert_eq!(!verdict.breaches.is_empty(), breach, "{verdict:?}");
        // A later drain is another one; a restart forgets the last one only.
        oracle.health_delivered(ms(800), 0, "s", false);
        let drains = if not_delivered { 1 } else { 2 };
        assert_eq!(oracle.verdict().drains, drains);
        oracle.node_restarted(0);
        assert_eq!(oracle.verdict().drains, drains - 1);
    }
}

/// Guards against nodes that are blamed for the overload of a cold server of whose start they could not know, and against
/// an overload by informed nodes that is not counted because others sent to the server, too.
#[test]
fn an_overload_counts_if_informed_nodes_sent_over_two_thirds_of_it() {
    const LISTED_START: u64 = 7;
    // 15 nodes send one attempt each, those that were informed last. Together they overload the server.
    let overloads = |informed_nodes: usize, age: u64, listed_start: u64| {
        let mut oracle = Oracle::new(Bounds::default());
        oracle.server_started_cold(ms(0), "s", 2.0);
        oracle.cold_start_listed("s", LISTED_START, 15);
        for node in 15 - informed_nodes..15 {
            oracle.start_reported(ms(0), node, "s", listed_start);
        }
        for node in 0..15 {
            let mut request = request(&node.to_string(), RepeatSafety::Safe);
            request.node = node;
            oracle.request_sent(ms(age), request);
            oracle.attempt_received(ms(age), ms(age), "s", &node.to_string(), 0.25);
        }
        assert!(oracle.is_overloaded("s"));
        let is_fall = |breach: &Breach| matches!(breach, Breach::Fell(_));
        oracle.verdict().breaches.iter().any(is_fall)
    };
    assert!(!overloads(0, 10, LISTED_START), "no node was informed");
    assert!(overloads(15, 10, LISTED_START), "all nodes were informed");
    assert!(overloads(11, 10, LISTED_START), "11 of 15 were informed");
    assert!(!overloads(5, 10, LISTED_START), "5 of 15 were informed");
    assert!(
        !overloads(15, 10, LISTED_START - 1),
        "they were informed of an earlier process"
    );
    assert!(
        overloads(0, 6_000, LISTED_START),
        "all nodes count as informed after six seconds"
    );
}

/// Guards against a node that is blamed for a drain that was written to it while its link from the list service let
/// nothing through, and against a drain that never counts because of it.
#[test]
fn a_drain_that_a_silent_link_holds_back_counts_when_it_arrives_or_after_six_seconds() {
    let is_breach = |drained: u64, recovered: Option<u64>, first: u64| {
        let mut oracle = oracle_with_request(RepeatSafety::Safe);
        if drained < 1_000 {
            oracle.health_delivered(ms(drained), 0, "s", false);
        }
        oracle.list_link_silent(ms(1_000), 0, true);
        oracle.list_link_silent(ms(1_500), 0, true);
        oracle.health_delivered(ms(drained), 0, "s", false);
        if let Some(recovered) = recovered {
            oracle.list_link_silent(ms(recovered), 0, false);
        }
        oracle.attempt_received(ms(first), ms(first), "s", "a", 0.1);
        oracle.response_received(ms(999), "a", Answer::Served);
        !oracle.verdict().breaches.is_empty()
    };
    assert!(!is_breach(2_000, None, 7_299), "it has not arrived");
    assert!(is_breach(2_000, None, 7_301), "six seconds are over");
    assert!(!is_breach(2_000, Some(3_000), 3_299), "it has just arrived");
    assert!(is_breach(2_000, Some(3_000), 3_301), "it has arrived");
    assert!(is_breach(2_000, Some(9_000), 7_301), "it arrives too late");
    assert!(is_breach(900, None, 1_201), "it came before the silence");
    assert!(is_breach(900, Some(3_000), 1_201), "likewise");
    assert!(is_breach(8_000, None, 8_301), "the silence is too long");
}

/// Guards against a node that is blamed for the overload of a cold server whose start a silent link held back, and
/// against one that is excused after the link has recovered.
#[test]
fn a_start_that_a_silent_link_holds_back_counts_when_it_arrives() {
    let overloads_at = |age: u64, recovered: Option<u64>| {
        let mut oracle = Oracle::new(Bounds::default());
        oracle.list_link_silent(ms(0), 0, true);
        oracle.server_started_cold(ms(100), "s", 2.0);
        oracle.cold_start_listed("s", 7, 1);
        oracle.start_reported(ms(200), 0, "s", 7);
        if let Some(recovered) = recovered {
            oracle.list_link_silent(ms(recovered), 0, false);
        }
        for number in 0..15 {
            let id = number.to_string();
            oracle.request_sent(ms(0), request(&id, RepeatSafety::Safe));
            oracle.attempt_received(ms(age), ms(age), "s", &id, 0.25);
        }
        let is_fall = |breach: &Breach| matches!(breach, Breach::Fell(_));
        oracle.verdict().breaches.iter().any(is_fall)
    };
    assert!(!overloads_at(1_000, None), "it has not arrived");
    assert!(overloads_at(1_000, Some(900)), "it has arrived");
    assert!(overloads_at(6_001, None), "six seconds are over");
}

#[test]
fn the_load_of_a_cold_server_is_summed_over_all_nodes() {
    // Whether this many attempts overload the server, and its highest load.
    let load_after = |count: u64| {
        let mut oracle = Oracle::new(Bounds::default());
        oracle.server_started_cold(ms(0), "s", 2.0);
        for number in 0..count {
            let mut request = request(&number.to_string(), RepeatSafety::Safe);
            request.node = number as usize % 3;
            oracle.request_sent(ms(0), request);
            oracle.attempt_received(ms(10 + number), ms(10), "s", &number.to_string(), 0.1);
        }
        (oracle.is_overloaded("s"), oracle.verdict().cold_load_max)
    };
    // 2 s of work per second, of which a share of 0.21 is available, times 3: 1.26 s of work in the first second.
    assert!(
        !load_after(12).0 && load_after(13).0,
        "{:?} {:?}",
        load_after(12),
        load_after(13)
    );
    assert!((load_after(12).1 - 1.2 / 1.26).abs() < 0.01);
}

#[test]
fn a_ceiling_is_judged_over_all_nodes_with_tolerance_and_a_quota_is_only_counted() {
    let mut oracle = Oracle::new(Bounds::default());
    oracle.set_limits(7, (1.0, 2.0), Some((2.0, 4.0)));
    for number in 0..6_u64 {
        let id = number.to_string();
        oracle.request_sent(
            ms(0),
            SentRequest {
                node: number as usize,
                ..request(&id, RepeatSafety::Safe)
            },
        );
        oracle.attempt_received(ms(0), ms(0), "s", &id, 0.1);
        oracle.response_received(ms(1), &id, Answer::Served);
        // 4 units of depth, 1 of tolerance and 0.3 for the delay.
        assert_eq!(
            oracle.verdict().breaches.len(),
            usize::from(number >= 5),
            "{number}"
        );
    }
    let verdict = oracle.verdict();
    assert!(
        (verdict.share_beyond_quota - 4.0 / 6.0).abs() < 1e-9,
        "{verdict:?}"
    );
    assert!(
        (verdict.ceiling_excess_max - 2.0).abs() < 1e-9,
        "{verdict:?}"
    );
}

#[test]
fn attempts_after_a_disconnect_are_counted_and_the_third_is_a_violation() {
    for (first, count) in [(1150, 0), (1151, 1)] {
        let mut oracle = Oracle::new(Bounds::default());
        for (place, id) in ["a", "b", "c"].into_iter().enumerate() {
            oracle.request_sent(ms(900), request(id, RepeatSafety::Safe));
            oracle.client_disconnected(ms(1000), id);
            oracle.attempt_received(ms(first + 20), ms(first), "s", id, 0.1);
            let verdict = oracle.verdict();
            assert_eq!(
                verdict.attempts_after_disconnect,
                count * (place as u64 + 1),
                "{verdict:?}"
            );
            assert_eq!(
                verdict.breaches.is_empty(),
                place < 2 || count == 0,
                "{verdict:?}"
            );
        }
        let verdict = oracle.verdict();
        assert_eq!(
            (
                verdict.disconnected,
                verdict.disconnected_before_attempt,
                verdict.lost
            ),
            (3, 3, 0)
        );
        assert_eq!(verdict.breaches.len() as u64, 3 * count);
    }
    // A further attempt counts like a first one; only a request without any attempt counts as disconnected before
    // one.
    let mut oracle = oracle_with_request(RepeatSafety::Safe);
    oracle.attempt_received(ms(10), ms(10), "s", "a", 0.1);
    oracle.client_disconnected(ms(20), "a");
    oracle.attempt_finished("a");
    oracle.attempt_received(ms(300), ms(300), "t", "a", 0.1);
    assert_eq!(
        (
            oracle.verdict().disconnected_before_attempt,
            oracle.verdict().attempts_after_disconnect
        ),
        (0, 1)
    );
    // A suspended node receives the close when it is resumed.
    let mut oracle = oracle_with_request(RepeatSafety::Safe);
    oracle.client_disconnected(ms(100), "a");
    oracle.node_resumed(ms(900), 0, ms(50));
    oracle.attempt_received(ms(1000), ms(1000), "s", "a", 0.1);
    assert_eq!(oracle.verdict().attempts_after_disconnect, 0);
}

#[test]
fn the_mean_load_of_a_cold_server_counts_requests_of_all_nodes_and_is_kept_over_its_restarts() {
    let bounds = Bounds {
        mean_work: 0.05,
        ..Bounds::default()
    };
    let mut oracle = Oracle::new(bounds);
    // 2 s of work per second, of which a share of 0.21 is available, times 3: 25.2 average requests, and 37.2 with
    // chance.
    for started_ms in [0_u64, 5000] {
        oracle.server_started_cold(ms(started_ms), "s", 2.0);
        for number in 0..(if started_ms == 0 { 8 } else { 4 }) {
            let id = format!("{started_ms}-{number}");
            oracle.request_sent(
                ms(started_ms),
                SentRequest {
                    node: number,
                    ..request(&id, RepeatSafety::Safe)
                },
            );
            oracle.attempt_received(ms(started_ms), ms(started_ms), "s", &id, 0.1);
        }
    }
    let allowed: f64 = 1.26 / 0.05;
    let share = 16.0 / (allowed + 2.0 * allowed.sqrt() + 2.0);
    assert!(
        (oracle.verdict().cold_mean_load_max - share).abs() < 1e-9,
        "{:?}",
        oracle.verdict()
    );
}

#[test]
fn a_node_that_rejects_all_for_four_seconds_differs_from_one_that_sends_an_attempt() {
    for (interval_ms, attempt, rejecting_all) in [
        (290, None, 1),
        (285, None, 0),
        (290, Some(7), 0),
        (400, Some(7), 0),
    ] {
        let mut oracle = Oracle::new(Bounds::default());
        for number in 0..15_u64 {
            let (id, at) = (number.to_string(), ms(number * interval_ms));
            oracle.request_sent(at, request(&id, RepeatSafety::Safe));
            if attempt == Some(number) {
                oracle.attempt_received(at, at, "s", &id, 0.1);
            }
            oracle.response_received(at, &id, Answer::Refused);
        }
        let verdict = oracle.verdict();
        assert_eq!(
            (verdict.nodes_rejecting_all, verdict.processes_never_serving),
            (rejecting_all, 1),
            "{interval_ms} ms apart: {verdict:?}"
        );
    }
}

#[test]
fn a_process_that_never_serves_is_counted_whatever_its_successor_serves() {
    let mut oracle = Oracle::new(Bounds::default());
    let ask = |oracle: &mut Oracle, answer| {
        let id = oracle.requests.len().to_string();
        oracle.request_sent(ms(0), request(&id, RepeatSafety::Safe));
        oracle.response_received(ms(1), &id, answer);
    };
    (0..5).for_each(|_| ask(&mut oracle, Answer::Refused));
    oracle.node_restarted(0);
    assert_eq!(oracle.verdict().processes_never_serving, 1);
    (0..4).for_each(|_| ask(&mut oracle, Answer::Failed));
    assert_eq!(
        oracle.verdict().processes_never_serving,
        1,
        "four requests are too few to judge a process"
    );
    ask(&mut oracle, Answer::Failed);
    assert_eq!(oracle.verdict().processes_never_serving, 2);
    ask(&mut oracle, Answer::Served);
    assert_eq!(oracle.verdict().processes_never_serving, 1);
}
