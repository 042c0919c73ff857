//! Sums that the decisions use: fuzzy inference over a rule base that is given, and chances. No rule is here.

/// Certainty of each level, by triangles that cross at one half; the input is 1 at the outermost.
fn fuzzify(input: f64) -> [f64; 7] {
    let place = input.clamp(-1.0, 1.0) * 3.0;
    std::array::from_fn(|level| (1.0 - (place - (level as f64 - 3.0)).abs()).max(0.0))
}

/// Centre-average defuzzifying over the rules that are on, each as certain as its lesser premise.
pub(crate) fn infer(rule: fn(i32, i32) -> i32, error: f64, change: f64, largest: f64) -> f64 {
    let (errors, changes) = (fuzzify(error), fuzzify(change));
    let (mut sum, mut weight) = (0.0, 0.0);
    for (row, sure_error) in (-3..).zip(errors) {
        for (column, sure_change) in (-3..).zip(changes) {
            let sure = sure_error.min(sure_change);
            sum += sure * f64::from(rule(row, column)) / largest;
            weight += sure;
        }
    }
    sum / weight
}

/// Chance that fewer than `limit` are out where `mean` are on average, each by itself.
pub(crate) fn chance_under(limit: u32, mean: f64) -> f64 {
    let (mut term, mut under) = ((-mean).exp(), 0.0);
    for number in 0..limit {
        under += term;
        term *= mean / f64::from(number + 1);
    }
    under
}

/// Share of the values that lie below one.
pub(crate) fn rank(value: f64, all: impl Iterator<Item = f64>) -> f64 {
    let (mut under, mut count) = (0.0, 0.0_f64);
    for other in all {
        (under, count) = (under + f64::from(u8::from(other < value)), count + 1.0);
    }
    under / count.max(1.0)
}

/// A step to an even spread of numbers, for hashes.
pub(crate) fn mix(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
