//! Rows of a run: one figure each, with what it is worth.

use super::bounds::Point;
use super::fit;
use anyhow::Result;
use std::collections::BTreeMap;
use std::path::Path;

/// What a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Processes of the program.
    Real,
    /// Hollow nodes.
    Hollow,
    /// Worked out from others.
    Reckoned,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Real => "real",
            Kind::Hollow => "hollow",
            Kind::Reckoned => "reckoned",
        }
    }
}

/// One figure.
#[derive(Clone, Debug)]
pub struct Row {
    pub sweep: &'static str,
    pub at: f64,
    pub point: Point,
    pub kind: Kind,
    pub measure: &'static str,
    pub unit: &'static str,
    pub value: f64,
    pub note: String,
}

/// The rows of one point.
pub struct Rows<'a> {
    pub sweep: &'static str,
    pub at: f64,
    pub point: &'a Point,
    pub all: Vec<Row>,
}

impl Rows<'_> {
    /// Adds a figure; one that there is not is left out.
    pub fn add(
        &mut self,
        kind: Kind,
        (measure, unit): (&'static str, &'static str),
        value: impl Into<Option<f64>>,
        note: &str,
    ) {
        let Some(value) = value.into().filter(|value| value.is_finite()) else {
            return;
        };
        let (sweep, at, point, note) = (self.sweep, self.at, self.point.clone(), note.to_owned());
        self.all.push(Row {
            sweep,
            at,
            point,
            kind,
            measure,
            unit,
            value,
            note,
        });
    }
}

/// A line through the points of a sweep.
pub struct Slope {
    pub sweep: &'static str,
    pub kind: Kind,
    pub measure: &'static str,
    pub unit: &'static str,
    pub points: usize,
    pub fit: fit::Fit,
}

/// Measures that say of a point what it is worth, and grow with nothing.
const MARKS: [&str; 2] = ["keeps_up", "not_measured"];

/// Lines through all measures of all sweeps. Danger: a line through a point at which the machine did not keep up; of such a
/// one only its memory counts.
pub fn slopes(rows: &[Row]) -> Vec<Slope> {
    let marked = |row: &&Row| row.measure == "keeps_up" && row.value == 0.0;
    let late: Vec<(&str, f64)> = rows
        .iter()
        .filter(marked)
        .map(|row| (row.sweep, row.at))
        .collect();
    let counts =
        |row: &&Row| row.measure.starts_with("memory") || !late.contains(&(row.sweep, row.at));
    let rows = rows
        .iter()
        .filter(|row| !MARKS.contains(&row.measure))
        .filter(counts);
    let mut by: BTreeMap<(&str, &str, &str), Vec<&Row>> = BTreeMap::new();
    for row in rows {
        by.entry((row.sweep, row.measure, row.kind.name()))
            .or_default()
            .push(row);
    }
    let slope = |rows: &Vec<&Row>| {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.at, row.value)).collect();
        let Row {
            sweep,
            kind,
            measure,
            unit,
            ..
        } = **rows.first()?;
        Some(Slope {
            sweep,
            kind,
            measure,
            unit,
            points: points.len(),
            fit: fit::line(&points)?,
        })
    };
    by.values().filter_map(slope).collect()
}

/// Four digits that count.
pub fn figure(value: f64) -> String {
    let digits = if value == 0.0 {
        0
    } else {
        (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize
    };
    format!("{value:.digits$}")
}

/// Writes all rows, and the lines after them, as CSV.
pub fn write(path: &Path, rows: &[Row]) -> Result<()> {
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
        let whole = [
            point.nodes,
            point.running(),
            point.real,
            point.servers,
            point.tenants,
        ]
        .map(|figure| figure.to_string());
        let rates = [point.tries, point.changes, point.restart].map(|figure| figure.to_string());
        let mut record = vec![row.sweep.to_owned(), row.at.to_string()];
        record.extend(whole);
        record.extend(rates);
        record.extend([point.spread.to_string(), point.seconds.to_string()]);
        record.extend([row.kind.name(), row.measure, row.unit].map(str::to_owned));
        record.extend([figure(row.value), row.note.clone()]);
        out.write_record(&record)?;
    }
    for slope in slopes(rows) {
        let fit = slope.fit;
        let error = fit.error.map_or("none with two points".to_owned(), figure);
        let mut record = vec![slope.sweep.to_owned(), "slope".to_owned()];
        record.extend(std::iter::repeat_n(String::new(), 10));
        record.extend([slope.kind.name().to_owned(), slope.measure.to_owned()]);
        record.push(format!("{} per {}", slope.unit, slope.sweep));
        record.push(format!("{:.4e}", fit.slope));
        record.push(format!(
            "standard error {error}; at zero {}; first segment {:.3e}, last {:.3e}; {} points",
            figure(fit.at_zero),
            fit.ends.0,
            fit.ends.1,
            slope.points
        ));
        out.write_record(&record)?;
    }
    Ok(out.flush()?)
}

/// The lines as a table for eyes.
pub fn print_slopes(rows: &[Row]) {
    println!("slopes (least squares ± standard error; last segment's slope against the first's)");
    for slope in slopes(rows) {
        let fit = slope.fit;
        let bend = if fit.ends.0 == 0.0 {
            f64::NAN
        } else {
            fit.ends.1 / fit.ends.0
        };
        println!(
            "  {:<8} {:<8} {:<26} {:>11.3e} ± {:>9} {} each; at zero {}; bend {:.2}",
            slope.sweep,
            slope.kind.name(),
            slope.measure,
            fit.slope,
            fit.error
                .map_or("-".to_owned(), |error| format!("{error:.1e}")),
            slope.unit,
            figure(fit.at_zero),
            bend
        );
    }
}
