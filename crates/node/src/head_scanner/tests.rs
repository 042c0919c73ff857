use super::*;

/// How many heads with both there are in a text, in pieces of such a size.
fn both(text: &[u8], size: usize) -> usize {
    let mut heads = HeadScanner::new();
    text.chunks(size).filter(|piece| heads.take(piece)).count()
}

const GOOD: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 29\r\n\r\nx\r\nTransfer-Encoding: chunked\r\nGET /b HTTP/1.1\r\n\
    Host: c\r\n\r\nPOST /d HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n13;e=f\r\n\ncontent-length: 4\n\r\n0\r\n\
    Content-Length: 3\r\n\r\nPOST /g HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

#[test]
fn what_stands_in_bodies_and_trailers_is_no_header_however_it_is_cut() {
    for size in 1..GOOD.len() {
        assert_eq!(both(GOOD, size), 0, "in pieces of {size}");
    }
}

#[test]
fn a_head_with_both_is_seen_in_either_order_and_behind_others() {
    let is_ambiguously_framed =
        b"POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Pad: y\r\ncontent-LENGTH: 4\r\n\r\n";
    let other = b"POST /h HTTP/1.1\r\nContent-Length: 4\r\ntransfer-encoding : x\r\nTRANSFER-ENCODING:chunked\r\n\r\n";
    for text in [is_ambiguously_framed.as_slice(), other] {
        for size in 1..text.len() {
            assert_eq!(both(text, size), 1, "alone, in pieces of {size}");
        }
        let text = [GOOD, text].concat();
        for size in 1..text.len() {
            assert_eq!(both(&text, size), 1, "behind others, in pieces of {size}");
        }
    }
}

#[test]
fn a_line_without_end_takes_no_memory() {
    let mut heads = HeadScanner::new();
    for _ in 0..1000 {
        heads.take(&[b'a'; 1000]);
    }
    assert!(heads.line.len() <= MAX_LINE_PREFIX_BYTES);
}
