use super::*;
use crate::config::{Health, Host};

/// A list of so many servers in the platform's full form: all fields, names of this many letters.
fn list(servers: usize, letters: usize) -> Vec<u8> {
    let host = |number: usize| Host {
        host: format!("{number:0letters$}"),
        dial: SocketAddr::from((
            [10, 255, (number >> 8 & 255) as u8, (number & 255) as u8],
            60_000,
        )),
        site: "north".to_owned(),
        block: number as u64,
        health: Health::Draining,
        share: 1.25,
        born_ms: 1_800_000_000_000,
    };
    let list = List {
        seq: 7,
        whole: true,
        hosts: (0..servers).map(host).collect(),
    };
    serde_json::to_vec(&list).expect("it can be written")
}

/// Reads it as it comes off a connection.
fn read(bytes: &[u8]) -> Result<Option<List>, DiscoveryError> {
    let mut lists = JsonObjects::new(MAX_LIST_BYTES);
    for mut piece in bytes.chunks(16 << 10) {
        if let Some(list) = lists.next(&mut piece)? {
            return Ok(Some(serde_json::from_slice(&list)?));
        }
    }
    Ok(None)
}

#[test]
fn a_full_list_of_40_000_servers_is_read() {
    for letters in [10, 63] {
        let bytes = list(MAX_SERVERS, letters);
        assert!(
            bytes.len() <= MAX_LIST_BYTES,
            "{letters} letters: {} bytes",
            bytes.len()
        );
        let read = read(&bytes)
            .expect("it is short enough")
            .expect("it has an end");
        assert_eq!(
            (read.seq, read.whole, read.hosts.len()),
            (7, true, MAX_SERVERS)
        );
        assert_eq!(read.hosts.last().map(|host| host.host.len()), Some(letters));
    }
}

#[test]
fn a_list_beyond_the_bound_is_rejected_in_one_line() {
    let bytes = list(MAX_SERVERS, 253);
    assert!(bytes.len() > MAX_LIST_BYTES);
    let error = read(&bytes).expect_err("it is too long");
    let line = format!("discovery: {}", chain(&error));
    assert_eq!(
        (line.lines().count(), &*line),
        (1, "discovery: the watch: an object has no end")
    );
}
