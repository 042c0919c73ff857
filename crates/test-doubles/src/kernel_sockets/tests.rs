use super::*;
use std::net::{Shutdown, TcpListener, TcpStream};

/// Opens a connection. Returns its two ends and the listener.
fn connect() -> (TcpStream, TcpStream, TcpListener) {
    let address = crate::ports::reserve_address().expect("an address is free");
    let listener = TcpListener::bind(address).expect("the address is free");
    let near = TcpStream::connect(address).expect("the listener accepts");
    let (far, _) = listener.accept().expect("the connection is accepted");
    (near, far, listener)
}

/// Guards against a run that is held up by each look at the kernel's table of all connections, and against an answer
/// that differs from the table's.
#[test]
fn one_connection_is_looked_up_with_the_same_result_as_in_the_table() {
    let (near, far, _listener) = connect();
    let own = near.local_addr().expect("it has an address");
    let other = far.local_addr().expect("it has an address");
    let both = || {
        let asked = is_open_by_diagnostics(own, other).expect("the kernel answers");
        (asked, is_open_by_table(own, other))
    };
    assert_eq!(both(), (true, true));
    near.shutdown(Shutdown::Write)
        .expect("the end can be shut down");
    assert_eq!(both(), (true, true), "it can still be read");
    drop(near);
    assert_eq!(both(), (false, false));
    drop(far);
    assert_eq!(both(), (false, false));
    assert!(
        !is_open_by_diagnostics(other, own).expect("the kernel answers"),
        "the listener at the other end is not the connection"
    );
}
