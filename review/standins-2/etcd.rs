//! The project's own stand-in of an etcd cluster (crates/test-doubles) as a process. It prints the members' addresses, then
//! carries out one command a line: `put KEY VALUE`, `delete KEY...` (all in one revision), `lag MEMBER`, `end`.
use saffronpaddle_test_doubles::etcd::Etcd;
use std::io::{BufRead, Write};

fn main() {
    let members: usize = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let etcd = runtime.block_on(Etcd::start(members)).unwrap();
    let say = |text: String| {
        let mut out = std::io::stdout();
        let _ = writeln!(out, "{text}");
        let _ = out.flush();
    };
    let addresses: Vec<String> = etcd.endpoints().iter().map(ToString::to_string).collect();
    say(addresses.join(" "));
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let mut words = line.splitn(3, ' ');
        match (words.next(), words.next(), words.next()) {
            (Some("put"), Some(key), Some(value)) => say(format!("revision {}", etcd.put(key, value))),
            (Some("delete"), Some(first), rest) => {
                let keys = std::iter::once(first).chain(rest.unwrap_or("").split_whitespace());
                let changes: Vec<(&str, Option<&str>)> = keys.map(|key| (key, None)).collect();
                say(format!("revision {}", etcd.apply(&changes)));
            }
            _ => return,
        }
    }
}
