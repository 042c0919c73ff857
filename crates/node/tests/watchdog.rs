//! The watchdog of a node that is driven in process.

use saffronpaddle_node::{Config, Edge, Manager, OperatorFile, Options, ProcessSignal};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, Places};
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use std::time::{Duration, Instant};

/// What the manager allows between two signs of life.
const ALLOWED: Duration = Duration::from_secs(3);

fn options(notify: &Path) -> Options {
    // Nobody is there: the node needs none of them for its loop to go round.
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let free = "127.0.0.1:0".parse().expect("an address");
    let (name, peers) = ("n0".to_owned(), vec![nowhere]);
    let places = Places {
        name,
        listen: free,
        discovery: nowhere,
        peer_listen: free,
        peers,
        sockets: 256,
        memory_mb: 64,
    };
    let text = configuration(&places, &Fleet::usual(1).settings(0), None, 1);
    let config = Config::parse(Path::new("none"), &text).expect("a good configuration");
    let says = saffronpaddle_operator_config::Operator::default();
    let operator = Some(OperatorFile {
        path: "none".into(),
        settings: says,
    });
    let manager = Manager::at(notify.as_os_str(), Some(ALLOWED)).expect("an address");
    Options {
        config,
        operator,
        inherited_listener: None,
        rendezvous: None,
        manager,
    }
}

/// Runs a node with a task beside it, and has `watch` listen as its manager.
fn run<F: std::future::Future<Output = ()> + 'static>(
    tag: &str,
    beside: impl FnOnce() -> F + Send + 'static,
    watch: impl FnOnce(&UnixDatagram),
) {
    let path = std::env::temp_dir().join(format!("saffronpaddle-{}-{tag}", std::process::id()));
    let socket = UnixDatagram::bind(&path).expect("a socket");
    socket
        .set_read_timeout(Some(Duration::from_mins(1)))
        .expect("a time-out");
    let (tell, words) = tokio::sync::mpsc::unbounded_channel();
    let options = options(&path);
    let node = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let edge = Edge::bind(options).await.expect("it binds");
            edge.spawn(beside());
            edge.run(words).await;
        });
    });
    watch(&socket);
    tell.send(ProcessSignal::Stop).expect("it runs");
    node.join().expect("it ends");
    let _ = std::fs::remove_file(path);
}

/// The longest time between two signs of life over a span, from the first on.
fn longest_gap(socket: &UnixDatagram, span: Duration) -> Duration {
    let mut buffer = [0; 4096];
    let (mut last, mut most, mut begun) = (None::<Instant>, Duration::ZERO, None::<Instant>);
    while begun.is_none_or(|begun| begun.elapsed() < span) {
        let length = socket.recv(&mut buffer).expect("a sign of life");
        if buffer[..length].starts_with(b"WATCHDOG=1") {
            let now = Instant::now();
            begun.get_or_insert(now);
            most = most.max(last.replace(now).map_or(Duration::ZERO, |last| now - last));
        }
    }
    most
}

/// A loop that is stuck feeds nobody: the manager's time runs out. One that goes round never comes near that.
#[test]
fn the_watchdog_fires_when_the_loop_is_stuck_and_only_then() {
    let well = || async {};
    run("well", well, |socket| {
        let gap = longest_gap(socket, 2 * ALLOWED);
        assert!(gap < ALLOWED, "{gap:?} while all was well");
    });
    let stuck = || async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        // What a task that never yields does to the loop.
        std::thread::sleep(ALLOWED * 2);
    };
    run("stuck", stuck, |socket| {
        let gap = longest_gap(socket, ALLOWED * 2);
        assert!(gap > ALLOWED, "{gap:?} while it was stuck");
    });
}
