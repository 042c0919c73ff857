use super::*;

#[test]
fn a_run_that_the_machine_cant_hold_is_refused_with_what_it_lacks() {
    let small = Scenario::parse("name = \"s\"\ninstances = 6\nservers = 4\n", 1).expect("good");
    assert!(make(&small).is_ok());
    let text = "name = \"l\"\ninstances = 400\nservers = 400\n[[step]]\ndo = \"split\"\nsides = \"each\"\nfor_ms = 9\n\
                [[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"servers\"\nfor_ms = 9\nheal_gap_ms = 1\n";
    let large = Scenario::parse(text, 1).expect("good");
    assert!(needs(&large).0 > 1_000_000);
    let why = make(&large).expect_err("160,000 relays").to_string();
    assert!(why.contains("descriptors"), "{why}");
}
