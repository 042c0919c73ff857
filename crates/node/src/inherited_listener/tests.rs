use super::place;

#[test]
fn listeners_are_found_by_name_and_without_names_the_first_is_taken() {
    assert_eq!(place(None, "clients", 2).ok(), Some(0));
    assert_eq!(place(Some(""), "clients", 2).ok(), Some(0));
    assert_eq!(place(Some("admin:clients"), "clients", 2).ok(), Some(1));
    assert!(
        place(Some("admin:clients"), "clients", 1).is_err(),
        "more names than listeners"
    );
    assert!(place(Some("admin:other"), "clients", 2).is_err());
}
