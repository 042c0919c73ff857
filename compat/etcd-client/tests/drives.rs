//! Tests the etcd test double with the third-party client `etcd-client`. The node uses a client of its own, so
//! behaviour that both clients accept is not an artefact of this project's own message definitions.

use etcd_client::*;
use saffronpaddle_test_doubles::etcd::Etcd;
use std::time::Duration;

async fn connected(etcd: &Etcd) -> Client {
    let endpoints: Vec<String> = etcd.endpoints().iter().map(|address| address.to_string()).collect();
    Client::connect(endpoints, None).await.expect("it connects")
}

async fn next(stream: &mut WatchStream) -> WatchResponse {
    let next = tokio::time::timeout(Duration::from_secs(60), stream.message()).await;
    next.expect("in time").expect("no error").expect("the stream is open")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_have_revisions_versions_and_history() {
    let etcd = Etcd::start(1).await.expect("a cluster");
    let mut client = connected(&etcd).await;
    let first = client.put("a/1", "one", None).await.expect("put").header().expect("a header").revision();
    client.put("a/2", "two", None).await.expect("put");
    let again = client.put("a/1", "uno", Some(PutOptions::new().with_prev_key())).await.expect("put");
    assert_eq!(again.prev_key().expect("the one before").value(), b"one");
    let all = client.get("a/", Some(GetOptions::new().with_prefix())).await.expect("get");
    assert_eq!((all.count(), all.kvs().len()), (2, 2));
    let one = &all.kvs()[0];
    assert_eq!((one.value(), one.version(), one.create_revision()), (&b"uno"[..], 2, first));
    assert!(one.mod_revision() > first);
    let old = client.get("a/1", Some(GetOptions::new().with_revision(first))).await.expect("get");
    assert_eq!(old.kvs()[0].value(), b"one");
    let page = client.get("a/", Some(GetOptions::new().with_prefix().with_limit(1))).await.expect("get");
    assert!(page.more() && page.kvs().len() == 1 && page.count() == 2);
    let deleted = client.delete("a/", Some(DeleteOptions::new().with_prefix())).await.expect("delete");
    assert_eq!(deleted.deleted(), 2);
    assert_eq!(client.get("a/1", None).await.expect("get").count(), 0);
    client.compact(etcd.revision(), None).await.expect("compact");
    let gone = client.get("a/1", Some(GetOptions::new().with_revision(first))).await;
    assert!(gone.expect_err("compacted").to_string().contains("compacted"));
    assert_eq!(client.status().await.expect("status").leader(), 0x100);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_gives_history_in_order_with_previous_values_and_is_cancelled_past_compaction() {
    let etcd = Etcd::start(1).await.expect("a cluster");
    let mut client = connected(&etcd).await;
    let from = client.put("w/1", "one", None).await.expect("put").header().expect("a header").revision();
    client.put("other", "x", None).await.expect("put");
    client.delete("w/1", None).await.expect("delete");
    let options = WatchOptions::new().with_prefix().with_start_revision(from).with_prev_key();
    let mut stream = client.watch("w/", Some(options)).await.expect("watch");
    let mut events = Vec::new();
    while events.len() < 2 {
        let response = next(&mut stream).await;
        events.extend(response.events().iter().map(|event| {
            let before = event.prev_kv().map(|kv| kv.value().to_vec());
            (event.event_type(), event.kv().expect("a key").key().to_vec(), before)
        }));
    }
    assert_eq!(events[0], (EventType::Put, b"w/1".to_vec(), None));
    assert_eq!(events[1], (EventType::Delete, b"w/1".to_vec(), Some(b"one".to_vec())));
    // All events of one transaction arrive in a single watch response.
    let ops = vec![TxnOp::put("w/2", "a", None), TxnOp::put("w/3", "b", None)];
    client.txn(Txn::new().and_then(ops)).await.expect("a transaction");
    let both = next(&mut stream).await;
    let revisions: Vec<i64> = both.events().iter().map(|event| event.kv().expect("a key").mod_revision()).collect();
    assert!(revisions.len() == 2 && revisions[0] == revisions[1], "{revisions:?}");
    stream.request_progress().await.expect("asked");
    let progress = next(&mut stream).await;
    assert!(progress.events().is_empty());
    assert_eq!(progress.header().expect("a header").revision(), etcd.revision());
    etcd.compact(etcd.revision());
    let options = WatchOptions::new().with_prefix().with_start_revision(from);
    let mut late = client.watch("w/", Some(options)).await.expect("watch");
    let cancelled = loop {
        let response = next(&mut late).await;
        if !response.created() || response.canceled() {
            break response;
        }
    };
    assert!(cancelled.canceled() && cancelled.compact_revision() == etcd.revision());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fragments_come_with_their_mark_and_end_without_it() {
    let etcd = Etcd::start(1).await.expect("a cluster");
    etcd.members[0].set_faults(|faults| faults.fragment_at = 2);
    let mut client = connected(&etcd).await;
    // A watch without a start revision begins when the server receives it. On a busy machine that may be after the puts
    // below, whose events it would then miss.
    let options = WatchOptions::new().with_prefix().with_fragment().with_start_revision(etcd.revision() + 1);
    let mut stream = client.watch("f/", Some(options)).await.expect("watch");
    etcd.apply(&[("f/1", Some("x")), ("f/2", Some("x")), ("f/3", Some("x")), ("f/4", Some("x")), ("f/5", Some("x"))]);
    let mut events = 0;
    while events < 5 {
        let response = next(&mut stream).await;
        events += response.events().len();
    }
    assert_eq!(events, 5);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leases_are_kept_alive_and_expire_with_their_keys() {
    let etcd = Etcd::start(1).await.expect("a cluster");
    let mut client = connected(&etcd).await;
    let lease = client.lease_grant(1, None).await.expect("a lease").id();
    client.put("l/1", "x", Some(PutOptions::new().with_lease(lease))).await.expect("put");
    let (mut keeper, mut kept) = client.lease_keep_alive(lease).await.expect("kept alive");
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        keeper.keep_alive().await.expect("sent");
        assert_eq!(kept.message().await.expect("no error").expect("an answer").ttl(), 1);
    }
    assert_eq!(client.get("l/1", None).await.expect("get").count(), 1, "1.6 s later");
    let told = client.lease_time_to_live(lease, Some(LeaseTimeToLiveOptions::new().with_keys())).await;
    assert_eq!(told.expect("its time").keys(), [b"l/1".to_vec()]);
    let options = WatchOptions::new().with_prefix().with_start_revision(etcd.revision() + 1);
    let mut stream = client.watch("l/", Some(options)).await.expect("watch");
    let gone = loop {
        let response = next(&mut stream).await;
        if let Some(event) = response.events().first() {
            break event.event_type();
        }
    };
    assert_eq!(gone, EventType::Delete, "it expired");
    let other = client.lease_grant(100, None).await.expect("a lease").id();
    client.put("l/2", "x", Some(PutOptions::new().with_lease(other))).await.expect("put");
    client.lease_revoke(other).await.expect("revoked");
    assert_eq!(client.get("l/2", None).await.expect("get").count(), 0);
    let missing = client.put("l/3", "x", Some(PutOptions::new().with_lease(other))).await;
    assert!(missing.expect_err("no such lease").to_string().contains("lease not found"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn authentication_wants_the_password() {
    let etcd = Etcd::start(1).await.expect("a cluster");
    etcd.require_auth("edge", "secret");
    let endpoint = etcd.endpoints()[0].to_string();
    let wrong = ConnectOptions::new().with_user("edge", "guess");
    assert!(Client::connect([endpoint.clone()], Some(wrong)).await.is_err());
    let right = ConnectOptions::new().with_user("edge", "secret");
    let mut client = Client::connect([endpoint], Some(right)).await.expect("it connects");
    client.put("a", "x", None).await.expect("put");
}
