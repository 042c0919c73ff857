//! Validation of frames, by the sections of RFC 6455 and RFC 7692.

use saffronpaddle_websocket::frames::{
    close, ping, FrameEvent, Rules, Scanner, Side, OWN_PING_PAYLOAD,
};

/// The rules of most tests.
const RULES: Rules = Rules {
    max_frame_bytes: 1000,
    max_message_bytes: 2000,
    deflate: false,
    utf8: true,
};

/// The result of scanning some bytes.
#[derive(Clone, Debug, Default, PartialEq)]
struct Scanned {
    out: Vec<u8>,
    /// Without [`FrameEvent::Data`], because how often that is reported depends on how the bytes are split.
    seen: Vec<FrameEvent>,
    /// The close code of the error, if a frame was rejected.
    error: Option<u16>,
}

fn scan_pieces<'a>(side: Side, rules: Rules, pieces: impl Iterator<Item = &'a [u8]>) -> Scanned {
    let mut scanner = Scanner::new(side, rules);
    let mut scanned = Scanned::default();
    for piece in pieces {
        let result = scanner.scan(piece, &mut scanned.out, &mut scanned.seen);
        if let Err(error) = result {
            scanned.error = Some(error.code);
            break;
        }
    }
    scanned.seen.retain(|seen| *seen != FrameEvent::Data);
    scanned
}

/// Scans bytes in one piece and byte by byte, and asserts that the results are the same.
fn scan(side: Side, rules: Rules, bytes: &[u8]) -> Scanned {
    let at_once = scan_pieces(side, rules, std::iter::once(bytes));
    let byte_by_byte = scan_pieces(side, rules, bytes.chunks(1));
    assert_eq!(at_once.error, byte_by_byte.error);
    assert_eq!(at_once.seen, byte_by_byte.seen);
    if at_once.error.is_none() {
        assert_eq!(at_once.out, byte_by_byte.out);
    }
    at_once
}

/// The result for valid frames, which are forwarded unchanged.
fn passed(bytes: &[u8]) -> Scanned {
    Scanned {
        out: bytes.to_vec(),
        ..Scanned::default()
    }
}

fn server(bytes: &[u8]) -> Scanned {
    scan(Side::Server, RULES, bytes)
}

fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    let mask = [7, 11, 13, 17];
    let mut bytes = vec![first, 0x80 | payload.len() as u8];
    bytes.extend(mask);
    let indexed = payload.iter().enumerate();
    bytes.extend(indexed.map(|(index, byte)| byte ^ mask[index % 4]));
    bytes
}

#[test]
fn section_5_2_frames_pass_unchanged() {
    let hello = [0x81, 5, b'H', b'e', b'l', b'l', b'o'];
    assert_eq!(server(&hello), passed(&hello));
    let client = masked(0x81, b"Hello");
    assert_eq!(scan(Side::Client, RULES, &client), passed(&client));
    let empty = [0x82, 0];
    assert_eq!(server(&empty).out, empty);
    let mut long = vec![0x82, 126, 1, 0];
    long.extend([9; 256]);
    assert_eq!(server(&long).out, long);
}

#[test]
fn section_5_1_only_clients_mask() {
    assert_eq!(
        scan(Side::Client, RULES, &[0x81, 1, b'a']).error,
        Some(1002)
    );
    assert_eq!(server(&masked(0x81, b"a")).error, Some(1002));
}

#[test]
fn section_5_2_reserved_bits_opcodes_and_lengths() {
    for first in [0xc1, 0xa1, 0x91, 0x83, 0x87, 0x8b, 0x8f] {
        assert_eq!(server(&[first, 0]).error, Some(1002), "{first:x}");
    }
    let mut beyond = vec![0x82, 127];
    beyond.extend((1_u64 << 63).to_be_bytes());
    assert_eq!(server(&beyond).error, Some(1002));
    assert_eq!(server(&[0x82, 126, 0, 125]).error, Some(1002));
    let mut long_way = vec![0x82, 127];
    long_way.extend(65_535_u64.to_be_bytes());
    assert_eq!(server(&long_way).error, Some(1002));
}

#[test]
fn section_5_4_control_frames_pass_between_the_frames_of_a_message() {
    let pieces = [0x01, 1, b'a', 0x89, 1, b'p', 0x00, 1, b'b', 0x80, 1, b'c'];
    assert_eq!(server(&pieces), passed(&pieces));
    assert_eq!(
        server(&[0x80, 1, b'a']).error,
        Some(1002),
        "a continuation frame without a message"
    );
    assert_eq!(
        server(&[0x01, 1, b'a', 0x81, 1, b'b']).error,
        Some(1002),
        "a new message before the end of another"
    );
}

#[test]
fn section_5_5_control_frames_are_short_and_unfragmented() {
    assert_eq!(server(&[0x09, 0]).error, Some(1002));
    assert_eq!(server(&[0x89, 126, 0, 126]).error, Some(1002));
    let pong = [0x8a, 2, b'h', b'i'];
    assert_eq!(server(&pong), passed(&pong), "an unsolicited pong passes");
    let pong: Vec<u8> = [&[0x8a, OWN_PING_PAYLOAD.len() as u8], OWN_PING_PAYLOAD].concat();
    assert_eq!(
        server(&pong),
        Scanned {
            seen: vec![FrameEvent::OwnPong],
            ..Scanned::default()
        }
    );
}

#[test]
fn section_7_4_close_codes() {
    let close = |code: u16| [&[0x88, 2][..], &code.to_be_bytes()].concat();
    for code in [
        1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013, 3000, 4999,
    ] {
        assert_eq!(
            server(&close(code)),
            Scanned {
                seen: vec![FrameEvent::Close(Some(code))],
                ..passed(&close(code))
            },
            "close code {code}"
        );
    }
    for code in [0, 999, 1004, 1005, 1006, 1015, 1016, 2999, 5000, 65535] {
        assert_eq!(server(&close(code)).error, Some(1002), "close code {code}");
    }
    assert_eq!(server(&[0x88, 0]).seen, [FrameEvent::Close(None)]);
    assert_eq!(server(&[0x88, 1, 3]).error, Some(1002));
    assert_eq!(server(&[0x88, 3, 3, 232, 0xff]).error, Some(1007));
    // Nothing is forwarded after a close frame.
    assert_eq!(server(&[0x88, 0, 0x81, 1, b'a']).out, [0x88, 0]);
}

#[test]
fn section_8_1_text_is_checked_if_enabled() {
    let split = [0x01, 1, 0xc3, 0x80, 1, 0xa9];
    assert_eq!(server(&split), passed(&split));
    assert_eq!(server(&[0x81, 1, 0xff]).error, Some(1007));
    assert_eq!(server(&[0x81, 1, 0xc3]).error, Some(1007));
    assert_eq!(
        scan(Side::Client, RULES, &masked(0x81, "¡é!".as_bytes())).error,
        None
    );
    assert_eq!(
        scan(Side::Client, RULES, &masked(0x81, &[0xc3, 0x28])).error,
        Some(1007)
    );
    let unchecked = Rules {
        utf8: false,
        ..RULES
    };
    assert_eq!(scan(Side::Server, unchecked, &[0x81, 1, 0xff]).error, None);
    assert_eq!(server(&[0x82, 1, 0xff]).error, None, "binary is not text");
}

#[test]
fn section_10_4_frames_and_messages_are_bounded() {
    assert_eq!(
        server(&[0x82, 126, 3, 233]).error,
        Some(1009),
        "a frame of 1001 bytes"
    );
    let mut message = Vec::new();
    for first in [0x02, 0x00, 0x80] {
        message.extend([first, 126, 3, 0]);
        message.extend([0; 768]);
    }
    assert_eq!(
        server(&message).error,
        Some(1009),
        "a message of 2304 bytes"
    );
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
        passed(&compressed)
    );
    assert_eq!(
        scan(Side::Server, deflate, &[0x41, 1, 0xff, 0xc0, 1, 0xff]).error,
        Some(1002),
        "RSV1 on a later frame"
    );
    assert_eq!(
        scan(Side::Server, deflate, &[0xc9, 0]).error,
        Some(1002),
        "RSV1 on a control frame"
    );
}

#[test]
fn the_nodes_own_frames_are_valid() {
    let long = "é".repeat(100);
    for (to, from) in [(Side::Client, Side::Server), (Side::Server, Side::Client)] {
        let bytes = close(to, 1001, &long, [1, 2, 3, 4]);
        assert_eq!(
            scan(from, RULES, &bytes).seen,
            [FrameEvent::Close(Some(1001))]
        );
        let bytes = ping(to, [1, 2, 3, 4]);
        assert_eq!(scan(from, RULES, &bytes), passed(&bytes));
    }
}

/// Arbitrary bytes must neither cause a panic nor make the node forward more than it received.
#[test]
fn arbitrary_bytes_never_panic_nor_add_output() {
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
