//! Time from exec to readiness, and memory and CPU of an idle node.

use crate::process;
use anyhow::{ensure, Result};
use lexopt::prelude::*;
use saffronpaddle_test_doubles::discovery::Discovery;
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::wire::HttpConnection;
use saffronpaddle_test_doubles::World;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Runs the subcommand `idle`: starts a node repeatedly, and prints its time to readiness and what it uses while idle.
pub fn measure(mut arguments: lexopt::Parser) -> Result<()> {
    let mut starts = 20;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("starts") => starts = arguments.value()?.parse::<usize>()?.max(1),
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
        let agent = discovery.start_agent(0).await?;
        let fleet = process::unlimited_fleet();
        let (mut ready_ms, mut memory_mb, mut cpu_share) = (Vec::new(), 0.0_f64, 0.0_f64);
        for _ in 0..starts {
            let started = Instant::now();
            let node =
                process::start_node(&crate::program()?, &fleet, agent, &discovery.full_list())?;
            loop {
                ensure!(
                    started.elapsed() < Duration::from_secs(20),
                    "the node is not ready within 20 s"
                );
                let Ok(stream) = TcpStream::connect(node.address).await else {
                    tokio::time::sleep(Duration::from_micros(200)).await;
                    continue;
                };
                let mut connection = HttpConnection::new(stream);
                connection
                    .write(b"GET /-/ready HTTP/1.1\r\nHost: bench\r\n\r\n")
                    .await?;
                if connection
                    .read_message(&world)
                    .await?
                    .is_some_and(|answer| answer.status() == 200)
                {
                    break;
                }
            }
            ready_ms.push(started.elapsed().as_secs_f64() * 1e3);
            let before = node.main_thread_cpu_ns()?;
            tokio::time::sleep(Duration::from_secs(1)).await;
            cpu_share = cpu_share.max((node.main_thread_cpu_ns()? - before) as f64 / 1e9);
            memory_mb = memory_mb.max(node.memory()? as f64 / 1e6);
        }
        ready_ms.sort_by(f64::total_cmp);
        let (first, last) = (ready_ms[0], ready_ms[ready_ms.len() - 1]);
        println!(
            "{starts} starts: exec to ready {first:.1} to {last:.1} ms, median {:.1}",
            ready_ms[ready_ms.len() / 2]
        );
        println!(
            "idle: {memory_mb:.1} MB at most, {:.3}% of a core at most",
            cpu_share * 100.0
        );
        Ok(())
    })
}
