//! The operator file (`deploy/operator.toml`): what an installation sets beyond what the platform tells a node.
//!
//! Every key has a default, a unit and bounds, which stand in the file itself. Unknown keys are refused, and all
//! faults are told at once, each with its key. No input or output: the text comes in as an argument.
//!
//! ```
//! let faults = saffronpaddle_operator_config::Operator::parse("[ready]\nlag = 5\nmemory_share = 7").unwrap_err();
//! assert_eq!(
//!     faults.to_string(),
//!     "ready.memory_share: must be a number from 0.1 to 1, not 7; ready.lag: unknown key"
//! );
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod reader;

pub use reader::{Fault, Faults, Section};

use saffronpaddle_endpoints::PollLimits;
use saffronpaddle_lifecycle::readiness::Conditions;
use saffronpaddle_websocket::table::Limits;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The name that listeners for clients have among those handed over (`LISTEN_FDNAMES`), unless the file says
/// otherwise.
const CLIENTS: &str = "clients";

/// All that the file sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// `[listen]`
    pub listen: Listen,
    /// `[ready]`
    pub ready: Conditions,
    /// `[stop]`
    pub stop: Stop,
    /// `[reload]`
    pub reload: Reload,
    /// `[manager]`
    pub manager: Manager,
    /// `[log]`
    pub log: Log,
    /// `[list]`; `None` while it says no number of calls.
    pub list: Option<PollLimits>,
    /// `[quotas]`
    pub quotas: Quotas,
    /// `[servers]`.
    pub servers: Servers,
    /// `[etcd]`; `None` while it names no endpoints.
    pub etcd: Option<Etcd>,
    /// `[sockets]`; `None` while it names no class.
    pub sockets: Option<Sockets>,
}

/// How quotas are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quotas {
    /// Whether each keeper of a customer's quota holds a part of its own, so that two that do not hear each other never grant more
    /// than the whole.
    pub fenced: bool,
    /// Whether asks of homes are put again only within a budget of words.
    pub spare_words: bool,
}

/// App servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Servers {
    /// Whether of a list of more than 512 servers each is sent to by some nodes alone.
    pub working_set: bool,
}

/// WebSocket.
#[derive(Clone, Debug, PartialEq)]
pub struct Sockets {
    /// The class that upgrades have; one that is asked for with GET.
    pub class: String,
    /// How many there may be, how long, at which pace.
    pub limits: Limits,
    /// Most bytes of a frame's and of a message's payload.
    pub frame_most: u64,
    /// See there.
    pub message_most: u64,
    /// Whether text is checked to be UTF-8.
    pub utf8: bool,
}

/// How the node comes to its listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// Whether a listener that the service manager hands over is taken (`sd_listen_fds(3)`).
    pub handed_over: bool,
    /// Its name in `LISTEN_FDNAMES`; without names the first one is taken.
    pub name: String,
    /// Whether a listener of the node's own is bound with `SO_REUSEPORT`, so that a successor can bind it too.
    pub reuse_port: bool,
}

/// How the node ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// For how long new work is still taken after the word to stop.
    pub leave_for: Duration,
    /// How long what was taken may take after that; `None` for the longest deadline in the settings.
    pub finish_within: Option<Duration>,
}

/// How the node reloads.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// After so long a reload is given up.
    pub within: Duration,
}

/// What the service manager is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Manager {
    /// Whether `NOTIFY_SOCKET` is spoken to, where it is set.
    pub notify: bool,
    /// Whether the watchdog is fed, where `WATCHDOG_USEC` is set.
    pub watchdog: bool,
}

/// What the log is told beside events.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The figures of the program are told this often, as one line of fields; `None` for never.
    pub counts_every: Option<Duration>,
}

/// The roster of app servers in etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct Etcd {
    /// Client addresses of the cluster's members.
    pub endpoints: Vec<SocketAddr>,
    /// What the servers' keys begin with.
    pub prefix: String,
    /// Whether it stands instead of the platform's discovery, which is not followed then; else both are merged.
    pub instead: bool,
    /// A user, and the file that holds its password.
    pub user: Option<(String, PathBuf)>,
    /// Certificates (PEM) by which members are trusted, and the name that theirs must bear; none for no TLS.
    pub tls: Option<(PathBuf, String)>,
    /// A connection to come up, and a call to be answered.
    pub answer_within: Duration,
    /// A member is asked for a sign of life this often.
    pub probe_every: Duration,
    /// One that has said nothing for so long is left.
    pub silent_after: Duration,
    /// Between one member and the next, at the most.
    pub backoff_most: Duration,
    /// A list that is empty at one stroke is believed after so long.
    pub empty_after: Duration,
}

impl Operator {
    /// Reads the file's text.
    ///
    /// # Errors
    /// All that is wrong with it. A text that is no TOML has one fault, which names the line.
    pub fn parse(text: &str) -> Result<Operator, Faults> {
        let table = text.parse::<toml::Table>().map_err(|error| {
            let line = error.span().map_or(0, |span| {
                text[..span.start.min(text.len())].matches('\n').count()
            });
            let reason = format!("line {}: {}", line + 1, error.message().replace('\n', ", "));
            Faults(vec![Fault {
                key: String::new(),
                reason,
            }])
        })?;
        let mut file = Section::whole(table);
        let operator = Operator::read(&mut file);
        let faults = file.rest();
        if faults.is_empty() {
            return Ok(operator);
        }
        Err(Faults(faults))
    }

    fn read(file: &mut Section) -> Operator {
        Operator {
            listen: file.section("listen", listen),
            ready: file.section("ready", ready),
            stop: file.section("stop", stop),
            reload: file.section("reload", |section| Reload {
                within: section.span_ms("within_ms", 10_000, 100..=600_000),
            }),
            manager: file.section("manager", |section| Manager {
                notify: section.flag("notify", true),
                watchdog: section.flag("watchdog", true),
            }),
            log: file.section("log", |section| Log {
                counts_every: section.span_ms_or_none("counts_every_ms", 0, 3_600_000),
            }),
            list: file.section("list", list),
            quotas: file.section("quotas", |section| Quotas {
                fenced: section.flag("fenced", false),
                spare_words: section.flag("spare_words", false),
            }),
            servers: file.section("servers", |section| Servers {
                working_set: section.flag("working_set", false),
            }),
            etcd: file.section("etcd", etcd),
            sockets: file.section("sockets", sockets),
        }
    }
}

fn listen(section: &mut Section) -> Listen {
    let name = |text: &str| (!text.is_empty() && !text.contains(':')).then(|| text.to_owned());
    Listen {
        handed_over: section.flag("handed_over", true),
        name: section
            .parsed("name", "a name without a colon", name)
            .unwrap_or_else(|| CLIENTS.to_owned()),
        reuse_port: section.flag("reuse_port", false),
    }
}

fn ready(section: &mut Section) -> Conditions {
    let free = section.number("free_descriptors", 16, 0..=1_000_000);
    Conditions {
        list_within: section.span_ms_or_none("list_within_ms", 5_000, 600_000),
        list_stale_after: section.span_ms_or_none("list_stale_after_ms", 0, 86_400_000),
        peers_within: section.span_ms_or_none("peers_within_ms", 2_000, 600_000),
        free_descriptors: (free > 0).then_some(free),
        memory_share: Some(section.figure("memory_share", 0.95, 0.1..=1.0))
            .filter(|share| *share < 1.0),
        clock_step: section.span_ms_or_none("clock_step_ms", 2_000, 3_600_000),
        lag: section.span_ms_or_none("lag_ms", 1_000, 60_000),
        lose_after: section.span_ms("lose_after_ms", 2_000, 0..=600_000),
        regain_after: section.span_ms("regain_after_ms", 1_000, 0..=600_000),
    }
}

fn list(section: &mut Section) -> Option<PollLimits> {
    let terms = PollLimits {
        calls_per_s: section.figure("calls_per_s", 0.0, 0.0..=100_000.0),
        first_within: section.span_ms("first_within_ms", 30_000, 0..=600_000),
        answer_within: section.span_ms("answer_within_ms", 10_000, 100..=120_000),
        empty_after: section.span_ms("empty_after_ms", 30_000, 0..=86_400_000),
    };
    (terms.calls_per_s > 0.0).then_some(terms)
}

fn etcd(section: &mut Section) -> Option<Etcd> {
    let text = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    let prefix = |text: &str| {
        (text.starts_with('/') && text.len() > 1 && text.len() <= 1000).then(|| text.to_owned())
    };
    let endpoints = section.list("endpoints", "an address with a port", |text| {
        text.parse().ok()
    });
    let user = section.parsed("user", "a name", text);
    let password = section.parsed("password_file", "a path", |path| {
        text(path).map(PathBuf::from)
    });
    if user.is_some() != password.is_some() {
        section.fault(
            if user.is_some() {
                "password_file"
            } else {
                "user"
            },
            "goes with the other of the two",
        );
    }
    let ca = section.parsed("tls_ca_file", "a path", |path| {
        text(path).map(PathBuf::from)
    });
    let name = section.parsed("tls_name", "a name", text);
    if ca.is_some() != name.is_some() {
        section.fault(
            if ca.is_some() {
                "tls_name"
            } else {
                "tls_ca_file"
            },
            "goes with the other of the two",
        );
    }
    let wants = "a text that begins with a slash, up to 1000 bytes";
    let etcd = Etcd {
        prefix: section
            .parsed("prefix", wants, prefix)
            .unwrap_or_else(|| "/saffronpaddle/servers/".to_owned()),
        instead: section.flag("instead", false),
        user: user.zip(password),
        tls: ca.zip(name),
        answer_within: section.span_ms("answer_within_ms", 2_000, 10..=60_000),
        probe_every: section.span_ms("probe_every_ms", 1_000, 10..=60_000),
        silent_after: section.span_ms("silent_after_ms", 3_000, 20..=600_000),
        backoff_most: section.span_ms("backoff_most_ms", 2_000, 50..=600_000),
        empty_after: section.span_ms("empty_after_ms", 30_000, 0..=86_400_000),
        endpoints,
    };
    if etcd.silent_after <= etcd.probe_every {
        section.fault("silent_after_ms", "must be more than probe_every_ms");
    }
    (!etcd.endpoints.is_empty()).then_some(etcd)
}

fn sockets(section: &mut Section) -> Option<Sockets> {
    let us = |span: Duration| span.as_micros() as u64;
    let class = section.parsed("class", "the name of a class", |text| Some(text.to_owned()));
    let limits = Limits {
        per_node: section.number("per_node", 1_000, 1..=1_000_000) as usize,
        per_customer: section.number("per_customer", 20, 1..=1_000_000) as u32,
        per_server: section.number("per_server", 1_000, 1..=1_000_000) as usize,
        opens_per_s: section.figure("opens_per_s", 200.0, 0.1..=100_000.0),
        ping_after: us(section.span_ms("ping_after_ms", 20_000, 100..=3_600_000)),
        silent_after: us(section.span_ms("silent_after_ms", 45_000, 200..=7_200_000)),
        idle_for: us(section.span_ms("idle_for_ms", 0, 0..=86_400_000)),
        life_for: us(section.span_ms("life_for_ms", 0, 0..=604_800_000)),
        drain_within: us(section.span_ms("drain_within_ms", 200, 50..=240)),
        close_within: us(section.span_ms("close_within_ms", 2_000, 50..=60_000)),
        back_per_s: section.figure("back_per_s", 100.0, 0.1..=100_000.0),
        restart: section.flag("service_restart", false),
    };
    let (frame_most, message_most) = (
        section.number("frame_most", 1 << 20, 125..=1 << 30),
        section.number("message_most", 4 << 20, 125..=1 << 32),
    );
    let utf8 = section.flag("utf8", false);
    if limits.silent_after <= limits.ping_after {
        section.fault("silent_after_ms", "must be more than ping_after_ms");
    }
    if message_most < frame_most {
        section.fault("message_most", "must be at least frame_most");
    }
    class
        .filter(|class| !class.is_empty())
        .map(|class| Sockets {
            class,
            limits,
            frame_most,
            message_most,
            utf8,
        })
}

fn stop(section: &mut Section) -> Stop {
    Stop {
        leave_for: section.span_ms("leave_for_ms", 600, 0..=600_000),
        finish_within: section.span_ms_or_none("finish_within_ms", 0, 3_600_000),
    }
}

impl Default for Operator {
    /// What an empty file says.
    fn default() -> Operator {
        Operator::read(&mut Section::whole(toml::Table::new()))
    }
}
