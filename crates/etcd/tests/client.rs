//! The client against the test double of an etcd cluster: broken connections, compaction, fragments, and members that
//! lag, freeze or are replaced.

use saffronpaddle_endpoints::{EmptyListRules, EndpointStatus};
use saffronpaddle_etcd::{follow, ClientEvent, Settings, Timing};
use saffronpaddle_netio::timeout;
use saffronpaddle_test_doubles::etcd::Etcd;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Timeout of each wait, which only a failing test reaches.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

fn timing() -> Timing {
    Timing {
        answer_within: Duration::from_millis(700),
        probe_every: Duration::from_millis(100),
        silent_after: Duration::from_millis(600),
        backoff: (Duration::from_millis(10), Duration::from_millis(100)),
    }
}

fn value(health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"dial":"127.0.0.1:80","site":"a","block":1,"health":"{health}","born_ms":{born_ms}}}"#
    )
}

fn key(host: &str) -> String {
    format!("/board/{host}")
}

/// A running client, with the list and the log lines that result from its events.
struct ListClient {
    events: mpsc::Receiver<ClientEvent>,
    hosts: BTreeMap<String, (EndpointStatus, u64)>,
    logs: Vec<String>,
    /// The longest time from the read of a change to its arrival at the test.
    max_delay: Duration,
    changes: usize,
}

impl ListClient {
    fn follow(etcd: &Etcd, empty_after: Duration) -> ListClient {
        ListClient::with_user(etcd, empty_after, None)
    }

    fn with_user(etcd: &Etcd, empty_after: Duration, user: Option<(String, String)>) -> ListClient {
        let (sender, events) = mpsc::channel(1024);
        let settings = Settings {
            endpoints: etcd.endpoints(),
            prefix: "/board/".to_owned(),
            user,
            timing: timing(),
            rules: EmptyListRules { empty_after },
            #[cfg(feature = "tls")]
            tls: None,
        };
        tokio::spawn(follow(settings, sender));
        ListClient {
            events,
            hosts: BTreeMap::new(),
            logs: Vec::new(),
            max_delay: Duration::ZERO,
            changes: 0,
        }
    }

    async fn next(&mut self) {
        match timeout(TEST_TIMEOUT, self.events.recv())
            .await
            .expect("an event arrives within the timeout")
            .expect("the client is running")
        {
            ClientEvent::Changed { change, read_at } => {
                self.max_delay = self.max_delay.max(read_at.elapsed());
                self.changes += 1;
                if change.snapshot {
                    self.hosts.clear();
                }
                for entry in change.endpoints {
                    if entry.status == EndpointStatus::Removed {
                        self.hosts.remove(&*entry.host);
                    } else {
                        self.hosts
                            .insert(entry.host.to_string(), (entry.status, entry.started_at_ms));
                    }
                }
            }
            ClientEvent::Alive => {}
            ClientEvent::Log(line) => self.logs.push(line),
        }
    }

    async fn wait_until(&mut self, what: &str, seen: impl Fn(&ListClient) -> bool) {
        let started = Instant::now();
        while !seen(self) {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "timed out waiting for {what}; list: {:?}; log lines: {:?}",
                self.hosts,
                self.logs
            );
            self.next().await;
        }
    }

    async fn wait_for_status(&mut self, host: &str, status: Option<EndpointStatus>) {
        let what = format!("{host} to have the status {status:?}");
        self.wait_until(&what, |client| {
            client.hosts.get(host).map(|server| server.0) == status
        })
        .await;
    }
}

async fn cluster(members: usize) -> Etcd {
    let etcd = Etcd::start(members).await.expect("a cluster");
    for host in ["a", "b", "c"] {
        etcd.put(&key(host), &value("ready", 7));
    }
    etcd
}

/// A value of [`EmptyListRules::empty_after`] that no test reaches.
const HOUR: Duration = Duration::from_hours(1);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_is_read_and_followed() {
    let etcd = cluster(1).await;
    etcd.put("/other/x", "noise");
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    etcd.put(&key("a"), &value("draining", 7));
    client
        .wait_for_status("a", Some(EndpointStatus::Draining))
        .await;
    etcd.apply(&[(&key("b"), None), (&key("d"), Some(&value("ready", 9)))]);
    let changes = client.changes;
    client
        .wait_for_status("d", Some(EndpointStatus::Ready))
        .await;
    assert!(
        !client.hosts.contains_key("b") && client.changes == changes + 1,
        "one revision is applied as one change"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_watch_resumes_from_its_revision_without_a_range() {
    let etcd = cluster(3).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    let ranges: u64 = etcd
        .members
        .iter()
        .map(saffronpaddle_test_doubles::etcd::Member::ranges)
        .sum();
    for round in 0..5 {
        // The change occurs while no watch is open.
        etcd.members
            .iter()
            .for_each(saffronpaddle_test_doubles::etcd::Member::cut_connections);
        let health = if round % 2 == 0 { "draining" } else { "ready" };
        etcd.put(&key("a"), &value(health, 7));
        let status = if round % 2 == 0 {
            EndpointStatus::Draining
        } else {
            EndpointStatus::Ready
        };
        client.wait_for_status("a", Some(status)).await;
    }
    let after: u64 = etcd
        .members
        .iter()
        .map(saffronpaddle_test_doubles::etcd::Member::ranges)
        .sum();
    assert_eq!(after, ranges, "the watch resumed each time");
}

/// While no member accepts connections, one server is drained, another is removed and a third one is added. These
/// revisions are compacted before the client can reconnect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_is_read_again_after_compaction_past_the_known_revision() {
    let etcd = cluster(2).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    etcd.members
        .iter()
        .for_each(|member| member.set_faults(|faults| faults.refuse_connections = true));
    etcd.members
        .iter()
        .for_each(saffronpaddle_test_doubles::etcd::Member::cut_connections);
    etcd.put(&key("a"), &value("draining", 7));
    etcd.delete(&key("b"));
    etcd.compact(etcd.put(&key("d"), &value("ready", 9)));
    etcd.members
        .iter()
        .for_each(|member| member.set_faults(|faults| faults.refuse_connections = false));
    client
        .wait_for_status("d", Some(EndpointStatus::Ready))
        .await;
    assert!(
        !client.hosts.contains_key("b") && client.hosts["a"].0 == EndpointStatus::Draining,
        "{:?}",
        client.hosts
    );
    assert!(
        client.logs.iter().any(|line| line.contains("compacted")),
        "{:?}",
        client.logs
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_in_a_fragment_before_a_reconnect_is_reported_before_the_rest() {
    let etcd = cluster(1).await;
    let member = &etcd.members[0];
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    member.set_faults(|faults| {
        (faults.fragment_at, faults.cut_after_fragments) = (1, Some(1));
        faults.fragment_delay = Duration::from_millis(50);
    });
    let watches = member.watches();
    etcd.apply(&[
        (&key("a"), Some(&value("draining", 7))),
        (&key("b"), None),
        (&key("d"), Some(&value("ready", 9))),
    ]);
    client
        .wait_for_status("a", Some(EndpointStatus::Draining))
        .await;
    assert!(
        client.hosts.contains_key("b"),
        "the rest has not arrived yet"
    );
    client
        .wait_for_status("d", Some(EndpointStatus::Ready))
        .await;
    assert!(!client.hosts.contains_key("b") && member.watches() > watches);
}

/// The connection breaks inside a frame, at many different offsets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_change_is_lost_when_a_connection_breaks_inside_a_frame() {
    let etcd = cluster(1).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    for bytes in (1..200).step_by(13) {
        etcd.members[0].set_faults(|faults| faults.cut_after_bytes = Some(bytes));
        let start_ms = 1000 + bytes;
        etcd.put(&key("a"), &value("ready", start_ms));
        client
            .wait_until("the change", |client| client.hosts["a"].1 == start_ms)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_recreated_after_its_lease_expired_is_a_new_start_of_its_server() {
    let etcd = cluster(1).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    etcd.put_leased(&key("l"), &value("ready", 0), Duration::from_millis(200));
    client
        .wait_for_status("l", Some(EndpointStatus::Ready))
        .await;
    let first = client.hosts["l"].1;
    client.wait_for_status("l", None).await;
    etcd.put_leased(&key("l"), &value("ready", 0), Duration::from_secs(100));
    client
        .wait_for_status("l", Some(EndpointStatus::Ready))
        .await;
    assert!(
        first > 0 && client.hosts["l"].1 > first,
        "the second start is later: {first}, {:?}",
        client.hosts["l"]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_last_of_several_events_of_a_key_in_a_response_is_applied() {
    let etcd = cluster(1).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    etcd.members[0].set_faults(|faults| faults.refuse_connections = true);
    etcd.members[0].cut_connections();
    etcd.put(&key("a"), &value("draining", 7));
    etcd.delete(&key("a"));
    etcd.put(&key("a"), &value("ready", 0));
    let changes = client.changes;
    etcd.members[0].set_faults(|faults| faults.refuse_connections = false);
    client
        .wait_until("the new process", |client| {
            client.hosts.get("a").is_some_and(|server| server.1 > 7)
        })
        .await;
    assert_eq!(
        (client.hosts["a"].0, client.changes),
        (EndpointStatus::Ready, changes + 1),
        "all in one response"
    );
}

/// The member in use freezes, and the next one lags behind the known revision, so the client must switch to the third
/// one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_client_leaves_a_frozen_member_and_a_lagging_one() {
    let etcd = cluster(3).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    let old = etcd.revision();
    etcd.put(&key("a"), &value("draining", 7));
    client
        .wait_for_status("a", Some(EndpointStatus::Draining))
        .await;
    let followed = etcd
        .members
        .iter()
        .position(|member| member.watches() > 0)
        .expect("one member is watched");
    let (next, last) = ((followed + 1) % 3, (followed + 2) % 3);
    etcd.members[next].set_faults(|faults| faults.stuck_at_revision = Some(old));
    etcd.members[followed].set_faults(|faults| faults.frozen = true);
    etcd.put(&key("b"), &value("draining", 7));
    client
        .wait_for_status("b", Some(EndpointStatus::Draining))
        .await;
    assert!(
        etcd.members[last].watches() > 0,
        "the third member is watched"
    );
    assert_eq!(
        client.hosts["a"].0,
        EndpointStatus::Draining,
        "the older state is not applied"
    );
    let logged = |what: &str| client.logs.iter().any(|line| line.contains(what));
    assert!(logged("silent") && logged("lags"), "{:?}", client.logs);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_is_read_again_after_a_cluster_is_recreated_or_restored() {
    for recreated in [true, false] {
        let etcd = cluster(2).await;
        for _ in 0..20 {
            etcd.put(&key("a"), &value("ready", 7));
        }
        let mut client = ListClient::follow(&etcd, HOUR);
        client
            .wait_until("the list", |client| client.hosts.len() == 3)
            .await;
        etcd.restore(
            &[
                ("/board/b", &value("draining", 7)),
                ("/board/z", &value("ready", 9)),
            ],
            recreated,
        );
        client
            .wait_for_status("z", Some(EndpointStatus::Ready))
            .await;
        let hosts: Vec<&String> = client.hosts.keys().collect();
        assert_eq!(hosts, ["b", "z"], "recreated: {recreated}");
        assert_eq!(client.hosts["b"].0, EndpointStatus::Draining);
        etcd.put(&key("z"), &value("draining", 9));
        client
            .wait_for_status("z", Some(EndpointStatus::Draining))
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wiped_prefix_is_accepted_only_after_it_has_stayed_empty() {
    let etcd = cluster(1).await;
    let mut client = ListClient::follow(&etcd, Duration::from_millis(1500));
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    etcd.delete_prefix("/board/");
    etcd.put("/board/b", &value("ready", 7));
    client
        .wait_until("the suspected wipe", |client| {
            client
                .logs
                .iter()
                .any(|line| line.contains("the prefix is empty"))
        })
        .await;
    assert_eq!(client.hosts.len(), 3, "the servers are kept");
    let started = Instant::now();
    client
        .wait_until("the confirmed wipe", |client| client.hosts.len() == 1)
        .await;
    assert!(
        started.elapsed() > Duration::from_secs(1) && client.hosts.contains_key("b"),
        "{:?}",
        client.hosts
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_with_authentication_requires_the_right_password() {
    let etcd = cluster(1).await;
    etcd.require_auth("edge", "secret");
    let mut wrong =
        ListClient::with_user(&etcd, HOUR, Some(("edge".to_owned(), "guess".to_owned())));
    wrong
        .wait_until("the rejection", |client| {
            client
                .logs
                .iter()
                .any(|line| line.contains("authentication failed"))
        })
        .await;
    assert!(wrong.hosts.is_empty());
    let mut anonymous = ListClient::follow(&etcd, HOUR);
    anonymous
        .wait_until("the rejection", |client| {
            client
                .logs
                .iter()
                .any(|line| line.contains("invalid auth token"))
        })
        .await;
    let mut right =
        ListClient::with_user(&etcd, HOUR, Some(("edge".to_owned(), "secret".to_owned())));
    right
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
}

/// Ten thousand servers are read page by page, and a burst of ten thousand changes is applied completely.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ten_thousand_keys_and_ten_thousand_changes_are_followed() {
    let etcd = cluster(1).await;
    for number in 0..10_000 {
        etcd.put(&key(&format!("s{number}")), &value("ready", 7));
    }
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 10_003)
        .await;
    assert!(etcd.members[0].ranges() >= 11, "the range is read in pages");
    for number in 0..10_000 {
        etcd.put(&key(&format!("s{number}")), &value("draining", 7));
    }
    client
        .wait_until("the end of the burst", |client| {
            client
                .hosts
                .values()
                .filter(|server| server.0 == EndpointStatus::Draining)
                .count()
                == 10_000
        })
        .await;
}

/// While its receiver is slow, the client stops reading the watch, so that memory stays bounded. It must end when the
/// receiver is dropped, and not reconnect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_client_ends_when_its_receiver_is_dropped() {
    let etcd = cluster(1).await;
    let mut client = ListClient::follow(&etcd, HOUR);
    client
        .wait_until("the list", |client| client.hosts.len() == 3)
        .await;
    let connections = etcd.members[0].connections();
    drop(client);
    tokio::time::sleep(Duration::from_millis(500)).await;
    etcd.members[0].cut_connections();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        etcd.members[0].connections(),
        connections,
        "the client does not reconnect"
    );
}
