use super::*;

#[test]
fn counts_add_up_over_nodes_and_over_a_restart() {
    let mut counts = Counts::default();
    let log = "node 1: listening\n\
               counts node=1 at_ms=1000 asked=10 open_requests=5\n\
               counts node=1 at_ms=2000 asked=30 open_requests=1\n\
               counts node=2 at_ms=2000 asked=4 open_requests=2\n\
               counts node=1 at_ms=1000 asked=6 open_requests=0\n\
               counts node=1 at_ms=2000 asked=7 open_requests=0\n";
    let counter_lines = log.lines().filter(|line| counts.add_line(line)).count();
    assert_eq!(counter_lines, 5);
    let rows = counts.rows();
    assert_eq!(rows.len(), 1, "gauges are not summed: {rows:?}");
    let (name, row) = &rows[0];
    assert_eq!(
        (&name[..], row[0]),
        ("asked", 41.0),
        "node 1 counted 30 before its restart and 7 after it, node 2 counted 4"
    );
    assert_eq!(row[4], 37.0 / 4.0, "rate of the busiest node over 4 s");
    assert_eq!(
        counts.csv(),
        "node,ran_ms,asked\r\n1,4000,37\r\n2,2000,4\r\n"
    );
}
