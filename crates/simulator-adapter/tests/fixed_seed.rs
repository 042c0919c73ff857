//! Runs the adapter against a small deterministic simulation of three instances, app servers and clients, and compares
//! a hash of all its replies with a fixture. Guards against unintended changes of decisions: a change that is not meant
//! to alter decisions must leave every reply byte for byte as it is.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Length of a simulation step, µs.
const STEP_US: u64 = 2_000;
/// Number of app servers.
const SERVERS: u64 = 6;
/// Number of instances that run; a fleet may have more nodes.
const INSTANCES: u64 = 3;

/// A linear congruential generator, which gives the same numbers on every machine.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// Lines to send to the adapter at a later time, by time (µs) and then in the order in which they were scheduled.
#[derive(Default)]
struct Schedule {
    lines: BTreeMap<(u64, u64), String>,
    last_sequence: u64,
}

impl Schedule {
    fn add(&mut self, at: u64, line: String) {
        self.last_sequence += 1;
        self.lines.insert((at, self.last_sequence), line);
    }

    fn take_due(&mut self, now: u64) -> Vec<String> {
        let later = self.lines.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.lines, later)
            .into_values()
            .collect()
    }
}

struct Simulation {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    random: RandomNumbers,
    schedule: Schedule,
    /// The server of a request's latest attempt, and under `<request>:shots` the number of that attempt.
    attempts: BTreeMap<String, u64>,
    /// Lines of all replies, without those that end a reply.
    replies: u64,
    /// FNV-1a hash of all replies.
    hash: u64,
    sends: u64,
    rejections: u64,
}

fn settings_json(node: u64, nodes: u64) -> String {
    format!(
        r#"{{"balancers":{nodes},"me":{node},"zone":"a","zones":["a","b"],"periodUs":2000,"discovery":"automatic","ceilings":{{"cancel":true,"mayTell":true,"sendCap":3}},"classes":[{{"name":"read","aimUs":400000,"deadlineUs":1500000,"lateValue":0.2,"worth":3.0,"repeat":"read_like"}},{{"name":"pay","aimUs":800000,"deadlineUs":3000000,"lateValue":0.0,"worth":9.0,"repeat":"non_idempotent"}},{{"name":"submit","aimUs":600000,"deadlineUs":2500000,"lateValue":0.1,"worth":5.0,"repeat":"idempotency_key","group":"cell","windowUs":700000}}],"packages":[{{"name":"small","rate":2.0,"storeSize":4.0,"price":1.0,"overrunCost":0.5}},{{"name":"large","rate":40.0,"storeSize":60.0,"price":2.0,"overWorth":0.3,"capRate":50.0,"neverOverDepth":80.0}},{{"name":"few","rate":30.0,"storeSize":30.0,"atOnce":4,"price":1.5}}],"rules":{{"coldFrom":0.2,"coldUs":3000000,"fallMultiple":3.0,"overloadForUs":1000000}},"deductions":{{"crossZone":0.05}},"extra":{{"peerInPerS":60.0,"maxUnits":2}}}}"#
    )
}

impl Simulation {
    fn start(seed: u64, nodes: u64) -> Simulation {
        let mut child = Command::new(env!("CARGO_BIN_EXE_saffronpaddle-simulator-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("standard input is piped");
        let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let mut simulation = Simulation {
            child,
            input,
            output,
            random: RandomNumbers(seed),
            schedule: Schedule::default(),
            attempts: BTreeMap::new(),
            replies: 0,
            hash: 0xcbf2_9ce4_8422_2325,
            sends: 0,
            rejections: 0,
        };
        simulation.send_first_batch(seed, nodes);
        simulation
    }

    fn send_first_batch(&mut self, seed: u64, nodes: u64) {
        let endpoints: String = (0..SERVERS)
            .map(|server| {
                let zone = if server % 2 == 0 { "a" } else { "b" };
                let started_at = if server == 5 { "\tcameUpUs=900000" } else { "" };
                format!(
                    "item\tserver={server}\tcampus={zone}\tfamilyType=k\tbay={}\treadiness=Ready\tcapacityHint=1{started_at}\n",
                    server % 3
                )
            })
            .collect();
        let mut batch = format!("register\tlist=0\titems={SERVERS}\n{endpoints}");
        for instance in 0..INSTANCES {
            let seed = seed + instance;
            let settings = settings_json(instance, nodes);
            batch.push_str(&format!(
                "hello\ti={instance}\trandomSeed={seed}\tsetup={settings}\n"
            ));
            batch.push_str(&format!(
                "update\ti={instance}\tkind=Complete\tgen=1\tlist=0\n"
            ));
        }
        self.exchange_batch(1_000_000, &batch);
    }

    /// Adds the requests of this time step to `batch`: one per instance with a probability of 20 %.
    fn add_requests(&mut self, now: u64, request_count: &mut u64, nodes: u64, batch: &mut String) {
        for instance in 0..INSTANCES {
            if self.random.below(100) >= 20 {
                continue;
            }
            *request_count += 1;
            let class = ["read", "read", "pay", "submit"][self.random.below(4) as usize];
            let plan = ["small", "large", "few"][self.random.below(3) as usize];
            let customer = self.random.below(9);
            let subset_size = if customer.is_multiple_of(3) {
                1
            } else {
                nodes.min(6)
            };
            let first_node = if subset_size == 1 { instance } else { 0 };
            let timeout = 300_000 + self.random.below(20) * 100_000;
            batch.push_str(&format!(
                "knock\ti={instance}\tcall=r{request_count}\tpackage={plan}\tclientId={customer}\tquotaUnits=1\tbase={first_node}\tsetSize={subset_size}\tttlUs={timeout}\tgrade={class}\n"
            ));
            if self.random.below(40) == 0 {
                self.schedule.add(
                    now + 20_000,
                    format!("gone\ti={instance}\tcall=r{request_count}\n"),
                );
            }
        }
    }

    /// Sends a batch and handles the reply to it.
    fn exchange_batch(&mut self, now: u64, lines: &str) {
        let text = format!("frame\tnowUs={now}\n{lines}eof_batch\n");
        self.input
            .write_all(text.as_bytes())
            .expect("the adapter reads its input");
        self.input.flush().expect("the adapter reads its input");
        loop {
            let mut line = String::new();
            assert!(
                self.output
                    .read_line(&mut line)
                    .expect("the adapter writes its reply")
                    > 0,
                "the adapter ended before the end of its reply"
            );
            for byte in line.bytes() {
                self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            if line == "finished\n" {
                return;
            }
            self.replies += 1;
            self.on_action(now, line.trim_end());
        }
    }

    fn on_action(&mut self, now: u64, line: &str) {
        let mut fields = line.split('\t');
        let name = fields.next().expect("an action has a name");
        let fields: BTreeMap<&str, &str> =
            fields.filter_map(|field| field.split_once('=')).collect();
        let instance = fields["i"];
        match name {
            "send" => self.on_send(now, instance, fields["call"], fields["server"]),
            "revoke" => {
                let (request, attempt) = (fields["call"], fields["shot"]);
                let server = self.attempts.get(request).copied().unwrap_or(0);
                let line = format!(
                    "finished\ti={instance}\tcall={request}\tshot={attempt}\tserver={server}\tending=306\tdelaySeenUs=1\tdoneFlag=0\n"
                );
                // The cancellation replaces the end that was scheduled for the attempt. An attempt that has already
                // ended is not reported a second time.
                let attempt_fields = format!("\tcall={request}\tshot={attempt}\t");
                let count_before = self.schedule.lines.len();
                self.schedule
                    .lines
                    .retain(|_, line| !line.contains(&attempt_fields));
                if self.schedule.lines.len() < count_before {
                    self.schedule.add(now + STEP_US, line);
                }
            }
            "defer" => {
                let delay: u64 = fields["delayUs"].parse().expect("a delay is a number");
                self.schedule.add(
                    now + delay.max(1),
                    format!("elapsed\ti={instance}\tnonce={}\n", fields["nonce"]),
                );
            }
            "tell" => self.on_send_to_peer(now, instance, fields["addressee"], fields["blob"]),
            "not_now" => self.rejections += 1,
            _ => {}
        }
    }

    fn on_send(&mut self, now: u64, instance: &str, request: &str, server: &str) {
        self.sends += 1;
        let server_id: u64 = server.parse().expect("a server id is a number");
        let attempt = self
            .attempts
            .entry(format!("{request}:shots"))
            .and_modify(|number| *number += 1)
            .or_insert(0);
        let attempt = *attempt;
        self.attempts.insert(request.to_owned(), server_id);
        // Server 3 fails and server 4 stalls for a time; server 5 has just started and is slow throughout.
        let fails = server_id == 3 && (2_000_000..4_500_000).contains(&now);
        let outcome = match self.random.below(100) {
            _ if fails => 301,
            0 => 305,
            1 => 302,
            2 => 304,
            3 => 307,
            _ => 100,
        };
        let stall = if server_id == 4 && (3_000_000..5_000_000).contains(&now) {
            900_000
        } else {
            0
        };
        let latency = 20_000
            + self.random.below(60) * 1_000
            + stall
            + if server_id == 5 { 60_000 } else { 0 };
        let request_closed = u64::from(outcome == 100);
        self.schedule.add(
            now + latency,
            format!(
                "finished\ti={instance}\tcall={request}\tshot={attempt}\tserver={server}\tending={outcome}\tdelaySeenUs={latency}\tdoneFlag={request_closed}\n"
            ),
        );
    }

    /// Delivers a message to its receivers. One datagram in ten is lost.
    fn on_send_to_peer(&mut self, now: u64, sender: &str, receiver: &str, bytes: &str) {
        for instance in 0..INSTANCES {
            let addressed = receiver == "*" || receiver == instance.to_string();
            if !addressed || sender == instance.to_string() || self.random.below(10) == 0 {
                continue;
            }
            let at = now + 3_000 + self.random.below(9) * 1_000;
            self.schedule.add(
                at,
                format!("whisper\ti={instance}\toriginPeer={sender}\tblob={bytes}\n"),
            );
        }
    }

    /// Runs the simulation until the time `until` (µs) and returns its summary, as the fixtures hold it.
    fn run(mut self, until: u64, nodes: u64) -> String {
        let mut request_count = 0;
        let mut now = 1_000_000;
        while now < until {
            now += STEP_US;
            let mut batch: String = self.schedule.take_due(now).concat();
            if now == 5_000_000 {
                batch.push_str(
                    "register\tlist=1\titems=1\nitem\tserver=0\tcampus=a\tfamilyType=k\tbay=0\treadiness=Terminating\tcapacityHint=1\n",
                );
                (0..INSTANCES).for_each(|instance| {
                    batch.push_str(&format!(
                        "update\ti={instance}\tkind=Partial\tgen=2\tlist=1\n"
                    ));
                });
            }
            self.add_requests(now, &mut request_count, nodes, &mut batch);
            self.exchange_batch(now, &batch);
        }
        drop(self.input);
        assert!(self.child.wait().expect("the adapter exits").success());
        let Simulation {
            replies,
            hash,
            sends,
            rejections,
            ..
        } = self;
        format!("{request_count} requests, {replies} reply lines, {sends} sends, {rejections} rejections, hash {hash:016x}")
    }
}

#[test]
fn replies_of_a_fleet_of_three_nodes_match_the_fixture() {
    let summary = Simulation::start(41, 3).run(9_000_000, 3);
    assert_eq!(summary, include_str!("fixtures/narrow.txt").trim_end());
}

#[test]
fn replies_of_three_nodes_in_a_fleet_of_200_match_the_fixture() {
    let summary = Simulation::start(42, 200).run(9_000_000, 200);
    assert_eq!(summary, include_str!("fixtures/wide.txt").trim_end());
}
