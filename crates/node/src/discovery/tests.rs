use super::*;
use crate::config::{Health, Host};

/// A serialized list of `servers` entries with all fields, and names of `name_length` letters.
fn list(servers: usize, name_length: usize) -> Vec<u8> {
    let host = |number: usize| Host {
        host: format!("{number:0name_length$}"),
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
    serde_json::to_vec(&list).expect("the list serializes")
}

/// Reads a list in chunks of 16 KiB, as from a connection.
fn read(bytes: &[u8]) -> Result<Option<List>, DiscoveryError> {
    let mut lists = JsonObjects::new(MAX_LIST_BYTES);
    for mut chunk in bytes.chunks(16 << 10) {
        if let Some(list) = lists.next(&mut chunk)? {
            return Ok(Some(serde_json::from_slice(&list)?));
        }
    }
    Ok(None)
}

#[test]
fn a_full_list_of_40_000_servers_is_read() {
    for name_length in [10, 63] {
        let bytes = list(MAX_SERVERS, name_length);
        assert!(
            bytes.len() <= MAX_LIST_BYTES,
            "names of {name_length} letters: {} bytes",
            bytes.len()
        );
        let read = read(&bytes)
            .expect("the list is within the size limit")
            .expect("the list is complete");
        assert_eq!(
            (read.seq, read.whole, read.hosts.len()),
            (7, true, MAX_SERVERS)
        );
        assert_eq!(
            read.hosts.last().map(|host| host.host.len()),
            Some(name_length)
        );
    }
}

#[test]
fn a_list_over_the_size_limit_is_rejected_with_a_one_line_error() {
    let bytes = list(MAX_SERVERS, 253);
    assert!(bytes.len() > MAX_LIST_BYTES);
    let error = read(&bytes).expect_err("the list exceeds the size limit");
    let line = format!("discovery: {}", chain(&error));
    assert_eq!(
        (line.lines().count(), &*line),
        (
            1,
            "discovery: cannot split the watch's data into lists: an object exceeds the maximum length"
        )
    );
}
