//! The hash that names are known by.

/// FNV-1a's first value, 64 bits.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a's factor, 64 bits.
const PRIME: u64 = 0x0100_0000_01b3;

/// The FNV-1a hash of a text, the same in all processes.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
