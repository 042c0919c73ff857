use super::listener_index;

#[test]
fn listeners_are_found_by_name_and_the_first_one_is_taken_without_names() {
    assert_eq!(listener_index(None, "clients", 2).ok(), Some(0));
    assert_eq!(listener_index(Some(""), "clients", 2).ok(), Some(0));
    assert_eq!(
        listener_index(Some("admin:clients"), "clients", 2).ok(),
        Some(1)
    );
    assert!(
        listener_index(Some("admin:clients"), "clients", 1).is_err(),
        "more names than listeners"
    );
    assert!(listener_index(Some("admin:other"), "clients", 2).is_err());
}
