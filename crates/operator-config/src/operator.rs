//! The operator file as a whole.

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
    /// `[list]`; `None` unless it sets a rate of calls.
    pub list: Option<PollLimits>,
    /// `[quotas]`
    pub quotas: Quotas,
    /// `[servers]`
    pub servers: Servers,
    /// `[etcd]`; `None` unless it names endpoints.
    pub etcd: Option<Etcd>,
    /// `[sockets]`; `None` unless it names a class.
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
        let faults = file.rest();
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
