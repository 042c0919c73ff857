//! When a client that may have written everything is taken to wait.

use saffronpaddle_request_body::{ClientWait, Time, MAX_CLIENT_LEAD_BYTES};

const SIZE: u64 = 100_000;

/// The time that is this many ms after the origin.
fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against a deadline that counts from when the node reads the last byte, which may be long after the client wrote
/// it.
#[test]
fn a_client_waits_since_the_kernel_may_have_got_its_last_byte() {
    for size in [Some(SIZE), None] {
        let mut wait = ClientWait::new(size);
        wait.record_received(at(11), SIZE - 1);
        assert_eq!(wait.since(at(10), at(900)), at(10));
    }
}

/// The kernels can't buffer what is left of a larger body, so its client is still writing.
#[test]
fn a_client_that_is_still_writing_waits_since_the_node_has_stopped_reading() {
    let mut wait = ClientWait::new(Some(SIZE + MAX_CLIENT_LEAD_BYTES + 1));
    wait.record_received(at(11), SIZE);
    assert_eq!(wait.since(at(10), at(900)), at(900));
    wait.record_received(at(1000), 1);
    assert_eq!(wait.since(at(10), at(1900)), at(1000));
    assert_eq!(wait.since(at(1500), at(1900)), at(1500));
}

/// Guards against a client that is cut off while it writes a long body to a slow server: its wait can't have begun before
/// the kernels could buffer the rest.
#[test]
fn the_wait_for_a_slow_server_begins_when_the_kernels_can_buffer_the_rest() {
    let mut wait = ClientWait::new(Some(3 * MAX_CLIENT_LEAD_BYTES));
    for second in 1..=30 {
        wait.record_received(at(1000 * second), MAX_CLIENT_LEAD_BYTES / 10);
        let now = at(1000 * second + 500);
        let expected = if second < 20 { now } else { at(20_000) };
        assert_eq!(wait.since(at(10), now), expected, "second {second}");
    }
}

/// A client that is always ahead of the node has written what follows only after the node had read what is far before it.
#[test]
fn the_wait_of_a_client_that_is_always_ahead_moves_on_with_what_the_node_reads() {
    let mut wait = ClientWait::new(None);
    wait.record_received(at(1000), MAX_CLIENT_LEAD_BYTES);
    assert_eq!(wait.since(at(10), at(1100)), at(10));
    wait.record_received(at(2000), MAX_CLIENT_LEAD_BYTES - 1);
    assert_eq!(wait.since(at(10), at(2100)), at(10));
    wait.record_received(at(3000), 1);
    assert_eq!(wait.since(at(10), at(3100)), at(1000));
    assert_eq!(wait.since(at(2500), at(3100)), at(2500));
}
