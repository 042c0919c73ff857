//! Measurements of a run, the slopes over each sweep, and their output as CSV and text.

use super::bounds::Point;
use super::fit;
use anyhow::Result;
use std::collections::BTreeMap;
use std::path::Path;

/// Origin of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A process of the program.
    Real,
    /// Hollow nodes.
    Hollow,
    /// Calculated from other measurements.
    Derived,
}

impl Source {
    /// Value of the column `kind` in the output.
    pub fn name(self) -> &'static str {
        match self {
            Source::Real => "real",
            Source::Hollow => "hollow",
            Source::Derived => "reckoned",
        }
    }
}

/// One measured value at one point of a sweep.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Name of the sweep.
    pub sweep: &'static str,
    /// Value of the swept parameter.
    pub x: f64,
    pub point: Point,
    pub source: Source,
    /// Name of the measured quantity.
    pub measure: &'static str,
    pub unit: &'static str,
    /// The value, in `unit`.
    pub value: f64,
    /// What the value includes, or a remark on it; may be empty.
    pub note: String,
}

/// The measurements of one point.
pub struct PointReport<'a> {
    /// Name of the sweep.
    pub sweep: &'static str,
    /// Value of the swept parameter.
    pub x: f64,
    pub point: &'a Point,
    /// The measurements so far.
    pub all: Vec<Measurement>,
}

impl PointReport<'_> {
    /// Adds a measurement. `None` and values that are not finite are left out.
    pub fn add(
        &mut self,
        source: Source,
        (measure, unit): (&'static str, &'static str),
        value: impl Into<Option<f64>>,
        note: &str,
    ) {
        let Some(value) = value.into().filter(|value| value.is_finite()) else {
            return;
        };
        let (sweep, x, point, note) = (self.sweep, self.x, self.point.clone(), note.to_owned());
        self.all.push(Measurement {
            sweep,
            x,
            point,
            source,
            measure,
            unit,
            value,
            note,
        });
    }
}

/// A line through the points of a sweep.
pub struct Slope {
    /// Name of the sweep.
    pub sweep: &'static str,
    pub source: Source,
    /// Name of the measured quantity.
    pub measure: &'static str,
    /// Unit of the measured quantity.
    pub unit: &'static str,
    /// Number of points that the line is fitted to.
    pub points: usize,
    pub fit: fit::Fit,
}

/// Measures that show whether the other values of a point are valid. No slope is calculated for them.
const VALIDITY_MEASURES: [&str; 2] = ["keeps_up", "not_measured"];

/// Fits a line to each measure of each sweep. Of a point at which the machine did not keep up, only memory is used:
/// its other values are not those of a fleet in real time.
pub fn slopes(rows: &[Measurement]) -> Vec<Slope> {
    let is_overloaded = |row: &&Measurement| row.measure == "keeps_up" && row.value == 0.0;
    let overloaded: Vec<(&str, f64)> = rows
        .iter()
        .filter(is_overloaded)
        .map(|row| (row.sweep, row.x))
        .collect();
    let is_valid = |row: &&Measurement| {
        row.measure.starts_with("memory") || !overloaded.contains(&(row.sweep, row.x))
    };
    let rows = rows
        .iter()
        .filter(|row| !VALIDITY_MEASURES.contains(&row.measure))
        .filter(is_valid);
    let mut by_measure: BTreeMap<(&str, &str, &str), Vec<&Measurement>> = BTreeMap::new();
    for row in rows {
        by_measure
            .entry((row.sweep, row.measure, row.source.name()))
            .or_default()
            .push(row);
    }
    let slope = |rows: &Vec<&Measurement>| {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.x, row.value)).collect();
        let Measurement {
            sweep,
            source,
            measure,
            unit,
            ..
        } = **rows.first()?;
        Some(Slope {
            sweep,
            source,
            measure,
            unit,
            points: points.len(),
            fit: fit::least_squares(&points)?,
        })
    };
    by_measure.values().filter_map(slope).collect()
}

/// Formats a value with four significant digits.
pub fn format_value(value: f64) -> String {
    let digits = if value == 0.0 {
        0
    } else {
        (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize
    };
    format!("{value:.digits$}")
}

/// Writes the measurements and then the slopes as CSV.
pub fn write(path: &Path, rows: &[Measurement]) -> Result<()> {
    let mut out = csv::Writer::from_path(path)?;
    out.write_record([
        "sweep",
        "at",
        "nodes",
        "present",
        "real",
        "servers",
        "tenants",
        "tries_s",
        "changes_s",
        "restart",
        "spread",
        "seconds",
        "kind",
        "measure",
        "unit",
        "value",
        "note",
    ])?;
    for row in rows {
        let point = &row.point;
        let counts = [
            point.nodes,
            point.running_nodes(),
            point.real,
            point.servers,
            point.tenants,
        ]
        .map(|count| count.to_string());
        let rates = [point.tries, point.changes, point.restart].map(|rate| rate.to_string());
        let mut record = vec![row.sweep.to_owned(), row.x.to_string()];
        record.extend(counts);
        record.extend(rates);
        record.extend([point.spread.to_string(), point.seconds.to_string()]);
        record.extend([row.source.name(), row.measure, row.unit].map(str::to_owned));
        record.extend([format_value(row.value), row.note.clone()]);
        out.write_record(&record)?;
    }
    for slope in slopes(rows) {
        let fit = slope.fit;
        let error = fit
            .standard_error
            .map_or("none with two points".to_owned(), format_value);
        let mut record = vec![slope.sweep.to_owned(), "slope".to_owned()];
        record.extend(std::iter::repeat_n(String::new(), 10));
        record.extend([slope.source.name().to_owned(), slope.measure.to_owned()]);
        record.push(format!("{} per {}", slope.unit, slope.sweep));
        record.push(format!("{:.4e}", fit.slope));
        record.push(format!(
            "standard error {error}; at zero {}; first segment {:.3e}, last {:.3e}; {} points",
            format_value(fit.intercept),
            fit.end_slopes.0,
            fit.end_slopes.1,
            slope.points
        ));
        out.write_record(&record)?;
    }
    Ok(out.flush()?)
}

/// Prints the slopes as a table.
pub fn print_slopes(rows: &[Measurement]) {
    println!("slopes (least squares ± standard error; last segment's slope against the first's)");
    for slope in slopes(rows) {
        let fit = slope.fit;
        let curvature = if fit.end_slopes.0 == 0.0 {
            f64::NAN
        } else {
            fit.end_slopes.1 / fit.end_slopes.0
        };
        println!(
            "  {:<8} {:<8} {:<26} {:>11.3e} ± {:>9} {} each; at zero {}; bend {:.2}",
            slope.sweep,
            slope.source.name(),
            slope.measure,
            fit.slope,
            fit.standard_error
                .map_or("-".to_owned(), |error| format!("{error:.1e}")),
            slope.unit,
            format_value(fit.intercept),
            curvature
        );
    }
}
