use super::*;

#[test]
fn addresses_are_unique_and_within_the_block_of_this_process() {
    let all: std::collections::BTreeSet<_> = (0..600)
        .map(|_| reserve_address().expect("the block has a free address"))
        .collect();
    assert_eq!(all.len(), 600);
    assert!(all
        .iter()
        .all(|address| is_own_address(*address) && address.ip().is_loopback()));
    let own_block = block().expect("this process has claimed a block");
    assert!(
        claim(own_block).is_err(),
        "a second claim on the same block fails"
    );
}
