//! A scenario: how large the fleet is, what it is offered, and what befalls it when. Typed and checked like the
//! operator file; a seed draws all that it leaves open, so that the same seed gives the same run of steps.

use saffronpaddle_operator::{Fault, Faults, Section};
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
    /// SIGKILL, and a new process after a while.
    Kill(usize, Duration),
    /// SIGSTOP, and SIGCONT after a while.
    Pause(usize, Duration),
    /// Share of peers' datagrams that is lost, and their longest delay, from now on.
    Peers(f64, Duration),
    /// No datagrams from or to an instance for a while.
    Cut(usize, Duration),
    /// An app server drains, then its process ends, and it starts anew and cold after a while.
    Drain(usize, Duration),
    /// An app server is listed as draining for a while, and then as ready again.
    Flip(usize, Duration),
    /// An app server dies and starts anew, cold, after a while.
    Crash(usize, Duration),
    /// An app server takes requests and answers none for a while.
    Silent(usize, Duration),
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
    loss: f64,
    delay: Duration,
}

/// What a step may be: its name, whom it is about, and what is done.
type Kind = (&'static str, Whom, fn(&Said) -> Deed);

/// All that a step may be.
const DEEDS: [Kind; 16] = [
    ("start", Whom::Instance, |said| Deed::Start(said.who)),
    ("reload", Whom::Instance, |said| Deed::Reload(said.who)),
    ("restart", Whom::Instance, |said| Deed::Restart(said.who)),
    ("kill", Whom::Instance, |said| Deed::Kill(said.who, said.lasts)),
    ("pause", Whom::Instance, |said| Deed::Pause(said.who, said.lasts)),
    ("peers", Whom::All, |said| Deed::Peers(said.loss, said.delay)),
    ("cut", Whom::Instance, |said| Deed::Cut(said.who, said.lasts)),
    ("drain", Whom::Server, |said| Deed::Drain(said.who, said.lasts)),
    ("flip", Whom::Server, |said| Deed::Flip(said.who, said.lasts)),
    ("crash", Whom::Server, |said| Deed::Crash(said.who, said.lasts)),
    ("silent", Whom::Server, |said| Deed::Silent(said.who, said.lasts)),
    ("slow", Whom::All, |said| Deed::Slow(said.times, said.lasts)),
    ("undiscovered", Whom::All, |said| Deed::Undiscovered(said.lasts)),
    ("etcd-cut", Whom::Member, |said| Deed::Etcdcut(said.who)),
    ("etcd-freeze", Whom::Member, |said| Deed::Etcdfreeze(said.who, said.lasts)),
    ("etcd-compact", Whom::All, |_| Deed::Etcdcompact),
];

#[derive(Clone, Copy, PartialEq)]
enum Whom {
    Instance,
    Server,
    Member,
    All,
}

/// What a command line sets in place of a scenario's own lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Instances.
    pub instances: Option<u32>,
    /// Requests that are offered a second.
    pub rate: Option<f64>,
    /// Seconds for which they are offered; steps behind that are left out.
    pub seconds: Option<u32>,
    /// `discovery`, `etcd` or `both`.
    pub roster: Option<String>,
}

impl Overrides {
    fn apply(&self, table: &mut Table) {
        let milliseconds = self.seconds.map(|seconds| i64::from(seconds) * 1000);
        let all = [
            ("instances", self.instances.map(|count| Value::from(i64::from(count)))),
            ("rate", self.rate.map(Value::from)),
            ("duration_ms", milliseconds.map(Value::from)),
            ("roster", self.roster.clone().map(Value::from)),
        ];
        table.extend(all.into_iter().filter_map(|(key, value)| Some((key.to_owned(), value?))));
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
            Faults(vec![Fault { key: String::new(), reason: error.message().replace('\n', ", ") }])
        })?;
        overrides.apply(&mut table);
        let mut random = fastrand::Rng::with_seed(seed);
        let written = table.remove("step");
        let mut file = Section::whole(table);
        let mut scenario = Scenario {
            name: file.parsed("name", "a text", |name| Some(name.to_owned())).unwrap_or_default(),
            instances: file.number("instances", 3, 1..=64) as usize,
            servers: file.number("servers", 12, 1..=64) as usize,
            customers: file.number("customers", 60, 1..=10_000) as usize,
            rate: file.figure("rate", 160.0, 0.0..=5000.0),
            duration: file.span_ms("duration_ms", 30_000, 1000..=3_600_000),
            together: file.flag("together", true),
            cores: file.number("cores", 0, 0..=1000) as usize,
            cold: file.flag("cold", false),
            lateness: file.span_ms("lateness_ms", 500, 0..=10_000),
            roster: file.parsed("roster", "discovery, etcd or both", Roster::read).unwrap_or_default(),
            members: file.number("members", 3, 1..=9) as usize,
            handed_over: file.flag("handed_over", true),
            ready_within: file.span_ms("ready_within_ms", 30_000, 1000..=600_000),
            steps: Vec::new(),
        };
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
            let mut section = Section::whole(table);
            scenario.draw(&mut section, &mut random);
            let key = |fault: Fault| Fault { key: format!("step[{place}].{}", fault.key), ..fault };
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
        let lasts = section.span_ms("for_ms", 2_000, 0..=600_000);
        let times = section.figure("times", 2.0, 0.1..=100.0);
        let loss = section.figure("loss", 0.0, 0.0..=1.0);
        let delay = section.span_ms("delay_ms", 0, 0..=10_000);
        let wanted = section.number("count", 1, 1..=64) as usize;
        let fixed = section.has("who").then(|| section.number("who", 0, 0..=63) as usize);
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
            let chosen: Vec<usize> = match fixed {
                Some(who) => vec![who],
                None => everyone.into_iter().take(wanted).collect(),
            };
            for (place, who) in chosen.into_iter().enumerate() {
                let deed = does(&Said { who, lasts, times, loss, delay });
                self.steps.push(Step { at: begin + gap * place as u32, deed });
            }
            let Some(every) = every else { break };
            begin += every;
            if begin >= self.duration {
                break;
            }
        }
    }
}

/// The scenarios that come with the program, by name.
pub const SHIPPED: [(&str, &str); 7] = [
    ("thirty", include_str!("../scenarios/thirty.toml")),
    ("short", include_str!("../scenarios/short.toml")),
    ("forty-cold", include_str!("../scenarios/forty-cold.toml")),
    ("calm", include_str!("../scenarios/calm.toml")),
    ("drains", include_str!("../scenarios/drains.toml")),
    ("etcd", include_str!("../scenarios/etcd.toml")),
    ("flips", include_str!("../scenarios/flips.toml")),
];

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_shipped_scenarios_are_good_and_a_seed_draws_the_same_steps() {
        for (name, text) in SHIPPED {
            let one = Scenario::parse(text, 7).unwrap_or_else(|faults| panic!("{name}: {faults}"));
            assert_eq!(one.name, name);
            assert_eq!(Ok(one.clone()), Scenario::parse(text, 7));
            assert!(one.steps.windows(2).all(|two| two[0].at <= two[1].at), "in order");
            let last = one.steps.last().map_or(Duration::ZERO, |step| step.at);
            assert!(last <= one.duration, "{name}: a step after the end");
        }
        let (_, thirty) = SHIPPED[0];
        assert_ne!(Scenario::parse(thirty, 7), Scenario::parse(thirty, 8));
    }

    #[test]
    fn faults_of_steps_are_told_by_their_place() {
        let text =
            "instances = 0\n[[step]]\ndo = \"kil\"\n[[step]]\ndo = \"kill\"\nwho = 9\nwhen = 3\n[[step]]\n";
        let faults = Scenario::parse(text, 1).expect_err("it is bad").to_string();
        for part in [
            "instances: ",
            "step[0].do: ",
            "step[1].who: must be below 3",
            "step[1].when: unknown",
            "step[2].do",
        ] {
            assert!(faults.contains(part), "{part} in {faults}");
        }
    }
}
