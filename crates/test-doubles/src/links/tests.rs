use super::*;

fn nodes(numbers: &[usize]) -> BTreeSet<End> {
    numbers.iter().map(|number| End::Node(*number)).collect()
}

#[test]
fn overlapping_sides_reach_only_their_common_ends() {
    let links = Links::default();
    let cut = Fault {
        loss: 1.0,
        ..Fault::default()
    };
    let number = links.add_fault(
        LinkSet::Partition(vec![nodes(&[0, 1]), nodes(&[1, 2])]),
        cut,
    );
    let lost = |from, to| {
        links
            .fault_between(End::Node(from), End::Node(to))
            .drops_datagram()
    };
    assert!(lost(0, 2) && lost(2, 0));
    assert!(!lost(0, 1) && !lost(1, 0) && !lost(1, 2) && !lost(2, 1));
    // An end that is on no side is not affected.
    assert!(!lost(0, 3) && !lost(3, 2));
    links.remove_fault(number);
    assert!(!lost(0, 2));
}

#[test]
fn directions_are_separate_links_and_faults_combine() {
    let links = Links::default();
    let half = Fault {
        loss: 0.5,
        ..Fault::default()
    };
    links.add_fault(LinkSet::OneWay(nodes(&[0]), nodes(&[1, 2])), half);
    links.add_fault(LinkSet::OneWay(nodes(&[0]), nodes(&[2])), half);
    let loss = |from, to| links.fault_between(End::Node(from), End::Node(to)).loss;
    assert_eq!((loss(0, 1), loss(0, 2), loss(1, 0)), (0.5, 0.75, 0.0));
}

/// Starts a server that echoes all bytes, and returns its address.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(crate::ports::reserve_address().expect("an address is free"))
        .await
        .expect("the address can be bound");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await.ok()
            });
        }
    });
    address
}

#[tokio::test]
async fn blocked_connects_do_not_affect_open_connections_and_later_ones_succeed() {
    let links = Arc::new(Links::default());
    let listen = crate::ports::reserve_address().expect("an address is free");
    Relay::start(
        &links,
        (End::Node(0), End::Server(0)),
        listen,
        start_echo_server().await,
    )
    .await
    .expect("the relay listens");
    let mut byte = [0; 1];
    let mut before = TcpStream::connect(listen)
        .await
        .expect("the relay accepts the connection");
    before
        .write_all(b"a")
        .await
        .expect("the connection is open");
    before
        .read_exact(&mut byte)
        .await
        .expect("the byte is echoed");
    let (near, far) = (nodes(&[0]), BTreeSet::from([End::Server(0)]));
    let number = links.add_fault(
        LinkSet::OneWay(near, far),
        Fault {
            drops_connects: true,
            ..Fault::default()
        },
    );
    let mut established = true;
    for _ in 0..100 {
        established = tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(listen))
            .await
            .is_ok();
        if !established {
            break;
        }
    }
    assert!(
        !established,
        "a connection was established despite the fault"
    );
    before
        .write_all(b"b")
        .await
        .expect("the connection is open");
    before
        .read_exact(&mut byte)
        .await
        .expect("open connections go on");
    links.remove_fault(number);
    let mut after = TcpStream::connect(listen)
        .await
        .expect("connections are established again");
    after.write_all(b"c").await.expect("the connection is open");
    after
        .read_exact(&mut byte)
        .await
        .expect("the byte is echoed");
    assert_eq!(byte, *b"c");
}

#[tokio::test]
async fn a_stalled_connection_moves_no_data_until_it_resumes_and_a_reset_one_ends() {
    let links = Arc::new(Links::default());
    let listen = crate::ports::reserve_address().expect("an address is free");
    let ends = (End::Node(0), End::Server(0));
    Relay::start(&links, ends, listen, start_echo_server().await)
        .await
        .expect("the relay listens");
    let mut stream = TcpStream::connect(listen)
        .await
        .expect("the relay accepts the connection");
    let mut byte = [0; 1];
    stream
        .write_all(b"a")
        .await
        .expect("the connection is open");
    stream
        .read_exact(&mut byte)
        .await
        .expect("the byte is echoed");
    let (forward, backward) = (BTreeSet::from([ends.0]), BTreeSet::from([ends.1]));
    let stalled = Fault {
        stalled: true,
        ..Fault::default()
    };
    // In one direction only: the data arrives, and the echo does not return.
    let number = links.add_fault(LinkSet::OneWay(backward.clone(), forward.clone()), stalled);
    stream
        .write_all(b"b")
        .await
        .expect("the connection is open");
    let silent =
        tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut byte)).await;
    assert!(silent.is_err(), "no data moves on a stalled connection");
    links.remove_fault(number);
    stream
        .read_exact(&mut byte)
        .await
        .expect("the connection resumes");
    assert_eq!(byte, *b"b");
    links.add_fault(
        LinkSet::OneWay(forward, backward),
        Fault {
            reset: true,
            ..Fault::default()
        },
    );
    assert!(
        stream.read_exact(&mut byte).await.is_err(),
        "the connection is reset"
    );
    let mut next = TcpStream::connect(listen)
        .await
        .expect("the kernel accepts the connection");
    assert!(
        !matches!(next.read(&mut byte).await, Ok(1..)),
        "a new connection is reset, too"
    );
}
