use super::*;

const RULES: Rules = Rules {
    frame_most: 1000,
    message_most: 2000,
    deflate: false,
    utf8: true,
};

/// All at once, and byte by byte: the same comes of it.
fn scan(side: Side, rules: Rules, bytes: &[u8]) -> (Vec<u8>, Vec<Seen>, Option<u16>) {
    let mut whole = (Vec::new(), Vec::new(), None);
    let mut scanner = Scanner::new(side, rules);
    whole.2 = scanner
        .scan(bytes, &mut whole.0, &mut whole.1)
        .err()
        .map(|fault| fault.code);
    let mut parts = (Vec::new(), Vec::new(), None);
    let mut scanner = Scanner::new(side, rules);
    for byte in bytes {
        if parts.2.is_none() {
            parts.2 = scanner
                .scan(&[*byte], &mut parts.0, &mut parts.1)
                .err()
                .map(|fault| fault.code);
        }
    }
    assert_eq!(whole.2, parts.2);
    if whole.2.is_none() {
        assert_eq!(whole.0, parts.0);
    }
    whole.1.retain(|seen| *seen != Seen::Data);
    parts.1.retain(|seen| *seen != Seen::Data);
    assert_eq!(whole.1, parts.1);
    whole
}

fn server(bytes: &[u8]) -> (Vec<u8>, Vec<Seen>, Option<u16>) {
    scan(Side::Server, RULES, bytes)
}

fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    let mask = [7, 11, 13, 17];
    let mut bytes = vec![first, 0x80 | payload.len() as u8];
    bytes.extend(mask);
    bytes.extend(unmasked(Some(mask), 0, payload));
    bytes
}

#[test]
fn section_5_2_frames_pass_unchanged() {
    let hello = [0x81, 5, b'H', b'e', b'l', b'l', b'o'];
    assert_eq!(server(&hello), (hello.to_vec(), vec![], None));
    let client = masked(0x81, b"Hello");
    assert_eq!(
        scan(Side::Client, RULES, &client),
        (client.clone(), vec![], None)
    );
    let empty = [0x82, 0];
    assert_eq!(server(&empty).0, empty);
    let mut long = vec![0x82, 126, 1, 0];
    long.extend([9; 256]);
    assert_eq!(server(&long).0, long);
}

#[test]
fn section_5_1_masks_are_the_clients_alone() {
    assert_eq!(scan(Side::Client, RULES, &[0x81, 1, b'a']).2, Some(1002));
    assert_eq!(server(&masked(0x81, b"a")).2, Some(1002));
}

#[test]
fn section_5_2_reserved_bits_opcodes_and_lengths() {
    for first in [0xc1, 0xa1, 0x91, 0x83, 0x87, 0x8b, 0x8f] {
        assert_eq!(server(&[first, 0]).2, Some(1002), "{first:x}");
    }
    let mut beyond = vec![0x82, 127];
    beyond.extend((1_u64 << 63).to_be_bytes());
    assert_eq!(server(&beyond).2, Some(1002));
    assert_eq!(server(&[0x82, 126, 0, 125]).2, Some(1002));
    let mut long_way = vec![0x82, 127];
    long_way.extend(65_535_u64.to_be_bytes());
    assert_eq!(server(&long_way).2, Some(1002));
}

#[test]
fn section_5_4_pieces_with_control_frames_between() {
    let pieces = [0x01, 1, b'a', 0x89, 1, b'p', 0x00, 1, b'b', 0x80, 1, b'c'];
    assert_eq!(server(&pieces), (pieces.to_vec(), vec![], None));
    assert_eq!(server(&[0x80, 1, b'a']).2, Some(1002), "the rest of none");
    assert_eq!(
        server(&[0x01, 1, b'a', 0x81, 1, b'b']).2,
        Some(1002),
        "a message inside another"
    );
}

#[test]
fn section_5_5_control_frames_are_short_and_whole() {
    assert_eq!(server(&[0x09, 0]).2, Some(1002));
    assert_eq!(server(&[0x89, 126, 0, 126]).2, Some(1002));
    let (out, seen, fault) = server(&[0x8a, 2, b'h', b'i']);
    assert_eq!(
        (out.len(), seen, fault),
        (4, vec![], None),
        "an unasked pong passes"
    );
    let pong: Vec<u8> = [&[0x8a, OWN_PING.len() as u8], OWN_PING].concat();
    assert_eq!(server(&pong), (vec![], vec![Seen::OwnPong], None));
}

#[test]
fn section_7_4_close_codes() {
    let close = |code: u16| [&[0x88, 2][..], &code.to_be_bytes()].concat();
    for code in [
        1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013, 3000, 4999,
    ] {
        assert_eq!(
            server(&close(code)),
            (close(code), vec![Seen::Close(Some(code))], None),
            "{code}"
        );
    }
    for code in [0, 999, 1004, 1005, 1006, 1015, 1016, 2999, 5000, 65535] {
        assert_eq!(server(&close(code)).2, Some(1002), "{code}");
    }
    assert_eq!(server(&[0x88, 0]).1, [Seen::Close(None)]);
    assert_eq!(server(&[0x88, 1, 3]).2, Some(1002));
    assert_eq!(server(&[0x88, 3, 3, 232, 0xff]).2, Some(1007));
    // Nothing passes after it.
    assert_eq!(server(&[0x88, 0, 0x81, 1, b'a']).0, [0x88, 0]);
}

#[test]
fn section_8_1_text_is_checked_if_that_is_set() {
    let split = [0x01, 1, 0xc3, 0x80, 1, 0xa9];
    assert_eq!(server(&split), (split.to_vec(), vec![], None));
    assert_eq!(server(&[0x81, 1, 0xff]).2, Some(1007));
    assert_eq!(server(&[0x81, 1, 0xc3]).2, Some(1007));
    assert_eq!(
        scan(Side::Client, RULES, &masked(0x81, "¡é!".as_bytes())).2,
        None
    );
    assert_eq!(
        scan(Side::Client, RULES, &masked(0x81, &[0xc3, 0x28])).2,
        Some(1007)
    );
    let unchecked = Rules {
        utf8: false,
        ..RULES
    };
    assert_eq!(scan(Side::Server, unchecked, &[0x81, 1, 0xff]).2, None);
    assert_eq!(server(&[0x82, 1, 0xff]).2, None, "binary is not text");
}

#[test]
fn section_10_4_frames_and_messages_are_bounded() {
    assert_eq!(
        server(&[0x82, 126, 3, 233]).2,
        Some(1009),
        "a frame of 1001"
    );
    let mut message = Vec::new();
    for first in [0x02, 0x00, 0x80] {
        message.extend([first, 126, 3, 0]);
        message.extend([0; 768]);
    }
    assert_eq!(server(&message).2, Some(1009), "a message of 2304");
}

#[test]
fn rfc_7692_section_6_compressed_messages_pass_where_agreed() {
    let deflate = Rules {
        deflate: true,
        ..RULES
    };
    let compressed = [0xc1, 1, 0xff];
    assert_eq!(
        scan(Side::Server, deflate, &compressed),
        (compressed.to_vec(), vec![], None)
    );
    assert_eq!(
        scan(Side::Server, deflate, &[0x41, 1, 0xff, 0xc0, 1, 0xff]).2,
        Some(1002),
        "on a later frame"
    );
    assert_eq!(
        scan(Side::Server, deflate, &[0xc9, 0]).2,
        Some(1002),
        "on a control frame"
    );
}

#[test]
fn the_nodes_own_frames_are_good_ones() {
    let long = "é".repeat(100);
    for (to, from) in [(Side::Client, Side::Server), (Side::Server, Side::Client)] {
        let bytes = close(to, 1001, &long, [1, 2, 3, 4]);
        assert_eq!(scan(from, RULES, &bytes).1, [Seen::Close(Some(1001))]);
        let bytes = ping(to, [1, 2, 3, 4]);
        assert_eq!(scan(from, RULES, &bytes), (bytes.clone(), vec![], None));
    }
}

/// Whatever comes: no panic, nothing but what came passes, and never more than that.
#[test]
fn noise_does_no_harm() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..random.usize(..60)).map(|_| random.u8(..)).collect();
        let (mut out, mut seen) = (Vec::new(), Vec::new());
        let mut scanner = Scanner::new(
            Side::Server,
            Rules {
                deflate: random.bool(),
                ..RULES
            },
        );
        let _ = scanner.scan(&bytes, &mut out, &mut seen);
        assert!(out.len() <= bytes.len());
    }
}
