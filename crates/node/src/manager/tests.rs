use super::*;
use std::time::Instant;

fn received_messages(socket: &UnixDatagram) -> Vec<String> {
    socket
        .set_nonblocking(true)
        .expect("the socket becomes non-blocking");
    let mut buffer = [0; 4096];
    let mut messages = Vec::new();
    while let Ok(length) = socket.recv(&mut buffer) {
        messages.push(String::from_utf8_lossy(&buffer[..length]).into_owned());
    }
    messages
}

fn bind_abstract_socket(tag: &str) -> (UnixDatagram, String) {
    let name = format!("saffronpaddle-{}-{tag}", std::process::id());
    let address = SocketAddr::from_abstract_name(&name).expect("a valid abstract name");
    (
        UnixDatagram::bind_addr(&address).expect("the socket binds"),
        format!("@{name}"),
    )
}

#[test]
fn messages_to_an_abstract_socket_have_the_sd_notify_format() {
    let (socket, name) = bind_abstract_socket("messages");
    let manager = Manager::at(OsStr::new(&name), None).expect("a valid notify address");
    let messages = [
        ManagerMessage::Ready,
        ManagerMessage::Reloading,
        ManagerMessage::Stopping,
        ManagerMessage::Status("not ready: clock".to_owned()),
        ManagerMessage::ExtendTimeout(Duration::from_millis(4600)),
    ];
    messages.iter().for_each(|message| manager.notify(message));
    let received = received_messages(&socket);
    assert_eq!(
        (&received[0][..], &received[2][..]),
        ("READY=1", "STOPPING=1")
    );
    assert_eq!(
        (&received[3][..], &received[4][..]),
        ("STATUS=not ready: clock", "EXTEND_TIMEOUT_USEC=4600000")
    );
    let lines: Vec<&str> = received[1].lines().collect();
    let usec = lines[1]
        .strip_prefix("MONOTONIC_USEC=")
        .and_then(|usec| usec.parse::<u64>().ok());
    assert!(
        lines[0] == "RELOADING=1" && usec.is_some_and(|usec| usec > 0),
        "a reload message with a monotonic time: {received:?}"
    );
}

/// A manager that does not read must not block the node. Messages other than status lines and heartbeats are queued in
/// order, up to the bound.
#[test]
fn a_full_notify_socket_does_not_block_and_messages_are_sent_later() {
    let (socket, name) = bind_abstract_socket("full");
    let manager = Manager::at(OsStr::new(&name), None).expect("a valid notify address");
    let started_at = Instant::now();
    let mut sent = 0;
    while !manager.has_queued() {
        manager.notify(&ManagerMessage::ExtendTimeout(Duration::from_micros(sent)));
        sent += 1;
        assert!(sent < 100_000, "the socket never fills up");
    }
    (0..1000).for_each(|_| manager.send_heartbeat());
    manager.notify(&ManagerMessage::Stopping);
    assert!(
        started_at.elapsed() < Duration::from_secs(30),
        "sending to a full socket blocked"
    );
    assert!(manager.queued.borrow().len() <= MAX_QUEUED_MESSAGES);
    assert!(!received_messages(&socket)
        .iter()
        .any(|text| text == "STOPPING=1"));
    manager.retry();
    let retried = received_messages(&socket);
    assert_eq!(
        retried.last().map(String::as_str),
        Some("STOPPING=1"),
        "the last queued message is sent: {retried:?}"
    );
    assert!(
        !retried.iter().any(|text| text.starts_with("WATCHDOG")),
        "heartbeats are not queued"
    );
}

#[test]
fn messages_to_a_missing_notify_socket_are_dropped_until_it_exists() {
    let path = std::env::temp_dir().join(format!("saffronpaddle-{}-notify", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let manager = Manager::at(path.as_os_str(), None).expect("a valid notify address");
    manager.notify(&ManagerMessage::Ready);
    assert!(
        !manager.has_queued() && manager.unreachable_logged.get(),
        "the socket does not exist yet"
    );
    let socket = UnixDatagram::bind(&path).expect("the socket binds");
    manager.notify(&ManagerMessage::Stopping);
    assert_eq!(received_messages(&socket), ["STOPPING=1"]);
    drop(socket);
    manager.notify(&ManagerMessage::Ready);
    assert!(
        !manager.has_queued() && manager.unreachable_logged.get(),
        "the socket was closed"
    );
    std::fs::remove_file(&path).expect("the file exists");
    assert!(
        Manager::at(OsStr::new("notify"), None).is_err(),
        "neither an absolute path nor an abstract name"
    );
}
