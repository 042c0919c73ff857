use super::prefix_end;

#[test]
fn the_end_of_a_prefix_is_just_past_all_keys_that_begin_with_it() {
    assert_eq!(prefix_end(b"/board/"), b"/board0");
    assert_eq!(prefix_end(&[b'a', 0xff]), b"b");
    assert_eq!(prefix_end(&[0xff, 0xff]), [0]);
    assert_eq!(prefix_end(b""), [0]);
}
