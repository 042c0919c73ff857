use super::*;

fn of(out: f64, fit: f64) -> Crowding {
    let mut crowding = Crowding::default();
    crowding.servers(60.0, fit);
    (0..20).for_each(|_| crowding.tick(0.5, out));
    crowding
}

#[test]
fn servers_that_fall_away_are_told_at_once_whatever_the_size_of_the_fleet() {
    for gateways in [30.0, 100.0, 1000.0] {
        // 120 out in all at 60 servers, which is easy; at 20 it is not.
        let mut crowding = of(120.0 / gateways, 60.0);
        assert!(crowding.now(gateways, 450.0 / gateways, 0.6) < 0.6);
        crowding.servers(20.0, 20.0);
        assert!(crowding.now(gateways, 450.0 / gateways, 0.6) > 0.85);
        crowding.servers(20.0, 12.0);
        assert!(crowding.now(gateways, 450.0 / gateways, 0.6) > 1.4);
    }
}

#[test]
fn large_servers_bear_what_they_are_known_to_serve() {
    // 60 servers that each serve 100 a second have 1,200 out at a latency of 200 ms: a third of the aim.
    assert!(of(12.0, 60.0).now(100.0, 60.0, 0.6) < 0.7);
    assert!(of(48.0, 60.0).now(100.0, 60.0, 0.6) > 2.0);
}
