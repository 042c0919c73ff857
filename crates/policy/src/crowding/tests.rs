use super::*;

fn of(out: f64, fit: f64) -> Crowding {
    let mut crowding = Crowding::default();
    crowding.servers(fit);
    (0..20).for_each(|_| crowding.tick(0.5, out));
    crowding
}

#[test]
fn servers_that_fall_away_are_told_at_once_whatever_the_size_of_the_fleet() {
    for gateways in [30.0, 100.0, 1000.0] {
        // 120 out in all at 60 servers, which is easy; at 20 it is not.
        let mut crowding = of(120.0 / gateways, 60.0);
        assert!(crowding.now(gateways, 450.0 / gateways, 0.6) < 0.6);
        crowding.servers(20.0);
        assert!(crowding.now(gateways, 450.0 / gateways, 0.6) > 0.85);
        crowding.servers(12.0);
        assert!(crowding.now(gateways, 450.0 / gateways, 0.6) > 1.4);
    }
}

#[test]
fn large_servers_bear_what_they_are_known_to_serve() {
    // 60 servers that each serve 100 a second have 1,200 out at a latency of 200 ms: a third of the aim.
    assert!(of(12.0, 60.0).now(100.0, 60.0, 0.6) < 0.7);
    assert!(of(48.0, 60.0).now(100.0, 60.0, 0.6) > 2.0);
}

/// Answers are set beside the servers that gave them, not beside those of this moment.
#[test]
fn servers_that_come_back_cold_or_fall_away_do_not_change_what_each_bears() {
    let gateways = 100.0;
    // Each of 60 serves 50 a second, and bears 15 at an aim of 0.6 s. Then half of them are gone, and what is served halves.
    let mut crowding = of(600.0 / gateways, 60.0);
    let before = crowding.now(gateways, 30.0, 0.6);
    crowding.servers(30.0);
    let gone = crowding.now(gateways, 30.0, 0.6);
    assert!(
        (gone / before - 2.0).abs() < 0.01,
        "half as many bear half: {before:.2}, {gone:.2}"
    );
    // Long after, with half out: the servers are few or cold for as long as what they serve is less.
    (0..200).for_each(|_| crowding.tick(0.5, 300.0 / gateways));
    let long = crowding.now(gateways, 15.0, 0.6);
    assert!(
        (long / before - 1.0).abs() < 0.01,
        "the same for each: {before:.2}, {long:.2}"
    );
}
