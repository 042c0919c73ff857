//! Statistical helper functions that several rules use.

/// Returns the probability that a Poisson variable with this mean is below `limit`.
pub(crate) fn poisson_below(limit: u32, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 0..limit {
        below += term;
        term *= mean / f64::from(number + 1);
    }
    below
}

/// Returns the share of the values that are below `value`, 0 if there are none.
pub(crate) fn rank(value: f64, values: impl Iterator<Item = f64>) -> f64 {
    let mut below = 0.0;
    let mut count = 0.0_f64;
    for other in values {
        below += f64::from(u8::from(other < value));
        count += 1.0;
    }
    below / count.max(1.0)
}

/// Hashes a number by Fibonacci hashing; the upper bits are the well distributed ones.
pub(crate) fn hash_number(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Returns 1 if the condition holds, else 0.
pub(crate) fn as_share(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}
