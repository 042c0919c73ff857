//! Addresses that tests choose for processes that they start later.

use saffronpaddle_test_doubles::scripted::free_address;

/// Guards against `Address already in use` at the start of a node: the kernel may assign a port of the ephemeral range
/// to a client or a listener of another test before the node binds it.
#[test]
fn a_free_address_is_not_in_the_range_of_ephemeral_ports() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")
        .expect("the range is readable");
    let ports: Vec<u16> = range
        .split_whitespace()
        .map(|port| port.parse().expect("a port"))
        .collect();
    let address = free_address();
    assert!(
        !(ports[0]..=ports[1]).contains(&address.port()),
        "{address} is in the range {ports:?}"
    );
}
