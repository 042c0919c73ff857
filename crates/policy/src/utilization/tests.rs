use super::*;

/// Utilization after ten seconds with `in_flight` attempts at this node and `capacity` warm servers.
fn after_ten_seconds(in_flight: f64, capacity: f64) -> Utilization {
    let mut utilization = Utilization::default();
    utilization.set_capacity(capacity);
    (0..20).for_each(|_| utilization.sample(0.5, in_flight));
    utilization
}

/// When servers are removed, the remaining ones take the entire load. Latency shows the overload too late, so
/// utilization has to rise at once.
#[test]
fn removed_servers_raise_utilization_at_once_in_fleets_of_any_size() {
    for nodes in [30.0, 100.0, 1000.0] {
        // 120 attempts in flight over the fleet: a light load for 60 servers, a heavy one for 20.
        let mut utilization = after_ten_seconds(120.0 / nodes, 60.0);
        assert!(utilization.value(nodes, 450.0 / nodes, 0.6) < 0.6);
        utilization.set_capacity(20.0);
        assert!(utilization.value(nodes, 450.0 / nodes, 0.6) > 0.85);
        utilization.set_capacity(12.0);
        assert!(utilization.value(nodes, 450.0 / nodes, 0.6) > 1.4);
    }
}

#[test]
fn capacity_of_large_servers_follows_their_throughput() {
    // 60 servers with 100 responses per second each have 1,200 attempts in flight at a latency of 200 ms, which is a
    // third of the objective.
    assert!(after_ten_seconds(12.0, 60.0).value(100.0, 60.0, 0.6) < 0.7);
    assert!(after_ten_seconds(48.0, 60.0).value(100.0, 60.0, 0.6) > 2.0);
}

/// Servers are removed, or return in slow start. Responses have to be divided by the capacity that produced them:
/// divided by the current capacity, the remaining servers would look fast, and returning ones slow.
#[test]
fn throughput_per_server_does_not_change_when_servers_drop_out_or_return() {
    let nodes = 100.0;
    // Each of 60 servers sends 50 responses per second, and sustains 15 attempts at an objective of 0.6 s. Then half of
    // the servers are removed, and the rate of responses halves.
    let mut utilization = after_ten_seconds(600.0 / nodes, 60.0);
    let before = utilization.value(nodes, 30.0, 0.6);
    utilization.set_capacity(30.0);
    let after = utilization.value(nodes, 30.0, 0.6);
    assert!(
        (after / before - 2.0).abs() < 0.01,
        "half as many servers sustain half as many attempts: {before:.2}, {after:.2}"
    );
    // Long after the removal, with half as many attempts in flight and half the rate of responses.
    (0..200).for_each(|_| utilization.sample(0.5, 300.0 / nodes));
    let long_after = utilization.value(nodes, 15.0, 0.6);
    assert!(
        (long_after / before - 1.0).abs() < 0.01,
        "utilization per server must not change: {before:.2}, {long_after:.2}"
    );
}
