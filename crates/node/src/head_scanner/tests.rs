use super::*;

/// Counts the chunks of `chunk_size` bytes in which the scanner reports a head with both a length and an encoding.
fn count_ambiguous(text: &[u8], chunk_size: usize) -> usize {
    let mut scanner = HeadScanner::new();
    text.chunks(chunk_size)
        .filter(|chunk| scanner.scan(chunk))
        .count()
}

/// Four unambiguous requests whose bodies and trailer contain header-like lines.
const UNAMBIGUOUS: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 29\r\n\r\nx\r\nTransfer-Encoding: chunked\r\nGET /b HTTP/1.1\r\n\
    Host: c\r\n\r\nPOST /d HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n13;e=f\r\n\ncontent-length: 4\n\r\n0\r\n\
    Content-Length: 3\r\n\r\nPOST /g HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

#[test]
fn header_lines_in_bodies_and_trailers_are_ignored_for_every_chunk_size() {
    for size in 1..UNAMBIGUOUS.len() {
        assert_eq!(count_ambiguous(UNAMBIGUOUS, size), 0, "in chunks of {size}");
    }
}

#[test]
fn a_head_with_length_and_encoding_is_reported_in_either_order_and_after_other_requests() {
    let encoding_first =
        b"POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Pad: y\r\ncontent-LENGTH: 4\r\n\r\n";
    let length_first = b"POST /h HTTP/1.1\r\nContent-Length: 4\r\ntransfer-encoding : x\r\nTRANSFER-ENCODING:chunked\r\n\r\n";
    for text in [encoding_first.as_slice(), length_first] {
        for size in 1..text.len() {
            assert_eq!(count_ambiguous(text, size), 1, "alone, in chunks of {size}");
        }
        let text = [UNAMBIGUOUS, text].concat();
        for size in 1..text.len() {
            assert_eq!(
                count_ambiguous(&text, size),
                1,
                "after others, in chunks of {size}"
            );
        }
    }
}

#[test]
fn an_endless_line_is_kept_in_bounded_memory() {
    let mut scanner = HeadScanner::new();
    for _ in 0..1000 {
        scanner.scan(&[b'a'; 1000]);
    }
    assert!(scanner.partial_line.len() <= MAX_LINE_PREFIX_BYTES);
}
