//! SVG plots of the figures that limit the size of a fleet.

use std::path::Path;

use plotters::prelude::*;

use super::fit;
use super::measure::{Axis, Series};
use super::run::Outcome;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 420;
const MARGIN: u32 = 12;
const LABELS: u32 = 64;
/// Length of an axis as a multiple of the greatest value on it.
const HEADROOM: f64 = 1.15;

/// Figures that are drawn, their axis, and the file name without extension.
const DRAWN: [(&str, Axis, &str); 3] = [
    ("process.request", Axis::Engines, "request-by-engines"),
    ("process.memory", Axis::Clients, "memory-by-clients"),
    ("keeper.links.time", Axis::Links, "keeper-by-links"),
];

/// Draws those figures that were measured into `directory`, and returns the file names.
pub fn draw(
    outcome: &Outcome,
    directory: &Path,
) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    std::fs::create_dir_all(directory)?;
    let mut drawn = Vec::new();
    for (name, axis, file) in DRAWN {
        let Some(series) = outcome.collected.find(name, axis) else {
            continue;
        };
        let file = format!("{file}.svg");
        draw_series(series, &directory.join(&file))?;
        drawn.push(file);
    }
    Ok(drawn)
}

fn draw_series(series: &Series, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let greatest = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let right = greatest(&mut series.points.iter().map(|point| point.at)).max(1.0);
    let values = series
        .points
        .iter()
        .flat_map(|point| &point.values)
        .copied();
    let top = greatest(&mut values.clone()).max(f64::MIN_POSITIVE) * HEADROOM;
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{} ({})", series.name, series.unit),
            ("sans-serif", 18),
        )
        .margin(MARGIN)
        .x_label_area_size(LABELS / 2)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..right * HEADROOM, 0.0..top)?;
    let axis = format!("{:?}", series.axis).to_lowercase();
    chart
        .configure_mesh()
        .x_desc(axis)
        .y_desc(series.unit)
        .draw()?;
    let values = series
        .points
        .iter()
        .flat_map(|point| point.values.iter().map(|value| (point.at, *value)));
    chart.draw_series(values.map(|point| Circle::new(point, 3, BLUE.filled())))?;
    if let Some(slope) = fit::slope(&series.points) {
        const STEPS: usize = 100;
        let positions = (0..=STEPS).map(|step| right * step as f64 / STEPS as f64);
        chart.draw_series(LineSeries::new(
            positions.map(|at| (at, slope.value(at))),
            &RED,
        ))?;
    }
    area.present()?;
    Ok(())
}
