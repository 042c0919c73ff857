//! A scenario: how large the fleet is, what it is offered, and what befalls it when. Typed and checked like the
//! operator file; a seed draws all that it leaves open, so that the same seed gives the same run of steps.

use crate::ends::{ends, sides, Side};
use saffronpaddle_operator_config::{Fault, Faults, Section};
use saffronpaddle_test_doubles::discovery::RestoreMode;
use saffronpaddle_test_doubles::links::{self, End, LinkSet};
use saffronpaddle_test_doubles::load::Cancellations;
use saffronpaddle_test_doubles::settings::Fleet;
use std::collections::BTreeSet;
use std::time::Duration;
use toml::{Table, Value};

/// What befalls the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// Start an instance that does not run.
    Start(usize),
    /// SIGHUP.
    Reload(usize),
    /// SIGTERM, and once it has ended, a new process.
    Restart(usize),
    /// SIGTERM, and SIGKILL when the platform's time for it is up; a new process after a while.
    Terminate(usize, Terminated),
    /// SIGKILL, and a new process after a while.
    Kill(usize, Duration),
    /// SIGKILL, a new process after a while, which is killed so long after its own start, and another.
    Killearly(usize, Duration),
    /// SIGSTOP, and SIGCONT after a while.
    Pause(usize, Duration),
    /// A fault on links, for a while or to the end; then they heal, at once or node by node with this pause.
    Link(LinkSet, links::Fault, Option<Duration>, Duration),
    /// The list service is down for a while: it resets connections.
    ListDown(Duration),
    /// It is back without something.
    ListBack(RestoreMode),
    /// An app server that was absent starts, cold, and is listed.
    Join(usize),
    /// Customers ask for so many times as much for a while.
    Burst(f64, Duration),
    /// Clients that say nothing fill an instance's descriptors for a while.
    Crowd(usize, Duration),
    /// An app server drains, then its process ends, and it starts anew and cold after a while.
    Drain(usize, Duration),
    /// An app server is listed as draining for a while, and then as ready again.
    Flip(usize, Duration),
    /// An app server dies and starts anew, cold, after a while.
    Crash(usize, Duration),
    /// An app server takes requests and answers none for a while.
    Silent(usize, Duration),
    /// An app server resets so many of its connections, after the work was done, for a while.
    Resets(usize, f64, Duration),
    /// An app server answers so many of its requests with an error, after the work was done, for a while.
    Errors(usize, f64, Duration),
    /// All app servers take so many times as long for a while.
    Slow(f64, Duration),
    /// Discovery is silent for a while.
    Undiscovered(Duration),
    /// A member of the etcd cluster cuts all its connections.
    Etcdcut(usize),
    /// One stands still for a while.
    Etcdfreeze(usize, Duration),
    /// The cluster drops all its history.
    Etcdcompact,
}

impl Deed {
    /// Whether it is for processes alone: there is none of it in virtual time.
    pub fn of_processes(&self) -> bool {
        use Deed::{
            Burst, Crowd, Errors, Etcdcompact, Etcdcut, Etcdfreeze, Join, Killearly, Resets,
            Terminate,
        };
        matches!(
            self,
            Etcdcut(_)
                | Etcdfreeze(..)
                | Etcdcompact
                | Killearly(..)
                | Join(_)
                | Burst(..)
                | Crowd(..)
                | Terminate(..)
                | Resets(..)
                | Errors(..)
        )
    }
}

/// How an instance is told to end by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terminated {
    /// When its next process starts, after the end of this one.
    pub back_after: Duration,
    /// When it stands still, after SIGTERM, for as long as a process may be held up; never without this.
    pub held_up_at: Option<Duration>,
}

/// A deed and its time, counted from when the fleet is up.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub deed: Deed,
}

/// Where instances learn of app servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Roster {
    /// From the platform's discovery.
    #[default]
    Discovery,
    /// From etcd alone.
    Etcd,
    /// From both.
    Both,
}

impl Roster {
    fn read(text: &str) -> Option<Roster> {
        match text {
            "discovery" => Some(Roster::Discovery),
            "etcd" => Some(Roster::Etcd),
            "both" => Some(Roster::Both),
            _ => None,
        }
    }
}

/// What instances know of the list at their start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Known {
    /// The list as it is.
    #[default]
    Fresh,
    /// Nothing.
    Nothing,
    /// A list of yesterday: half of its servers are gone, and a third of the addresses are others'.
    Stale,
}

impl Known {
    fn read(text: &str) -> Option<Known> {
        match text {
            "fresh" => Some(Known::Fresh),
            "nothing" => Some(Known::Nothing),
            "stale" => Some(Known::Stale),
            _ => None,
        }
    }
}

/// A scenario, drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Instances.
    pub instances: usize,
    /// App servers.
    pub servers: usize,
    /// Customers.
    pub customers: usize,
    /// Requests that are offered a second, over all customers.
    pub rate: f64,
    /// Times its quota that each customer asks for, in place of `rate`; 0 for that.
    pub times_quota: f64,
    /// Share of all tries that one more customer asks for, of the largest plan and through all nodes; 0 for none.
    pub hot_share: f64,
    /// Fewest and most nodes that a customer's tries come through.
    pub spread: (usize, usize),
    /// For how long they are offered.
    pub duration: Duration,
    /// Whether all instances start at once, or one after the other.
    pub together: bool,
    /// Requests in work at once at each app server; 0 for twice what the offered load needs.
    pub cores: usize,
    /// Whether app servers are cold when the fleet starts.
    pub cold: bool,
    /// How late discovery tells of changes.
    pub lateness: Duration,
    /// Where instances learn of app servers.
    pub roster: Roster,
    /// Members of the etcd cluster, where there is one.
    pub members: usize,
    /// Whether listeners are kept by the rig and handed over.
    pub handed_over: bool,
    /// Whether instances have an operator file. Without one they run as the platform starts them.
    pub operated: bool,
    /// Times the usual deadlines of all classes.
    pub deadline_times: f64,
    /// Descriptors that an instance may hold.
    pub sockets: usize,
    /// System calls of the instances that fail, with the percent of each: `accept=5,recv=5`. Nothing fails without a library
    /// that makes them fail.
    pub failing_calls: String,
    /// Sides: groups of instances and servers, by name; figures are told by side.
    pub sides: Vec<Side>,
    /// Instances that are not started with the others.
    pub absent: BTreeSet<usize>,
    /// App servers that are neither started nor listed with the others.
    pub absent_servers: BTreeSet<usize>,
    /// How much later than its client's time an answer may come.
    pub answer_slack: Duration,
    /// Clients that leave while they wait.
    pub leaves: Cancellations,
    /// Calls and bytes of lists that the list service can answer a second; 0 for any number.
    pub list_bears: (f64, f64),
    /// Whether the list service turns callers away once its line is long.
    pub list_turns_away: bool,
    /// Lines for the operator file of all instances.
    pub operator: String,
    /// What instances know of the list at their start.
    pub known: Known,
    /// An instance that does not become ready by then has failed.
    pub ready_within: Duration,
    /// What befalls it, in order.
    pub steps: Vec<Step>,
}

/// What a step's section says beside its time: whom it is about, and its figures.
struct Said {
    who: usize,
    lasts: Duration,
    times: f64,
    /// The part of requests that is meant.
    share: f64,
    /// The links that are meant: all between instances where nothing is said.
    which: LinkSet,
    fault: links::Fault,
    /// Whether it lasts to the end.
    forever: bool,
    heal_gap: Duration,
    held_up_at: Option<Duration>,
}

impl Said {
    /// No datagrams from or to one instance.
    fn cut(&self) -> LinkSet {
        let (one, others) = self
            .which
            .ends()
            .into_iter()
            .partition(|end| *end == End::Node(self.who));
        LinkSet::Partition(vec![one, others])
    }

    fn link(&self, which: LinkSet, fault: links::Fault, lasts: Option<Duration>) -> Deed {
        Deed::Link(which, fault, lasts, self.heal_gap)
    }
}

/// Nothing comes through.
const LOST: links::Fault = links::Fault {
    loss: 1.0,
    duplicated: 0.0,
    delay: (Duration::ZERO, Duration::ZERO),
    stalled: true,
    reset: false,
    drops_connects: false,
};

/// What a step may be: its name, whom it is about, and what is done.
type Kind = (&'static str, Whom, fn(&Said) -> Deed);

/// All that a step may be.
const DEEDS: [Kind; 29] = [
    ("start", Whom::Instance, |said| Deed::Start(said.who)),
    ("reload", Whom::Instance, |said| Deed::Reload(said.who)),
    ("restart", Whom::Instance, |said| Deed::Restart(said.who)),
    ("terminate", Whom::Instance, |said| {
        Deed::Terminate(
            said.who,
            Terminated {
                back_after: said.lasts,
                held_up_at: said.held_up_at,
            },
        )
    }),
    ("kill", Whom::Instance, |said| {
        Deed::Kill(said.who, said.lasts)
    }),
    ("kill-early", Whom::Instance, |said| {
        Deed::Killearly(said.who, said.lasts)
    }),
    ("crowd", Whom::Instance, |said| {
        Deed::Crowd(said.who, said.lasts)
    }),
    ("join", Whom::Server, |said| Deed::Join(said.who)),
    ("burst", Whom::All, |said| {
        Deed::Burst(said.times, said.lasts)
    }),
    ("pause", Whom::Instance, |said| {
        Deed::Pause(said.who, said.lasts)
    }),
    ("peers", Whom::All, |said| {
        said.link(said.which.clone(), said.fault, None)
    }),
    ("cut", Whom::Instance, |said| {
        said.link(said.cut(), LOST, Some(said.lasts))
    }),
    ("link", Whom::All, |said| {
        said.link(
            said.which.clone(),
            said.fault,
            (!said.forever).then_some(said.lasts),
        )
    }),
    ("split", Whom::All, |said| {
        said.link(
            said.which.clone(),
            LOST,
            (!said.forever).then_some(said.lasts),
        )
    }),
    ("list-down", Whom::All, |said| Deed::ListDown(said.lasts)),
    ("list-older", Whom::All, |_| {
        Deed::ListBack(RestoreMode::FirstVersion)
    }),
    ("list-empty", Whom::All, |_| {
        Deed::ListBack(RestoreMode::Empty)
    }),
    ("list-renumbered", Whom::All, |_| {
        Deed::ListBack(RestoreMode::Renumbered)
    }),
    ("drain", Whom::Server, |said| {
        Deed::Drain(said.who, said.lasts)
    }),
    ("flip", Whom::Server, |said| {
        Deed::Flip(said.who, said.lasts)
    }),
    ("crash", Whom::Server, |said| {
        Deed::Crash(said.who, said.lasts)
    }),
    ("silent", Whom::Server, |said| {
        Deed::Silent(said.who, said.lasts)
    }),
    ("resets", Whom::Server, |said| {
        Deed::Resets(said.who, said.share, said.lasts)
    }),
    ("errors", Whom::Server, |said| {
        Deed::Errors(said.who, said.share, said.lasts)
    }),
    ("slow", Whom::All, |said| Deed::Slow(said.times, said.lasts)),
    ("undiscovered", Whom::All, |said| {
        Deed::Undiscovered(said.lasts)
    }),
    ("etcd-cut", Whom::Member, |said| Deed::Etcdcut(said.who)),
    ("etcd-freeze", Whom::Member, |said| {
        Deed::Etcdfreeze(said.who, said.lasts)
    }),
    ("etcd-compact", Whom::All, |_| Deed::Etcdcompact),
];

#[derive(Clone, Copy, PartialEq)]
enum Whom {
    Instance,
    Server,
    Member,
    /// The run as a whole, once.
    All,
}

/// What a command line sets in place of a scenario's own lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Instances.
    pub instances: Option<u32>,
    /// Requests that are offered a second.
    pub rate: Option<f64>,
    /// App servers.
    pub servers: Option<u32>,
    /// Seconds for which they are offered; steps behind that are left out.
    pub seconds: Option<u32>,
    /// `discovery`, `etcd` or `both`.
    pub roster: Option<String>,
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
            ("roster", self.roster.clone().map(Value::from)),
        ];
        table.extend(
            all.into_iter()
                .filter_map(|(key, value)| Some((key.to_owned(), value?))),
        );
    }
}

impl Scenario {
    /// Reads a scenario and draws what it leaves open.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str, seed: u64) -> Result<Scenario, Faults> {
        Scenario::parse_with(text, &Overrides::default(), seed)
    }

    /// The same with some of its lines overruled.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse_with(text: &str, overrides: &Overrides, seed: u64) -> Result<Scenario, Faults> {
        let mut table = text.parse::<Table>().map_err(|error| {
            Faults(vec![Fault {
                key: String::new(),
                reason: error.message().replace('\n', ", "),
            }])
        })?;
        overrides.apply(&mut table);
        let mut random = fastrand::Rng::with_seed(seed);
        let (written, parted) = (table.remove("step"), table.remove("side"));
        let mut file = Section::root(table);
        let mut scenario = Scenario {
            name: file
                .parsed("name", "a text", |name| Some(name.to_owned()))
                .unwrap_or_default(),
            instances: file.number("instances", 3, 1..=NODES_MOST) as usize,
            servers: file.number("servers", 12, 1..=SERVERS_MOST) as usize,
            customers: file.number("customers", 60, 1..=10_000) as usize,
            rate: file.figure("rate", 160.0, 0.0..=RATE_MOST),
            times_quota: file.figure("times_quota", 0.0, 0.0..=100.0),
            hot_share: file.figure("hot_share", 0.0, 0.0..=0.9),
            spread: (
                file.number("spread_least", 2, 1..=NODES_MOST) as usize,
                file.number("spread_most", 4, 1..=NODES_MOST) as usize,
            ),
            duration: file.span_ms("duration_ms", 30_000, 1000..=3_600_000),
            together: file.flag("together", true),
            cores: file.number("cores", 0, 0..=1000) as usize,
            cold: file.flag("cold", false),
            lateness: file.span_ms("lateness_ms", 500, 0..=10_000),
            roster: file
                .parsed("roster", "discovery, etcd or both", Roster::read)
                .unwrap_or_default(),
            members: file.number("members", 3, 1..=9) as usize,
            handed_over: file.flag("handed_over", true),
            operated: file.flag("operated", true),
            deadline_times: file.figure("deadline_times", 1.0, 0.01..=100.0),
            failing_calls: file
                .parsed("failing_calls", "a text", |text| Some(text.to_owned()))
                .unwrap_or_default(),
            sockets: file.number("sockets", SOCKETS, 64..=65_536) as usize,
            ready_within: file.span_ms("ready_within_ms", 30_000, 1000..=600_000),
            sides: Vec::new(),
            absent: BTreeSet::new(),
            absent_servers: BTreeSet::new(),
            answer_slack: file.span_ms("answer_slack_ms", 50, 0..=10_000),
            leaves: Cancellations {
                share: file.figure("leave_share", 0.0, 0.0..=1.0),
                delay: (
                    file.span_ms("leave_least_ms", 20, 0..=60_000),
                    file.span_ms("leave_most_ms", 1_000, 0..=60_000),
                ),
            },
            list_bears: (
                file.figure("list_calls_per_s", 0.0, 0.0..=100_000.0),
                file.figure("list_bytes_per_s", 0.0, 0.0..=1e9),
            ),
            list_turns_away: file.flag("list_turns_away", false),
            operator: file
                .parsed("operator", "a text", |text| Some(text.to_owned()))
                .unwrap_or_default(),
            known: file
                .parsed("known", "fresh, nothing or stale", Known::read)
                .unwrap_or_default(),
            steps: Vec::new(),
        };
        if scenario.handed_over && !scenario.operated {
            file.fault("handed_over", "needs an operator file");
        }
        if scenario.spread.0 > scenario.spread.1 {
            file.fault("spread_least", "must be at most spread_most");
            scenario.spread.0 = scenario.spread.1;
        }
        let counts = (scenario.instances, scenario.servers);
        scenario.sides = sides(parted, counts, &mut file);
        let among = |text: &str| ends(text, counts, &scenario.sides);
        let absent = file
            .parsed("absent", "instances and servers", among)
            .unwrap_or_default();
        scenario.absent_servers = absent.iter().filter_map(server).collect();
        scenario.absent = absent.into_iter().filter_map(node).collect();
        let mut faults = Vec::new();
        let written = match written {
            None => Vec::new(),
            Some(Value::Array(steps)) => steps,
            Some(_) => {
                file.fault("step", "must be a list of sections");
                Vec::new()
            }
        };
        for (place, step) in written.into_iter().enumerate() {
            let Value::Table(table) = step else {
                file.fault("step", "must be a list of sections");
                break;
            };
            let mut section = Section::root(table);
            scenario.draw(&mut section, &mut random);
            let key = |fault: Fault| Fault {
                key: format!("step[{place}].{}", fault.key),
                ..fault
            };
            faults.extend(section.rest().into_iter().map(key));
        }
        let mut all = file.rest();
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

    /// What all instances are told alike.
    pub fn fleet(&self) -> Fleet {
        let mut fleet = Fleet::typical(self.instances);
        fleet.bounds.answer_slack = self.answer_slack;
        for class in &mut fleet.classes {
            class.deadline = class.deadline.mul_f64(self.deadline_times);
            class.latency_target = class.latency_target.min(class.deadline);
        }
        fleet
    }

    /// Requests in work at once at each app server.
    pub fn cores_of(&self, fleet: &Fleet) -> usize {
        let needed = self.rate * fleet.mean_work() / self.servers as f64;
        if self.cores > 0 {
            self.cores
        } else {
            (needed * 2.0).ceil().max(1.0) as usize
        }
    }

    fn ends(&self, text: &str) -> Option<BTreeSet<End>> {
        ends(text, (self.instances, self.servers), &self.sides)
    }

    /// The links that a step is about: `sides` that are apart, or all `from` some ends `to` others.
    fn which(&self, section: &mut Section) -> LinkSet {
        let apart = section.parsed("sides", "names of sides, or each", |text| match text {
            "each" => Some(
                (0..self.instances)
                    .map(|node| BTreeSet::from([End::Node(node)]))
                    .collect(),
            ),
            names => names
                .split(',')
                .map(|name| self.ends(name.trim()))
                .collect::<Option<Vec<_>>>(),
        });
        let nodes: BTreeSet<End> = (0..self.instances).map(End::Node).collect();
        let from = section.parsed("from", "ends of links", |text| self.ends(text));
        let to = section.parsed("to", "ends of links", |text| self.ends(text));
        let one_way = section.flag("one_way", false);
        let (from, to) = (from.unwrap_or_else(|| nodes.clone()), to.unwrap_or(nodes));
        match apart {
            Some(sides) => LinkSet::Partition(sides),
            None if one_way || from == to => LinkSet::OneWay(from, to),
            None => LinkSet::BothWays(from, to),
        }
    }

    /// Draws the steps of one section.
    fn draw(&mut self, section: &mut Section, random: &mut fastrand::Rng) {
        let names: Vec<&str> = DEEDS.iter().map(|(name, _, _)| *name).collect();
        let known = |name: &str| DEEDS.iter().find(|(other, _, _)| *other == name).copied();
        if !section.has("do") {
            section.fault("do", "is missing");
        }
        let deed = section.parsed("do", &format!("one of {}", names.join(", ")), known);
        let at = section.span_ms("at_ms", 0, 0..=3_600_000);
        let every = section.span_ms_or_none("every_ms", 0, 3_600_000);
        let gap = section.span_ms("gap_ms", 0, 0..=600_000);
        let forever = !section.has("for_ms");
        let lasts = section.span_ms("for_ms", 2_000, 0..=600_000);
        let times = section.figure("times", 2.0, 0.1..=100.0);
        let share = section.figure("share", 0.5, 0.0..=1.0);
        let held_up_at = section.span_ms_or_none("held_up_at_ms", 0, 60_000);
        let delay = section.span_ms("delay_ms", 0, 0..=10_000);
        let fault = links::Fault {
            loss: section.figure("loss", 0.0, 0.0..=1.0),
            duplicated: section.figure("doubled", 0.0, 0.0..=1.0),
            delay: (
                section
                    .span_ms_or_none("delay_least_ms", 0, 10_000)
                    .unwrap_or(delay / 4),
                delay,
            ),
            stalled: section.flag("stalled", false),
            reset: section.flag("reset", false),
            drops_connects: section.flag("unheard", false),
        };
        let heal_gap = section.span_ms("heal_gap_ms", 0, 0..=60_000);
        let section_counts = section.has("count");
        let wanted = section.number("count", 1, 1..=SERVERS_MOST) as usize;
        let fixed = section
            .has("who")
            .then(|| section.number("who", 0, 0..=SERVERS_MOST) as usize);
        let which = self.which(section);
        let named = section.parsed("side", "instances or a side", |text| self.ends(text));
        let named: Option<Vec<usize>> =
            named.map(|ends| ends.into_iter().filter_map(node).collect());
        let Some((_, whom, does)) = deed else { return };
        let all = match whom {
            Whom::Instance => self.instances,
            Whom::Server => self.servers,
            Whom::Member => self.members,
            Whom::All => 1,
        };
        if fixed.is_some_and(|who| who >= all) {
            section.fault("who", format!("must be below {all}"));
            return;
        }
        let mut begin = at;
        loop {
            let mut everyone: Vec<usize> = (0..all).collect();
            random.shuffle(&mut everyone);
            let chosen: Vec<usize> = match (fixed, &named) {
                (Some(who), _) => vec![who],
                // All of a side, or so many of it.
                (None, Some(named)) if whom == Whom::Instance => {
                    let most = if section_counts { wanted } else { named.len() };
                    everyone
                        .into_iter()
                        .filter(|who| named.contains(who))
                        .take(most)
                        .collect()
                }
                _ => everyone.into_iter().take(wanted).collect(),
            };
            for (place, who) in chosen.into_iter().enumerate() {
                let which = which.clone();
                let deed = does(&Said {
                    who,
                    lasts,
                    times,
                    share,
                    which,
                    fault,
                    forever,
                    heal_gap,
                    held_up_at,
                });
                self.steps.push(Step {
                    at: begin + gap * place as u32,
                    deed,
                });
            }
            let Some(every) = every else { break };
            begin += every;
            if begin >= self.duration {
                break;
            }
        }
    }
}

/// An end's number, if it is an instance.
fn node(end: End) -> Option<usize> {
    match end {
        End::Node(number) => Some(number),
        _ => None,
    }
}

/// An end's number, if it is an app server.
fn server(end: &End) -> Option<usize> {
    match end {
        End::Server(number) => Some(*number),
        _ => None,
    }
}

/// Requests that an app server holds at once for each core, beyond which it turns away unseen.
pub const SLOTS: usize = 16;
/// App servers in a group that drops repeats.
pub const GROUP: usize = 3;
/// Descriptors of an instance, as on the platform's scored days.
const SOCKETS: u64 = 1024;
/// Most instances, app servers and tries a second, as virtual time bears them; by processes there are fewer (`room`).
const NODES_MOST: u64 = 10_000;
const SERVERS_MOST: u64 = 100_000;
const RATE_MOST: f64 = 100_000.0;

/// The scenarios that come with the program, by name.
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
