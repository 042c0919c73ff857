use super::*;
use std::net::{TcpListener, TcpStream};

/// Opens a connection through a listener that closes it first, so that its side is in `TIME_WAIT`, and closes the
/// listener.
fn leave_closed_connection(listener: &TcpListener) {
    let address = listener.local_addr().expect("the listener has an address");
    let client = TcpStream::connect(address).expect("the listener accepts");
    let (server_side, _) = listener.accept().expect("the connection is accepted");
    drop(server_side);
    drop(client);
}

/// Guards against an app server that cannot be started with `Address already in use`: a process that had the same block of
/// addresses a moment ago left closed connections, which the kernel remembers for a minute.
#[test]
fn an_address_with_recently_closed_connections_can_be_bound() {
    let address = crate::ports::reserve_address().expect("an address is free");
    let earlier = TcpListener::bind(address).expect("the address is free");
    leave_closed_connection(&earlier);
    drop(earlier);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let reserved = bind_reusable(address).expect("the address can be reserved");
        let server = bind_reusable(address).and_then(|socket| socket.listen(BACKLOG));
        let server = server.expect("the address can be listened on");
        let server = server.into_std().expect("the listener can be converted");
        server
            .set_nonblocking(false)
            .expect("the listener can block");
        leave_closed_connection(&server);
        drop((server, reserved));
    });
    TcpListener::bind(address).expect("an ordinary listener can follow an app server");
}
