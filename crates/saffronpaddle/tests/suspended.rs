//! A node that is suspended for longer than one of its timeouts. When it resumes, the timeouts are over and the kernel
//! holds what arrived meanwhile: the node applies what it has received before it counts a peer as silent.

#[path = "common/two_servers.rs"]
mod two_servers;

use saffronpaddle_test_doubles::scripted::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;
use two_servers::{list_draining_first, start_with_two_servers};

/// Requests that a suspended node receives, each on a connection of its own.
const CLIENTS: usize = 8;
/// Longer than a call to an agent may take (0.96 s), shorter than a watch may be silent (3 s).
const PAST_A_CALL: Duration = Duration::from_millis(1200);
/// Longer than a watch may be silent.
const PAST_A_WATCH: Duration = Duration::from_millis(3500);
/// Longer than each timeout of the node on a connection to its list service.
const PAST_ALL: Duration = Duration::from_secs(6);

/// Opens connections to the node and sends a request on each, which leaves kept connections to the first server.
fn warm_up(node: &Node, servers: &Servers) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let warm_up = request(&format!("w{number}"), "read", "20000m");
        assert_eq!(client.exchange(&warm_up).status(), 200);
        assert_eq!(servers.next_request().server, "s-1");
    }
    clients
}

/// Sends a request on each connection while the node is suspended.
fn send_requests(clients: &mut [Client]) {
    for (number, client) in clients.iter_mut().enumerate() {
        let request = request(&format!("r{number}"), "pay", "20000m");
        client.write(&request);
        wait_for_unread(&client.stream, request.len());
    }
}

/// Asserts that the second server, the only one that does not drain, answers all requests.
fn assert_second_server_answers(clients: &mut [Client], servers: &Servers, suspended: Duration) {
    for client in clients {
        let response = client.read_response().expect("the node answers");
        assert_eq!(response.status(), 200);
        let server = servers.next_request().server;
        assert_eq!(server, "s-2", "after {suspended:?} of suspension");
    }
}

/// Accepts the calls of a node until it is suspended in the middle of one, and returns all calls that it has made.
fn suspend_during_a_call(node: &Node, listener: &TcpListener) -> Vec<TcpStream> {
    listener
        .set_nonblocking(true)
        .expect("the listener becomes non-blocking");
    loop {
        node.suspend();
        let calls: Vec<TcpStream> = std::iter::from_fn(|| listener.accept().ok())
            .map(|(call, _)| call)
            .collect();
        if calls.iter().any(unread_request) {
            return calls;
        }
        node.signal("-CONT");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Whether the request of a call has arrived and the node has not closed the call.
fn unread_request(call: &TcpStream) -> bool {
    call.set_nonblocking(true)
        .expect("non-blocking mode is set");
    let arrived = call.peek(&mut [0]).is_ok_and(|bytes| bytes > 0);
    call.set_nonblocking(false).expect("blocking mode is set");
    arrived
}

fn assert_answer_to_a_call_is_applied(tag: &str, suspended: Duration) {
    let (servers, listener) = (
        Servers::new(),
        TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"),
    );
    let dials: [SocketAddr; 2] = ["s-1", "s-2"].map(|name| servers.start(name, &[REPLY_OK]));
    let address = listener.local_addr().expect("the socket has an address");
    let hosts = [host_json("s-1", dials[0], 1, "ready")];
    let node = Node::start(tag, address, &hosts);
    let mut clients = warm_up(&node, &servers);
    let calls = suspend_during_a_call(&node, &listener);
    send_requests(&mut clients);
    let list = list_draining_first(2, true, dials) + "\n";
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = format!("{head}{:x}\r\n{list}\r\n", list.len());
    for mut call in &calls {
        // Writing fails for calls that the node has cancelled.
        let _ = call.write_all(answer.as_bytes());
    }
    thread::sleep(suspended);
    node.signal("-CONT");
    assert_second_server_answers(&mut clients, &servers, suspended);
}

fn assert_drain_on_the_watch_is_applied(tag: &str, suspended: Duration) {
    let (servers, discovery, node, dials) = start_with_two_servers(tag);
    let (_, mut watch) = discovery.next_watch();
    let mut clients = warm_up(&node, &servers);
    node.suspend();
    send_requests(&mut clients);
    write_list(&mut watch, &list_draining_first(2, true, dials));
    thread::sleep(suspended);
    node.signal("-CONT");
    assert_second_server_answers(&mut clients, &servers, suspended);
}

/// Guards against a node that resumes after its call has timed out, drops the answer that is there unread, and sends
/// requests by its old list to a server that drains.
#[test]
fn a_drain_in_the_answer_to_a_call_applies_although_the_call_has_timed_out() {
    assert_answer_to_a_call_is_applied("late-call", PAST_A_CALL);
    assert_answer_to_a_call_is_applied("later-call", PAST_ALL);
}

/// Guards against a node that resumes after its watch has been silent for too long, drops the change that is there
/// unread with the watch, and sends requests by its old list to a server that drains.
#[test]
fn a_drain_on_a_watch_applies_although_the_watch_has_timed_out() {
    assert_drain_on_the_watch_is_applied("late-watch", PAST_A_WATCH);
    assert_drain_on_the_watch_is_applied("later-watch", PAST_ALL);
}
