//! The sections `[listen]`, `[stop]`, `[reload]`, `[manager]` and `[log]`.

use crate::section::Section;
use std::time::Duration;

/// The default name in `LISTEN_FDNAMES` of the listener for clients.
const DEFAULT_LISTENER_NAME: &str = "clients";

/// How the node gets its listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// Whether to use a listener passed by the service manager (`sd_listen_fds(3)`).
    pub handed_over: bool,
    /// The listener's name in `LISTEN_FDNAMES`. Without names, the first listener is used.
    pub name: String,
    /// Whether to set `SO_REUSEPORT` on a listener that the node binds itself, so that a successor can bind the same
    /// address.
    pub reuse_port: bool,
}

impl Listen {
    pub(crate) fn read(section: &mut Section) -> Listen {
        let valid_name =
            |text: &str| (!text.is_empty() && !text.contains(':')).then(|| text.to_owned());
        Listen {
            handed_over: section.boolean("handed_over", true),
            name: section
                .parsed("name", "a name without a colon", valid_name)
                .unwrap_or_else(|| DEFAULT_LISTENER_NAME.to_owned()),
            reuse_port: section.boolean("reuse_port", false),
        }
    }
}

/// How the node stops.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// How long requests are still accepted after the signal to stop.
    pub drain_duration: Duration,
    /// How long requests in flight may take after that; `None` for the longest deadline in the settings.
    pub close_timeout: Option<Duration>,
}

impl Stop {
    pub(crate) fn read(section: &mut Section) -> Stop {
        Stop {
            drain_duration: section.span_ms("leave_for_ms", 600, 0..=600_000),
            close_timeout: section.span_ms_or_none("finish_within_ms", 0, 3_600_000),
        }
    }
}

/// How the node reloads.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// Timeout of a reload.
    pub within: Duration,
}

impl Reload {
    pub(crate) fn read(section: &mut Section) -> Reload {
        Reload {
            within: section.span_ms("within_ms", 10_000, 100..=600_000),
        }
    }
}

/// Which messages the service manager is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Manager {
    /// Whether to send state notifications if `NOTIFY_SOCKET` is set.
    pub notify: bool,
    /// Whether to send watchdog notifications if `WATCHDOG_USEC` is set.
    pub watchdog: bool,
}

impl Manager {
    pub(crate) fn read(section: &mut Section) -> Manager {
        Manager {
            notify: section.boolean("notify", true),
            watchdog: section.boolean("watchdog", true),
        }
    }
}

/// What is logged in addition to events.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// Interval between log lines with all metrics; `None` disables them.
    pub metrics_interval: Option<Duration>,
}

impl Log {
    pub(crate) fn read(section: &mut Section) -> Log {
        Log {
            metrics_interval: section.span_ms_or_none("counts_every_ms", 0, 3_600_000),
        }
    }
}
