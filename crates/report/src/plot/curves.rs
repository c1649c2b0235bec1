//! Draws lines and stacked areas over time.

use std::fmt::Write;

use eideryard::interface::Micros;
use maud::{html, Markup};

use super::frame::{escaped, number, Plot, ValueAxis};
use super::{Band, Line, Span};

const LINES_HEIGHT: f64 = 200.0;
const AREAS_HEIGHT: f64 = 220.0;

/// Draws lines over time. `unit` is shown after the highest value on the vertical axis.
pub fn lines(title: &str, unit: &str, span: Span, bands: &[Band], lines: &[Line]) -> Markup {
    let points = lines.iter().flat_map(|line| &line.points);
    let highest = points.filter_map(|point| point.value).fold(0.0, f64::max);
    let axis = ValueAxis::new(LINES_HEIGHT, highest, unit);
    let mut content = axis.grid();
    for line in lines {
        let path = line_path(line, span, &axis);
        let name = escaped(&line.name);
        let _ = write!(
            content,
            r#"<path class="line {}" d="{path}"><title>{name}</title></path>"#,
            line.style
        );
    }
    let plot = Plot {
        title,
        text: &format!("Up to {} {unit}.", number(highest)),
        height: LINES_HEIGHT,
        span,
        bands,
        content: &content,
    };
    figure(&plot, lines)
}

/// Returns the SVG path of a line, which is interrupted at points without a value.
fn line_path(line: &Line, span: Span, axis: &ValueAxis<'_>) -> String {
    let mut path = String::new();
    let mut is_drawing = false;
    for point in &line.points {
        let Some(value) = point.value else {
            is_drawing = false;
            continue;
        };
        let command = if is_drawing { "L" } else { "M" };
        let x = span.x(point.at);
        let y = axis.y(value);
        let _ = write!(path, "{command}{x:.1} {y:.1}");
        is_drawing = true;
    }
    path
}

/// Draws areas over time, stacked on top of each other. The points of all areas have the same
/// times, and each value applies to the time `width` after its point.
pub fn stacked(
    title: &str,
    unit: &str,
    span: Span,
    bands: &[Band],
    areas: &[Line],
    width: Micros,
) -> Markup {
    let lengths = areas.iter().map(|area| area.points.len());
    let count = lengths.max().unwrap_or(0);
    let mut sums = vec![0.0; count];
    for area in areas {
        sums = stack(&sums, area);
    }
    let highest = sums.iter().copied().fold(0.0, f64::max);
    let axis = ValueAxis::new(AREAS_HEIGHT, highest, unit);
    let mut content = axis.grid();
    let mut base = vec![0.0; count];
    for area in areas {
        let top = stack(&base, area);
        let path = area_path(area, span, width, &axis, &base, &top);
        let name = escaped(&area.name);
        let _ = write!(
            content,
            r#"<path class="area {}" d="{path}Z"><title>{name}</title></path>"#,
            area.style
        );
        base = top;
    }
    let plot = Plot {
        title,
        text: &format!("Up to {} {unit}.", number(highest)),
        height: AREAS_HEIGHT,
        span,
        bands,
        content: &content,
    };
    figure(&plot, areas)
}

/// Returns the upper edge of an area that is stacked on `base`.
fn stack(base: &[f64], area: &Line) -> Vec<f64> {
    let value = |index: usize| area.points.get(index).and_then(|point| point.value);
    let bases = base.iter().enumerate();
    bases
        .map(|(index, base)| base + value(index).unwrap_or(0.0))
        .collect()
}

/// Returns the SVG path of an area: along its upper edge and back along its lower edge.
fn area_path(
    area: &Line,
    span: Span,
    width: Micros,
    axis: &ValueAxis<'_>,
    base: &[f64],
    top: &[f64],
) -> String {
    let mut steps = Vec::with_capacity(top.len());
    for index in 0..top.len() {
        let at = area.points.get(index).map_or(span.from, |point| point.at);
        steps.push((span.x(at), span.x(at + width)));
    }
    let mut path = String::new();
    for (index, ((from, to), top)) in steps.iter().zip(top).enumerate() {
        let command = if index == 0 { "M" } else { "L" };
        let y = axis.y(*top);
        let _ = write!(path, "{command}{from:.1} {y:.1}L{to:.1} {y:.1}");
    }
    for ((from, to), base) in steps.iter().zip(base).rev() {
        let y = axis.y(*base);
        let _ = write!(path, "L{to:.1} {y:.1}L{from:.1} {y:.1}");
    }
    path
}

fn figure(plot: &Plot<'_>, lines: &[Line]) -> Markup {
    html! {
        figure {
            figcaption { (plot.title) }
            (plot.draw())
            (legend(lines))
        }
    }
}

fn legend(lines: &[Line]) -> Markup {
    html! {
        ul class="legend" {
            @for line in lines {
                li {
                    svg viewBox="0 0 28 10" aria-hidden="true" {
                        line class=(format!("line {}", line.style)) x1="1" x2="27" y1="5" y2="5" {}
                    }
                    (line.name)
                }
            }
        }
    }
}
