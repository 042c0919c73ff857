use super::*;

/// Utilization after ten seconds with so many in flight at this node and so many warm servers.
fn after_ten_seconds(in_flight: f64, capacity: f64) -> Utilization {
    let mut utilization = Utilization::default();
    utilization.set_capacity(capacity);
    (0..20).for_each(|_| utilization.sample(0.5, in_flight));
    utilization
}

/// Servers drop out, and those left take the whole load. Latency shows the overload too late; utilization has to rise at once.
#[test]
fn removed_servers_raise_utilization_at_once_in_fleets_of_any_size() {
    for nodes in [30.0, 100.0, 1000.0] {
        // 120 in flight in all at 60 servers, which is easy; at 20 it is not.
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
    // 60 servers that each answer 100 a second have 1,200 in flight at a latency of 200 ms: a third of the objective.
    assert!(after_ten_seconds(12.0, 60.0).value(100.0, 60.0, 0.6) < 0.7);
    assert!(after_ten_seconds(48.0, 60.0).value(100.0, 60.0, 0.6) > 2.0);
}

/// Servers drop out or return in slow start. If responses were divided by the servers of this moment, those left would look
/// fast, and those that return slow; they are divided by the servers that gave them.
#[test]
fn throughput_per_server_does_not_change_when_servers_drop_out_or_return() {
    let nodes = 100.0;
    // Each of 60 answers 50 a second, and bears 15 at an objective of 0.6 s. Then half of them are gone, and the rate of
    // responses halves.
    let mut utilization = after_ten_seconds(600.0 / nodes, 60.0);
    let before = utilization.value(nodes, 30.0, 0.6);
    utilization.set_capacity(30.0);
    let after = utilization.value(nodes, 30.0, 0.6);
    assert!(
        (after / before - 2.0).abs() < 0.01,
        "half as many bear half: {before:.2}, {after:.2}"
    );
    // Long after, with half in flight: the servers are few or in slow start for as long as they answer less.
    (0..200).for_each(|_| utilization.sample(0.5, 300.0 / nodes));
    let long_after = utilization.value(nodes, 15.0, 0.6);
    assert!(
        (long_after / before - 1.0).abs() < 0.01,
        "the same for each: {before:.2}, {long_after:.2}"
    );
}
