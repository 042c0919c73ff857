//! Hash maps keyed by numbers that this process or the endpoint list has assigned.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits by which the product is rotated: the hash map uses bits from both ends of the hash.
const ROTATION: u32 = 29;

/// A fast hasher for numbers that clients don't choose: it does not resist deliberate collisions.
#[derive(Clone, Default)]
pub(crate) struct NumberHasher(u64);

impl Hasher for NumberHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = (self.0 ^ number)
            .wrapping_mul(FIBONACCI_MULTIPLIER)
            .rotate_left(ROTATION);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A hash map with [`NumberHasher`].
pub(crate) type NumberMap<K, V> = HashMap<K, V, BuildHasherDefault<NumberHasher>>;
