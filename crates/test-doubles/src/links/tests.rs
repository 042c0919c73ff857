use super::*;

fn nodes(numbers: &[usize]) -> BTreeSet<End> {
    numbers.iter().map(|number| End::Node(*number)).collect()
}

#[test]
fn sides_that_overlap_hear_their_common_ends_only() {
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
    // One that is on no side is not meant.
    assert!(!lost(0, 3) && !lost(3, 2));
    links.remove_fault(number);
    assert!(!lost(0, 2));
}

#[test]
fn one_direction_is_a_link_of_its_own_and_faults_add_up() {
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

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(crate::ports::reserve_address().expect("an address"))
        .await
        .expect("bound");
    let address = listener.local_addr().expect("an address");
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
async fn a_connection_that_never_comes_up_leaves_others_alone_and_the_next_comes_up() {
    let links = Arc::new(Links::default());
    let listen = crate::ports::reserve_address().expect("an address");
    Relay::start(&links, (End::Node(0), End::Server(0)), listen, echo().await)
        .await
        .expect("it listens");
    let mut byte = [0; 1];
    let mut before = TcpStream::connect(listen).await.expect("taken");
    before.write_all(b"a").await.expect("written");
    before.read_exact(&mut byte).await.expect("echoed");
    let (near, far) = (nodes(&[0]), BTreeSet::from([End::Server(0)]));
    let number = links.add_fault(
        LinkSet::OneWay(near, far),
        Fault {
            drops_connects: true,
            ..Fault::default()
        },
    );
    let mut comes_up = true;
    for _ in 0..100 {
        comes_up = tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(listen))
            .await
            .is_ok();
        if !comes_up {
            break;
        }
    }
    assert!(!comes_up, "it comes up all the same");
    before.write_all(b"b").await.expect("written");
    before
        .read_exact(&mut byte)
        .await
        .expect("what is up goes on");
    links.remove_fault(number);
    let mut after = TcpStream::connect(listen).await.expect("it comes up again");
    after.write_all(b"c").await.expect("written");
    after.read_exact(&mut byte).await.expect("echoed");
    assert_eq!(byte, *b"c");
}

#[tokio::test]
async fn a_stalled_connection_moves_no_byte_and_goes_on_and_a_reset_one_ends() {
    let links = Arc::new(Links::default());
    let listen = crate::ports::reserve_address().expect("an address");
    let ends = (End::Node(0), End::Server(0));
    Relay::start(&links, ends, listen, echo().await)
        .await
        .expect("it listens");
    let mut stream = TcpStream::connect(listen).await.expect("taken");
    let mut byte = [0; 1];
    stream.write_all(b"a").await.expect("written");
    stream.read_exact(&mut byte).await.expect("echoed");
    let (there, back) = (BTreeSet::from([ends.0]), BTreeSet::from([ends.1]));
    let stalled = Fault {
        stalled: true,
        ..Fault::default()
    };
    // One way only: it gets there, and the answer does not come back.
    let number = links.add_fault(LinkSet::OneWay(back.clone(), there.clone()), stalled);
    stream.write_all(b"b").await.expect("written");
    let silent =
        tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut byte)).await;
    assert!(silent.is_err(), "nothing moves");
    links.remove_fault(number);
    stream.read_exact(&mut byte).await.expect("it goes on");
    assert_eq!(byte, *b"b");
    links.add_fault(
        LinkSet::OneWay(there, back),
        Fault {
            reset: true,
            ..Fault::default()
        },
    );
    assert!(stream.read_exact(&mut byte).await.is_err(), "it is reset");
    let mut next = TcpStream::connect(listen)
        .await
        .expect("the machine takes it");
    assert!(
        !matches!(next.read(&mut byte).await, Ok(1..)),
        "and so is a new one"
    );
}
