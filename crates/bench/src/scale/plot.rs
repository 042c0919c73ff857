//! A picture of a run: a panel for each measure of each sweep.

use super::report::Row;
use anyhow::{anyhow, Result};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Panels beside one another, and the size of one.
const BESIDE: usize = 4;
const PANEL: (u32, u32) = (360, 240);

/// Sweep, measure, kind and unit of a line of points.
type Line<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Draws the measures of which there are two points or more.
pub fn draw(path: &Path, rows: &[Row]) -> Result<()> {
    let mut by: BTreeMap<Line, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        by.entry((row.sweep, row.measure, row.kind.name(), row.unit))
            .or_default()
            .push((row.at, row.value));
    }
    by.retain(|_, points| points.len() > 1);
    let deep = by.len().div_ceil(BESIDE).max(1);
    let root =
        SVGBackend::new(path, (PANEL.0 * BESIDE as u32, PANEL.1 * deep as u32)).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| anyhow!("the plot: {error}");
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    for (panel, ((sweep, measure, kind, unit), points)) in
        root.split_evenly((deep, BESIDE)).iter().zip(&by)
    {
        let most = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(0.0, f64::max);
        let (x, y) = (most(|point| point.0), most(|point| point.1));
        let least = points.iter().map(|point| point.1).fold(0.0, f64::min);
        let top = if y > least { y * 1.08 } else { least + 1.0 };
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{measure}, {unit} ({kind})"), ("sans-serif", 13))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..x * 1.03, least..top)
            .map_err(|error| failed(&error))?;
        chart
            .configure_mesh()
            .x_desc(*sweep)
            .x_labels(5)
            .y_labels(5)
            .x_label_formatter(&|at| super::report::figure(*at))
            .y_label_formatter(&|at| super::report::figure(*at))
            .draw()
            .map_err(|error| failed(&error))?;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &BLUE))
            .map_err(|error| failed(&error))?;
        let dots = points
            .iter()
            .map(|point| Circle::new(*point, 3, BLUE.filled()));
        chart.draw_series(dots).map_err(|error| failed(&error))?;
    }
    root.present().map_err(|error| failed(&error))
}
