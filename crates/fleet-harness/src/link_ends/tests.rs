use super::*;

#[test]
fn single_ends_ranges_and_sides_are_parsed() {
    let sides = [Side {
        name: "west".to_owned(),
        ends: BTreeSet::from([End::Node(7)]),
    }];
    let parse = |text: &str| parse_link_ends(text, (10, 4), &sides);
    let nodes = |numbers: &[usize]| {
        numbers
            .iter()
            .map(|number| End::Node(*number))
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(parse("n0-n2, n9"), Some(nodes(&[0, 1, 2, 9])));
    assert_eq!(parse("west"), Some(nodes(&[7])));
    assert_eq!(
        parse("s3,list"),
        Some(BTreeSet::from([End::Server(3), End::List]))
    );
    for bad in ["n10", "s4", "n1-s2", "east", "", "n"] {
        assert_eq!(parse(bad), None, "\"{bad}\" must be rejected");
    }
}
