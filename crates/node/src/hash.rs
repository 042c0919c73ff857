//! The hash function for names.

/// Offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text, which is the same in all processes and builds.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
