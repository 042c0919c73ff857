//! The bytes of peer messages. Nodes of two builds run side by side in one fleet, so a datagram that one build writes
//! must be read by the other: the fixture holds one message of each kind as the build before this test wrote it.

use super::*;

const FIXTURE: &str = include_str!("../../tests/fixtures/peer_messages.txt");

fn news() -> News {
    let rumour = |server: u64, class: usize, failing: f64, age: Micros| Rumour {
        server: short(ServerId(server)),
        class: ClassId(class),
        failing,
        pool: Pooled::of(failing, 2.25),
        wait: 96_000.0,
        age,
    };
    News {
        served: 3.5,
        aims: vec![Pooled::of(0.75, 4.0), Pooled::of(1.5, 0.25)],
        out: Pooled::of(2.0, 1.0),
        rumours: vec![rumour(7, 0, 0.5, 320_000), rumour(99, 1, 0.0, 3_200_000)],
    }
}

fn ask(beside: Option<(u8, Option<(f64, Micros)>)>, wish: Option<LeaseDemand>) -> Ask {
    Ask {
        serial: 0x0102,
        customer: CustomerId(0x0A_0B0C_0D0E),
        plan: PlanId(3),
        first: NodeId(258),
        spread: 24,
        home: 5,
        units: 2.5,
        beside,
        wish,
    }
}

fn said(verdict: GrantDecision) -> GrantResponse {
    GrantResponse {
        decision: verdict,
        sampling_probability: 0.6,
        retry_after: 40_000,
        fill_ratio: 0.8,
    }
}

fn samples() -> Vec<(&'static str, Message)> {
    let told = Some((0.4, 640_000));
    let held = Some(LeaseReport {
        rate: 1.25,
        capacity: 0.625,
        remaining: 1_280_000,
    });
    let lease = Lease {
        rate: 0.75,
        capacity: 1.5,
        initial_tokens: 0.5,
    };
    let customer = CustomerId(0x0A_0B0C_0D0E);
    let gift = TransferredPermit {
        server_started_at: 1_700_000,
        expires_at: 2_900_000,
        sequence: 513,
    };
    vec![
        (
            "counts",
            Message::Counters(1_234_567, vec![(customer, 0xFFFE), (CustomerId(1), 8)]),
        ),
        ("counts_of_nobody", Message::Counters(1, Vec::new())),
        ("ask_old", Message::Ask(ask(None, None), Some(news()))),
        ("ask", Message::Ask(ask(Some((17, told)), None), None)),
        (
            "ask_never_told",
            Message::Ask(ask(Some((255, None)), None), Some(news())),
        ),
        (
            "ask_with_wish",
            Message::Ask(
                ask(
                    Some((17, told)),
                    Some(LeaseDemand {
                        rate: 2.0,
                        current: held,
                    }),
                ),
                None,
            ),
        ),
        (
            "ask_with_wish_and_nothing_held",
            Message::Ask(
                ask(
                    Some((0, None)),
                    Some(LeaseDemand {
                        rate: 0.5,
                        current: None,
                    }),
                ),
                Some(news()),
            ),
        ),
        (
            "answer_granted",
            Message::Answer(9, said(GrantDecision::Granted), None, None),
        ),
        (
            "answer_short",
            Message::Answer(9, said(GrantDecision::OverQuota), None, Some(news())),
        ),
        (
            "answer_full",
            Message::Answer(65_535, said(GrantDecision::TooManyInFlight), None, None),
        ),
        (
            "answer_over",
            Message::Answer(9, said(GrantDecision::OverHardLimit), None, None),
        ),
        (
            "answer_that_lends",
            Message::Answer(9, said(GrantDecision::Granted), Some(Some(lease)), None),
        ),
        (
            "answer_that_lends_nothing",
            Message::Answer(9, said(GrantDecision::OverQuota), Some(None), Some(news())),
        ),
        (
            "old_answer_granted",
            Message::OldAnswer(9, said(GrantDecision::Granted), news()),
        ),
        (
            "old_answer_short",
            Message::OldAnswer(9, said(GrantDecision::OverQuota), news()),
        ),
        ("done", Message::Done(0x0304, customer)),
        ("gift", Message::Gift(short(ServerId(7)), gift)),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn fixture() -> Vec<(&'static str, Vec<u8>)> {
    let byte = |pair: &[u8]| {
        u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex")
    };
    let line = |line: &'static str| {
        let (name, digits) = line.split_once(' ').expect("a name and its bytes");
        (name, digits.as_bytes().chunks(2).map(byte).collect())
    };
    FIXTURE.lines().map(line).collect()
}

#[test]
fn every_kind_of_message_is_written_as_the_fixture_has_it() {
    let written: String = samples()
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&write(message))))
        .collect();
    assert_eq!(written, FIXTURE, "\n{written}");
}

#[test]
fn every_message_of_the_fixture_is_read_and_says_the_same_again() {
    for (name, bytes) in fixture() {
        let message = read(&bytes).unwrap_or_else(|| panic!("{name} is read"));
        let mut again = bytes.clone();
        if name == "ask_with_wish" {
            // How long a lease has left is rounded up each time it is told.
            *again.last_mut().expect("it holds bytes") += 1;
        }
        assert_eq!(hex(&write(&message)), hex(&again), "{name}");
    }
}

/// A datagram that breaks off is noise, unless what is left is a message by itself: counts and rumours are lists.
#[test]
fn a_message_that_breaks_off_in_its_head_is_not_read() {
    for (name, bytes) in fixture()
        .into_iter()
        .filter(|(name, _)| !name.starts_with("counts"))
    {
        for length in 0..7.min(bytes.len()) {
            assert!(read(&bytes[..length]).is_none(), "{name} of {length} bytes");
        }
    }
}
