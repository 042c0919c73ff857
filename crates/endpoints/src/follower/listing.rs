//! The whole prefix as it is read page by page.

use crate::compact::{CompactEndpoint, ZoneNames};
use crate::follower::response::KeyValue;
use crate::value::{host_of_key, read_value, ValueError};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is kept of a key whose value can be read.
#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    pub endpoint: CompactEndpoint,
    pub create_revision: i64,
    pub mod_revision: i64,
    /// The newest value cannot be read; the endpoint is from the last value that could.
    pub outdated: bool,
}

/// A key whose value cannot be read.
#[derive(Clone, Debug)]
pub(super) struct UnreadableKey {
    pub mod_revision: i64,
    pub error: ValueError,
}

/// A key's value, as it was read.
pub(super) type ReadKey = Result<Box<KnownEndpoint>, Box<UnreadableKey>>;

/// Reads the value of a host's key. Also returns the host's name in the form in which it is kept.
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

/// A list whose pages are being read. Each value is parsed and dropped at once: the text of 40,000 values beside what is
/// kept of them would double the memory in use.
#[derive(Clone, Debug)]
pub struct Listing {
    pub(super) prefix: String,
    pub(super) zones: ZoneNames,
    /// A map, because a vector of 40,000 rows is one large block, and the allocator keeps memory of that size once it has
    /// been freed.
    pub(super) keys: BTreeMap<Arc<str>, ReadKey>,
}

impl Listing {
    /// Takes in a page of the range.
    pub fn page(&mut self, kvs: impl IntoIterator<Item = KeyValue>) {
        for kv in kvs {
            if let Some(host) = host_of_key(&self.prefix, &kv.key) {
                let (host, read) = read_key(host, &kv, &mut self.zones);
                self.keys.insert(host, read);
            }
        }
    }
}
