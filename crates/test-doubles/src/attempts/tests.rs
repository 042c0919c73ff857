use super::*;
use crate::oracle::{Bounds, RepeatSafety, SentRequest};
use socket2::{Domain, Socket, Type};
use std::net::Ipv4Addr;
use tokio::net::TcpListener;

const REQUEST: &str = "x";

async fn listen() -> TcpListener {
    let address = crate::ports::reserve_address().expect("an address is free");
    TcpListener::bind(address)
        .await
        .expect("the address is free")
}

/// Connects to a listener from a port, which other connections may use as well; 0 for any. Returns both ends.
async fn connect_from(port: u16, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
    socket
        .set_reuse_address(true)
        .expect("the option can be set");
    let own = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    socket.bind(&own.into()).expect("the port can be shared");
    let address = listener.local_addr().expect("the listener has an address");
    socket
        .connect(&address.into())
        .expect("the listener accepts");
    socket.set_nonblocking(true).expect("the mode can be set");
    let stream = TcpStream::from_std(socket.into()).expect("the runtime takes the socket");
    let (accepted, _) = listener.accept().await.expect("the connection is accepted");
    (stream, accepted)
}

fn received(server: &'static str) -> ReceivedAttempt<'static> {
    ReceivedAttempt {
        id: REQUEST,
        first_byte_at: Duration::ZERO,
        server,
        work: 0.1,
    }
}

/// Guards against a node that is blamed for two attempts at once because its connection has the port of a relay that
/// leads to another server: the second attempt was taken for the relay's, and the end of the first was not looked at.
#[tokio::test]
async fn a_connection_with_the_port_of_a_relay_to_another_server_is_not_taken_for_the_relay() {
    let world = World::start(Bounds {
        close_slack: Duration::ZERO,
        ..Bounds::default()
    });
    world.oracle().request_sent(
        world.now(),
        SentRequest {
            id: REQUEST.to_owned(),
            key: None,
            repeat_safety: RepeatSafety::Safe,
            node: 0,
            customer: 1,
            units: 1.0,
            timeout: Duration::from_secs(3),
        },
    );
    let (relay, relayed_server, first_server, second_server) = (
        listen().await,
        listen().await,
        listen().await,
        listen().await,
    );
    let (_near_node, near) = connect_from(0, &relay).await;
    let (far, _far_server) = connect_from(0, &relayed_server).await;
    let port = far.local_addr().expect("it has an address").port();
    let mut relayed =
        RelayedConnection::new(&world, &near, &far).expect("both ends have addresses");
    relayed.on_bytes(b"GET / HTTP/1.1\r\nX-Request-Id: other\r\n\r\n");

    let (first_node, first) = connect_from(0, &first_server).await;
    let _first = Attempt::begin(&world, &first, &received("first")).expect("it has addresses");
    // The node ends the first attempt, which its server has not seen yet, before it begins the second.
    drop(first_node);
    let (_second_node, second) = connect_from(port, &second_server).await;
    let _second = Attempt::begin(&world, &second, &received("second")).expect("it has addresses");
    let oracle = world.oracle();
    let is_overlap =
        |breach: &crate::oracle::Breach| matches!(breach, crate::oracle::Breach::TwoAttempts(_));
    assert!(!oracle.verdict().breaches.iter().any(is_overlap));
}
