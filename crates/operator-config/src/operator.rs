//! The operator file with all of its sections.

use crate::etcd::Etcd;
use crate::fault::{Fault, Faults};
use crate::process::{Listen, Log, Manager, Reload, Stop};
use crate::section::Section;
use crate::traffic::{Quotas, Servers};
use crate::websocket::Sockets;
use crate::{discovery, readiness};
use saffronpaddle_endpoints::PollLimits;
use saffronpaddle_lifecycle::readiness::Conditions;
use toml::Table;

/// The contents of the operator file, with defaults for missing keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// `[listen]`: how the node gets its listener for clients.
    pub listen: Listen,
    /// `[ready]`: the conditions under which the node reports that it is ready.
    pub ready: Conditions,
    /// `[stop]`: how long a stopping node still accepts and serves requests.
    pub stop: Stop,
    /// `[reload]`: the timeout of a reload.
    pub reload: Reload,
    /// `[manager]`: which notifications are sent to the service manager.
    pub manager: Manager,
    /// `[log]`: what is logged in addition to events.
    pub log: Log,
    /// `[list]`: limits on calls to the platform's discovery; `None` unless it sets a rate of calls.
    pub list: Option<PollLimits>,
    /// `[quotas]`: how nodes share customers' quotas.
    pub quotas: Quotas,
    /// `[servers]`: which app servers a node uses.
    pub servers: Servers,
    /// `[etcd]`: how app servers are discovered through etcd; `None` unless it names endpoints.
    pub etcd: Option<Etcd>,
    /// `[sockets]`: how WebSocket connections are served; `None` unless it names a class.
    pub sockets: Option<Sockets>,
}

impl Operator {
    /// Parses the text of the file.
    ///
    /// # Errors
    /// Returns all faults of the file. Text that is not valid TOML has a single fault, which names the line.
    pub fn parse(text: &str) -> Result<Operator, Faults> {
        let table = text
            .parse::<Table>()
            .map_err(|error| syntax_fault(text, &error))?;
        let mut file = Section::root(table);
        let operator = Operator::read(&mut file);
        let faults = file.finish();
        if faults.is_empty() {
            Ok(operator)
        } else {
            Err(Faults(faults))
        }
    }

    fn read(file: &mut Section) -> Operator {
        Operator {
            listen: file.section("listen", Listen::read),
            ready: file.section("ready", readiness::read),
            stop: file.section("stop", Stop::read),
            reload: file.section("reload", Reload::read),
            manager: file.section("manager", Manager::read),
            log: file.section("log", Log::read),
            list: file.section("list", discovery::read),
            quotas: file.section("quotas", Quotas::read),
            servers: file.section("servers", Servers::read),
            etcd: file.section("etcd", Etcd::read),
            sockets: file.section("sockets", Sockets::read),
        }
    }
}

impl Default for Operator {
    /// Returns the values of an empty file.
    fn default() -> Operator {
        Operator::read(&mut Section::root(Table::new()))
    }
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> Faults {
    let lines_before = error.span().map_or(0, |span| {
        let start = span.start.min(text.len());
        text[..start].matches('\n').count()
    });
    let message = error.message().replace('\n', ", ");
    let reason = format!("line {}: {message}", lines_before + 1);
    let key = String::new();
    Faults(vec![Fault { key, reason }])
}
