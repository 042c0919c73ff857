//! Scenarios: the size of the fleet, its load, and the faults and changes that happen at given times. A scenario is
//! parsed into types and validated like the operator file. A seed draws everything that it leaves open, so that the
//! same seed gives the same steps.

use crate::link_ends::{parse_link_ends, parse_sides, Side};
use saffronpaddle_operator_config::{Fault, Faults, Section};
use saffronpaddle_test_doubles::discovery::RestoreMode;
use saffronpaddle_test_doubles::links::{self, End, LinkSet};
use saffronpaddle_test_doubles::load::Cancellations;
use saffronpaddle_test_doubles::settings::Fleet;
use std::collections::BTreeSet;
use std::time::Duration;
use toml::{Table, Value};

/// The action of a step: a fault, or a change to the fleet, its load or the services that it uses.
#[derive(Clone, Debug, PartialEq)]
pub enum StepAction {
    /// Starts an instance that is not running.
    Start(usize),
    /// Sends SIGHUP to an instance.
    Reload(usize),
    /// Sends SIGTERM to an instance and starts a new process once the old one has ended.
    Restart(usize),
    /// Sends SIGTERM to an instance, and SIGKILL if it has not ended within the platform's grace period; a new process
    /// starts after a delay.
    Terminate(usize, Termination),
    /// Sends SIGKILL to an instance; a new process starts after the given time.
    Kill(usize, Duration),
    /// Sends SIGKILL to an instance, starts a new process, kills that one the given time after its start, and starts
    /// another.
    KillDuringStart(usize, Duration),
    /// Sends SIGSTOP to an instance, and SIGCONT after the given time.
    Pause(usize, Duration),
    /// Puts a fault on links, for the given time or until the end of the run. Then all links recover at once, or end
    /// after end if the last value, the time between two ends, is not zero.
    LinkFault(LinkSet, links::Fault, Option<Duration>, Duration),
    /// Takes the list service down for the given time: it resets connections.
    ListServiceDown(Duration),
    /// The list service loses state and serves the list that `RestoreMode` names.
    RestoreList(RestoreMode),
    /// Starts an app server that was absent until now; it starts cold and is listed.
    AddServer(usize),
    /// Multiplies the customers' request rate by a factor for the given time.
    LoadBurst(f64, Duration),
    /// Clients that send nothing use up an instance's file descriptors for the given time.
    HoldIdleConnections(usize, Duration),
    /// Drains an app server and ends its process; it starts again, cold, after the given time.
    DrainServer(usize, Duration),
    /// Lists an app server as draining for the given time, and then as ready again.
    ToggleDraining(usize, Duration),
    /// Kills an app server; it starts again, cold, after the given time.
    CrashServer(usize, Duration),
    /// An app server accepts requests and answers none for the given time.
    SilenceServer(usize, Duration),
    /// An app server resets this share of its connections after it has done the work, for the given time.
    ServerResets(usize, f64, Duration),
    /// An app server answers this share of its requests with an error after it has done the work, for the given time.
    ServerErrors(usize, f64, Duration),
    /// Multiplies the work time of all app servers by a factor for the given time.
    SlowServers(f64, Duration),
    /// Discovery sends nothing for the given time.
    SilenceDiscovery(Duration),
    /// A member of the etcd cluster closes all its connections.
    CutEtcdConnections(usize),
    /// A member of the etcd cluster stops responding for the given time.
    FreezeEtcdMember(usize, Duration),
    /// The etcd cluster compacts its complete history.
    CompactEtcd,
}

impl StepAction {
    /// Whether the action needs real processes, so that it is not available in virtual time.
    pub fn needs_processes(&self) -> bool {
        use StepAction::{
            AddServer, CompactEtcd, CutEtcdConnections, FreezeEtcdMember, HoldIdleConnections,
            KillDuringStart, LoadBurst, ServerErrors, ServerResets, Terminate,
        };
        matches!(
            self,
            CutEtcdConnections(_)
                | FreezeEtcdMember(..)
                | CompactEtcd
                | KillDuringStart(..)
                | AddServer(_)
                | LoadBurst(..)
                | HoldIdleConnections(..)
                | Terminate(..)
                | ServerResets(..)
                | ServerErrors(..)
        )
    }
}

/// How the platform terminates an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Termination {
    /// Time from the end of the process to the start of the next one.
    pub restart_delay: Duration,
    /// Time from SIGTERM to a stall of the process, as long as the platform may cause one; `None` for no stall.
    pub stall_at: Option<Duration>,
}

/// An action and when it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since all instances were ready.
    pub at: Duration,
    /// The action, with its target and arguments.
    pub action: StepAction,
}

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

/// The arguments of a step's section, except for when it happens.
struct StepArguments {
    /// Number of the instance, app server or etcd member that the step applies to.
    target: usize,
    duration: Duration,
    /// Factor on the load or on the servers' work time.
    factor: f64,
    /// The share of requests or connections that the action affects.
    share: f64,
    /// The affected links; all links between instances by default.
    link_set: LinkSet,
    fault: links::Fault,
    /// Whether the fault lasts until the end of the run.
    until_end: bool,
    /// Time between the recovery of two ends; 0 if all links recover at once.
    heal_gap: Duration,
    /// Time from SIGTERM to a stall of the process.
    stall_at: Option<Duration>,
}

impl StepArguments {
    /// The links between the target instance and the other ends of `link_set`.
    fn links_of_target(&self) -> LinkSet {
        let (target_end, others) = self
            .link_set
            .ends()
            .into_iter()
            .partition(|end| *end == End::Node(self.target));
        LinkSet::Partition(vec![target_end, others])
    }

    /// The action that puts a fault on links, with the arguments' time between the recovery of two ends.
    fn link_fault(
        &self,
        link_set: LinkSet,
        fault: links::Fault,
        duration: Option<Duration>,
    ) -> StepAction {
        StepAction::LinkFault(link_set, fault, duration, self.heal_gap)
    }
}

/// A fault that lets nothing through.
const TOTAL_LOSS: links::Fault = links::Fault {
    loss: 1.0,
    duplicated: 0.0,
    delay: (Duration::ZERO, Duration::ZERO),
    stalled: true,
    reset: false,
    drops_connects: false,
};

/// A kind of step: its name in scenarios, what it targets, and how its action is built.
type StepKind = (&'static str, TargetKind, fn(&StepArguments) -> StepAction);

/// All kinds of steps.
const STEP_KINDS: [StepKind; 29] = [
    ("start", TargetKind::Instance, |arguments| {
        StepAction::Start(arguments.target)
    }),
    ("reload", TargetKind::Instance, |arguments| {
        StepAction::Reload(arguments.target)
    }),
    ("restart", TargetKind::Instance, |arguments| {
        StepAction::Restart(arguments.target)
    }),
    ("terminate", TargetKind::Instance, |arguments| {
        StepAction::Terminate(
            arguments.target,
            Termination {
                restart_delay: arguments.duration,
                stall_at: arguments.stall_at,
            },
        )
    }),
    ("kill", TargetKind::Instance, |arguments| {
        StepAction::Kill(arguments.target, arguments.duration)
    }),
    ("kill-early", TargetKind::Instance, |arguments| {
        StepAction::KillDuringStart(arguments.target, arguments.duration)
    }),
    ("crowd", TargetKind::Instance, |arguments| {
        StepAction::HoldIdleConnections(arguments.target, arguments.duration)
    }),
    ("join", TargetKind::Server, |arguments| {
        StepAction::AddServer(arguments.target)
    }),
    ("burst", TargetKind::WholeRun, |arguments| {
        StepAction::LoadBurst(arguments.factor, arguments.duration)
    }),
    ("pause", TargetKind::Instance, |arguments| {
        StepAction::Pause(arguments.target, arguments.duration)
    }),
    ("peers", TargetKind::WholeRun, |arguments| {
        arguments.link_fault(arguments.link_set.clone(), arguments.fault, None)
    }),
    ("cut", TargetKind::Instance, |arguments| {
        arguments.link_fault(
            arguments.links_of_target(),
            TOTAL_LOSS,
            Some(arguments.duration),
        )
    }),
    ("link", TargetKind::WholeRun, |arguments| {
        arguments.link_fault(
            arguments.link_set.clone(),
            arguments.fault,
            (!arguments.until_end).then_some(arguments.duration),
        )
    }),
    ("split", TargetKind::WholeRun, |arguments| {
        arguments.link_fault(
            arguments.link_set.clone(),
            TOTAL_LOSS,
            (!arguments.until_end).then_some(arguments.duration),
        )
    }),
    ("list-down", TargetKind::WholeRun, |arguments| {
        StepAction::ListServiceDown(arguments.duration)
    }),
    ("list-older", TargetKind::WholeRun, |_| {
        StepAction::RestoreList(RestoreMode::FirstVersion)
    }),
    ("list-empty", TargetKind::WholeRun, |_| {
        StepAction::RestoreList(RestoreMode::Empty)
    }),
    ("list-renumbered", TargetKind::WholeRun, |_| {
        StepAction::RestoreList(RestoreMode::Renumbered)
    }),
    ("drain", TargetKind::Server, |arguments| {
        StepAction::DrainServer(arguments.target, arguments.duration)
    }),
    ("flip", TargetKind::Server, |arguments| {
        StepAction::ToggleDraining(arguments.target, arguments.duration)
    }),
    ("crash", TargetKind::Server, |arguments| {
        StepAction::CrashServer(arguments.target, arguments.duration)
    }),
    ("silent", TargetKind::Server, |arguments| {
        StepAction::SilenceServer(arguments.target, arguments.duration)
    }),
    ("resets", TargetKind::Server, |arguments| {
        StepAction::ServerResets(arguments.target, arguments.share, arguments.duration)
    }),
    ("errors", TargetKind::Server, |arguments| {
        StepAction::ServerErrors(arguments.target, arguments.share, arguments.duration)
    }),
    ("slow", TargetKind::WholeRun, |arguments| {
        StepAction::SlowServers(arguments.factor, arguments.duration)
    }),
    ("undiscovered", TargetKind::WholeRun, |arguments| {
        StepAction::SilenceDiscovery(arguments.duration)
    }),
    ("etcd-cut", TargetKind::EtcdMember, |arguments| {
        StepAction::CutEtcdConnections(arguments.target)
    }),
    ("etcd-freeze", TargetKind::EtcdMember, |arguments| {
        StepAction::FreezeEtcdMember(arguments.target, arguments.duration)
    }),
    ("etcd-compact", TargetKind::WholeRun, |_| {
        StepAction::CompactEtcd
    }),
];

/// What a kind of step applies to.
#[derive(Clone, Copy, PartialEq)]
enum TargetKind {
    Instance,
    Server,
    EtcdMember,
    /// The step has no single target and happens once.
    WholeRun,
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

    /// Reads the links that a step affects: those between different `sides`, or those from the ends `from` to the ends
    /// `to`.
    fn read_link_set(&self, section: &mut Section) -> LinkSet {
        let partition = section.parsed(
            "sides",
            "names of sides separated by commas, or each",
            |text| match text {
                "each" => Some(
                    (0..self.instances)
                        .map(|node| BTreeSet::from([End::Node(node)]))
                        .collect(),
                ),
                names => names
                    .split(',')
                    .map(|name| self.parse_ends(name.trim()))
                    .collect::<Option<Vec<_>>>(),
            },
        );
        let nodes: BTreeSet<End> = (0..self.instances).map(End::Node).collect();
        let from = section.parsed("from", "a list of link ends, such as n0-n3,list", |text| {
            self.parse_ends(text)
        });
        let to = section.parsed("to", "a list of link ends, such as n0-n3,list", |text| {
            self.parse_ends(text)
        });
        let one_way = section.boolean("one_way", false);
        let (from, to) = (from.unwrap_or_else(|| nodes.clone()), to.unwrap_or(nodes));
        match partition {
            Some(sides) => LinkSet::Partition(sides),
            None if one_way || from == to => LinkSet::OneWay(from, to),
            None => LinkSet::BothWays(from, to),
        }
    }

    /// Adds the steps of one section and draws the targets that it leaves open.
    fn add_steps(&mut self, section: &mut Section, random: &mut fastrand::Rng) {
        let names: Vec<&str> = STEP_KINDS.iter().map(|(name, _, _)| *name).collect();
        let find_kind = |name: &str| {
            STEP_KINDS
                .iter()
                .find(|(other, _, _)| *other == name)
                .copied()
        };
        if !section.has("do") {
            section.fault("do", "is missing");
        }
        let kind = section.parsed("do", &format!("one of {}", names.join(", ")), find_kind);
        let at = section.span_ms("at_ms", 0, 0..=3_600_000);
        let every = section.span_ms_or_none("every_ms", 0, 3_600_000);
        let gap = section.span_ms("gap_ms", 0, 0..=600_000);
        let until_end = !section.has("for_ms");
        let duration = section.span_ms("for_ms", 2_000, 0..=600_000);
        let factor = section.float("times", 2.0, 0.1..=100.0);
        let share = section.float("share", 0.5, 0.0..=1.0);
        let stall_at = section.span_ms_or_none("held_up_at_ms", 0, 60_000);
        let delay = section.span_ms("delay_ms", 0, 0..=10_000);
        let fault = links::Fault {
            loss: section.float("loss", 0.0, 0.0..=1.0),
            duplicated: section.float("doubled", 0.0, 0.0..=1.0),
            delay: (
                section
                    .span_ms_or_none("delay_least_ms", 0, 10_000)
                    .unwrap_or(delay / 4),
                delay,
            ),
            stalled: section.boolean("stalled", false),
            reset: section.boolean("reset", false),
            drops_connects: section.boolean("unheard", false),
        };
        let heal_gap = section.span_ms("heal_gap_ms", 0, 0..=60_000);
        let has_count = section.has("count");
        let count = section.number("count", 1, 1..=MAX_SERVERS) as usize;
        let fixed_target = section
            .has("who")
            .then(|| section.number("who", 0, 0..=MAX_SERVERS) as usize);
        let link_set = self.read_link_set(section);
        let side_nodes = section.parsed(
            "side",
            "a list of instances or the name of a side",
            |text| self.parse_ends(text),
        );
        let side_nodes: Option<Vec<usize>> =
            side_nodes.map(|ends| ends.into_iter().filter_map(node_number).collect());
        let Some((_, target_kind, build_action)) = kind else {
            return;
        };
        let target_count = match target_kind {
            TargetKind::Instance => self.instances,
            TargetKind::Server => self.servers,
            TargetKind::EtcdMember => self.etcd_members,
            TargetKind::WholeRun => 1,
        };
        if fixed_target.is_some_and(|target| target >= target_count) {
            section.fault("who", format!("must be below {target_count}"));
            return;
        }
        let mut start = at;
        loop {
            let mut candidates: Vec<usize> = (0..target_count).collect();
            random.shuffle(&mut candidates);
            let targets: Vec<usize> = match (fixed_target, &side_nodes) {
                (Some(target), _) => vec![target],
                // All instances of the side, or `count` of them.
                (None, Some(side_nodes)) if target_kind == TargetKind::Instance => {
                    let limit = if has_count { count } else { side_nodes.len() };
                    candidates
                        .into_iter()
                        .filter(|target| side_nodes.contains(target))
                        .take(limit)
                        .collect()
                }
                _ => candidates.into_iter().take(count).collect(),
            };
            for (index, target) in targets.into_iter().enumerate() {
                let link_set = link_set.clone();
                let action = build_action(&StepArguments {
                    target,
                    duration,
                    factor,
                    share,
                    link_set,
                    fault,
                    until_end,
                    heal_gap,
                    stall_at,
                });
                self.steps.push(Step {
                    at: start + gap * index as u32,
                    action,
                });
            }
            let Some(every) = every else { break };
            start += every;
            if start >= self.duration {
                break;
            }
        }
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
