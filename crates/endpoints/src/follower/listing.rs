//! Collects the pages of a range over the entire prefix.

use crate::compact::{CompactEndpoint, ZoneNames};
use crate::follower::response::KeyValue;
use crate::value::{host_of_key, read_value, ValueError};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The stored endpoint of a key.
#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    pub endpoint: CompactEndpoint,
    pub create_revision: i64,
    pub mod_revision: i64,
    /// Whether the newest value could not be parsed, so that `endpoint` is that of an earlier value.
    pub outdated: bool,
}

/// A key whose value could not be parsed.
#[derive(Clone, Debug)]
pub(super) struct UnreadableKey {
    pub mod_revision: i64,
    pub error: ValueError,
}

/// The result of parsing a key's value.
pub(super) type ReadKey = Result<Box<KnownEndpoint>, Box<UnreadableKey>>;

/// Parses the value of a host's key. Also returns the host name as the key of the table.
pub(super) fn read_key(host: &str, kv: &KeyValue, zones: &mut ZoneNames) -> (Arc<str>, ReadKey) {
    match read_value(host, &kv.value) {
        Ok(record) => {
            let known = KnownEndpoint {
                endpoint: CompactEndpoint::new(&record, zones),
                create_revision: kv.create_revision,
                mod_revision: kv.mod_revision,
                outdated: false,
            };
            (record.host, Ok(Box::new(known)))
        }
        Err(error) => {
            let mod_revision = kv.mod_revision;
            let unreadable = UnreadableKey {
                mod_revision,
                error,
            };
            (host.into(), Err(Box::new(unreadable)))
        }
    }
}

/// A list whose pages are being read.
///
/// Each value is parsed when its page arrives and its text is then dropped. Holding the text of 40,000 values beside
/// the parsed endpoints would double the memory in use.
#[derive(Clone, Debug)]
pub struct Listing {
    pub(super) prefix: String,
    pub(super) zones: ZoneNames,
    /// A map rather than a vector: a vector of 40,000 rows is one large block, and the allocator does not return a
    /// block of that size to the system once it has been freed.
    pub(super) keys: BTreeMap<Arc<str>, ReadKey>,
}

impl Listing {
    /// Parses and adds a page of the range. Keys that contain no host name are skipped.
    pub fn add_page(&mut self, kvs: impl IntoIterator<Item = KeyValue>) {
        for kv in kvs {
            if let Some(host) = host_of_key(&self.prefix, &kv.key) {
                let (host, read) = read_key(host, &kv, &mut self.zones);
                self.keys.insert(host, read);
            }
        }
    }
}
