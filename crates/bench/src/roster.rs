//! The list of servers in etcd: time to the first full list, memory and CPU. By default there are 10,000 hosts and
//! 100 changes per second.

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

/// Runs the subcommand `roster`: starts a node that follows a list in etcd, and prints its time to the whole list, its
/// memory, and the CPU time that a change of the list costs.
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
        let started = Instant::now();
        let node = process::start_operated_node(&crate::program()?, &process::unlimited_fleet(), agent, Some(&file))?;
        while !is_ready(&world, &node).await {
            ensure!(started.elapsed() < Duration::from_mins(1), "the node is not ready within 60 s");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        println!("{hosts} hosts: exec to ready with the whole list {:.0} ms", started.elapsed().as_secs_f64() * 1e3);
        println!("memory then {:.1} MB", node.memory()? as f64 / 1e6);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (before, started) = (node.thread_usage()?, Instant::now());
        tokio::time::sleep(Duration::from_secs(3)).await;
        let idle = usage_rates(&before, &node.thread_usage()?, started.elapsed());
        let (before, started) = (node.thread_usage()?, Instant::now());
        let mut tick = tokio::time::interval(Duration::from_secs(1) / changes_s);
        for number in 0..(changes_s * seconds) as usize {
            tick.tick().await;
            let health = if number / hosts % 2 == 0 { "draining" } else { "ready" };
            etcd.put(&key(number % hosts), &value(number % hosts, health));
        }
        let busy = usage_rates(&before, &node.thread_usage()?, started.elapsed());
        let total = |rates: &Rates| rates.values().map(|(cpu, _)| cpu).sum::<f64>();
        let (idle_total, busy_total) = (total(&idle), total(&busy));
        println!(
            "idle {:.3}% of a core; at {changes_s} changes a second {:.3}%",
            idle_total * 100.0,
            busy_total * 100.0
        );
        let seconds_per_change = 1.0 / f64::from(changes_s);
        println!("a change costs {:.1} µs of CPU", (busy_total - idle_total) * 1e6 * seconds_per_change);
        for (name, (cpu, slices)) in &busy {
            let (idle_cpu, idle_slices) = idle.get(name).copied().unwrap_or_default();
            let (cpu, slices) = (
                (cpu - idle_cpu) * 1e6 * seconds_per_change,
                (slices - idle_slices) * seconds_per_change,
            );
            println!("  thread {name}: {cpu:.1} µs and {slices:.2} runs a change, {:.3}% idle", idle_cpu * 100.0);
        }
        println!("memory after {} changes {:.1} MB", changes_s * seconds, node.memory()? as f64 / 1e6);
        let _ = std::fs::remove_file(&file);
        Ok(())
    })
}

/// CPU time (s) and time slices per second, by thread name.
type Rates = BTreeMap<String, (f64, f64)>;

fn usage_rates(
    before: &BTreeMap<String, (u64, u64)>,
    after: &BTreeMap<String, (u64, u64)>,
    elapsed: Duration,
) -> Rates {
    let elapsed_s = elapsed.as_secs_f64();
    let rate = |(name, (cpu_ns, slices)): (&String, &(u64, u64))| {
        let (cpu_ns_before, slices_before) = before.get(name).copied().unwrap_or_default();
        let cpu = cpu_ns.saturating_sub(cpu_ns_before) as f64 / 1e9 / elapsed_s;
        (
            name.clone(),
            (cpu, slices.saturating_sub(slices_before) as f64 / elapsed_s),
        )
    };
    after.iter().map(rate).collect()
}

async fn is_ready(world: &World, node: &process::MeasuredProcess) -> bool {
    let request = async {
        let mut connection = HttpConnection::new(TcpStream::connect(node.address).await?);
        connection
            .write(b"GET /-/ready HTTP/1.1\r\nHost: bench\r\n\r\n")
            .await?;
        connection
            .read_message(world)
            .await?
            .context("the node closed the connection without an answer")
    };
    request.await.is_ok_and(|answer| answer.status() == 200)
}
