//! Sockets: what an idle one costs, how late the last of a draining server's goes, and what a relayed echo costs beside a
//! bare relay of bytes and a bare relay on the same codec.

use crate::cost;
use crate::process::{self, Measured};
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

/// The key of section 1.3, and what it asks for.
const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";
const ACCEPT: &str = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";
/// Clients that are connected at a time.
const AT_ONCE: usize = 64;

/// When what happened, in µs since the run began.
struct Seen {
    begun: Instant,
    server_frames: Mutex<Vec<u64>>,
    client_closes: Mutex<Vec<u64>>,
    server_closes: Mutex<Vec<u64>>,
}

impl Seen {
    fn new() -> Seen {
        let [server_frames, client_closes, server_closes] = [const { Mutex::new(Vec::new()) }; 3];
        Seen {
            begun: Instant::now(),
            server_frames,
            client_closes,
            server_closes,
        }
    }

    fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }
}

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
        "nothing to measure"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let world = World::start(Bounds::default());
        let discovery = Discovery::new(Arc::clone(&world));
        let seen = Arc::new(Seen::new());
        let (board, plain) = (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
        let (board_at, plain_at) = (board.local_addr()?, plain.local_addr()?);
        tokio::spawn(serve(board, Arc::clone(&seen)));
        tokio::spawn(cost::answer(Arc::clone(&world), plain));
        let entry = |host: &str, dial, health| Entry {
            host: host.to_owned(),
            dial,
            site: "north".to_owned(),
            block: 1,
            health,
            born_ms: 0,
        };
        discovery.change(vec![entry("s-0", board_at, "ready")]);
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
            process::with_descriptors(&program, &process::unbound(), agent, Some(&file), 2 * count + 2 * talkers + 1_000)?;
        cost::up(&node).await?;
        echo(&node, board_at, talkers, echoes).await?;
        let sockets = idle(&node, count).await?;
        // Requests go to another server: the board's speaks frames.
        discovery.change(vec![entry("s-1", plain_at, "ready")]);
        tokio::time::sleep(Duration::from_millis(500)).await;
        drain(sockets, &discovery, entry("s-0", board_at, "draining"), &seen).await?;
        let beside = cost::round(&world, &node, 16, requests).await?;
        println!("a request after that: {beside:.1} µs of CPU");
        let _ = std::fs::remove_file(file);
        Ok(())
    })
}

fn upgrade(number: u64) -> String {
    format!(
        "GET /read/{:016x} HTTP/1.1\r\nHost: bench\r\nX-Request-Id: ws-{number}\r\nX-Class: read\r\nX-Tier: free\r\n\
         X-Deadline: 3000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {KEY}\r\n\r\n",
        number % 1000
    )
}

/// Reads a head, byte by byte: nothing behind it is taken.
async fn head(stream: &mut TcpStream) -> Result<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
        ensure!(text.len() < 16_384, "a head without end");
    }
    Ok(String::from_utf8(text)?)
}

/// The board server: says yes to each upgrade, echoes data, answers closes, and notes when frames came.
async fn serve(listener: TcpListener, seen: Arc<Seen>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let seen = Arc::clone(&seen);
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            head(&mut stream).await?;
            let yes = format!(
                "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {ACCEPT}\r\n\r\n"
            );
            stream.write_all(yes.as_bytes()).await?;
            loop {
                let Ok((first, payload)) = frame(&mut stream).await else {
                    break;
                };
                let now = seen.now();
                if first & 0x0f == 8 {
                    lock(&seen.server_closes).push(now);
                    stream
                        .write_all(&[&[0x88, payload.len() as u8], &payload[..]].concat())
                        .await?;
                    break;
                }
                lock(&seen.server_frames).push(now);
                stream
                    .write_all(&[&[first, payload.len() as u8], &payload[..]].concat())
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

/// A frame of at most 125 bytes: its first byte, and its payload without a mask.
async fn frame(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut head = [0; 2];
    stream.read_exact(&mut head).await?;
    let length = usize::from(head[1] & 0x7f);
    ensure!(length < 126, "a frame that is too long for this");
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
    stream.write_all(upgrade(number).as_bytes()).await?;
    let answer = head(&mut stream).await?;
    ensure!(answer.starts_with("HTTP/1.1 101"), "{answer}");
    Ok(stream)
}

/// Echoes of 100 bytes, one at a time on each socket, through the node and through two bare relays in turn.
async fn echo(node: &Measured, board: SocketAddr, talkers: usize, echoes: u64) -> Result<()> {
    println!("{echoes} echoes of 100 bytes on {talkers} sockets, three rounds in turn; the median of each");
    let bytes = process::relay("byte-relay", &[board])?;
    let codec = process::relay("frame-relay", &[board])?;
    let mut figures = [const { Vec::new() }; 3];
    for round in 0..3 {
        for (place, process) in [node, &bytes, &codec].into_iter().enumerate() {
            cost::up(process).await?;
            let number = 1_000_000 * (1 + round * 3 + place as u64);
            figures[place].push(talk(process, number, talkers, echoes).await?);
        }
    }
    let mut medians = Vec::new();
    for (name, rounds) in ["edge node", "bare relay of bytes", "bare relay of frames"]
        .iter()
        .zip(&mut figures)
    {
        rounds.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (rate, p99, cpu) = rounds[rounds.len() / 2];
        println!("  {name:<22} {rate:>8.0} echoes/s  p99 {p99:>6.0} µs  CPU {cpu:>5.1} µs an echo");
        medians.push((rate, p99, cpu));
    }
    for (name, other) in [("bytes", medians[1]), ("frames", medians[2])] {
        println!(
            "  beside the relay of {name}: rate {:.2}, p99 {:.2}, CPU {:.2}",
            medians[0].0 / other.0,
            medians[0].1 / other.1,
            medians[0].2 / other.2
        );
    }
    Ok(())
}

async fn talk(
    process: &Measured,
    first: u64,
    talkers: usize,
    echoes: u64,
) -> Result<(f64, f64, f64)> {
    let mut streams = Vec::new();
    for talker in 0..talkers as u64 {
        streams.push(open(process.address, first + talker).await?);
    }
    let left = Arc::new(AtomicU64::new(echoes));
    let (begun, before) = (Instant::now(), process.spent()?);
    let mut tasks = tokio::task::JoinSet::new();
    for mut stream in streams {
        let left = Arc::clone(&left);
        tasks.spawn(async move {
            let words = [&[0x82, 0x80 | 0x64, 0, 0, 0, 0][..], &[7; 100]].concat();
            let mut took = Vec::new();
            while left
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                    left.checked_sub(1)
                })
                .is_ok()
            {
                let sent = Instant::now();
                stream.write_all(&words).await?;
                let (_, payload) = frame(&mut stream).await?;
                ensure!(payload.len() == 100, "another payload");
                took.push(sent.elapsed().as_secs_f64() * 1e6);
            }
            Ok(took)
        });
    }
    let mut all = Vec::new();
    while let Some(took) = tasks.join_next().await {
        all.extend(took??);
    }
    let (span, cpu) = (
        begun.elapsed().as_secs_f64(),
        (process.spent()? - before) as f64 / 1e3,
    );
    all.sort_by(f64::total_cmp);
    let p99 = all.get(all.len() * 99 / 100).copied().context("echoes")?;
    Ok((echoes as f64 / span, p99, cpu / echoes as f64))
}

/// Idle sockets: what memory and CPU they take.
async fn idle(node: &Measured, count: usize) -> Result<Vec<TcpStream>> {
    let before = node.memory()?;
    let opening = Instant::now();
    let mut sockets = Vec::new();
    while sockets.len() < count {
        let many = AT_ONCE.min(count - sockets.len());
        let first = sockets.len() as u64;
        let opened =
            (0..many as u64).map(|number| tokio::spawn(open(node.address, first + number)));
        for task in opened.collect::<Vec<_>>() {
            sockets.push(task.await??);
        }
    }
    println!(
        "{count} sockets on one node, opened in {:.1} s",
        opening.elapsed().as_secs_f64()
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let each = (node.memory()?.saturating_sub(before)) as f64 / count as f64;
    println!(
        "  memory of the process: {each:.0} bytes a relayed pair ({:.1} MB in all)",
        node.memory()? as f64 / 1e6
    );
    let spent = node.spent_all()?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    println!(
        "  CPU while all are idle: {:.2}% of a core",
        (node.spent_all()? - spent) / 5.0 * 100.0
    );
    Ok(sockets)
}

/// The drain of the server that holds all sockets.
async fn drain(
    sockets: Vec<TcpStream>,
    discovery: &Discovery,
    draining: Entry,
    seen: &Arc<Seen>,
) -> Result<()> {
    let count = sockets.len();
    lock(&seen.server_frames).clear();
    lock(&seen.server_closes).clear();
    let mut closing = tokio::task::JoinSet::new();
    let talkers = sockets.len().min(200);
    for (number, mut stream) in sockets.into_iter().enumerate() {
        let seen = Arc::clone(seen);
        closing.spawn(async move {
            let (mut reader, mut writer) = stream.split();
            // Some talk all the while, so that a frame that is let through too late is there to be seen.
            let talk = async {
                let words = [&[0x82, 0x80 | 0x64, 0, 0, 0, 0][..], &[7; 100]].concat();
                let mut talks = number < talkers;
                while talks {
                    talks = writer.write_all(&words).await.is_ok();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                std::future::pending::<()>().await;
            };
            let hear = async {
                let mut bytes = Vec::new();
                let mut buffer = [0; 512];
                loop {
                    match reader.read(&mut buffer).await {
                        Ok(0) | Err(_) => break,
                        Ok(length) => bytes.extend_from_slice(&buffer[..length]),
                    }
                    let mut scanner = Scanner::new(Side::Server, rules());
                    let (mut out, mut what) = (Vec::new(), Vec::new());
                    let _ = scanner.scan(&bytes, &mut out, &mut what);
                    if scanner.closed() {
                        lock(&seen.client_closes).push(seen.now());
                        break;
                    }
                    if scanner.at_boundary() && bytes.len() == out.len() {
                        bytes.clear();
                    }
                }
            };
            tokio::select! {
                () = talk => {}
                () = hear => {}
            }
            let _ = stream
                .write_all(&frames::close(Side::Server, 1001, "", [0; 4]))
                .await;
            let _ = stream.shutdown().await;
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let told = seen.now();
    discovery.change(vec![draining]);
    let all = async { while closing.join_next().await.is_some() {} };
    ensure!(
        tokio::time::timeout(Duration::from_secs(30), all)
            .await
            .is_ok(),
        "they do not close"
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ms = |at: Option<&u64>| at.map_or(f64::NAN, |at| (*at as f64 - told as f64) / 1e3);
    let (clients, servers, frames) = (
        lock(&seen.client_closes).clone(),
        lock(&seen.server_closes).clone(),
        lock(&seen.server_frames).clone(),
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
    let late = frames.iter().filter(|at| **at > told + 250_000).count();
    println!(
        "  last data frame to the server {:.1}; after 250 ms: {late}",
        ms(frames.iter().max())
    );
    ensure!(
        late == 0 && clients.len() == count,
        "sockets outlived the drain"
    );
    Ok(())
}

fn rules() -> Rules {
    Rules {
        max_frame_bytes: 1 << 20,
        max_message_bytes: 1 << 20,
        deflate: false,
        utf8: false,
    }
}

/// A bare relay: bytes as they come, or, behind the heads, frames through the node's codec.
pub fn relay(mut arguments: lexopt::Parser, scans: bool) -> Result<()> {
    let mut addresses = Vec::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(value) => addresses.push(value.parse::<SocketAddr>()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let [listen, server] = addresses[..] else {
        anyhow::bail!("where to listen, and the server")
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
                if !scans {
                    tokio::io::copy_bidirectional(&mut client, &mut server).await?;
                    return Ok(());
                }
                let asked = head(&mut client).await?;
                server.write_all(asked.as_bytes()).await?;
                let answered = head(&mut server).await?;
                client.write_all(answered.as_bytes()).await?;
                let (mut from_client, mut to_client) = client.into_split();
                let (mut from_server, mut to_server) = server.into_split();
                tokio::try_join!(
                    scan(Side::Client, &mut from_client, &mut to_server),
                    scan(Side::Server, &mut from_server, &mut to_client)
                )?;
                Ok::<(), anyhow::Error>(())
            });
        }
    })
}

async fn scan(
    side: Side,
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
) -> Result<()> {
    let mut scanner = Scanner::new(side, rules());
    let mut buffer = vec![0; 16 * 1024];
    let (mut out, mut seen) = (Vec::new(), Vec::new());
    loop {
        let length = from.read(&mut buffer).await?;
        ensure!(length > 0, "it has ended");
        let scanned = scanner.scan(&buffer[..length], &mut out, &mut seen);
        ensure!(scanned.is_ok(), "what must not pass");
        to.write_all(&out).await?;
        out.clear();
        seen.clear();
    }
}
