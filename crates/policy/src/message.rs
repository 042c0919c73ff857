//! How messages between gateways are laid out in bytes. What goes into one is decided in `control`.

use crate::interface::{ClassId, CustomerId, Micros, NodeId, PlanId, ServerId};
use crate::pooled::Pooled;
use saffronpaddle_quota::{GrantDecision, GrantResponse, Lease, LeaseDemand, LeaseReport};
use saffronpaddle_slow_start::TransferredPermit;

const VERSION: u8 = 2;
/// Version and kind; the least that a message holds.
const HEAD: usize = 2;
const COUNT: usize = 7;
const RUMOUR: usize = 6;
const SIZE: usize = 256;
/// Steps of the small numbers: of aims and units, of µs of wait and of µs of age.
const PART: f64 = 16.0;
const WAIT_STEP: f64 = 8_000.0;
const AGE_STEP: u64 = 32_000;
/// Parts of a unit a second in which the rate of a lease travels: coarser ones would leave some of each idle.
const LOAN_PART: f64 = 512.0;
/// Parts of a unit in which the room of a lease travels.
const ROOM_PART: f64 = 8.0;
/// The same of how long ago a home said how full it was, and how long to stay away.
const AGO_STEP: u64 = 64_000;
const WAIT_FOR_STEP: u64 = 8_000;
/// Verdicts by their numbers.
const VERDICTS: [GrantDecision; 4] = [
    GrantDecision::Granted,
    GrantDecision::OverQuota,
    GrantDecision::TooManyInFlight,
    GrantDecision::OverHardLimit,
];
/// Levels in which a share of failures travels, and how many classes a rumour can name.
const LEVELS: u8 = 31;
const CLASSES: usize = 8;

/// Customers that one message of counts has room for.
pub(crate) const ROOM: usize = (SIZE - HEAD - 4) / COUNT;

/// One server as its sender sees it for one class.
pub(crate) struct Rumour {
    pub server: u16,
    pub class: ClassId,
    pub failing: f64,
    /// What the fleet has seen of that lately.
    pub pool: Pooled,
    pub wait: f64,
    pub age: Micros,
}

/// What rides on asks and answers: how the fleet fares, as the sender sees it.
#[derive(Default)]
pub(crate) struct News {
    /// Answers a second at one gateway.
    pub served: f64,
    /// Latency of each class in its aims.
    pub aims: Vec<Pooled>,
    /// Attempts out at one gateway.
    pub out: Pooled,
    pub rumours: Vec<Rumour>,
}

/// A try that asks one of its customer's homes.
#[derive(Clone, Copy)]
pub(crate) struct Ask {
    pub serial: u16,
    pub customer: CustomerId,
    pub plan: PlanId,
    pub first: NodeId,
    pub spread: u32,
    /// Which of the homes is meant.
    pub home: u8,
    pub units: f64,
    /// What a build of yesterday does not tell: s for which who asks is up, and how much of its depth a home was said to hold,
    /// how long ago.
    pub beside: Option<(u8, Option<(f64, Micros)>)>,
    /// What a build of yesterday does not tell: what it would borrow, and has.
    pub wish: Option<LeaseDemand>,
}

#[allow(clippy::option_option)]
pub(crate) enum Message {
    // Kinds 1 and 2 were asks and answers without the weights of aims; who sends those is passed over.
    Counters(u32, Vec<(CustomerId, u16)>),
    // Kinds 6 and 7 are those of yesterday, without what is wished and lent, and both are still spoken; 4 and 5, without what goes
    // beside an ask and how long to stay away, are those of the build before, and are only answered.
    Ask(Ask, Option<News>),
    /// The inner lease is what is lent, the outer one is none where the word is of the build before.
    Answer(u16, GrantResponse, Option<Option<Lease>>, Option<News>),
    OldAnswer(u16, GrantResponse, News),
    Done(u16, CustomerId),
    /// A right to send to a cold server, by its short name; a build of yesterday passes it over.
    Gift(u16, TransferredPermit),
}

/// The short name under which rumours speak of a server.
pub(crate) fn short(server: ServerId) -> u16 {
    let mixed = server.0.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 48) as u16
}

/// A span in steps; the largest number stands for none, or for longer.
fn steps(span: Micros, step: u64) -> u8 {
    (span / step).min(254) as u8
}

/// The rate of a lease, rounded so.
fn two_bytes(rate: f64, round: impl Fn(f64) -> f64) -> [u8; 2] {
    (round(rate * LOAN_PART).clamp(0.0, 65_535.0) as u16).to_le_bytes()
}

fn small(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}

/// Lays out a message; what does not fit is left out.
pub(crate) fn write(message: &Message) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    match message {
        Message::Counters(birth, counts) => {
            bytes.push(0);
            bytes.extend_from_slice(&birth.to_le_bytes());
            for (customer, count) in counts.iter().take(ROOM) {
                bytes.extend_from_slice(&customer.0.to_le_bytes()[..COUNT - 2]);
                bytes.extend_from_slice(&count.to_le_bytes());
            }
        }
        Message::Ask(ask, news) => {
            bytes.push(match (ask.beside, ask.wish) {
                (Some(_), Some(_)) => 9,
                (Some(_), None) => 6,
                (None, _) => 4,
            });
            bytes.extend_from_slice(&ask.serial.to_le_bytes());
            bytes.extend_from_slice(&ask.customer.0.to_le_bytes()[..COUNT - 2]);
            bytes.extend_from_slice(&[ask.plan.0 as u8, ask.home]);
            bytes.extend_from_slice(&(ask.first.0 as u16).to_le_bytes());
            bytes.extend_from_slice(&(ask.spread as u16).to_le_bytes());
            bytes.extend_from_slice(&((ask.units * PART).round() as u16).to_le_bytes());
            if let Some((age, told)) = &ask.beside {
                let told = told.map_or([0, u8::MAX], |(level, ago)| {
                    [small(level * 255.0), steps(ago, AGO_STEP)]
                });
                bytes.push(*age);
                bytes.extend(told);
                if let Some(wish) = &ask.wish {
                    // What is held is told rounded up: its keeper must not reckon with less.
                    let up = |value: f64, part: f64| (value * part).ceil().clamp(0.0, 255.0) as u8;
                    let held = wish.current.map_or([0, 0, 0, u8::MAX], |report| {
                        let [low, high] = two_bytes(report.rate, f64::ceil);
                        [
                            low,
                            high,
                            up(report.capacity, ROOM_PART),
                            steps(report.remaining, AGO_STEP).saturating_add(1).min(254),
                        ]
                    });
                    bytes.extend(two_bytes(wish.rate, f64::round));
                    bytes.extend(held);
                }
            }
            news.iter().for_each(|news| write_news(news, &mut bytes));
        }
        Message::Answer(serial, said, lease, news) => {
            bytes.push(if lease.is_some() { 10 } else { 7 });
            bytes.extend_from_slice(&serial.to_le_bytes());
            let verdict = VERDICTS
                .iter()
                .position(|verdict| *verdict == said.decision)
                .unwrap_or(1) as u8;
            bytes.extend_from_slice(&[verdict, small(said.sampling_probability * 255.0)]);
            bytes.extend_from_slice(&[
                steps(said.retry_after, WAIT_FOR_STEP),
                small(said.fill_ratio * 255.0),
            ]);
            if let Some(lease) = lease {
                // Rounded down: a borrower must not have more than its keeper reckons with.
                let down = |value: f64, part: f64| (value * part).floor().clamp(0.0, 255.0) as u8;
                let lease = lease.unwrap_or_default();
                bytes.extend(two_bytes(lease.rate, f64::floor));
                bytes.extend([
                    down(lease.capacity, ROOM_PART),
                    down(lease.initial_tokens, ROOM_PART),
                ]);
            }
            news.iter().for_each(|news| write_news(news, &mut bytes));
        }
        Message::OldAnswer(serial, said, news) => {
            bytes.push(5);
            bytes.extend_from_slice(&serial.to_le_bytes());
            bytes.extend_from_slice(&[
                u8::from(said.decision != GrantDecision::Granted),
                small(said.sampling_probability * 255.0),
            ]);
            write_news(news, &mut bytes);
        }
        Message::Gift(server, gift) => {
            bytes.push(8);
            bytes.extend_from_slice(&server.to_le_bytes());
            bytes.extend_from_slice(&gift.server_started_at.to_le_bytes());
            bytes.extend_from_slice(&gift.expires_at.to_le_bytes());
            bytes.extend_from_slice(&gift.sequence.to_le_bytes());
        }
        Message::Done(serial, customer) => {
            bytes.push(3);
            bytes.extend_from_slice(&serial.to_le_bytes());
            bytes.extend_from_slice(&customer.0.to_le_bytes()[..COUNT - 2]);
        }
    }
    bytes
}

fn write_news(news: &News, bytes: &mut Vec<u8>) {
    let aim = |pool: &Pooled| [small(pool.mean().unwrap_or(0.0) * PART), pool.weight()];
    let aims = news.aims.iter().take(CLASSES).flat_map(aim);
    bytes.extend([
        small(news.served * PART),
        small(news.out.mean().unwrap_or(0.0) * PART),
        news.out.weight(),
    ]);
    bytes.push(news.aims.len().min(CLASSES) as u8);
    bytes.extend(aims);
    for rumour in &news.rumours {
        if bytes.len() + RUMOUR > SIZE {
            break;
        }
        bytes.extend_from_slice(&rumour.server.to_le_bytes());
        let level =
            (rumour.pool.mean().unwrap_or(0.0).clamp(0.0, 1.0) * f64::from(LEVELS)).round() as u8;
        bytes.push((rumour.class.0 % CLASSES) as u8 * (LEVELS + 1) + level);
        bytes.push(rumour.pool.weight());
        bytes.push(small(rumour.wait / WAIT_STEP));
        bytes.push((rumour.age / AGE_STEP).min(255) as u8);
    }
}

/// Takes bytes off the front, little end first.
struct Taken<'a>(&'a [u8]);

impl Taken<'_> {
    fn number(&mut self, size: usize) -> Option<u64> {
        let (taken, rest) = self.0.split_at_checked(size)?;
        self.0 = rest;
        Some(
            taken
                .iter()
                .rev()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }

    /// News, where any ride on it; the outer `None` is for those that are cut short.
    #[allow(clippy::option_option)]
    fn news_if_any(&mut self) -> Option<Option<News>> {
        if self.0.is_empty() {
            return Some(None);
        }
        self.news().map(Some)
    }

    fn news(&mut self) -> Option<News> {
        let served = self.number(1)? as f64 / PART;
        let out = Pooled::told(self.number(1)? as f64 / PART, self.number(1)? as u8);
        let mut aims = Vec::new();
        for _ in 0..self.number(1)?.min(CLASSES as u64) {
            let (aim, weight) = (self.number(1)? as f64 / PART, self.number(1)? as u8);
            aims.push(Pooled::told(aim, weight));
        }
        let mut rumours = Vec::new();
        while !self.0.is_empty() {
            let server = self.number(2)? as u16;
            let what = self.number(1)? as u8;
            let failing = f64::from(what % (LEVELS + 1)) / f64::from(LEVELS);
            rumours.push(Rumour {
                server,
                class: ClassId(usize::from(what / (LEVELS + 1))),
                failing,
                pool: Pooled::told(failing, self.number(1)? as u8),
                wait: self.number(1)? as f64 * WAIT_STEP,
                age: self.number(1)? * AGE_STEP,
            });
        }
        Some(News {
            served,
            aims,
            out,
            rumours,
        })
    }
}

/// Reads a message; `None` for one that is empty, cut short, too long, of another version or noise.
pub(crate) fn read(bytes: &[u8]) -> Option<Message> {
    let mut taken = Taken(bytes);
    if bytes.len() > SIZE || taken.number(1)? != u64::from(VERSION) {
        return None;
    }
    Some(match taken.number(1)? {
        0 => {
            let birth = taken.number(4)? as u32;
            let mut counts = Vec::new();
            while !taken.0.is_empty() {
                counts.push((
                    CustomerId(taken.number(COUNT - 2)?),
                    taken.number(2)? as u16,
                ));
            }
            Message::Counters(birth, counts)
        }
        kind @ (4 | 6 | 9) => {
            let serial = taken.number(2)? as u16;
            let customer = CustomerId(taken.number(COUNT - 2)?);
            let (plan, home) = (PlanId(taken.number(1)? as usize), taken.number(1)? as u8);
            let (first, spread) = (NodeId(taken.number(2)? as u32), taken.number(2)? as u32);
            let units = taken.number(2)? as f64 / PART;
            let (mut beside, mut wish) = (None, None);
            if kind >= 6 {
                let (age, level, ago) =
                    (taken.number(1)? as u8, taken.number(1)?, taken.number(1)?);
                let told =
                    (ago < u64::from(u8::MAX)).then_some((level as f64 / 255.0, ago * AGO_STEP));
                beside = Some((age, told));
            }
            if kind == 9 {
                let rate = taken.number(2)? as f64 / LOAN_PART;
                let held = (
                    taken.number(2)? as f64 / LOAN_PART,
                    taken.number(1)? as f64 / ROOM_PART,
                );
                let left = taken.number(1)?;
                let held = (left < u64::from(u8::MAX)).then_some(LeaseReport {
                    rate: held.0,
                    capacity: held.1,
                    remaining: left * AGO_STEP,
                });
                wish = Some(LeaseDemand {
                    rate,
                    current: held,
                });
            }
            let news = if kind == 4 {
                Some(taken.news()?)
            } else {
                taken.news_if_any()?
            };
            Message::Ask(
                Ask {
                    serial,
                    customer,
                    plan,
                    first,
                    spread,
                    home,
                    units,
                    beside,
                    wish,
                },
                news,
            )
        }
        5 => {
            let serial = taken.number(2)? as u16;
            let verdict = *VERDICTS[..2].get(taken.number(1)? as usize)?;
            let chance = taken.number(1)? as f64 / 255.0;
            let level = if verdict == GrantDecision::Granted {
                1.0
            } else {
                0.0
            };
            Message::OldAnswer(
                serial,
                GrantResponse {
                    decision: verdict,
                    sampling_probability: chance,
                    retry_after: 0,
                    fill_ratio: level,
                },
                taken.news()?,
            )
        }
        kind @ (7 | 10) => {
            let serial = taken.number(2)? as u16;
            let verdict = *VERDICTS.get(taken.number(1)? as usize)?;
            let chance = taken.number(1)? as f64 / 255.0;
            let (wait, level) = (
                taken.number(1)? * WAIT_FOR_STEP,
                taken.number(1)? as f64 / 255.0,
            );
            let mut lease = None;
            if kind == 10 {
                let (rate, room) = (
                    taken.number(2)? as f64 / LOAN_PART,
                    taken.number(1)? as f64 / ROOM_PART,
                );
                let units = taken.number(1)? as f64 / ROOM_PART;
                lease = Some((rate > 0.0).then_some(Lease {
                    rate,
                    capacity: room,
                    initial_tokens: units,
                }));
            }
            Message::Answer(
                serial,
                GrantResponse {
                    decision: verdict,
                    sampling_probability: chance,
                    retry_after: wait,
                    fill_ratio: level,
                },
                lease,
                taken.news_if_any()?,
            )
        }
        8 => {
            let server = taken.number(2)? as u16;
            let (started, until) = (taken.number(8)?, taken.number(8)?);
            Message::Gift(
                server,
                TransferredPermit {
                    server_started_at: started,
                    expires_at: until,
                    sequence: taken.number(2)? as u16,
                },
            )
        }
        3 => {
            let serial = taken.number(2)? as u16;
            let customer = CustomerId(taken.number(COUNT - 2)?);
            if !taken.0.is_empty() {
                return None;
            }
            Message::Done(serial, customer)
        }
        _ => return None,
    })
}

#[cfg(test)]
mod tests;
