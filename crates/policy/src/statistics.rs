//! Small statistics that several rules use.

/// The probability that fewer than `limit` are in flight where `mean` are on average (Poisson).
pub(crate) fn poisson_below(limit: u32, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 0..limit {
        below += term;
        term *= mean / f64::from(number + 1);
    }
    below
}

/// The share of the values that lie below `value`.
pub(crate) fn rank(value: f64, values: impl Iterator<Item = f64>) -> f64 {
    let mut below = 0.0;
    let mut count = 0.0_f64;
    for other in values {
        below += f64::from(u8::from(other < value));
        count += 1.0;
    }
    below / count.max(1.0)
}

/// Spreads numbers evenly, for hashes (Fibonacci hashing).
pub(crate) fn hash_number(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// 1 where a condition holds, else 0.
pub(crate) fn as_share(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}
