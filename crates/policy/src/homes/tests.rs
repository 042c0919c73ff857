use super::*;

#[test]
fn keepers_are_apart_and_each_is_asked_once() {
    let plan = |rate| Plan {
        rate,
        burst: 4.0 * rate,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
        hard_limit: None,
    };
    for (rate, spread, parts) in [
        (0.6, 50, 1),
        (8.0, 3, 1),
        (16.0, 60, 2),
        (40.0, 3, 3),
        (5.0, 1, 1),
    ] {
        let homes = Homes::of(&plan(rate), spread);
        assert_eq!(homes.parts, parts, "{rate}");
        for start in 0..parts {
            let mut asked: Vec<u32> = homes.in_turn(start).collect();
            assert_eq!(asked[0], start);
            asked.sort_unstable();
            assert_eq!(asked, (0..homes.keepers).collect::<Vec<_>>());
        }
        let keeper = |number| homes.keeper(CustomerId(77), (NodeId(90), spread), number, 100);
        let all: std::collections::BTreeSet<_> = (0..homes.keepers).map(keeper).collect();
        assert_eq!(
            all.len(),
            homes.keepers as usize,
            "no gateway keeps two parts"
        );
    }
}
