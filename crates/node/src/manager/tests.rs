use super::*;
use std::time::Instant;

fn received(socket: &UnixDatagram) -> Vec<String> {
    socket.set_nonblocking(true).expect("a mode");
    let mut buffer = [0; 4096];
    let mut all = Vec::new();
    while let Ok(length) = socket.recv(&mut buffer) {
        all.push(String::from_utf8_lossy(&buffer[..length]).into_owned());
    }
    all
}

fn abstract_name(tag: &str) -> (UnixDatagram, String) {
    let name = format!("saffronpaddle-{}-{tag}", std::process::id());
    let address = SocketAddr::from_abstract_name(&name).expect("a name");
    (
        UnixDatagram::bind_addr(&address).expect("a socket"),
        format!("@{name}"),
    )
}

#[test]
fn messages_have_the_protocols_form_on_an_abstract_socket() {
    let (socket, name) = abstract_name("messages");
    let manager = Manager::at(OsStr::new(&name), None).expect("an address");
    let messages = [
        ManagerMessage::Ready,
        ManagerMessage::Reloading,
        ManagerMessage::Stopping,
        ManagerMessage::Status("not ready: clock".to_owned()),
        ManagerMessage::ExtendTimeout(Duration::from_millis(4600)),
    ];
    messages.iter().for_each(|message| manager.notify(message));
    let received = received(&socket);
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
        "{received:?}"
    );
}

/// A manager that does not read must not block the node; what it must know is queued, in its order, up to the bound.
#[test]
fn a_full_notify_socket_blocks_nobody_and_keeps_what_must_be_sent() {
    let (socket, name) = abstract_name("full");
    let manager = Manager::at(OsStr::new(&name), None).expect("an address");
    let begun = Instant::now();
    let mut fed = 0;
    while !manager.has_queued() {
        manager.notify(&ManagerMessage::ExtendTimeout(Duration::from_micros(fed)));
        fed += 1;
        assert!(fed < 100_000, "the socket is never full");
    }
    (0..1000).for_each(|_| manager.send_heartbeat());
    manager.notify(&ManagerMessage::Stopping);
    assert!(begun.elapsed() < Duration::from_secs(30), "it blocked");
    assert!(manager.queued.borrow().len() <= MAX_QUEUED_MESSAGES);
    assert!(!received(&socket).iter().any(|text| text == "STOPPING=1"));
    manager.retry();
    let later = received(&socket);
    assert_eq!(
        later.last().map(String::as_str),
        Some("STOPPING=1"),
        "{later:?}"
    );
    assert!(
        !later.iter().any(|text| text.starts_with("WATCHDOG")),
        "signs of life do not wait"
    );
}

#[test]
fn a_notify_socket_that_is_missing_or_gone_is_passed_over_and_found_again() {
    let path = std::env::temp_dir().join(format!("saffronpaddle-{}-notify", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let manager = Manager::at(path.as_os_str(), None).expect("an address");
    manager.notify(&ManagerMessage::Ready);
    assert!(
        !manager.has_queued() && manager.unreachable_logged.get(),
        "missing"
    );
    let socket = UnixDatagram::bind(&path).expect("a socket");
    manager.notify(&ManagerMessage::Stopping);
    assert_eq!(received(&socket), ["STOPPING=1"]);
    drop(socket);
    manager.notify(&ManagerMessage::Ready);
    assert!(
        !manager.has_queued() && manager.unreachable_logged.get(),
        "gone"
    );
    std::fs::remove_file(&path).expect("it was there");
    assert!(
        Manager::at(OsStr::new("notify"), None).is_err(),
        "neither a path nor abstract"
    );
}
