//! A follower of a store with a random history, across reconnects.

mod support;

use saffronpaddle_endpoints::*;
use std::collections::BTreeMap;
use support::*;

/// A linear congruential generator, so that each seed gives the same history.
struct Random {
    state: u64,
}

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.state = self
            .state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.state >> 33) % bound
    }
}

/// An etcd store with the history of its events.
struct Store {
    keys: BTreeMap<String, KeyValue>,
    history: Vec<WatchEvent>,
    revision: i64,
}

impl Store {
    /// Creates a store with one key, which is never changed.
    fn new() -> Store {
        let anchor = kv("anchor", 1, 1, value(80, "ready", 7));
        Store {
            keys: [("anchor".to_owned(), anchor)].into(),
            history: Vec::new(),
            revision: 1,
        }
    }

    /// Deletes or puts a random key.
    fn change(&mut self, random: &mut Random) {
        self.revision += 1;
        let host = ["a", "b", "c", "d"][random.below(4) as usize];
        if random.below(3) == 0 && self.keys.remove(host).is_some() {
            self.history.push(delete(host, self.revision));
            return;
        }
        let known = self.keys.get(host);
        let create_revision = known.map_or(self.revision, |kv| kv.create_revision);
        let health = if random.below(2) == 0 {
            "ready"
        } else {
            "draining"
        };
        let event = put(host, create_revision, self.revision, health);
        self.keys.insert(host.to_owned(), event.kv.clone());
        self.history.push(event);
    }

    fn events_from(&self, revision: i64) -> Vec<WatchEvent> {
        let mut events = self.history.clone();
        events.retain(|event| event.kv.mod_revision >= revision);
        events
    }

    fn statuses(&self) -> BTreeMap<String, EndpointStatus> {
        let status = |(host, kv): (&String, &KeyValue)| {
            let record = read_value(host, &kv.value).expect("a value");
            (host.clone(), record.status)
        };
        self.keys.iter().map(status).collect()
    }
}

/// A follower, and the list that results from its updates.
struct Client {
    follower: Follower,
    list: BTreeMap<String, EndpointStatus>,
}

impl Client {
    fn apply(&mut self, update: EndpointUpdate) {
        for record in update.endpoints {
            self.list.insert(record.host.to_string(), record.status);
        }
    }

    fn read(&mut self, store: &Store) {
        let all: Vec<KeyValue> = store.keys.values().cloned().collect();
        let update = self
            .follower
            .apply_range(header(store.revision), &all, ms(0), NOW);
        self.apply(update);
    }

    fn receive(&mut self, store: &Store, events: Vec<WatchEvent>, fragment: bool) {
        let (update, _) =
            self.follower
                .apply_events(header(store.revision), events, fragment, ms(0), NOW);
        self.apply(update);
    }

    /// Returns the events that the follower has not applied yet.
    fn missing_events(&self, store: &Store) -> Vec<WatchEvent> {
        store.events_from(
            self.follower
                .resume_revision()
                .expect("the prefix was read"),
        )
    }

    /// Receives the missing events in two fragments, the second of which may be lost by a reconnect.
    fn watch(&mut self, store: &Store, random: &mut Random) {
        let mut first = self.missing_events(store);
        let cut = random.below(first.len() as u64 + 1) as usize;
        let last = first.split_off(cut);
        self.receive(store, first, true);
        if random.below(3) > 0 {
            self.receive(store, last, false);
        } else {
            self.follower.reset_connection();
        }
    }
}

/// Events, ranges, fragments and reconnects occur in random order. In the end the list must match the store.
#[test]
fn after_a_random_history_with_reconnects_the_list_matches_the_store() {
    let mut random = Random { state: 1 };
    for _ in 0..300 {
        let mut store = Store::new();
        let mut client = Client {
            follower: Follower::new("/board/", EmptyListRules::default()),
            list: BTreeMap::new(),
        };
        client.read(&store);
        for _ in 0..40 {
            store.change(&mut random);
            match random.below(6) {
                0 => client.follower.reset_connection(),
                1 => client.read(&store),
                2 | 3 => client.watch(&store, &mut random),
                _ => {}
            }
        }
        let rest = client.missing_events(&store);
        client.receive(&store, rest, false);
        client
            .list
            .retain(|_, status| *status != EndpointStatus::Removed);
        assert_eq!(client.list, store.statuses());
        assert_eq!(client.follower.host_count(), store.keys.len());
    }
    let unused = Follower::new("/", EmptyListRules::default());
    assert_eq!(unused.stats(), FollowerStats::default());
}
