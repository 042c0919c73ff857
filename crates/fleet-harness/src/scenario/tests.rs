use super::*;

#[test]
fn all_shipped_scenarios_are_valid_and_a_seed_draws_the_same_steps() {
    for (name, text) in SHIPPED {
        let one = Scenario::parse(text, 7).unwrap_or_else(|faults| panic!("{name}: {faults}"));
        assert_eq!(one.name, name);
        assert_eq!(Ok(one.clone()), Scenario::parse(text, 7));
        assert!(
            one.steps.windows(2).all(|two| two[0].at <= two[1].at),
            "{name}: steps are sorted by time"
        );
        let last = one.steps.last().map_or(Duration::ZERO, |step| step.at);
        assert!(
            last <= one.duration,
            "{name}: the last step is after the end of the load"
        );
    }
    let (_, thirty) = SHIPPED[0];
    assert_ne!(Scenario::parse(thirty, 7), Scenario::parse(thirty, 8));
}

#[test]
fn faults_of_a_step_name_its_index() {
    let text =
        "instances = 0\n[[step]]\ndo = \"kil\"\n[[step]]\ndo = \"kill\"\nwho = 9\nwhen = 3\n[[step]]\n";
    let faults = Scenario::parse(text, 1)
        .expect_err("the scenario is invalid")
        .to_string();
    for part in [
        "instances: ",
        "step[0].do: ",
        "step[1].who: must be below 3",
        "step[1].when: unknown",
        "step[2].do",
    ] {
        assert!(
            faults.contains(part),
            "the fault \"{part}\" is missing: {faults}"
        );
    }
}
