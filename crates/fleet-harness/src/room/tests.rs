use super::*;

#[test]
fn a_run_that_exceeds_the_machines_limits_is_rejected_with_the_reason() {
    let small = Scenario::parse("name = \"s\"\ninstances = 6\nservers = 4\n", 1)
        .expect("the scenario is valid");
    assert!(reserve(&small).is_ok());
    let text = "name = \"l\"\ninstances = 400\nservers = 400\n[[step]]\ndo = \"split\"\nsides = \"each\"\nfor_ms = 9\n\
                [[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"servers\"\nfor_ms = 9\nheal_gap_ms = 1\n";
    let large = Scenario::parse(text, 1).expect("the scenario is valid");
    assert!(required_resources(&large).0 > 1_000_000);
    let error = reserve(&large)
        .expect_err("160,000 relays exceed the descriptor limit")
        .to_string();
    assert!(error.contains("descriptors"), "{error}");
}
