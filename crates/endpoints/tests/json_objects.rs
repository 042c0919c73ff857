//! Splitting of a byte stream into JSON objects.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_endpoints::{JsonObjects, JsonStreamError};

/// Returns all objects of a stream that arrives in pieces of `piece` bytes.
fn read(stream: &[u8], piece: usize) -> Result<Vec<String>, JsonStreamError> {
    let (mut objects, mut all) = (JsonObjects::new(1000), Vec::new());
    for mut bytes in stream.chunks(piece) {
        while let Some(object) = objects.next(&mut bytes)? {
            all.push(String::from_utf8_lossy(&object).into_owned());
        }
    }
    Ok(all)
}

#[test]
fn objects_are_split_regardless_of_their_layout_and_of_the_size_of_reads() {
    let indented = "{\n  \"seq\": 4,\n  \"hosts\": [\n    {\"host\": \"a}\\\"{\"}\n  ]\n}";
    let stream = format!("\n\n{indented}\n\n{{\"seq\":5}}{{\"seq\":6}}\r\n");
    for piece in 1..=stream.len() {
        let all = read(stream.as_bytes(), piece).expect("objects");
        assert_eq!(
            all,
            [indented, "{\"seq\":5}", "{\"seq\":6}"],
            "in pieces of {piece}"
        );
    }
}

#[test]
fn other_data_and_an_object_that_is_too_long_are_errors() {
    assert_eq!(
        read(b"\n noise", 3),
        Err(JsonStreamError::ExpectedObject(b'n'))
    );
    assert_eq!(
        read(b"{\"seq\":1}]", 100),
        Err(JsonStreamError::ExpectedObject(b']'))
    );
    assert_eq!(
        read(&[b"{\"a\":\"", &[b'x'; 2000][..]].concat(), 100),
        Err(JsonStreamError::TooLong)
    );
    assert_eq!(read(b"{\"seq\":1", 2), Ok(vec![]), "an incomplete object");
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    #[test]
    fn any_objects_in_any_pieces_are_read_unchanged(
        values in prop::collection::vec(prop::collection::btree_map(".*", ".*", 0..4), 0..6),
        indented in any::<bool>(), piece in 1usize..40,
    ) {
        let write = |value| if indented { serde_json::to_string_pretty(value) } else { serde_json::to_string(value) };
        let written: Vec<String> = values.iter().map(|value| write(value).expect("JSON")).collect();
        prop_assert_eq!(read(written.join("\n").as_bytes(), piece), Ok(written));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), piece in 1usize..40) {
        let _ = read(&bytes, piece);
    }
}
