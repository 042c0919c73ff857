use super::request::{parse_customer, parse_duration};
use super::*;
use crate::config::Config;
use crate::node::NodeParts;
use crate::process_links::ProcessLinks;
use saffronpaddle_policy::interface::CustomerId;
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig};
use std::io::Write;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

fn node() -> Rc<Node> {
    let [unreachable, any_port] =
        ["127.0.0.1:9", "127.0.0.1:0"].map(|text| text.parse().expect("a valid address"));
    let node_config = NodeConfig {
        name: "n0".to_owned(),
        listen: any_port,
        discovery: unreachable,
        peer_listen: any_port,
        peers: vec![unreachable],
        sockets: 256,
        memory_mb: 64,
    };
    let text = configuration(&node_config, &Fleet::typical(1).settings(0), None, 1);
    let platform = Config::parse(std::path::Path::new("none"), &text)
        .expect("the configuration is valid")
        .platform;
    Node::new(NodeParts {
        seed: 1,
        platform,
        max_upstream_connections: 100,
        memory_limit: 64 << 20,
        links: ProcessLinks::new("n0", false),
        peers: None,
        sockets: None,
        restored: None,
    })
    .expect("the node is created")
}

/// The last byte of a request may arrive while its connection is being evicted to free capacity. A request that was
/// received completely is answered; a connection with half a head, or idle, is closed without a response.
#[test]
fn a_request_that_completes_during_eviction_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (node, (_status, status_receiver)) = (node(), watch::channel(ServingStatus::unready()));
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the listener binds");
        let (half, rest) = ("GET /-/ready HTTP/1.1\r\nHo", "st: n0\r\n\r\n");
        for (sent_before, sent_during, status) in
            [(half, rest, "HTTP/1.1 503"), (half, "", ""), ("", "", "")]
        {
            let mut connections = Connections::new();
            let address = listener.local_addr().expect("a valid address");
            let mut client = std::net::TcpStream::connect(address).expect("the client connects");
            let (stream, _) = listener.accept().await.expect("the connection is accepted");
            connections.admit(
                Accepted {
                    stream,
                    arrived_after: Instant::now(),
                },
                &node,
                &status_receiver,
            );
            client
                .write_all(sent_before.as_bytes())
                .expect("the client writes");
            while connections.entries[0]
                .downstream
                .state()
                .head_started_at
                .is_some()
                == sent_before.is_empty()
            {
                tokio::task::yield_now().await;
            }
            // The kernel holds the rest, and the node's event loop has not read it yet.
            client
                .write_all(sent_during.as_bytes())
                .expect("the client writes");
            connections.evict(1);
            connections.tasks.join_next().await;
            client
                .set_nonblocking(true)
                .expect("the socket becomes non-blocking");
            let mut response = String::new();
            let mut client = TcpStream::from_std(client).expect("the socket registers with tokio");
            let _ = client.read_to_string(&mut response).await;
            assert!(
                response.starts_with(status) && response.is_empty() == status.is_empty(),
                "after {sent_before:?} was sent, the response is {response:?}"
            );
        }
    });
}

#[test]
fn durations_have_a_number_and_a_unit() {
    assert_eq!(parse_duration("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_duration("1500u"), Some(Duration::from_micros(1500)));
    for bad in [
        "", "m", "480", "-1m", "+1m", "1e2m", "0m", "NaNm", "infm", "1s", "4µ",
    ] {
        assert_eq!(parse_duration(bad), None, "{bad:?} is rejected");
    }
}

#[test]
fn customers_have_16_digits_and_no_sign() {
    assert_eq!(
        parse_customer("00000000b4d65521"),
        Some(CustomerId(0xb4d6_5521))
    );
    for bad in [
        "",
        "b4d65521",
        "+0000000b4d65521",
        "-0000000b4d65521",
        "0000000200000000",
        "00000000b4d6552g",
    ] {
        assert_eq!(parse_customer(bad), None, "{bad:?} is rejected");
    }
}
