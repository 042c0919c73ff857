//! A line through the points of a sweep, and whether it bends.

/// A line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Its slope.
    pub slope: f64,
    /// The slope's standard error; none for two points, through which any line goes.
    pub error: Option<f64>,
    /// Where it meets 0.
    pub at_zero: f64,
    /// The slope from the first point to the second, and from the last but one to the last.
    pub ends: (f64, f64),
}

/// The line through these points; none for fewer than two places.
pub fn line(points: &[(f64, f64)]) -> Option<Fit> {
    let many = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / many;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum::<f64>()
        / spread;
    let at_zero = y - slope * x;
    let rest: f64 = points
        .iter()
        .map(|point| (point.1 - at_zero - slope * point.0).powi(2))
        .sum();
    let error = (points.len() > 2).then(|| (rest / (many - 2.0) / spread).sqrt());
    let step = |two: &[(f64, f64)]| (two[1].1 - two[0].1) / (two[1].0 - two[0].0);
    let mut steps = points.windows(2).map(step);
    let first = steps.next()?;
    Some(Fit {
        slope,
        error,
        at_zero,
        ends: (first, steps.next_back().unwrap_or(first)),
    })
}

#[cfg(test)]
mod tests;
