use super::*;

#[test]
fn ends_are_named_one_by_one_in_spans_and_by_side() {
    let sides = [Side {
        name: "west".to_owned(),
        ends: BTreeSet::from([End::Node(7)]),
    }];
    let read = |text: &str| ends(text, (10, 4), &sides);
    let nodes = |numbers: &[usize]| {
        numbers
            .iter()
            .map(|number| End::Node(*number))
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(read("n0-n2, n9"), Some(nodes(&[0, 1, 2, 9])));
    assert_eq!(read("west"), Some(nodes(&[7])));
    assert_eq!(
        read("s3,list"),
        Some(BTreeSet::from([End::Server(3), End::List]))
    );
    for bad in ["n10", "s4", "n1-s2", "east", "", "n"] {
        assert_eq!(read(bad), None, "{bad}");
    }
}
