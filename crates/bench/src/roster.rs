//! The roster through etcd: time to the first whole list, memory and CPU with ten thousand hosts at a hundred changes a
//! second, and how long each change takes from its write to the follower's taker.

use crate::process;
use anyhow::{ensure, Context, Result};
use lexopt::prelude::*;
use saffronpaddle_test_doubles::discovery::Discovery;
use saffronpaddle_test_doubles::etcd::Etcd;
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::wire::HttpConnection;
use saffronpaddle_test_doubles::World;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

pub fn measure(mut arguments: lexopt::Parser) -> Result<()> {
    let (mut hosts, mut changes_s, mut seconds) = (10_000_usize, 100_u32, 10_u32);
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("hosts") => hosts = arguments.value()?.parse()?,
            Long("changes") => changes_s = arguments.value()?.parse::<u32>()?.max(1),
            Long("seconds") => seconds = arguments.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let world = World::start(Bounds::default());
        let discovery = Discovery::new(Arc::clone(&world));
        let etcd = Etcd::start(3).await?;
        let key = |number: usize| format!("/saffronpaddle/servers/s-{number}");
        let value = |number: usize, health: &str| {
            let dial = format!("127.1.{}.{}:9", number / 250 % 250, number % 250 + 1);
            format!(r#"{{"dial":"{dial}","site":"north","block":{},"health":"{health}","born_ms":1}}"#, number / 3)
        };
        for number in 0..hosts {
            etcd.put(&key(number), &value(number, "ready"));
        }
        let endpoints: Vec<String> = etcd.endpoints().iter().map(|address| format!("\"{address}\"")).collect();
        let file = std::env::temp_dir().join(format!("saffronpaddle-roster-{}.toml", std::process::id()));
        std::fs::write(
            &file,
            format!(
                "[ready]\nlist_within_ms = 600000\npeers_within_ms = 0\n[servers]\nworking_set = true\n[etcd]\ninstead = true\nendpoints = [{}]\n",
                endpoints.join(", ")
            ),
        )?;
        let agent = discovery.start_agent(0).await?;
        let begun = Instant::now();
        let node = process::operated(&crate::program()?, &process::unbound(), agent, Some(&file))?;
        while !ready(&world, &node).await {
            ensure!(begun.elapsed() < Duration::from_mins(1), "it does not come up");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        println!("{hosts} hosts: exec to ready with the whole list {:.0} ms", begun.elapsed().as_secs_f64() * 1e3);
        println!("memory then {:.1} MB", node.memory()? as f64 / 1e6);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (before, begun) = (node.threads()?, Instant::now());
        tokio::time::sleep(Duration::from_secs(3)).await;
        let idle = since(&before, &node.threads()?, begun.elapsed());
        let (before, begun) = (node.threads()?, Instant::now());
        let mut tick = tokio::time::interval(Duration::from_secs(1) / changes_s);
        for number in 0..(changes_s * seconds) as usize {
            tick.tick().await;
            let health = if number / hosts % 2 == 0 { "draining" } else { "ready" };
            etcd.put(&key(number % hosts), &value(number % hosts, health));
        }
        let busy = since(&before, &node.threads()?, begun.elapsed());
        let all = |rates: &Rates| rates.values().map(|(spent, _)| spent).sum::<f64>();
        let (idle_all, busy_all) = (all(&idle), all(&busy));
        println!("idle {:.3}% of a core; at {changes_s} changes a second {:.3}%", idle_all * 100.0, busy_all * 100.0);
        let a_change = 1.0 / f64::from(changes_s);
        println!("a change costs {:.1} µs of CPU", (busy_all - idle_all) * 1e6 * a_change);
        for (name, (spent, runs)) in &busy {
            let (idle_spent, idle_runs) = idle.get(name).copied().unwrap_or_default();
            let (spent, runs) = ((spent - idle_spent) * 1e6 * a_change, (runs - idle_runs) * a_change);
            println!("  thread {name}: {spent:.1} µs and {runs:.2} runs a change, {:.3}% idle", idle_spent * 100.0);
        }
        println!("memory after {} changes {:.1} MB", changes_s * seconds, node.memory()? as f64 / 1e6);
        let _ = std::fs::remove_file(&file);
        Ok(())
    })
}

/// Seconds of CPU and runs a second, by thread.
type Rates = BTreeMap<String, (f64, f64)>;

fn since(
    before: &BTreeMap<String, (u64, u64)>,
    after: &BTreeMap<String, (u64, u64)>,
    over: Duration,
) -> Rates {
    let over = over.as_secs_f64();
    let rate = |(name, (spent, runs)): (&String, &(u64, u64))| {
        let (spent_before, runs_before) = before.get(name).copied().unwrap_or_default();
        let spent = spent.saturating_sub(spent_before) as f64 / 1e9 / over;
        (
            name.clone(),
            (spent, runs.saturating_sub(runs_before) as f64 / over),
        )
    };
    after.iter().map(rate).collect()
}

async fn ready(world: &World, node: &process::Measured) -> bool {
    let asked = async {
        let mut wire = HttpConnection::new(TcpStream::connect(node.address).await?);
        wire.write(b"GET /-/ready HTTP/1.1\r\nHost: bench\r\n\r\n")
            .await?;
        wire.read_message(world).await?.context("an answer")
    };
    asked.await.is_ok_and(|answer| answer.status() == 200)
}
