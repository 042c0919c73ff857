//! Time from exec to the first answer, and memory of an instance that has nothing to do.

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
        let fleet = process::unbound();
        let (mut spans, mut memory, mut spent) = (Vec::new(), 0.0_f64, 0.0_f64);
        for _ in 0..starts {
            let begun = Instant::now();
            let node = process::node(&crate::program()?, &fleet, agent, &discovery.full_list())?;
            loop {
                ensure!(
                    begun.elapsed() < Duration::from_secs(20),
                    "it does not come up"
                );
                let Ok(stream) = TcpStream::connect(node.address).await else {
                    tokio::time::sleep(Duration::from_micros(200)).await;
                    continue;
                };
                let mut wire = HttpConnection::new(stream);
                wire.write(b"GET /-/ready HTTP/1.1\r\nHost: bench\r\n\r\n")
                    .await?;
                if wire
                    .read_message(&world)
                    .await?
                    .is_some_and(|answer| answer.status() == 200)
                {
                    break;
                }
            }
            spans.push(begun.elapsed().as_secs_f64() * 1e3);
            let before = node.spent()?;
            tokio::time::sleep(Duration::from_secs(1)).await;
            spent = spent.max((node.spent()? - before) as f64 / 1e9);
            memory = memory.max(node.memory()? as f64 / 1e6);
        }
        spans.sort_by(f64::total_cmp);
        let (first, last) = (spans[0], spans[spans.len() - 1]);
        println!(
            "{starts} starts: exec to ready {first:.1} to {last:.1} ms, median {:.1}",
            spans[spans.len() / 2]
        );
        println!(
            "idle: {memory:.1} MB at most, {:.3}% of a core at most",
            spent * 100.0
        );
        Ok(())
    })
}
