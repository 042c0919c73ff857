//! The steps of a scenario: their kinds and arguments, and how a section of a scenario is read into steps.

use super::{node_number, Scenario, MAX_SERVERS};
use saffronpaddle_operator_config::Section;
use saffronpaddle_test_doubles::discovery::RestoreMode;
use saffronpaddle_test_doubles::links::{self, End, LinkSet};
use std::collections::BTreeSet;
use std::time::Duration;

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
    /// Time from a SIGHUP to the SIGTERM; `None` for no SIGHUP before it.
    pub reload_before: Option<Duration>,
    /// Time from SIGTERM to a SIGHUP; `None` for no SIGHUP after it.
    pub reload_after: Option<Duration>,
    /// Time from SIGTERM to a second one; `None` for only one.
    pub repeated_after: Option<Duration>,
    /// Clients that use their open connection after SIGTERM.
    pub open_clients: OpenClients,
}

/// Clients that connect to an instance before it is terminated and send their request after that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenClients {
    /// Number of clients.
    pub count: usize,
    /// Whether they send their requests until the kill, and not only soon after SIGTERM.
    pub until_kill: bool,
}

/// An action and when it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since all instances were ready.
    pub at: Duration,
    /// The action, with its target and arguments.
    pub action: StepAction,
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
    termination: Termination,
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

/// Number of clients with an open connection to an instance that is terminated.
const DEFAULT_OPEN_CLIENTS: u64 = 6;

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
        StepAction::Terminate(arguments.target, arguments.termination)
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

impl Scenario {
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
    pub(super) fn add_steps(&mut self, section: &mut Section, random: &mut fastrand::Rng) {
        let kind = read_kind(section);
        let at = section.span_ms("at_ms", 0, 0..=3_600_000);
        let every = section.span_ms_or_none("every_ms", 0, 3_600_000);
        let gap = section.span_ms("gap_ms", 0, 0..=600_000);
        let mut arguments = self.read_arguments(section);
        let selection = self.read_target_selection(section);
        let Some((_, target_kind, build_action)) = kind else {
            return;
        };
        let target_count = self.target_count(target_kind);
        if selection.fixed.is_some_and(|target| target >= target_count) {
            section.fault("who", format!("must be below {target_count}"));
            return;
        }
        let mut start = at;
        loop {
            let targets = selection.draw(target_kind, target_count, random);
            for (index, target) in targets.into_iter().enumerate() {
                arguments.target = target;
                self.steps.push(Step {
                    at: start + gap * index as u32,
                    action: build_action(&arguments),
                });
            }
            let Some(every) = every else { break };
            start += every;
            if start >= self.duration {
                break;
            }
        }
    }

    /// Reads the arguments of a section. The target is drawn later.
    fn read_arguments(&self, section: &mut Section) -> StepArguments {
        let until_end = !section.has("for_ms");
        let duration = section.span_ms("for_ms", 2_000, 0..=600_000);
        let factor = section.float("times", 2.0, 0.1..=100.0);
        let share = section.float("share", 0.5, 0.0..=1.0);
        let termination = read_termination(section, duration);
        let fault = read_link_fault(section);
        let heal_gap = section.span_ms("heal_gap_ms", 0, 0..=60_000);
        StepArguments {
            target: 0,
            duration,
            factor,
            share,
            link_set: self.read_link_set(section),
            fault,
            until_end,
            heal_gap,
            termination,
        }
    }

    fn read_target_selection(&self, section: &mut Section) -> TargetSelection {
        let limit = section
            .has("count")
            .then(|| section.number("count", 1, 1..=MAX_SERVERS) as usize);
        let fixed = section
            .has("who")
            .then(|| section.number("who", 0, 0..=MAX_SERVERS) as usize);
        let side = section.parsed(
            "side",
            "a list of instances or the name of a side",
            |text| self.parse_ends(text),
        );
        let side: Option<Vec<usize>> =
            side.map(|ends| ends.into_iter().filter_map(node_number).collect());
        TargetSelection { fixed, side, limit }
    }

    /// Number of targets of a kind.
    fn target_count(&self, kind: TargetKind) -> usize {
        match kind {
            TargetKind::Instance => self.instances,
            TargetKind::Server => self.servers,
            TargetKind::EtcdMember => self.etcd_members,
            TargetKind::WholeRun => 1,
        }
    }
}

/// Which targets a section applies to.
struct TargetSelection {
    /// The only target.
    fixed: Option<usize>,
    /// The instances of a side, if the section names one.
    side: Option<Vec<usize>>,
    /// Most targets, if the section limits them.
    limit: Option<usize>,
}

impl TargetSelection {
    /// Draws the targets of one repetition.
    fn draw(&self, kind: TargetKind, count: usize, random: &mut fastrand::Rng) -> Vec<usize> {
        let mut candidates: Vec<usize> = (0..count).collect();
        random.shuffle(&mut candidates);
        match (self.fixed, &self.side) {
            (Some(target), _) => vec![target],
            // All instances of the side, or as many of them as the limit allows.
            (None, Some(side)) if kind == TargetKind::Instance => {
                let limit = self.limit.unwrap_or(side.len());
                candidates.retain(|target| side.contains(target));
                candidates.truncate(limit);
                candidates
            }
            _ => {
                candidates.truncate(self.limit.unwrap_or(1));
                candidates
            }
        }
    }
}

/// Reads the kind of a section's steps; `None` if it is missing or unknown.
fn read_kind(section: &mut Section) -> Option<StepKind> {
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
    section.parsed("do", &format!("one of {}", names.join(", ")), find_kind)
}

fn read_termination(section: &mut Section, restart_delay: Duration) -> Termination {
    Termination {
        restart_delay,
        stall_at: section.span_ms_or_none("held_up_at_ms", 0, 60_000),
        reload_before: section.span_ms_or_none("reload_before_ms", 0, 60_000),
        reload_after: section.span_ms_or_none("reload_after_ms", 0, 60_000),
        repeated_after: section.span_ms_or_none("repeated_after_ms", 0, 60_000),
        open_clients: OpenClients {
            count: section.number("open_clients", DEFAULT_OPEN_CLIENTS, 0..=1_000) as usize,
            until_kill: section.boolean("until_kill", false),
        },
    }
}

fn read_link_fault(section: &mut Section) -> links::Fault {
    let delay = section.span_ms("delay_ms", 0, 0..=10_000);
    links::Fault {
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
    }
}
