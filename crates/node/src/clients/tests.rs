use super::request::{customer, span};
use super::*;
use crate::config::Config;
use crate::node::NodeParts;
use crate::process_links::ProcessLinks;
use saffronpaddle_policy::interface::CustomerId;
use saffronpaddle_test_doubles::settings::{configuration, Fleet, Places};
use std::io::Write;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

fn node() -> Rc<Node> {
    let [nowhere, free] =
        ["127.0.0.1:9", "127.0.0.1:0"].map(|text| text.parse().expect("an address"));
    let places = Places {
        name: "n0".to_owned(),
        listen: free,
        discovery: nowhere,
        peer_listen: free,
        peers: vec![nowhere],
        sockets: 256,
        memory_mb: 64,
    };
    let text = configuration(&places, &Fleet::usual(1).settings(0), None, 1);
    let platform = Config::parse(std::path::Path::new("none"), &text)
        .expect("a good configuration")
        .platform;
    Node::new(NodeParts {
        seed: 1,
        platform,
        max_upstream_connections: 100,
        links: ProcessLinks::new("n0", false),
        peers: None,
        sockets: None,
        restored: None,
    })
    .expect("a node")
}

/// Many connections compete for the capacity, and the last byte of a request is received in the instant in which its
/// connection is evicted. A request that was received whole is answered; half a head, and an idle connection, are closed
/// without a response.
#[test]
fn a_request_received_whole_as_its_connection_is_evicted_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (node, (_status, seen)) = (node(), watch::channel(ServingStatus::unready()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (half, rest) = ("GET /-/ready HTTP/1.1\r\nHo", "st: n0\r\n\r\n");
        for (first, then, status) in [(half, rest, "HTTP/1.1 503"), (half, "", ""), ("", "", "")] {
            let mut connections = Connections::new();
            let address = listener.local_addr().expect("an address");
            let mut client = std::net::TcpStream::connect(address).expect("it listens");
            let (stream, _) = listener.accept().await.expect("one was accepted");
            connections.admit(
                Accepted {
                    stream,
                    arrived_after: Instant::now(),
                },
                &node,
                &seen,
            );
            client.write_all(first.as_bytes()).expect("written");
            while connections.entries[0]
                .downstream
                .state()
                .head_started_at
                .is_some()
                == first.is_empty()
            {
                tokio::task::yield_now().await;
            }
            // The machine has the rest, and this node's loop has not read it yet.
            client.write_all(then.as_bytes()).expect("written");
            connections.evict(1);
            connections.tasks.join_next().await;
            client.set_nonblocking(true).expect("it can be");
            let mut got = String::new();
            let mut client = TcpStream::from_std(client).expect("it is open");
            let _ = client.read_to_string(&mut got).await;
            assert!(
                got.starts_with(status) && got.is_empty() == status.is_empty(),
                "{first:?}: {got:?}"
            );
        }
    });
}

#[test]
fn durations_have_a_number_and_a_unit() {
    assert_eq!(span("480m"), Some(Duration::from_millis(480)));
    assert_eq!(span("1500u"), Some(Duration::from_micros(1500)));
    for bad in [
        "", "m", "480", "-1m", "+1m", "1e2m", "0m", "NaNm", "infm", "1s", "4µ",
    ] {
        assert_eq!(span(bad), None, "{bad:?}");
    }
}

#[test]
fn customers_have_16_digits_and_no_sign() {
    assert_eq!(customer("00000000b4d65521"), Some(CustomerId(0xb4d6_5521)));
    for bad in [
        "",
        "b4d65521",
        "+0000000b4d65521",
        "-0000000b4d65521",
        "0000000200000000",
        "00000000b4d6552g",
    ] {
        assert_eq!(customer(bad), None, "{bad:?}");
    }
}
