//! Clients of the load generator, with a node that answers or closes its connections.

use saffronpaddle_test_doubles::load::{Cancellations, Customer, LoadGenerator};
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::settings::Fleet;
use saffronpaddle_test_doubles::wire::{HttpConnection, Message};
use saffronpaddle_test_doubles::World;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// How long the node holds a request before it closes the connection.
const HELD: Duration = Duration::from_millis(150);

/// Answers the first request of each connection and closes the connection upon the second one, which it has held for a
/// while. Reports all requests but readiness probes.
async fn serve(mut connection: HttpConnection, world: Arc<World>, seen: UnboundedSender<Message>) {
    for number in 0.. {
        let Ok(Some(request)) = connection.read_message(&world).await else {
            return;
        };
        if !request.target().starts_with("/-/") {
            let _ = seen.send(request);
        }
        if number == 1 {
            tokio::time::sleep(HELD).await;
            return;
        }
        if connection.write(OK).await.is_err() {
            return;
        }
    }
}

fn stated_deadline_ms(request: &Message) -> u64 {
    let text = request.header("x-deadline").trim_end_matches('m');
    text.parse().expect("the deadline is a number of ms")
}

/// Guards against a node that is blamed for a late answer although its client spent a part of the time on another
/// connection and did not state it.
#[tokio::test]
async fn a_request_that_is_sent_again_states_the_time_that_is_left() {
    let fleet = Fleet::typical(1);
    let world = World::start(fleet.bounds.clone());
    let address = reserve_address().expect("an address is free");
    let listener = TcpListener::bind(address)
        .await
        .expect("the address is free");
    let (sender, mut seen) = unbounded_channel();
    let node_world = Arc::clone(&world);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = HttpConnection::new(stream);
            tokio::spawn(serve(connection, Arc::clone(&node_world), sender.clone()));
        }
    });
    let generator = LoadGenerator::new(world, fleet, &[address], 1, Cancellations::default());
    generator.watch_readiness();
    while generator.ready_nodes() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let customer = Customer {
        id: 1,
        plan: 0,
        first_node: 0,
        node_count: 1,
        rate: 1.0,
    };
    for _ in 0..2 {
        generator.run_client(customer.clone(), 0).await;
    }
    let mut requests = Vec::new();
    while let Ok(request) = seen.try_recv() {
        requests.push(request);
    }
    let ids: Vec<&str> = requests
        .iter()
        .map(|request| request.header("x-request-id"))
        .collect();
    assert_eq!(ids.len(), 3, "{ids:?}");
    assert_eq!(ids[1], ids[2], "the second request is sent again");
    let stated: Vec<u64> = requests.iter().map(stated_deadline_ms).collect();
    assert_eq!(stated[0], stated[1]);
    assert!(
        stated[2] + HELD.as_millis() as u64 <= stated[1],
        "{stated:?}"
    );
}
