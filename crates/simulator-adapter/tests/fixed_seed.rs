//! Fixed seeds of the adapter: a small world of three instances, app servers and clients answers what the adapter says.
//! A change that is not meant to change decisions leaves every reply as it is, byte by byte.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const STEP_US: u64 = 2_000;
const SERVERS: u64 = 6;
const INSTANCES: u64 = 3;

/// A linear congruential generator: the same numbers on every machine.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// What is to be said at a later time, by time and then in the order in which it was put there.
#[derive(Default)]
struct Agenda {
    lines: BTreeMap<(u64, u64), String>,
    next: u64,
}

impl Agenda {
    fn put(&mut self, at: u64, line: String) {
        self.next += 1;
        self.lines.insert((at, self.next), line);
    }

    fn due(&mut self, now: u64) -> Vec<String> {
        let later = self.lines.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.lines, later)
            .into_values()
            .collect()
    }
}

struct World {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    numbers: Numbers,
    agenda: Agenda,
    attempts: BTreeMap<String, u64>,
    replies: u64,
    hash: u64,
    sends: u64,
    refusals: u64,
}

fn setup(me: u64, nodes: u64) -> String {
    format!(
        r#"{{"balancers":{nodes},"me":{me},"zone":"a","zones":["a","b"],"periodUs":2000,"discovery":"automatic","ceilings":{{"cancel":true,"mayTell":true,"sendCap":3}},"classes":[{{"name":"read","aimUs":400000,"deadlineUs":1500000,"lateValue":0.2,"worth":3.0,"repeat":"read_like"}},{{"name":"pay","aimUs":800000,"deadlineUs":3000000,"lateValue":0.0,"worth":9.0,"repeat":"non_idempotent"}},{{"name":"submit","aimUs":600000,"deadlineUs":2500000,"lateValue":0.1,"worth":5.0,"repeat":"idempotency_key","group":"cell","windowUs":700000}}],"packages":[{{"name":"small","rate":2.0,"storeSize":4.0,"price":1.0,"overrunCost":0.5}},{{"name":"large","rate":40.0,"storeSize":60.0,"price":2.0,"overWorth":0.3,"capRate":50.0,"neverOverDepth":80.0}},{{"name":"few","rate":30.0,"storeSize":30.0,"atOnce":4,"price":1.5}}],"rules":{{"coldFrom":0.2,"coldUs":3000000,"fallMultiple":3.0,"overloadForUs":1000000}},"deductions":{{"crossZone":0.05}},"extra":{{"peerInPerS":60.0,"maxUnits":2}}}}"#
    )
}

impl World {
    fn start(seed: u64, nodes: u64) -> World {
        let mut child = Command::new(env!("CARGO_BIN_EXE_saffronpaddle-simulator-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("piped");
        let output = BufReader::new(child.stdout.take().expect("piped"));
        let mut world = World {
            child,
            input,
            output,
            numbers: Numbers(seed),
            agenda: Agenda::default(),
            attempts: BTreeMap::new(),
            replies: 0,
            hash: 0xcbf2_9ce4_8422_2325,
            sends: 0,
            refusals: 0,
        };
        world.opening(seed, nodes);
        world
    }

    fn opening(&mut self, seed: u64, nodes: u64) {
        let items: String = (0..SERVERS)
            .map(|server| {
                let zone = if server % 2 == 0 { "a" } else { "b" };
                let up = if server == 5 { "\tcameUpUs=900000" } else { "" };
                format!(
                    "item\tserver={server}\tcampus={zone}\tfamilyType=k\tbay={}\treadiness=Ready\tcapacityHint=1{up}\n",
                    server % 3
                )
            })
            .collect();
        let mut batch = format!("register\tlist=0\titems={SERVERS}\n{items}");
        for instance in 0..INSTANCES {
            let seed = seed + instance;
            let setup = setup(instance, nodes);
            batch.push_str(&format!(
                "hello\ti={instance}\trandomSeed={seed}\tsetup={setup}\n"
            ));
            batch.push_str(&format!(
                "update\ti={instance}\tkind=Complete\tgen=1\tlist=0\n"
            ));
        }
        self.batch(1_000_000, &batch);
    }

    /// Clients' tries of this step, at an instance each.
    fn tries(&mut self, now: u64, number: &mut u64, nodes: u64, batch: &mut String) {
        for instance in 0..INSTANCES {
            if self.numbers.below(100) >= 20 {
                continue;
            }
            *number += 1;
            let grade = ["read", "read", "pay", "submit"][self.numbers.below(4) as usize];
            let package = ["small", "large", "few"][self.numbers.below(3) as usize];
            let client = self.numbers.below(9);
            let set = if client.is_multiple_of(3) {
                1
            } else {
                nodes.min(6)
            };
            let base = if set == 1 { instance } else { 0 };
            let ttl = 300_000 + self.numbers.below(20) * 100_000;
            batch.push_str(&format!(
                "knock\ti={instance}\tcall=r{number}\tpackage={package}\tclientId={client}\tquotaUnits=1\tbase={base}\tsetSize={set}\tttlUs={ttl}\tgrade={grade}\n"
            ));
            if self.numbers.below(40) == 0 {
                self.agenda.put(
                    now + 20_000,
                    format!("gone\ti={instance}\tcall=r{number}\n"),
                );
            }
        }
    }

    fn batch(&mut self, now: u64, lines: &str) {
        let text = format!("frame\tnowUs={now}\n{lines}eof_batch\n");
        self.input
            .write_all(text.as_bytes())
            .expect("the adapter reads");
        self.input.flush().expect("the adapter reads");
        loop {
            let mut line = String::new();
            assert!(
                self.output
                    .read_line(&mut line)
                    .expect("the adapter writes")
                    > 0,
                "it ended"
            );
            for byte in line.bytes() {
                self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            if line == "finished\n" {
                return;
            }
            self.replies += 1;
            self.reply(now, line.trim_end());
        }
    }

    fn reply(&mut self, now: u64, line: &str) {
        let mut fields = line.split('\t');
        let name = fields.next().expect("a name");
        let fields: BTreeMap<&str, &str> =
            fields.filter_map(|field| field.split_once('=')).collect();
        let instance = fields["i"];
        match name {
            "send" => self.send(now, instance, fields["call"], fields["server"]),
            "revoke" => {
                let (call, shot) = (fields["call"], fields["shot"]);
                let server = self.attempts.get(call).copied().unwrap_or(0);
                let line = format!(
                    "finished\ti={instance}\tcall={call}\tshot={shot}\tserver={server}\tending=306\tdelaySeenUs=1\tdoneFlag=0\n"
                );
                // One that has ended by itself meanwhile is told as such, once.
                let ending = format!("\tcall={call}\tshot={shot}\t");
                let before = self.agenda.lines.len();
                self.agenda.lines.retain(|_, line| !line.contains(&ending));
                if self.agenda.lines.len() < before {
                    self.agenda.put(now + STEP_US, line);
                }
            }
            "defer" => {
                let after: u64 = fields["delayUs"].parse().expect("a number");
                self.agenda.put(
                    now + after.max(1),
                    format!("elapsed\ti={instance}\tnonce={}\n", fields["nonce"]),
                );
            }
            "tell" => self.tell(now, instance, fields["addressee"], fields["blob"]),
            "not_now" => self.refusals += 1,
            _ => {}
        }
    }

    fn send(&mut self, now: u64, instance: &str, call: &str, server: &str) {
        self.sends += 1;
        let number: u64 = server.parse().expect("a number");
        let shot = self
            .attempts
            .entry(format!("{call}:shots"))
            .and_modify(|shots| *shots += 1)
            .or_insert(0);
        let shot = *shot;
        self.attempts.insert(call.to_owned(), number);
        // Server 3 is bad for a while, server 4 hangs, server 5 is cold and slow.
        let bad = number == 3 && (2_000_000..4_500_000).contains(&now);
        let ending = match self.numbers.below(100) {
            _ if bad => 301,
            0 => 305,
            1 => 302,
            2 => 304,
            3 => 307,
            _ => 100,
        };
        let slow = if number == 4 && (3_000_000..5_000_000).contains(&now) {
            900_000
        } else {
            0
        };
        let took =
            20_000 + self.numbers.below(60) * 1_000 + slow + if number == 5 { 60_000 } else { 0 };
        let done = u64::from(ending == 100);
        self.agenda.put(
            now + took,
            format!(
                "finished\ti={instance}\tcall={call}\tshot={shot}\tserver={server}\tending={ending}\tdelaySeenUs={took}\tdoneFlag={done}\n"
            ),
        );
    }

    /// One datagram in ten is lost.
    fn tell(&mut self, now: u64, from: &str, to: &str, blob: &str) {
        for instance in 0..INSTANCES {
            let meant = to == "*" || to == instance.to_string();
            if !meant || from == instance.to_string() || self.numbers.below(10) == 0 {
                continue;
            }
            let at = now + 3_000 + self.numbers.below(9) * 1_000;
            self.agenda.put(
                at,
                format!("whisper\ti={instance}\toriginPeer={from}\tblob={blob}\n"),
            );
        }
    }

    fn play(mut self, until: u64, nodes: u64) -> String {
        let mut number = 0;
        let mut now = 1_000_000;
        while now < until {
            now += STEP_US;
            let mut batch: String = self.agenda.due(now).concat();
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
            self.tries(now, &mut number, nodes, &mut batch);
            self.batch(now, &batch);
        }
        drop(self.input);
        assert!(self.child.wait().expect("it ends").success());
        let World {
            replies,
            hash,
            sends,
            refusals,
            ..
        } = self;
        format!("{number} tries, {replies} replies, {sends} sends, {refusals} refusals, hash {hash:016x}")
    }
}

#[test]
fn three_nodes_that_tell_each_other_all_reply_as_before() {
    let played = World::start(41, 3).play(9_000_000, 3);
    assert_eq!(played, include_str!("fixtures/narrow.txt").trim_end());
}

#[test]
fn three_nodes_of_a_wide_fleet_reply_as_before() {
    let played = World::start(42, 200).play(9_000_000, 200);
    assert_eq!(played, include_str!("fixtures/wide.txt").trim_end());
}
