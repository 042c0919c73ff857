//! Fuzzy inference over a rule base with two inputs, the error and its change, on seven levels each.

/// A fuzzy level, -3 to 3.
pub(super) type Level = i32;

/// Number of fuzzy levels of an input.
const LEVELS: usize = 7;

/// Returns the degree of membership in each level. The membership functions are triangles that cross at one half; an
/// input of 1 is at the outermost level.
fn fuzzify(input: f64) -> [f64; LEVELS] {
    let position = input.clamp(-1.0, 1.0) * 3.0;
    std::array::from_fn(|level| (1.0 - (position - (level as f64 - 3.0)).abs()).max(0.0))
}

/// Infers the output by centre-average defuzzification: the mean of the rules' values, each weighted by the smaller
/// degree of its two premises and divided by `largest`.
pub(super) fn infer(rule: fn(Level, Level) -> Level, error: f64, change: f64, largest: f64) -> f64 {
    let error_degrees = fuzzify(error);
    let change_degrees = fuzzify(change);
    let mut sum = 0.0;
    let mut total_weight = 0.0;
    for (error_level, error_degree) in (-3..).zip(error_degrees) {
        for (change_level, change_degree) in (-3..).zip(change_degrees) {
            let weight = error_degree.min(change_degree);
            sum += weight * f64::from(rule(error_level, change_level)) / largest;
            total_weight += weight;
        }
    }
    sum / total_weight
}
