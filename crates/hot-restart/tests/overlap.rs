//! Two processes of one node, with the decision module inside: what they let through together, and conversations that go
//! wrong at any step.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_hot_restart::*;
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;
use std::time::Duration;

const DEPTH: f64 = 6.0;
const RATE: f64 = 2.0;

fn settings() -> Settings {
    let class = Class {
        latency_objective: 800_000,
        late_value: 0.1,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    };
    let ceiling = Some(HardLimit {
        rate: RATE,
        capacity: DEPTH,
    });
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
        hard_limit: ceiling,
    };
    Settings {
        node: NodeId(0),
        node_count: 2,
        zone: ZoneId(0),
        classes: vec![class],
        plans: vec![plan],
        slow_start: SlowStartRules {
            initial_capacity: 0.3,
            warm_up_period: 1_000_000,
            overload_multiple: 3.0,
            overload_window: 1_000_000,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancellation: true,
            peer_messages: true,
        },
        cross_zone_cost: 0.0,
        discovery: DiscoveryMode::Pushed,
        event_interval: 2_000,
        peer_messages_per_s: 60.0,
        max_request_units: 1.0,
        server_idle_timeout: 15_000_000,
        partition_safe: false,
        retransmission_budget: false,
        subsetting: false,
    }
}

/// A process, and what it has sent on.
struct Process {
    gateway: PolicyEngine,
    sent: u32,
    told: Vec<SiblingMessage>,
    counts: u32,
}

impl Process {
    fn new(now: Micros) -> Process {
        let gateway = PolicyEngine::new(7, settings(), now).expect("settings that make sense");
        let mut process = Process {
            gateway,
            sent: 0,
            told: Vec::new(),
            counts: 0,
        };
        let entry = Endpoint {
            server: ServerId(1),
            status: EndpointStatus::Ready,
            size: 1.0,
            ..Default::default()
        };
        process.event(
            now,
            Event::EndpointsChanged {
                update: EndpointUpdate::Snapshot,
                endpoints: vec![entry],
            },
        );
        process
    }

    fn event(&mut self, now: Micros, event: Event) {
        let mut out = Vec::new();
        self.gateway.handle(now, event, &mut out);
        let mut ended = Vec::new();
        for action in out {
            match action {
                Action::Send { id, .. } => {
                    self.sent += 1;
                    ended.push(id);
                }
                Action::SendToSiblings(twin) => self.told.push(twin),
                Action::Broadcast { .. } => self.counts += 1,
                _ => {}
            }
        }
        // Servers answer at once.
        for id in ended {
            let ended = Event::AttemptEnded {
                id,
                attempt: AttemptNumber(0),
                outcome: Outcome::Ok,
                request_closed: true,
            };
            self.event(now, ended);
        }
    }

    fn ask(&mut self, now: Micros, number: u32) {
        let id = RequestId(format!("r{number}").into());
        let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(9));
        let (units, first, spread, patience) = (1.0, NodeId(0), 1, 60_000);
        self.event(now, Event::TimerFired { token: 0 });
        self.event(
            now,
            Event::RequestArrived {
                id,
                class,
                plan,
                customer,
                units,
                first,
                spread,
                timeout: patience,
                complete: true,
            },
        );
    }
}

/// Hands what each has told to the other.
fn exchange(now: Micros, elder: &mut Process, heir: &mut Process) {
    while !(elder.told.is_empty() && heir.told.is_empty()) {
        for twin in std::mem::take(&mut elder.told) {
            heir.event(
                now,
                Event::SiblingMessage {
                    link: 0,
                    message: twin,
                },
            );
        }
        for twin in std::mem::take(&mut heir.told) {
            elder.event(
                now,
                Event::SiblingMessage {
                    link: 0,
                    message: twin,
                },
            );
        }
    }
}

fn overlap(told: bool, tries: u32) -> (u32, f64) {
    let start = 1_000_000_000;
    let mut elder = Process::new(start);
    // The share of a ceiling begins empty and fills.
    let mut now = start + 20_000_000;
    elder.ask(now, 0);
    let kept = serde_json::to_string(&elder.gateway.snapshot()).expect("it is written");
    let mut heir = Process::new(now);
    if told {
        heir.gateway
            .restore(serde_json::from_str(&kept).expect("it is read"), 0);
        let shared = Event::SiblingsChanged {
            ended_link: None,
            share_attempts: true,
            peer_messages_delegated: false,
        };
        elder.event(now, shared.clone());
        heir.event(now, shared);
    }
    let begun = now;
    for number in 1..=tries {
        now += 20_000;
        if number % 2 == 0 {
            elder.ask(now, number);
        } else {
            heir.ask(now, number);
        }
        exchange(now, &mut elder, &mut heir);
    }
    let most = DEPTH + RATE * (now - begun) as f64 / 1e6;
    (elder.sent + heir.sent, most)
}

/// A ceiling is used whole and never passed by the two together. Without what they tell each other the heir's share, which
/// begins empty, fills beside the elder's.
#[test]
fn two_processes_hold_one_ceiling_together() {
    let (sent, most) = overlap(true, 400);
    assert!(f64::from(sent) <= most + 1.0, "{sent} of {most}");
    assert!(f64::from(sent) > most * 0.8, "used: {sent} of {most}");
    let (sent, most) = overlap(false, 400);
    assert!(
        f64::from(sent) > most * 1.3,
        "apart they pass it: {sent} of {most}"
    );
}

/// What was out at a process that has gone holds no place any more.
#[test]
fn attempts_of_a_process_that_has_gone_are_let_go_of() {
    let now = 1_000_000_000;
    let mut process = Process::new(now);
    let out = |number: u32| SiblingAttempt {
        request: RequestId(format!("t{number}").into()),
        attempt: AttemptNumber(0),
        server: ServerId(1),
        customer: CustomerId(9),
        class: ClassId(0),
        queued_since: now,
        sent_at: now,
        in_flight: 1.0,
        charge: None,
    };
    for number in 0..10_000 {
        process.event(
            now,
            Event::SiblingMessage {
                link: number % 2,
                message: SiblingMessage::AttemptStarted(out(number)),
            },
        );
    }
    let held = serde_json::to_string(&process.gateway.snapshot())
        .expect("written")
        .len();
    process.event(
        now,
        Event::SiblingsChanged {
            ended_link: Some(0),
            share_attempts: true,
            peer_messages_delegated: false,
        },
    );
    process.event(
        now,
        Event::SiblingsChanged {
            ended_link: Some(1),
            share_attempts: false,
            peer_messages_delegated: false,
        },
    );
    let left = serde_json::to_string(&process.gateway.snapshot())
        .expect("written")
        .len();
    assert!(left * 100 < held, "{left} of {held}");
}

/// Of two processes one speaks to peers; if it dies, the other does again.
#[test]
fn one_of_two_speaks_to_peers() {
    let mut now = 1_000_000_000;
    let mut process = Process::new(now);
    let mut spoken = |process: &mut Process| {
        let before = process.counts;
        for _ in 0..100 {
            now += 20_000;
            process.event(now, Event::TimerFired { token: 0 });
        }
        process.counts - before
    };
    assert!(spoken(&mut process) > 5);
    process.event(
        1_002_000_000,
        Event::SiblingsChanged {
            ended_link: None,
            share_attempts: true,
            peer_messages_delegated: true,
        },
    );
    assert_eq!(spoken(&mut process), 0);
    process.event(
        1_004_000_000,
        Event::SiblingsChanged {
            ended_link: Some(0),
            share_attempts: false,
            peer_messages_delegated: false,
        },
    );
    assert!(spoken(&mut process) > 5);
}

fn state(name: &str, version: u32) -> Message {
    let module = Process::new(1_000_000_000).gateway.snapshot();
    Message::State(Box::new(TransferredState {
        version,
        name: name.to_owned(),
        policy: module,
        list: None,
    }))
}

fn heard(link: &mut Link, word: Option<Message>) -> Vec<LinkAction> {
    let mut out = Vec::new();
    link.on_message(word, &mut out);
    out
}

#[test]
fn an_heir_that_finds_nothing_of_use_starts_as_if_it_were_the_first() {
    let ms = Duration::from_millis;
    let open = |role| Link::new(ms(0), role, "n0", &mut Vec::new());
    for (word, why) in [
        (None, CloseReason::Malformed),
        (Some(state("n1", VERSION)), CloseReason::OtherNode),
        (Some(state("n0", VERSION + 1)), CloseReason::NewerVersion),
        (Some(Message::Serving), CloseReason::Malformed),
        (
            Some(Message::Hello(Hello {
                version: VERSION,
                name: "n0".to_owned(),
            })),
            CloseReason::Malformed,
        ),
    ] {
        let mut link = open(Role::Child);
        assert_eq!(heard(&mut link, word), [LinkAction::End(why)]);
        assert!(
            heard(&mut link, Some(state("n0", VERSION))).is_empty(),
            "it is over"
        );
    }
    // One that stalls in the middle is not waited for.
    let (mut link, mut out) = (open(Role::Child), Vec::new());
    link.tick(Link::STATE_TIMEOUT.checked_sub(ms(1)).unwrap(), &mut out);
    assert!(out.is_empty());
    link.tick(Link::STATE_TIMEOUT, &mut out);
    assert_eq!(out, [LinkAction::End(CloseReason::Silent)]);
    // A newer heir greets an older elder, which understands what it knows.
    let mut link = open(Role::Parent);
    let hello = Message::Hello(Hello {
        version: VERSION + 1,
        name: "n0".to_owned(),
    });
    assert_eq!(heard(&mut link, Some(hello)), [LinkAction::SendState]);
    assert!(link.is_live() && !link.has_successor());
    assert_eq!(
        heard(&mut link, Some(Message::Serving)),
        [LinkAction::SuccessorServing]
    );
    assert!(link.has_successor() && heard(&mut link, Some(Message::Serving)).is_empty());
}

#[test]
fn a_third_process_hears_of_all_and_datagrams_go_to_elders_only() {
    let mut middle = ProcessGroup::new("n0");
    let (elder, _) = middle.open(Duration::ZERO, Role::Child).expect("room");
    let (heir, _) = middle.open(Duration::ZERO, Role::Parent).expect("room");
    let twin = Message::Sibling(SiblingMessage::AttemptEnded {
        request: RequestId("a".into()),
        attempt: AttemptNumber(0),
    });
    assert!(middle.recipients(&twin, None).is_empty() && !middle.is_shared() && !middle.is_last());
    middle.with(elder, |link, out| {
        link.on_message(Some(state("n0", VERSION)), out);
    });
    let hello = Message::Hello(Hello {
        version: VERSION,
        name: "n0".to_owned(),
    });
    middle.with(heir, |link, out| link.on_message(Some(hello), out));
    assert_eq!(middle.recipients(&twin, None), [elder, heir]);
    assert_eq!(
        (
            middle.recipients(&twin, Some(elder)),
            middle.recipients(&twin, Some(heir))
        ),
        (vec![heir], vec![elder])
    );
    let peer = Message::Peer {
        from: NodeId(1),
        bytes: vec![1],
    };
    assert_eq!(middle.recipients(&peer, Some(heir)), [elder]);
    middle.with(heir, saffronpaddle_hot_restart::Link::on_disconnect);
    assert!(middle.is_shared() && middle.is_last());
    // No more than a few at once, whoever comes.
    while middle.open(Duration::ZERO, Role::Parent).is_some() {}
    assert!(middle.open(Duration::ZERO, Role::Parent).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// Whatever bytes come in place of a word, a conversation ends or goes on; nothing else happens.
    #[test]
    fn rubbish_is_no_word(bytes in prop::collection::vec(any::<u8>(), 0..300), live: bool) {
        let mut link = Link::new(Duration::ZERO, Role::Parent, "n0", &mut Vec::new());
        if live {
            heard(&mut link, Some(Message::Hello(Hello { version: VERSION, name: "n0".to_owned() })));
        }
        if read(&bytes).is_none() {
            prop_assert_eq!(heard(&mut link, read(&bytes)), vec![LinkAction::End(CloseReason::Malformed)]);
        }
    }

    /// A state that is cut, or in which bytes were changed, is taken whole or not at all, and never ends the process.
    #[test]
    fn a_spoilt_state_is_refused_or_resumed_from(at in 0usize..10_000, byte: u8, cut: bool) {
        let mut line = write(&state("n0", VERSION)).into_bytes();
        let at = at % line.len();
        if cut { line.truncate(at) } else { line[at] = byte }
        let mut link = Link::new(Duration::ZERO, Role::Child, "n0", &mut Vec::new());
        for step in heard(&mut link, read(&line)) {
            if let LinkAction::Restore(state) = step {
                let mut process = Process::new(1_000_000_000);
                process.gateway.restore(state.policy, 0);
                process.ask(1_000_100_000, 1);
            }
        }
    }
}
