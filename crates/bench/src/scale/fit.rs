//! Least-squares line through the points of a sweep, and a comparison of its ends to show curvature.

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Change of the value per unit of x.
    pub slope: f64,
    /// Standard error of the slope; `None` for two points, which a line always fits exactly.
    pub standard_error: Option<f64>,
    /// Value of the line at 0.
    pub intercept: f64,
    /// Slopes of the first segment (first to second point) and of the last one.
    pub end_slopes: (f64, f64),
}

/// Fits a line to the points; `None` if they have fewer than two distinct x values.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean =
        |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let x_variation: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || x_variation <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum::<f64>()
        / x_variation;
    let intercept = y - slope * x;
    let residuals: f64 = points
        .iter()
        .map(|point| (point.1 - intercept - slope * point.0).powi(2))
        .sum();
    let standard_error =
        (points.len() > 2).then(|| (residuals / (count - 2.0) / x_variation).sqrt());
    let segment_slope = |two: &[(f64, f64)]| (two[1].1 - two[0].1) / (two[1].0 - two[0].0);
    let mut segment_slopes = points.windows(2).map(segment_slope);
    let first = segment_slopes.next()?;
    Some(Fit {
        slope,
        standard_error,
        intercept,
        end_slopes: (first, segment_slopes.next_back().unwrap_or(first)),
    })
}

#[cfg(test)]
mod tests;
