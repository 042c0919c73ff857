//! Watchdog heartbeats of a node that runs inside the test process.

use saffronpaddle_node::{Config, Edge, Manager, OperatorFile, Options, ProcessSignal};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig};
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use std::time::{Duration, Instant};

/// The watchdog's period: the longest time that the manager allows between two heartbeats.
const WATCHDOG_PERIOD: Duration = Duration::from_secs(3);

fn options(notify_socket: &Path) -> Options {
    // No process listens at this address. The event loop runs without discovery and peers.
    let unused_address = "127.0.0.1:9".parse().expect("a valid address");
    let any_port = "127.0.0.1:0".parse().expect("a valid address");
    let (name, peers) = ("n0".to_owned(), vec![unused_address]);
    let node_config = NodeConfig {
        name,
        listen: any_port,
        discovery: unused_address,
        peer_listen: any_port,
        peers,
        sockets: 256,
        memory_mb: 64,
    };
    let text = configuration(&node_config, &Fleet::typical(1).settings(0), None, 1);
    let config = Config::parse(Path::new("none"), &text).expect("the configuration is valid");
    let settings = saffronpaddle_operator_config::Operator::default();
    let operator = Some(OperatorFile {
        path: "none".into(),
        settings,
    });
    let manager =
        Manager::at(notify_socket.as_os_str(), Some(WATCHDOG_PERIOD)).expect("a valid address");
    Options {
        config,
        operator,
        inherited_listener: None,
        rendezvous: None,
        manager,
    }
}

/// Runs a node with an additional task on its event loop. `watch` receives on the socket of its service manager.
fn run<F: std::future::Future<Output = ()> + 'static>(
    tag: &str,
    additional_task: impl FnOnce() -> F + Send + 'static,
    watch: impl FnOnce(&UnixDatagram),
) {
    let path = std::env::temp_dir().join(format!("saffronpaddle-{}-{tag}", std::process::id()));
    let socket = UnixDatagram::bind(&path).expect("the socket binds");
    socket
        .set_read_timeout(Some(Duration::from_mins(1)))
        .expect("the socket accepts a read timeout");
    let (signal_sender, signals) = tokio::sync::mpsc::unbounded_channel();
    let options = options(&path);
    let node = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime is built");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let edge = Edge::bind(options).await.expect("the node binds");
            edge.spawn(additional_task());
            edge.run(signals).await;
        });
    });
    watch(&socket);
    signal_sender
        .send(ProcessSignal::stop())
        .expect("the node runs");
    node.join().expect("the node ends without a panic");
    let _ = std::fs::remove_file(path);
}

/// Returns the longest time between two heartbeats over `duration`, counted from the first one.
fn longest_gap(socket: &UnixDatagram, duration: Duration) -> Duration {
    let mut buffer = [0; 4096];
    let (mut last, mut longest, mut first) = (None::<Instant>, Duration::ZERO, None::<Instant>);
    while first.is_none_or(|first| first.elapsed() < duration) {
        let length = socket
            .recv(&mut buffer)
            .expect("the manager receives a message");
        if buffer[..length].starts_with(b"WATCHDOG=1") {
            let now = Instant::now();
            first.get_or_insert(now);
            longest = longest.max(last.replace(now).map_or(Duration::ZERO, |last| now - last));
        }
    }
    longest
}

/// A node whose event loop is blocked must miss the watchdog's period, so that the manager restarts it. A node whose
/// loop runs must not.
#[test]
fn heartbeats_miss_the_watchdog_period_only_while_the_event_loop_is_blocked() {
    let idle = || async {};
    run("running", idle, |socket| {
        let gap = longest_gap(socket, 2 * WATCHDOG_PERIOD);
        assert!(
            gap < WATCHDOG_PERIOD,
            "{gap:?} between heartbeats while the event loop was running"
        );
    });
    let blocking = || async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        // Blocks the event loop, as a task that never yields would.
        std::thread::sleep(WATCHDOG_PERIOD * 2);
    };
    run("blocked", blocking, |socket| {
        let gap = longest_gap(socket, WATCHDOG_PERIOD * 2);
        assert!(
            gap > WATCHDOG_PERIOD,
            "{gap:?} between heartbeats while the event loop was blocked"
        );
    });
}
