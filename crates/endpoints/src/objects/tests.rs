use super::*;
use proptest::prelude::*;

/// All objects of a stream that comes in pieces of so many bytes.
fn read(stream: &[u8], piece: usize) -> Result<Vec<String>, Unreadable> {
    let (mut objects, mut all) = (JsonObjects::new(1000), Vec::new());
    for mut bytes in stream.chunks(piece) {
        while let Some(object) = objects.next(&mut bytes)? {
            all.push(String::from_utf8_lossy(&object).into_owned());
        }
    }
    Ok(all)
}

#[test]
fn objects_end_where_they_end_however_they_are_laid_out_and_cut() {
    let indented = "{\n  \"seq\": 4,\n  \"hosts\": [\n    {\"host\": \"a}\\\"{\"}\n  ]\n}";
    let stream = format!("\n\n{indented}\n\n{{\"seq\":5}}{{\"seq\":6}}\r\n");
    for piece in 1..=stream.len() {
        let all = read(stream.as_bytes(), piece).expect("it can be read");
        assert_eq!(
            all,
            [indented, "{\"seq\":5}", "{\"seq\":6}"],
            "in pieces of {piece}"
        );
    }
}

#[test]
fn what_is_no_object_or_has_no_end_is_told() {
    assert_eq!(read(b"\n noise", 3), Err(Unreadable::NoObject(b'n')));
    assert_eq!(read(b"{\"seq\":1}]", 100), Err(Unreadable::NoObject(b']')));
    assert_eq!(
        read(&[b"{\"a\":\"", &[b'x'; 2000][..]].concat(), 100),
        Err(Unreadable::TooLong)
    );
    assert_eq!(read(b"{\"seq\":1", 2), Ok(vec![]), "half an object is none");
}

proptest! {
    #[test]
    fn any_objects_in_any_pieces_come_out_as_they_went_in(
        values in prop::collection::vec(prop::collection::btree_map(".*", ".*", 0..4), 0..6),
        indented in any::<bool>(), piece in 1usize..40,
    ) {
        let write = |value| if indented { serde_json::to_string_pretty(value) } else { serde_json::to_string(value) };
        let written: Vec<String> = values.iter().map(|value| write(value).expect("it can be")).collect();
        prop_assert_eq!(read(written.join("\n").as_bytes(), piece), Ok(written));
    }

    #[test]
    fn noise_never_ends_the_process(noise in prop::collection::vec(any::<u8>(), 0..300), piece in 1usize..40) {
        let _ = read(&noise, piece);
    }
}
