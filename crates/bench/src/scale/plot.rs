//! An SVG plot of a run, with one panel for each measure of each sweep.

use super::report::Measurement;
use anyhow::{anyhow, Result};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Panels in a row.
const COLUMNS: usize = 4;
/// Width and height of a panel, pixels.
const PANEL_SIZE: (u32, u32) = (360, 240);

/// Sweep, measure, source and unit of a series.
type SeriesKey<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Draws all measures that have at least two points.
pub fn draw(path: &Path, rows: &[Measurement]) -> Result<()> {
    let mut series: BTreeMap<SeriesKey, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        series
            .entry((row.sweep, row.measure, row.source.name(), row.unit))
            .or_default()
            .push((row.x, row.value));
    }
    series.retain(|_, points| points.len() > 1);
    let panel_rows = series.len().div_ceil(COLUMNS).max(1);
    let root = SVGBackend::new(
        path,
        (
            PANEL_SIZE.0 * COLUMNS as u32,
            PANEL_SIZE.1 * panel_rows as u32,
        ),
    )
    .into_drawing_area();
    let plot_error = |error: &dyn std::fmt::Display| anyhow!("drawing the plot: {error}");
    root.fill(&WHITE).map_err(|error| plot_error(&error))?;
    for (panel, ((sweep, measure, source, unit), points)) in
        root.split_evenly((panel_rows, COLUMNS)).iter().zip(&series)
    {
        let max =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).fold(0.0, f64::max);
        let (max_x, max_y) = (max(|point| point.0), max(|point| point.1));
        let min_y = points.iter().map(|point| point.1).fold(0.0, f64::min);
        let top = if max_y > min_y {
            max_y * 1.08
        } else {
            min_y + 1.0
        };
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{measure}, {unit} ({source})"), ("sans-serif", 13))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..max_x * 1.03, min_y..top)
            .map_err(|error| plot_error(&error))?;
        chart
            .configure_mesh()
            .x_desc(*sweep)
            .x_labels(5)
            .y_labels(5)
            .x_label_formatter(&|value| super::report::format_value(*value))
            .y_label_formatter(&|value| super::report::format_value(*value))
            .draw()
            .map_err(|error| plot_error(&error))?;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &BLUE))
            .map_err(|error| plot_error(&error))?;
        let markers = points
            .iter()
            .map(|point| Circle::new(*point, 3, BLUE.filled()));
        chart
            .draw_series(markers)
            .map_err(|error| plot_error(&error))?;
    }
    root.present().map_err(|error| plot_error(&error))
}
