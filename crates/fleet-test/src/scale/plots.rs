//! Plots of the figures that decide how large a fleet may grow, as SVG.

use std::path::Path;

use plotters::prelude::*;

use super::fit;
use super::measure::{Axis, Series};
use super::run::Outcome;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 420;
const MARGIN: u32 = 12;
const LABELS: u32 = 64;
/// Room over the greatest value.
const HEADROOM: f64 = 1.15;

/// Figures that are drawn, and under which name.
const DRAWN: [(&str, Axis, &str); 3] = [
    ("process.request", Axis::Engines, "request-by-engines"),
    ("process.memory", Axis::Clients, "memory-by-clients"),
    ("keeper.links.time", Axis::Links, "keeper-by-links"),
];

/// Draws what was measured of them into a directory; gives the names of the files.
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
        one(series, &directory.join(&file))?;
        drawn.push(file);
    }
    Ok(drawn)
}

fn one(series: &Series, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
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
    let each = series
        .points
        .iter()
        .flat_map(|point| point.values.iter().map(|value| (point.at, *value)));
    chart.draw_series(each.map(|place| Circle::new(place, 3, BLUE.filled())))?;
    if let Some(slope) = fit::slope(&series.points) {
        const STEPS: usize = 100;
        let places = (0..=STEPS).map(|step| right * step as f64 / STEPS as f64);
        chart.draw_series(LineSeries::new(
            places.map(|at| (at, slope.value(at))),
            &RED,
        ))?;
    }
    area.present()?;
    Ok(())
}
