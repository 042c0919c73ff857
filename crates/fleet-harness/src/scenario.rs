//! Scenarios: the size of the fleet, its load, and the faults and changes that happen at given times. A scenario is
//! parsed into types and validated like the operator file. A seed draws everything that it leaves open, so that the
//! same seed gives the same steps.

use crate::link_ends::{parse_link_ends, parse_sides, Side};
use saffronpaddle_operator_config::{Fault, Faults, Section};
use saffronpaddle_test_doubles::links::End;
use saffronpaddle_test_doubles::load::Cancellations;
use saffronpaddle_test_doubles::settings::Fleet;
use std::collections::BTreeSet;
use std::time::Duration;
use toml::{Table, Value};

mod steps;

pub use steps::{OpenClients, Step, StepAction, Termination};

/// The source of the instances' list of app servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointSource {
    /// The platform's discovery.
    #[default]
    Discovery,
    /// Only etcd.
    Etcd,
    /// Discovery and etcd.
    Both,
}

impl EndpointSource {
    fn parse(text: &str) -> Option<EndpointSource> {
        match text {
            "discovery" => Some(EndpointSource::Discovery),
            "etcd" => Some(EndpointSource::Etcd),
            "both" => Some(EndpointSource::Both),
            _ => None,
        }
    }
}

/// The list of app servers that an instance's configuration contains when it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InitialList {
    /// The current list.
    #[default]
    Current,
    /// No list.
    Absent,
    /// An outdated list: half of its servers no longer exist, and a third of the addresses belong to other servers.
    Stale,
}

impl InitialList {
    fn parse(text: &str) -> Option<InitialList> {
        match text {
            "fresh" => Some(InitialList::Current),
            "nothing" => Some(InitialList::Absent),
            "stale" => Some(InitialList::Stale),
            _ => None,
        }
    }
}

/// A scenario in which the seed has fixed everything that the text left open.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name of the scenario, which its report repeats.
    pub name: String,
    /// Number of instances.
    pub instances: usize,
    /// Number of app servers.
    pub servers: usize,
    /// Number of customers, without the hot one.
    pub customers: usize,
    /// Offered requests per second, summed over all customers.
    pub rate: f64,
    /// Demand of each customer as a multiple of its quota, in place of `rate`; 0 to use `rate`.
    pub quota_factor: f64,
    /// Share of all requests that come from one more customer, which has the largest plan and uses all nodes; 0 for
    /// none.
    pub hot_share: f64,
    /// Fewest and most nodes that a customer sends requests to.
    pub nodes_per_customer: (usize, usize),
    /// How long load is offered.
    pub duration: Duration,
    /// Whether all instances start at the same time, or one after the other.
    pub start_together: bool,
    /// Requests that an app server processes concurrently; 0 for twice what the offered load needs.
    pub cores: usize,
    /// Whether app servers start cold together with the fleet; otherwise they have their full capacity.
    pub cold: bool,
    /// Delay with which discovery reports changes.
    pub discovery_delay: Duration,
    /// The source of the instances' list of app servers.
    pub endpoint_source: EndpointSource,
    /// Members of the etcd cluster, if the scenario uses one.
    pub etcd_members: usize,
    /// Whether the harness opens the instances' listeners and passes them on, as socket activation does.
    pub listeners_passed: bool,
    /// Whether instances have an operator file. Without one they run as the platform starts them.
    pub has_operator_file: bool,
    /// Factor on the default deadlines of all classes.
    pub deadline_factor: f64,
    /// Limit on an instance's file descriptors.
    pub sockets: usize,
    /// System calls of the instances that fail, with the percentage of each: `accept=5,recv=5`. Has no effect without a
    /// preloaded library that makes calls fail.
    pub failing_calls: String,
    /// Named groups of instances and servers. Figures are reported for each side.
    pub sides: Vec<Side>,
    /// Instances that do not start with the others.
    pub absent: BTreeSet<usize>,
    /// App servers that are neither started nor listed at first.
    pub absent_servers: BTreeSet<usize>,
    /// How much later than the client's deadline an answer may arrive.
    pub answer_slack: Duration,
    /// Clients that disconnect while they wait for an answer.
    pub cancellations: Cancellations,
    /// Calls and list bytes per second that the list service can handle; 0 for no limit.
    pub list_service_limits: (f64, f64),
    /// Whether the list service rejects calls once its queue is long.
    pub list_service_sheds_load: bool,
    /// Lines for the operator file of all instances.
    pub operator: String,
    /// The list of app servers that instances start with.
    pub initial_list: InitialList,
    /// An instance that is not ready within this time counts as failed.
    pub ready_timeout: Duration,
    /// The steps, sorted by time.
    pub steps: Vec<Step>,
}

/// Values from the command line that replace those of the scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Number of instances.
    pub instances: Option<u32>,
    /// Offered requests per second.
    pub rate: Option<f64>,
    /// Number of app servers.
    pub servers: Option<u32>,
    /// How long load is offered, in seconds. Steps after that are left out.
    pub seconds: Option<u32>,
    /// `discovery`, `etcd` or `both`.
    pub endpoint_source: Option<String>,
}

impl Overrides {
    fn apply(&self, table: &mut Table) {
        let milliseconds = self.seconds.map(|seconds| i64::from(seconds) * 1000);
        let all = [
            (
                "instances",
                self.instances.map(|count| Value::from(i64::from(count))),
            ),
            (
                "servers",
                self.servers.map(|count| Value::from(i64::from(count))),
            ),
            ("rate", self.rate.map(Value::from)),
            ("duration_ms", milliseconds.map(Value::from)),
            ("roster", self.endpoint_source.clone().map(Value::from)),
        ];
        table.extend(
            all.into_iter()
                .filter_map(|(key, value)| Some((key.to_owned(), value?))),
        );
    }
}

impl Scenario {
    /// Parses a scenario and draws what it leaves open.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(text: &str, seed: u64) -> Result<Scenario, Faults> {
        Scenario::parse_with(text, &Overrides::default(), seed)
    }

    /// Parses a scenario as [`Scenario::parse`] does, with some of its values replaced.
    ///
    /// # Errors
    /// All faults of the text and of the replaced values.
    pub fn parse_with(text: &str, overrides: &Overrides, seed: u64) -> Result<Scenario, Faults> {
        let mut table = text.parse::<Table>().map_err(|error| {
            Faults(vec![Fault {
                key: String::new(),
                reason: error.message().replace('\n', ", "),
            }])
        })?;
        overrides.apply(&mut table);
        let mut random = fastrand::Rng::with_seed(seed);
        let (step_sections, side_sections) = (table.remove("step"), table.remove("side"));
        let mut file = Section::root(table);
        let mut scenario = Scenario {
            name: file
                .parsed("name", "a string", |name| Some(name.to_owned()))
                .unwrap_or_default(),
            instances: file.number("instances", 3, 1..=MAX_INSTANCES) as usize,
            servers: file.number("servers", 12, 1..=MAX_SERVERS) as usize,
            customers: file.number("customers", 60, 1..=10_000) as usize,
            rate: file.float("rate", 160.0, 0.0..=MAX_RATE),
            quota_factor: file.float("times_quota", 0.0, 0.0..=100.0),
            hot_share: file.float("hot_share", 0.0, 0.0..=0.9),
            nodes_per_customer: (
                file.number("spread_least", 2, 1..=MAX_INSTANCES) as usize,
                file.number("spread_most", 4, 1..=MAX_INSTANCES) as usize,
            ),
            duration: file.span_ms("duration_ms", 30_000, 1000..=3_600_000),
            start_together: file.boolean("together", true),
            cores: file.number("cores", 0, 0..=1000) as usize,
            cold: file.boolean("cold", false),
            discovery_delay: file.span_ms("lateness_ms", 500, 0..=10_000),
            endpoint_source: file
                .parsed("roster", "discovery, etcd or both", EndpointSource::parse)
                .unwrap_or_default(),
            etcd_members: file.number("members", 3, 1..=9) as usize,
            listeners_passed: file.boolean("handed_over", true),
            has_operator_file: file.boolean("operated", true),
            deadline_factor: file.float("deadline_times", 1.0, 0.01..=100.0),
            failing_calls: file
                .parsed("failing_calls", "a string", |text| Some(text.to_owned()))
                .unwrap_or_default(),
            sockets: file.number("sockets", DEFAULT_DESCRIPTORS, 64..=65_536) as usize,
            ready_timeout: file.span_ms("ready_within_ms", 30_000, 1000..=600_000),
            sides: Vec::new(),
            absent: BTreeSet::new(),
            absent_servers: BTreeSet::new(),
            answer_slack: file.span_ms("answer_slack_ms", 50, 0..=10_000),
            cancellations: Cancellations {
                share: file.float("leave_share", 0.0, 0.0..=1.0),
                delay: (
                    file.span_ms("leave_least_ms", 20, 0..=60_000),
                    file.span_ms("leave_most_ms", 1_000, 0..=60_000),
                ),
            },
            list_service_limits: (
                file.float("list_calls_per_s", 0.0, 0.0..=100_000.0),
                file.float("list_bytes_per_s", 0.0, 0.0..=1e9),
            ),
            list_service_sheds_load: file.boolean("list_turns_away", false),
            operator: file
                .parsed("operator", "a string", |text| Some(text.to_owned()))
                .unwrap_or_default(),
            initial_list: file
                .parsed("known", "fresh, nothing or stale", InitialList::parse)
                .unwrap_or_default(),
            steps: Vec::new(),
        };
        if scenario.listeners_passed && !scenario.has_operator_file {
            file.fault("handed_over", "must be false if operated is false");
        }
        if scenario.nodes_per_customer.0 > scenario.nodes_per_customer.1 {
            file.fault("spread_least", "must be at most spread_most");
            scenario.nodes_per_customer.0 = scenario.nodes_per_customer.1;
        }
        let counts = (scenario.instances, scenario.servers);
        scenario.sides = parse_sides(side_sections, counts, &mut file);
        let parse_ends = |text: &str| parse_link_ends(text, counts, &scenario.sides);
        let absent = file
            .parsed(
                "absent",
                "a list of instances and servers, such as n0-n3,s1",
                parse_ends,
            )
            .unwrap_or_default();
        scenario.absent_servers = absent.iter().filter_map(server_number).collect();
        scenario.absent = absent.into_iter().filter_map(node_number).collect();
        let mut faults = Vec::new();
        let step_sections = match step_sections {
            None => Vec::new(),
            Some(Value::Array(steps)) => steps,
            Some(_) => {
                file.fault("step", "must be a list of [[step]] sections");
                Vec::new()
            }
        };
        for (index, step) in step_sections.into_iter().enumerate() {
            let Value::Table(table) = step else {
                file.fault("step", "must be a list of [[step]] sections");
                break;
            };
            let mut section = Section::root(table);
            scenario.add_steps(&mut section, &mut random);
            let key = |fault: Fault| Fault {
                key: format!("step[{index}].{}", fault.key),
                ..fault
            };
            faults.extend(section.finish().into_iter().map(key));
        }
        let mut all = file.finish();
        all.extend(faults);
        if !all.is_empty() {
            return Err(Faults(all));
        }
        if overrides.seconds.is_some() {
            scenario.steps.retain(|step| step.at < scenario.duration);
        }
        scenario.steps.sort_by_key(|step| step.at);
        Ok(scenario)
    }

    /// The settings that all instances share.
    pub fn fleet(&self) -> Fleet {
        let mut fleet = Fleet::typical(self.instances);
        fleet.bounds.answer_slack = self.answer_slack;
        for class in &mut fleet.classes {
            class.deadline = class.deadline.mul_f64(self.deadline_factor);
            class.latency_target = class.latency_target.min(class.deadline);
        }
        fleet
    }

    /// Requests that each app server processes concurrently.
    pub fn cores_per_server(&self, fleet: &Fleet) -> usize {
        let needed = self.rate * fleet.mean_work() / self.servers as f64;
        if self.cores > 0 {
            self.cores
        } else {
            (needed * 2.0).ceil().max(1.0) as usize
        }
    }

    fn parse_ends(&self, text: &str) -> Option<BTreeSet<End>> {
        parse_link_ends(text, (self.instances, self.servers), &self.sides)
    }
}

/// The number of an end that is an instance.
fn node_number(end: End) -> Option<usize> {
    match end {
        End::Node(number) => Some(number),
        _ => None,
    }
}

/// The number of an end that is an app server.
fn server_number(end: &End) -> Option<usize> {
    match end {
        End::Server(number) => Some(*number),
        _ => None,
    }
}

/// Requests that an app server holds per core; it rejects further ones unread.
pub const SLOTS_PER_CORE: usize = 16;
/// App servers that share a record of idempotency keys and so drop repeated requests.
pub const SERVERS_PER_DEDUPLICATION_DOMAIN: usize = 3;
/// Limit on an instance's file descriptors, as on the platform's scored days.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Most instances that virtual time supports. Lower limits apply to runs with real processes (see [`crate::room`]).
const MAX_INSTANCES: u64 = 10_000;
/// Most app servers that virtual time supports.
const MAX_SERVERS: u64 = 100_000;
/// Highest load that virtual time supports, requests per second.
const MAX_RATE: f64 = 100_000.0;

/// The scenarios that are built into the program, by name.
pub const SHIPPED: [(&str, &str); 11] = [
    ("thirty", include_str!("../scenarios/thirty.toml")),
    ("short", include_str!("../scenarios/short.toml")),
    ("forty-cold", include_str!("../scenarios/forty-cold.toml")),
    ("cold-thirty", include_str!("../scenarios/cold-thirty.toml")),
    (
        "cold-hundreds",
        include_str!("../scenarios/cold-hundreds.toml"),
    ),
    ("calm", include_str!("../scenarios/calm.toml")),
    ("drains", include_str!("../scenarios/drains.toml")),
    ("etcd", include_str!("../scenarios/etcd.toml")),
    ("flips", include_str!("../scenarios/flips.toml")),
    ("halves", include_str!("../scenarios/halves.toml")),
    ("apart", include_str!("../scenarios/apart.toml")),
];

#[cfg(test)]
mod tests;
