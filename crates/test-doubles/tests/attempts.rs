//! How servers record that a node ends one attempt of a request and begins another.

use saffronpaddle_test_doubles::links::{End, Fault, LinkSet, Links, Relay};
use saffronpaddle_test_doubles::oracle::{Bounds, Breach, RepeatSafety, SentRequest};
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::servers::{AppServer, Spec};
use saffronpaddle_test_doubles::World;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

const ID: &str = "r1";
/// A server that is held up for this long sees the end of a connection later than any tolerance of a run.
const HOLD_UP: Duration = Duration::from_millis(200);
/// How long an attempt may take to arrive.
const ARRIVAL: Duration = Duration::from_secs(30);

/// Two servers, each with a thread of its own, that hold every request for a minute.
struct ServerPair {
    world: Arc<World>,
    runtimes: [Runtime; 2],
    servers: [AppServer; 2],
}

impl ServerPair {
    fn start() -> ServerPair {
        let world = World::start(Bounds {
            close_slack: Duration::ZERO,
            ..Bounds::default()
        });
        world.oracle().request_sent(
            world.now(),
            SentRequest {
                id: ID.to_owned(),
                key: None,
                repeat_safety: RepeatSafety::Safe,
                node: 0,
                customer: 1,
                units: 1.0,
                timeout: Duration::from_mins(1),
            },
        );
        let runtimes = [(); 2].map(|()| {
            Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build()
                .expect("the runtime starts")
        });
        let servers = [0, 1].map(|number| {
            let _runtime = runtimes[number].enter();
            let spec = Spec {
                name: format!("s-{number}"),
                block: 1,
                cores: 1,
                slots: 8,
                work: vec![("read".to_owned(), Duration::from_mins(1))],
            };
            AppServer::start(Arc::clone(&world), spec).expect("the server starts")
        });
        ServerPair {
            world,
            runtimes,
            servers,
        }
    }

    /// Sends an attempt of the request to a server, and waits until it counts as received.
    fn send_attempt(&self, server: usize) -> TcpStream {
        let before = self.world.oracle().attempt_count(ID);
        let stream = write_attempt(self.servers[server].address());
        self.wait_for_attempts_after(before);
        stream
    }

    /// Waits until more attempts than this count as received.
    fn wait_for_attempts_after(&self, before: u32) {
        let started = Instant::now();
        while self.world.oracle().attempt_count(ID) == before {
            assert!(started.elapsed() < ARRIVAL, "the attempt does not arrive");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Puts a relay before a server. Returns its address and the links whose faults it has.
    fn start_relay(&self, server: usize) -> (SocketAddr, Arc<Links>) {
        let (links, ends) = (
            Arc::new(Links::default()),
            (End::Node(0), End::Server(server)),
        );
        let address = reserve_address().expect("an address is free");
        let target = self.servers[server].address();
        self.runtimes[server]
            .block_on(Relay::start_to_server(
                &self.world,
                &links,
                ends,
                address,
                target,
            ))
            .expect("the relay starts");
        (address, links)
    }

    /// Keeps a server from running until the sender is dropped.
    fn hold_up(&self, server: usize) -> mpsc::Sender<()> {
        let (release, released) = mpsc::channel::<()>();
        let (started, has_started) = mpsc::channel();
        self.runtimes[server].spawn(async move {
            started.send(()).expect("the test waits");
            let _ = released.recv();
        });
        has_started.recv().expect("the server is held up");
        release
    }

    /// Whether two attempts of the request count as in flight at once, after the servers have seen all ends.
    fn overlapped(&self) -> bool {
        std::thread::sleep(HOLD_UP);
        let breaches = self.world.oracle().verdict().breaches;
        breaches.contains(&Breach::TwoAttempts(ID.to_owned()))
    }
}

/// Sends an attempt of the request to an address.
fn write_attempt(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server accepts");
    write_head(&stream);
    stream
}

/// Writes an attempt of the request.
fn write_head(mut stream: &TcpStream) {
    let head = format!("GET /read HTTP/1.1\r\nHost: s\r\nX-Request-Id: {ID}\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .expect("the other side reads");
}

/// Links on which no data moves, in both directions.
fn stall(links: &Links, server: usize) -> u64 {
    let ends = LinkSet::BothWays([End::Node(0)].into(), [End::Server(server)].into());
    let fault = Fault {
        stalled: true,
        ..Fault::default()
    };
    links.add_fault(ends, fault)
}

/// Guards against a node that sends a second attempt before it ends the first, also if it ends the first at once.
#[test]
fn a_second_attempt_before_the_end_of_the_first_is_two_at_once() {
    let servers = ServerPair::start();
    let first = servers.send_attempt(0);
    let _second = servers.send_attempt(1);
    drop(first);
    assert!(servers.overlapped());
}

/// Guards against an oracle that blames a node which ends the first attempt before it sends the second, where the first
/// one's server sees the end late.
#[test]
fn a_second_attempt_after_the_end_of_the_first_is_none_at_once_although_the_end_is_seen_late() {
    let servers = ServerPair::start();
    let first = servers.send_attempt(0);
    let held_up = servers.hold_up(0);
    drop(first);
    let _second = servers.send_attempt(1);
    std::thread::sleep(HOLD_UP);
    drop(held_up);
    assert!(!servers.overlapped());
}

/// Guards against an end that the kernel has and that hides behind unread bytes.
#[test]
fn an_end_behind_unread_bytes_is_an_end() {
    let servers = ServerPair::start();
    let mut first = servers.send_attempt(0);
    let held_up = servers.hold_up(0);
    first.write_all(b"GET").expect("the connection is open");
    drop(first);
    let _second = servers.send_attempt(1);
    drop(held_up);
    assert!(!servers.overlapped());
}

/// Guards against a node that sends a second attempt before it ends the first, where a relay passes on the bytes of the
/// second late, so that the first has ended when they arrive.
#[test]
fn a_second_attempt_behind_a_relay_before_the_end_of_the_first_is_two_at_once() {
    let servers = ServerPair::start();
    let (address, links) = servers.start_relay(1);
    let first = servers.send_attempt(0);
    // The relay connects to the server before the fault begins, and reads what it does not pass on.
    let second = TcpStream::connect(address).expect("the relay accepts");
    std::thread::sleep(HOLD_UP);
    let stalled = stall(&links, 1);
    write_head(&second);
    std::thread::sleep(HOLD_UP);
    drop(first);
    std::thread::sleep(HOLD_UP);
    links.remove_fault(stalled);
    servers.wait_for_attempts_after(1);
    assert!(servers.overlapped());
}

/// Guards against the same, where the first attempt is behind the relay, which passes on its end late.
#[test]
fn a_second_attempt_before_the_end_of_the_first_behind_a_relay_is_two_at_once() {
    let servers = ServerPair::start();
    let (address, _links) = servers.start_relay(0);
    let first = write_attempt(address);
    servers.wait_for_attempts_after(0);
    let _second = servers.send_attempt(1);
    drop(first);
    assert!(servers.overlapped());
}

/// Guards against an oracle that blames a node which ends the first attempt before it sends the second, where a relay
/// passes on the end late.
#[test]
fn a_second_attempt_after_the_end_of_the_first_behind_a_relay_is_none_at_once() {
    let servers = ServerPair::start();
    let (address, links) = servers.start_relay(0);
    let first = write_attempt(address);
    servers.wait_for_attempts_after(0);
    let stalled = stall(&links, 0);
    drop(first);
    let _second = servers.send_attempt(1);
    std::thread::sleep(HOLD_UP);
    links.remove_fault(stalled);
    assert!(!servers.overlapped());
}

/// Guards against an oracle that blames a node for an attempt that a relay passes on after the node has ended it and has
/// sent the next one.
#[test]
fn an_attempt_that_a_relay_passes_on_after_its_end_is_not_in_flight() {
    let servers = ServerPair::start();
    let (address, links) = servers.start_relay(0);
    // The relay connects to the server before the fault begins, and reads what it does not pass on.
    let first = TcpStream::connect(address).expect("the relay accepts");
    std::thread::sleep(HOLD_UP);
    let stalled = stall(&links, 0);
    write_head(&first);
    std::thread::sleep(HOLD_UP);
    drop(first);
    let _second = servers.send_attempt(1);
    links.remove_fault(stalled);
    servers.wait_for_attempts_after(1);
    assert!(!servers.overlapped());
}

/// Guards against an oracle that takes a connection on which the node may still read the answer for one that has ended.
#[test]
fn a_connection_that_is_shut_down_for_writing_only_has_not_ended() {
    let servers = ServerPair::start();
    let first = servers.send_attempt(0);
    let held_up = servers.hold_up(0);
    first
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    let _second = servers.send_attempt(1);
    drop(held_up);
    assert!(servers.overlapped());
}
