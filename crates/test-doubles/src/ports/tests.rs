use super::*;

#[test]
fn no_address_is_given_twice_and_none_is_another_processs() {
    let all: std::collections::BTreeSet<_> = (0..600)
        .map(|_| reserve_address().expect("an address"))
        .collect();
    assert_eq!(all.len(), 600);
    assert!(all
        .iter()
        .all(|address| is_own_address(*address) && address.ip().is_loopback()));
    let mine = block().expect("a block");
    assert!(
        claim(mine).is_err(),
        "who asks for the same block is told no"
    );
}
