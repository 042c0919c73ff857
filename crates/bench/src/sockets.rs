//! WebSocket connections: memory and CPU of idle ones, the time until all sockets of a draining server are closed,
//! and the cost of an echo compared with a bare relay of bytes and a bare relay of frames with the node's codec.

use crate::cost;
use crate::process::{self, MeasuredProcess};
use anyhow::{ensure, Context, Result};
use lexopt::prelude::*;
use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::World;
use saffronpaddle_websocket::frames::{self, Rules, Scanner, Side};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// `Sec-WebSocket-Key` of RFC 6455, section 1.3.
const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";
/// `Sec-WebSocket-Accept` in the answer to [`KEY`].
const ACCEPT: &str = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";
/// Sockets that are opened concurrently.
const CONCURRENT_OPENS: usize = 64;

/// Times of frames and closes, µs since the start of the run.
struct Timeline {
    started: Instant,
    /// When the echo server received each data frame.
    server_frames: Mutex<Vec<u64>>,
    /// When each client received a Close frame.
    client_closes: Mutex<Vec<u64>>,
    /// When the echo server received each Close frame.
    server_closes: Mutex<Vec<u64>>,
}

impl Timeline {
    fn new() -> Timeline {
        let [server_frames, client_closes, server_closes] = [const { Mutex::new(Vec::new()) }; 3];
        Timeline {
            started: Instant::now(),
            server_frames,
            client_closes,
            server_closes,
        }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// Runs the subcommand `sockets`: measures echoes, idle sockets, the drain of their server and HTTP requests afterwards.
pub fn measure(mut arguments: lexopt::Parser) -> Result<()> {
    let (mut count, mut echoes, mut talkers, mut requests) =
        (9_800_usize, 40_000_u64, 16_usize, 20_000_u64);
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("count") => count = arguments.value()?.parse()?,
            Long("echoes") => echoes = arguments.value()?.parse()?,
            Long("talkers") => talkers = arguments.value()?.parse()?,
            Long("requests") => requests = arguments.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(
        count > 0 && echoes > 0 && talkers > 0 && requests > 0,
        "--count, --echoes, --talkers and --requests are at least 1"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let world = World::start(Bounds::default());
        let discovery = Discovery::new(Arc::clone(&world));
        let timeline = Arc::new(Timeline::new());
        let (echo_server, http_server) = (
            TcpListener::bind("127.0.0.1:0").await?,
            TcpListener::bind("127.0.0.1:0").await?,
        );
        let (echo_address, http_address) = (echo_server.local_addr()?, http_server.local_addr()?);
        tokio::spawn(serve_echoes(echo_server, Arc::clone(&timeline)));
        tokio::spawn(cost::serve_immediately(Arc::clone(&world), http_server));
        let entry = |host: &str, dial, health| Entry {
            host: host.to_owned(),
            dial,
            site: "north".to_owned(),
            block: 1,
            health,
            born_ms: 0,
        };
        discovery.change(vec![entry("s-0", echo_address, "ready")]);
        let agent = discovery.start_agent(0).await?;
        let file = std::env::temp_dir().join(format!("saffronpaddle-sockets-{}.toml", std::process::id()));
        std::fs::write(
            &file,
            format!(
                "[ready]\nlist_within_ms = 60000\npeers_within_ms = 0\n[sockets]\nclass = \"read\"\nper_node = {0}\n\
                 per_customer = 1000000\nper_server = 1000000\nopens_per_s = 100000.0\nping_after_ms = 3600000\n\
                 silent_after_ms = 7200000\n",
                count + talkers + 100
            ),
        )?;
        let program = crate::program()?;
        let node =
            process::start_node_with_descriptors(
                &program,
                &process::unlimited_fleet(),
                agent,
                Some(&file),
                2 * count + 2 * talkers + 1_000,
            )?;
        cost::wait_until_listening(&node).await?;
        measure_echoes(&node, echo_address, talkers, echoes).await?;
        let sockets = measure_idle(&node, count).await?;
        // HTTP requests need another server, as the echo server supports only WebSocket.
        discovery.change(vec![entry("s-1", http_address, "ready")]);
        tokio::time::sleep(Duration::from_millis(500)).await;
        measure_drain(sockets, &discovery, entry("s-0", echo_address, "draining"), &timeline).await?;
        let cpu_us = cost::measure_round(&world, &node, 16, requests).await?;
        println!("HTTP request after the drain: {cpu_us:.1} µs of CPU");
        let _ = std::fs::remove_file(file);
        Ok(())
    })
}

fn upgrade_request(number: u64) -> String {
    format!(
        "GET /read/{:016x} HTTP/1.1\r\nHost: bench\r\nX-Request-Id: ws-{number}\r\nX-Class: read\r\nX-Tier: free\r\n\
         X-Deadline: 3000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {KEY}\r\n\r\n",
        number % 1000
    )
}

/// Reads the head of an HTTP message byte by byte, so that no byte of the frames that follow is consumed.
async fn read_head(stream: &mut TcpStream) -> Result<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
        ensure!(
            text.len() < 16_384,
            "the head of a message is longer than 16,384 bytes"
        );
    }
    Ok(String::from_utf8(text)?)
}

/// The echo server: accepts each upgrade, echoes data frames, answers Close frames, and records when they arrive.
async fn serve_echoes(listener: TcpListener, timeline: Arc<Timeline>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let timeline = Arc::clone(&timeline);
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            read_head(&mut stream).await?;
            let response = format!(
                "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {ACCEPT}\r\n\r\n"
            );
            stream.write_all(response.as_bytes()).await?;
            loop {
                let Ok((first_byte, payload)) = read_frame(&mut stream).await else {
                    break;
                };
                let now = timeline.now();
                if first_byte & 0x0f == 8 {
                    lock(&timeline.server_closes).push(now);
                    stream
                        .write_all(&[&[0x88, payload.len() as u8], &payload[..]].concat())
                        .await?;
                    break;
                }
                lock(&timeline.server_frames).push(now);
                stream
                    .write_all(&[&[first_byte, payload.len() as u8], &payload[..]].concat())
                    .await?;
            }
            Ok::<(), anyhow::Error>(())
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Reads a frame with a payload of at most 125 bytes. Returns its first byte and its unmasked payload.
async fn read_frame(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut head = [0; 2];
    stream.read_exact(&mut head).await?;
    let length = usize::from(head[1] & 0x7f);
    ensure!(length < 126, "a frame has a payload of more than 125 bytes");
    let mut mask = [0; 4];
    if head[1] & 0x80 != 0 {
        stream.read_exact(&mut mask).await?;
    }
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload).await?;
    payload
        .iter_mut()
        .enumerate()
        .for_each(|(at, byte)| *byte ^= mask[at % 4]);
    Ok((head[0], payload))
}

async fn open(address: SocketAddr, number: u64) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(upgrade_request(number).as_bytes()).await?;
    let answer = read_head(&mut stream).await?;
    ensure!(
        answer.starts_with("HTTP/1.1 101"),
        "the upgrade was answered with {answer}"
    );
    Ok(stream)
}

/// Measures echoes of 100 bytes, one at a time on each socket, through the node and through the two bare relays in
/// turn.
async fn measure_echoes(
    node: &MeasuredProcess,
    echo_server: SocketAddr,
    talkers: usize,
    echoes: u64,
) -> Result<()> {
    println!("{echoes} echoes of 100 bytes on {talkers} sockets, three rounds in turn; the median of each");
    let byte_relay = process::start_relay("byte-relay", &[echo_server])?;
    let frame_relay = process::start_relay("frame-relay", &[echo_server])?;
    let mut results = [const { Vec::new() }; 3];
    for round in 0..3 {
        for (index, process) in [node, &byte_relay, &frame_relay].into_iter().enumerate() {
            cost::wait_until_listening(process).await?;
            let number = 1_000_000 * (1 + round * 3 + index as u64);
            results[index].push(exchange_echoes(process, number, talkers, echoes).await?);
        }
    }
    let mut medians = Vec::new();
    for (name, rounds) in ["edge node", "bare relay of bytes", "bare relay of frames"]
        .iter()
        .zip(&mut results)
    {
        rounds.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (rate, p99, cpu) = rounds[rounds.len() / 2];
        println!("  {name:<22} {rate:>8.0} echoes/s  p99 {p99:>6.0} µs  CPU {cpu:>5.1} µs an echo");
        medians.push((rate, p99, cpu));
    }
    for (name, other) in [("bytes", medians[1]), ("frames", medians[2])] {
        println!(
            "  compared with the relay of {name}: rate {:.2}, p99 {:.2}, CPU {:.2}",
            medians[0].0 / other.0,
            medians[0].1 / other.1,
            medians[0].2 / other.2
        );
    }
    Ok(())
}

/// Exchanges echoes through a process. Returns echoes/s, the 99th percentile of their latency (µs) and the CPU time
/// per echo (µs).
async fn exchange_echoes(
    process: &MeasuredProcess,
    first_number: u64,
    talkers: usize,
    echoes: u64,
) -> Result<(f64, f64, f64)> {
    let mut streams = Vec::new();
    for talker in 0..talkers as u64 {
        streams.push(open(process.address, first_number + talker).await?);
    }
    let remaining = Arc::new(AtomicU64::new(echoes));
    let (started, before) = (Instant::now(), process.main_thread_cpu_ns()?);
    let mut tasks = tokio::task::JoinSet::new();
    for mut stream in streams {
        let remaining = Arc::clone(&remaining);
        tasks.spawn(async move {
            let message = [&[0x82, 0x80 | 0x64, 0, 0, 0, 0][..], &[7; 100]].concat();
            let mut latencies = Vec::new();
            while remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                    count.checked_sub(1)
                })
                .is_ok()
            {
                let sent = Instant::now();
                stream.write_all(&message).await?;
                let (_, payload) = read_frame(&mut stream).await?;
                ensure!(
                    payload.len() == 100,
                    "an echo has {} bytes instead of 100",
                    payload.len()
                );
                latencies.push(sent.elapsed().as_secs_f64() * 1e6);
            }
            Ok(latencies)
        });
    }
    let mut all = Vec::new();
    while let Some(latencies) = tasks.join_next().await {
        all.extend(latencies??);
    }
    let (elapsed_s, cpu_us) = (
        started.elapsed().as_secs_f64(),
        (process.main_thread_cpu_ns()? - before) as f64 / 1e3,
    );
    all.sort_by(f64::total_cmp);
    let p99 = all
        .get(all.len() * 99 / 100)
        .copied()
        .context("no echo was measured")?;
    Ok((echoes as f64 / elapsed_s, p99, cpu_us / echoes as f64))
}

/// Opens sockets and measures their memory and CPU while they are idle.
async fn measure_idle(node: &MeasuredProcess, count: usize) -> Result<Vec<TcpStream>> {
    let before = node.memory()?;
    let started = Instant::now();
    let mut sockets = Vec::new();
    while sockets.len() < count {
        let batch = CONCURRENT_OPENS.min(count - sockets.len());
        let first = sockets.len() as u64;
        let opened =
            (0..batch as u64).map(|number| tokio::spawn(open(node.address, first + number)));
        for task in opened.collect::<Vec<_>>() {
            sockets.push(task.await??);
        }
    }
    println!(
        "{count} sockets on one node, opened in {:.1} s",
        started.elapsed().as_secs_f64()
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let bytes_per_socket = (node.memory()?.saturating_sub(before)) as f64 / count as f64;
    println!(
        "  memory of the process: {bytes_per_socket:.0} bytes per relayed pair of connections ({:.1} MB in all)",
        node.memory()? as f64 / 1e6
    );
    let cpu_before = node.cpu_seconds()?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    println!(
        "  CPU while all are idle: {:.2}% of a core",
        (node.cpu_seconds()? - cpu_before) / 5.0 * 100.0
    );
    Ok(sockets)
}

/// Drains the server of all sockets, and measures when they are closed on both sides. Fails if a data frame passes
/// later than 250 ms after the change of the list, or if a client gets no Close frame.
async fn measure_drain(
    sockets: Vec<TcpStream>,
    discovery: &Discovery,
    draining: Entry,
    timeline: &Arc<Timeline>,
) -> Result<()> {
    let count = sockets.len();
    lock(&timeline.server_frames).clear();
    lock(&timeline.server_closes).clear();
    let mut closing = tokio::task::JoinSet::new();
    let talkers = sockets.len().min(200);
    for (number, mut stream) in sockets.into_iter().enumerate() {
        let timeline = Arc::clone(timeline);
        closing.spawn(async move {
            let (mut reader, mut writer) = stream.split();
            // Some sockets keep sending, so that a frame that passes too late is detected.
            let send = async {
                let message = [&[0x82, 0x80 | 0x64, 0, 0, 0, 0][..], &[7; 100]].concat();
                let mut open = number < talkers;
                while open {
                    open = writer.write_all(&message).await.is_ok();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                std::future::pending::<()>().await;
            };
            let receive = async {
                let mut bytes = Vec::new();
                let mut buffer = [0; 512];
                loop {
                    match reader.read(&mut buffer).await {
                        Ok(0) | Err(_) => break,
                        Ok(length) => bytes.extend_from_slice(&buffer[..length]),
                    }
                    let mut scanner = Scanner::new(Side::Server, rules());
                    let (mut out, mut events) = (Vec::new(), Vec::new());
                    let _ = scanner.scan(&bytes, &mut out, &mut events);
                    if scanner.closed() {
                        lock(&timeline.client_closes).push(timeline.now());
                        break;
                    }
                    if scanner.at_boundary() && bytes.len() == out.len() {
                        bytes.clear();
                    }
                }
            };
            tokio::select! {
                () = send => {}
                () = receive => {}
            }
            let _ = stream
                .write_all(&frames::close(Side::Server, 1001, "", [0; 4]))
                .await;
            let _ = stream.shutdown().await;
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let drained_at = timeline.now();
    discovery.change(vec![draining]);
    let all_closed = async { while closing.join_next().await.is_some() {} };
    ensure!(
        tokio::time::timeout(Duration::from_secs(30), all_closed)
            .await
            .is_ok(),
        "some sockets are still open 30 s after their server drains"
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ms = |at: Option<&u64>| at.map_or(f64::NAN, |at| (*at as f64 - drained_at as f64) / 1e3);
    let (clients, servers, frames) = (
        lock(&timeline.client_closes).clone(),
        lock(&timeline.server_closes).clone(),
        lock(&timeline.server_frames).clone(),
    );
    println!(
        "the server drains ({talkers} sockets send a frame each 5 ms), in ms after the change of the list:"
    );
    println!(
        "  Close to clients: {} of {count}, first {:.1}, last {:.1}",
        clients.len(),
        ms(clients.iter().min()),
        ms(clients.iter().max())
    );
    println!(
        "  Close to the server: {} of {count}, first {:.1}, last {:.1}",
        servers.len(),
        ms(servers.iter().min()),
        ms(servers.iter().max())
    );
    let late = frames
        .iter()
        .filter(|at| **at > drained_at + 250_000)
        .count();
    println!(
        "  last data frame to the server {:.1}; after 250 ms: {late}",
        ms(frames.iter().max())
    );
    ensure!(
        late == 0 && clients.len() == count,
        "{late} data frames passed later than 250 ms after the change, and {} of {count} clients got a Close",
        clients.len()
    );
    Ok(())
}

/// Rules of the codec: frames and messages of up to 1 MiB, without compression and UTF-8 validation.
fn rules() -> Rules {
    Rules {
        max_frame_bytes: 1 << 20,
        max_message_bytes: 1 << 20,
        deflate: false,
        utf8: false,
    }
}

/// Runs a bare relay, which copies bytes or, with `parse_frames`, passes all frames after the upgrade through the
/// node's codec.
pub fn serve_relay(mut arguments: lexopt::Parser, parse_frames: bool) -> Result<()> {
    let mut addresses = Vec::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(value) => addresses.push(value.parse::<SocketAddr>()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let [listen, server] = addresses[..] else {
        anyhow::bail!("the relay needs the address to listen on and the address of the server")
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (mut client, _) = listener.accept().await?;
            tokio::spawn(async move {
                let mut server = TcpStream::connect(server).await?;
                client.set_nodelay(true)?;
                server.set_nodelay(true)?;
                if !parse_frames {
                    tokio::io::copy_bidirectional(&mut client, &mut server).await?;
                    return Ok(());
                }
                let request = read_head(&mut client).await?;
                server.write_all(request.as_bytes()).await?;
                let response = read_head(&mut server).await?;
                client.write_all(response.as_bytes()).await?;
                let (mut from_client, mut to_client) = client.into_split();
                let (mut from_server, mut to_server) = server.into_split();
                tokio::try_join!(
                    relay_frames(Side::Client, &mut from_client, &mut to_server),
                    relay_frames(Side::Server, &mut from_server, &mut to_client)
                )?;
                Ok::<(), anyhow::Error>(())
            });
        }
    })
}

async fn relay_frames(
    side: Side,
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
) -> Result<()> {
    let mut scanner = Scanner::new(side, rules());
    let mut buffer = vec![0; 16 * 1024];
    let (mut out, mut events) = (Vec::new(), Vec::new());
    loop {
        let length = from.read(&mut buffer).await?;
        ensure!(length > 0, "the connection was closed");
        let scanned = scanner.scan(&buffer[..length], &mut out, &mut events);
        ensure!(scanned.is_ok(), "a frame violates the WebSocket protocol");
        to.write_all(&out).await?;
        out.clear();
        events.clear();
    }
}
