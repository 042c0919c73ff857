//! Ids of requests that come again: whatever has become of the first request, its id runs once.

use saffronpaddle_test_doubles::scripted::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLASSES: [&str; 3] = ["read", "submit", "pay"];
/// After the client has left, this long until its id comes again.
const RETURN_DELAYS: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];
/// Time in which a request would reach a server.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Starts a node and a server whose replies can be changed.
fn start(tag: &str) -> (Servers, ReplyQueue, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let replies: ReplyQueue = Arc::new(Mutex::new(vec![REPLY_OK]));
    let address = servers.start_with_queue("s-1", &replies);
    let hosts = [host_json("s-1", address, 1, "ready")];
    let node = Node::start(tag, discovery.address, &hosts);
    (servers, replies, discovery, node)
}

fn set_reply(replies: &ReplyQueue, reply: Reply) {
    *replies.lock().expect("the lock is not poisoned") = vec![reply];
}

/// Guards against an id that runs twice, as its client has left and comes again while its attempt is out or has run.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_again() {
    let (servers, replies, _discovery, node) = start("left");
    for class in CLASSES {
        for delay in RETURN_DELAYS {
            let id = format!("{class}-{}", delay.as_millis());
            set_reply(&replies, Reply::NoResponse);
            let mut client = node.connect();
            client.write(&request(&id, class, "3000m"));
            assert_eq!(servers.next_request().message.header("x-request-id"), id);
            drop(client);
            thread::sleep(delay);
            set_reply(&replies, REPLY_OK);
            let response = node.connect().exchange(&request(&id, class, "3000m"));
            assert_eq!(response.status(), 400, "{id}");
            thread::sleep(ARRIVAL_TIME);
            servers.assert_no_more_requests();
        }
    }
}

/// Guards against an id that runs again after its answer.
#[test]
fn an_id_that_was_served_does_not_run_again() {
    let (servers, _replies, _discovery, node) = start("served");
    for class in CLASSES {
        let text = request(class, class, "3000m");
        assert_eq!(node.connect().exchange(&text).status(), 200);
        servers.next_request();
        assert_eq!(node.connect().exchange(&text).status(), 400, "{class}");
        servers.assert_no_more_requests();
    }
}

/// Guards against ids that are taken for run although a server has said that it did not run them: their clients may send
/// them once more.
#[test]
fn an_id_that_no_server_has_run_may_come_again() {
    let (servers, replies, _discovery, node) = start("not-run");
    for class in CLASSES {
        let text = request(class, class, "300m");
        set_reply(&replies, REPLY_OVERLOADED);
        assert_ne!(node.connect().exchange(&text).status(), 200);
        servers.discard_requests();
        set_reply(&replies, REPLY_OK);
        let again = request(class, class, "3000m");
        assert_eq!(node.connect().exchange(&again).status(), 200, "{class}");
    }
}
