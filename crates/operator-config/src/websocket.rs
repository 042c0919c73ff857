//! The section `[sockets]`: WebSocket connections.

use crate::section::Section;
use saffronpaddle_websocket::table::Limits;
use std::time::Duration;

/// How WebSocket connections are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Sockets {
    /// The class of upgrade requests. Its requests must use GET.
    pub class: String,
    /// Limits on the number, rate and lifetime of connections.
    pub limits: Limits,
    /// Maximum payload of a frame, in bytes.
    pub max_frame_bytes: u64,
    /// Maximum payload of a message, in bytes.
    pub max_message_bytes: u64,
    /// Whether to check that text messages are valid UTF-8.
    pub utf8: bool,
}

impl Sockets {
    /// Returns `None` unless the section names a class. Faults of its other keys are recorded in any case.
    pub(crate) fn read(section: &mut Section) -> Option<Sockets> {
        let class = section.parsed("class", "the name of a class", |text| Some(text.to_owned()));
        let limits = read_limits(section);
        let max_frame_bytes = section.number("frame_most", 1 << 20, 125..=1 << 30);
        let max_message_bytes = section.number("message_most", 4 << 20, 125..=1 << 32);
        let utf8 = section.boolean("utf8", false);
        if limits.silent_after <= limits.ping_after {
            section.fault("silent_after_ms", "must be more than ping_after_ms");
        }
        if max_message_bytes < max_frame_bytes {
            section.fault("message_most", "must be at least frame_most");
        }
        let class = class.filter(|class| !class.is_empty())?;
        Some(Sockets {
            class,
            limits,
            max_frame_bytes,
            max_message_bytes,
            utf8,
        })
    }
}

fn read_limits(section: &mut Section) -> Limits {
    let micros = |duration: Duration| duration.as_micros() as u64;
    Limits {
        per_node: section.number("per_node", 1_000, 1..=1_000_000) as usize,
        per_customer: section.number("per_customer", 20, 1..=1_000_000) as u32,
        per_server: section.number("per_server", 1_000, 1..=1_000_000) as usize,
        opens_per_s: section.float("opens_per_s", 200.0, 0.1..=100_000.0),
        ping_after: micros(section.span_ms("ping_after_ms", 20_000, 100..=3_600_000)),
        silent_after: micros(section.span_ms("silent_after_ms", 45_000, 200..=7_200_000)),
        idle_timeout: micros(section.span_ms("idle_for_ms", 0, 0..=86_400_000)),
        max_age: micros(section.span_ms("life_for_ms", 0, 0..=604_800_000)),
        drain_within: micros(section.span_ms("drain_within_ms", 200, 50..=240)),
        close_within: micros(section.span_ms("close_within_ms", 2_000, 50..=60_000)),
        reconnects_per_s: section.float("back_per_s", 100.0, 0.1..=100_000.0),
        restart: section.boolean("service_restart", false),
    }
}
