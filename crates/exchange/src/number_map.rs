//! Hash maps keyed by numbers that this process, or the endpoint list, gave out.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits by which a product is rotated: the hash map takes its bits from both ends of the hash.
const ROTATION: u32 = 29;

/// A fast hasher for numbers. Clients don't choose these numbers, so that they can't make them collide.
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

/// A hash map keyed by such numbers.
pub(crate) type NumberMap<K, V> = HashMap<K, V, BuildHasherDefault<NumberHasher>>;
