//! The follower against the stand-in cluster: each break that it must survive.

use saffronpaddle_endpoints::{EndpointStatus, Rules};
use saffronpaddle_etcd::{follow, News, Settings, Timing};
use saffronpaddle_test_doubles::etcd::Etcd;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// No wait is longer; only a failing test gets there.
const PATIENCE: Duration = Duration::from_mins(1);

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

/// A follower, with all that it has told.
struct Roster {
    news: mpsc::Receiver<News>,
    hosts: BTreeMap<String, (EndpointStatus, u64)>,
    logs: Vec<String>,
    /// The longest that a change took from its read to here.
    late: Duration,
    changes: usize,
}

impl Roster {
    fn follow(etcd: &Etcd, empty_after: Duration) -> Roster {
        Roster::with(etcd, empty_after, None)
    }

    fn with(etcd: &Etcd, empty_after: Duration, user: Option<(String, String)>) -> Roster {
        let (tell, news) = mpsc::channel(1024);
        let settings = Settings {
            endpoints: etcd.endpoints(),
            prefix: "/board/".to_owned(),
            user,
            timing: timing(),
            rules: Rules { empty_after },
            #[cfg(feature = "tls")]
            tls: None,
        };
        tokio::spawn(follow(settings, tell));
        Roster {
            news,
            hosts: BTreeMap::new(),
            logs: Vec::new(),
            late: Duration::ZERO,
            changes: 0,
        }
    }

    async fn next(&mut self) {
        match timeout(PATIENCE, self.news.recv())
            .await
            .expect("news come")
            .expect("it follows")
        {
            News::Changed { change, read } => {
                self.late = self.late.max(read.elapsed());
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
            News::Alive => {}
            News::Log(line) => self.logs.push(line),
        }
    }

    async fn until(&mut self, what: &str, seen: impl Fn(&Roster) -> bool) {
        let begun = Instant::now();
        while !seen(self) {
            assert!(
                begun.elapsed() < PATIENCE,
                "{what}: {:?} {:?}",
                self.hosts,
                self.logs
            );
            self.next().await;
        }
    }

    async fn until_standing(&mut self, host: &str, standing: Option<EndpointStatus>) {
        let what = format!("{host} is {standing:?}");
        self.until(&what, |roster| {
            roster.hosts.get(host).map(|held| held.0) == standing
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

const HOUR: Duration = Duration::from_hours(1);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_is_read_and_followed() {
    let etcd = cluster(1).await;
    etcd.put("/other/x", "noise");
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    etcd.put(&key("a"), &value("draining", 7));
    roster
        .until_standing("a", Some(EndpointStatus::Draining))
        .await;
    etcd.apply(&[(&key("b"), None), (&key("d"), Some(&value("ready", 9)))]);
    let changes = roster.changes;
    roster
        .until_standing("d", Some(EndpointStatus::Ready))
        .await;
    assert!(
        !roster.hosts.contains_key("b") && roster.changes == changes + 1,
        "one revision is one change"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_resumes_from_an_old_revision_without_a_range() {
    let etcd = cluster(3).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    let ranges: u64 = etcd
        .members
        .iter()
        .map(saffronpaddle_test_doubles::etcd::Member::ranges)
        .sum();
    for round in 0..5 {
        // Changed while nobody watches.
        etcd.members
            .iter()
            .for_each(saffronpaddle_test_doubles::etcd::Member::cut_connections);
        let health = if round % 2 == 0 { "draining" } else { "ready" };
        etcd.put(&key("a"), &value(health, 7));
        let standing = if round % 2 == 0 {
            EndpointStatus::Draining
        } else {
            EndpointStatus::Ready
        };
        roster.until_standing("a", Some(standing)).await;
    }
    let after: u64 = etcd
        .members
        .iter()
        .map(saffronpaddle_test_doubles::etcd::Member::ranges)
        .sum();
    assert_eq!(after, ranges, "it resumed each time");
}

/// In the gap a server is drained and another one removed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn compaction_past_the_revision_that_was_seen_is_survived() {
    let etcd = cluster(2).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
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
    roster
        .until_standing("d", Some(EndpointStatus::Ready))
        .await;
    assert!(
        !roster.hosts.contains_key("b") && roster.hosts["a"].0 == EndpointStatus::Draining,
        "{:?}",
        roster.hosts
    );
    assert!(
        roster.logs.iter().any(|line| line.contains("compacted")),
        "{:?}",
        roster.logs
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reconnect_between_a_drain_and_its_last_fragment_tells_the_drain_at_once_and_the_rest_later(
) {
    let etcd = cluster(1).await;
    let member = &etcd.members[0];
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
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
    roster
        .until_standing("a", Some(EndpointStatus::Draining))
        .await;
    assert!(roster.hosts.contains_key("b"), "the rest has not come yet");
    roster
        .until_standing("d", Some(EndpointStatus::Ready))
        .await;
    assert!(!roster.hosts.contains_key("b") && member.watches() > watches);
}

/// A frame that is cut in its middle, at every one of many places.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frame_cut_in_its_middle_loses_nothing() {
    let etcd = cluster(1).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    for bytes in (1..200).step_by(13) {
        etcd.members[0].set_faults(|faults| faults.cut_after_bytes = Some(bytes));
        let born = 1000 + bytes;
        etcd.put(&key("a"), &value("ready", born));
        roster
            .until("the change", |roster| roster.hosts["a"].1 == born)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lease_that_expires_and_is_granted_anew_is_a_new_cold_server() {
    let etcd = cluster(1).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    etcd.put_leased(&key("l"), &value("ready", 0), Duration::from_millis(200));
    roster
        .until_standing("l", Some(EndpointStatus::Ready))
        .await;
    let first = roster.hosts["l"].1;
    roster.until_standing("l", None).await;
    etcd.put_leased(&key("l"), &value("ready", 0), Duration::from_secs(100));
    roster
        .until_standing("l", Some(EndpointStatus::Ready))
        .await;
    assert!(
        first > 0 && roster.hosts["l"].1 > first,
        "it started later: {first}, {:?}",
        roster.hosts["l"]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn put_delete_and_put_of_one_key_come_to_the_last() {
    let etcd = cluster(1).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    etcd.members[0].set_faults(|faults| faults.refuse_connections = true);
    etcd.members[0].cut_connections();
    etcd.put(&key("a"), &value("draining", 7));
    etcd.delete(&key("a"));
    etcd.put(&key("a"), &value("ready", 0));
    let changes = roster.changes;
    etcd.members[0].set_faults(|faults| faults.refuse_connections = false);
    roster
        .until("the new process", |roster| {
            roster.hosts.get("a").is_some_and(|held| held.1 > 7)
        })
        .await;
    assert_eq!(
        (roster.hosts["a"].0, roster.changes),
        (EndpointStatus::Ready, changes + 1),
        "all in one response"
    );
}

/// The member that is followed freezes, the next one lags behind what is known: the third one is followed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_freezes_and_one_that_lags_are_left() {
    let etcd = cluster(3).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    let old = etcd.revision();
    etcd.put(&key("a"), &value("draining", 7));
    roster
        .until_standing("a", Some(EndpointStatus::Draining))
        .await;
    let followed = etcd
        .members
        .iter()
        .position(|member| member.watches() > 0)
        .expect("one is followed");
    let (next, last) = ((followed + 1) % 3, (followed + 2) % 3);
    etcd.members[next].set_faults(|faults| faults.stuck_at_revision = Some(old));
    etcd.members[followed].set_faults(|faults| faults.frozen = true);
    etcd.put(&key("b"), &value("draining", 7));
    roster
        .until_standing("b", Some(EndpointStatus::Draining))
        .await;
    assert!(
        etcd.members[last].watches() > 0,
        "the third one is followed"
    );
    assert_eq!(
        roster.hosts["a"].0,
        EndpointStatus::Draining,
        "nothing went back"
    );
    let said = |what: &str| roster.logs.iter().any(|line| line.contains(what));
    assert!(said("silent") && said("lags"), "{:?}", roster.logs);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_that_was_recreated_or_restored_is_read_whole() {
    for recreated in [true, false] {
        let etcd = cluster(2).await;
        for _ in 0..20 {
            etcd.put(&key("a"), &value("ready", 7));
        }
        let mut roster = Roster::follow(&etcd, HOUR);
        roster
            .until("the list", |roster| roster.hosts.len() == 3)
            .await;
        etcd.restore(
            &[
                ("/board/b", &value("draining", 7)),
                ("/board/z", &value("ready", 9)),
            ],
            recreated,
        );
        roster
            .until_standing("z", Some(EndpointStatus::Ready))
            .await;
        let hosts: Vec<&String> = roster.hosts.keys().collect();
        assert_eq!(hosts, ["b", "z"], "recreated: {recreated}");
        assert_eq!(roster.hosts["b"].0, EndpointStatus::Draining);
        etcd.put(&key("z"), &value("draining", 9));
        roster
            .until_standing("z", Some(EndpointStatus::Draining))
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wiped_prefix_is_believed_only_once_it_has_lasted() {
    let etcd = cluster(1).await;
    let mut roster = Roster::follow(&etcd, Duration::from_millis(1500));
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    etcd.delete_prefix("/board/");
    etcd.put("/board/b", &value("ready", 7));
    roster
        .until("the doubt", |roster| {
            roster
                .logs
                .iter()
                .any(|line| line.contains("the prefix is empty"))
        })
        .await;
    assert_eq!(roster.hosts.len(), 3, "kept");
    let begun = Instant::now();
    roster
        .until("it is believed", |roster| roster.hosts.len() == 1)
        .await;
    assert!(
        begun.elapsed() > Duration::from_secs(1) && roster.hosts.contains_key("b"),
        "{:?}",
        roster.hosts
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_with_authentication_wants_the_password() {
    let etcd = cluster(1).await;
    etcd.require_auth("edge", "secret");
    let mut wrong = Roster::with(&etcd, HOUR, Some(("edge".to_owned(), "guess".to_owned())));
    wrong
        .until("the refusal", |roster| {
            roster
                .logs
                .iter()
                .any(|line| line.contains("authentication failed"))
        })
        .await;
    assert!(wrong.hosts.is_empty());
    let mut none = Roster::follow(&etcd, HOUR);
    none.until("the refusal", |roster| {
        roster
            .logs
            .iter()
            .any(|line| line.contains("invalid auth token"))
    })
    .await;
    let mut right = Roster::with(&etcd, HOUR, Some(("edge".to_owned(), "secret".to_owned())));
    right
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
}

/// Ten thousand servers are read page by page, and ten thousand changes in a storm followed to the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ten_thousand_keys_and_ten_thousand_changes_are_followed() {
    let etcd = cluster(1).await;
    for number in 0..10_000 {
        etcd.put(&key(&format!("s{number}")), &value("ready", 7));
    }
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 10_003)
        .await;
    assert!(etcd.members[0].ranges() >= 11, "in pages");
    for number in 0..10_000 {
        etcd.put(&key(&format!("s{number}")), &value("draining", 7));
    }
    roster
        .until("the storm's end", |roster| {
            roster
                .hosts
                .values()
                .filter(|held| held.0 == EndpointStatus::Draining)
                .count()
                == 10_000
        })
        .await;
}

/// A slow taker of news holds back the watch, and memory stays bounded; it ends with its taker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_ends_when_nobody_takes_its_news() {
    let etcd = cluster(1).await;
    let mut roster = Roster::follow(&etcd, HOUR);
    roster
        .until("the list", |roster| roster.hosts.len() == 3)
        .await;
    let connections = etcd.members[0].connections();
    drop(roster);
    tokio::time::sleep(Duration::from_millis(500)).await;
    etcd.members[0].cut_connections();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        etcd.members[0].connections(),
        connections,
        "it does not come back"
    );
}
