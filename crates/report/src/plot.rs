//! SVG plots. Colours come from the page's style sheet, so that they follow light and dark; each
//! line also has a dash and a name, so that none depends on its colour.

use crate::story::clock;
use eideryard::interface::Micros;
use maud::{html, Markup, PreEscaped};
use std::fmt::Write;

const WIDTH: f64 = 960.0;
const LEFT: f64 = 168.0;
const RIGHT: f64 = 16.0;
/// Marks on the time axis at the most.
const MAX_MARKS: u64 = 8;

/// The time that all plots of a page show.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: Micros,
    pub to: Micros,
}

impl Span {
    fn x(&self, at: Micros) -> f64 {
        let part =
            (at.clamp(self.from, self.to) - self.from) as f64 / (self.to - self.from).max(1) as f64;
        LEFT + part * (WIDTH - LEFT - RIGHT)
    }

    /// Whole steps of time that a person would choose.
    fn marks(&self) -> Vec<Micros> {
        const STEPS: [u64; 14] = [
            1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 21_600,
        ];
        let length = (self.to - self.from) / 1_000_000;
        let step = STEPS
            .iter()
            .find(|step| length / **step <= MAX_MARKS)
            .unwrap_or(&86_400)
            * 1_000_000;
        let first = self.from.div_ceil(step) * step;
        (0..)
            .map(|number| first + number * step)
            .take_while(|at| *at <= self.to)
            .collect()
    }
}

/// The smallest round number that is no less.
fn ceiling(value: f64) -> f64 {
    let power = 10f64.powf(value.max(1e-6).log10().floor());
    let steps = [1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0];
    steps
        .iter()
        .map(|step| step * power)
        .find(|step| *step >= value * 0.999)
        .unwrap_or(value)
}

fn number(value: f64) -> String {
    if value >= 10_000.0 {
        format!("{:.0}k", value / 1000.0)
    } else if value >= 10.0 || value == value.round() {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

/// A line or, where it is stacked, an area.
pub struct Line {
    pub name: String,
    /// The style: `s0` to `s7`, or one that is named for its meaning.
    pub style: String,
    /// A point each; where there is none the line breaks.
    pub points: Vec<(Micros, Option<f64>)>,
}

/// Stretches of time behind a plot: what was going on, and whether it is a gap.
pub struct Band {
    pub from: Micros,
    pub to: Micros,
    pub name: String,
    pub gap: bool,
}

fn frame(title: &str, text: &str, height: f64, span: Span, bands: &[Band], inner: &str) -> Markup {
    let mut axis = String::new();
    let bottom = height - 24.0;
    for band in bands {
        let (from, to) = (span.x(band.from), span.x(band.to));
        let class = if band.gap { "gap" } else { "band" };
        let width = (to - from).max(1.0);
        let name = maud::html! { (band.name) }.into_string();
        let _ = write!(
            axis,
            concat!(
                r#"<rect class="{}" x="{:.1}" y="8" width="{:.1}" height="{:.1}">"#,
                "<title>{}</title></rect>"
            ),
            class,
            from,
            width,
            bottom - 8.0,
            name
        );
    }
    for at in span.marks() {
        let x = span.x(at);
        let _ = write!(
            axis,
            concat!(
                r#"<line class="grid" x1="{0:.1}" x2="{0:.1}" y1="8" y2="{1}"/>"#,
                r#"<text x="{0:.1}" y="{2:.0}" text-anchor="middle">{3}</text>"#
            ),
            x,
            bottom,
            height - 8.0,
            clock(at)
        );
    }
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {height}")) role="img" aria-label=(format!("{title}. {text}")) {
            title { (title) }
            desc { (text) }
            (PreEscaped(axis))
            (PreEscaped(inner))
        }
    }
}

fn grid(most: f64, height: f64, unit: &str) -> String {
    let mut marks = String::new();
    let bottom = height - 24.0;
    for part in [0.0, 0.5, 1.0] {
        let y = bottom - part * (bottom - 16.0);
        let label = number(most * part);
        let label = if part == 1.0 {
            format!("{label} {unit}")
        } else {
            label
        };
        let _ = write!(
            marks,
            concat!(
                r#"<line class="grid" x1="{0}" x2="{1:.0}" y1="{2:.1}" y2="{2:.1}"/>"#,
                r#"<text x="{3:.0}" y="{4:.1}" text-anchor="end">{5}</text>"#
            ),
            LEFT,
            WIDTH - RIGHT,
            y,
            LEFT - 6.0,
            y + 4.0,
            label
        );
    }
    marks
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

/// Lines over time.
pub fn lines(title: &str, unit: &str, span: Span, bands: &[Band], lines: &[Line]) -> Markup {
    let height = 200.0;
    let values = lines
        .iter()
        .flat_map(|line| line.points.iter().filter_map(|(_, value)| *value));
    let highest = values.fold(0.0, f64::max);
    let most = ceiling(highest.max(1.0));
    let bottom = height - 24.0;
    let mut inner = grid(most, height, unit);
    for line in lines {
        let mut path = String::new();
        let mut drawn = false;
        for (at, value) in &line.points {
            let Some(value) = value else {
                drawn = false;
                continue;
            };
            let (x, y) = (span.x(*at), bottom - value / most * (bottom - 16.0));
            let _ = write!(path, "{}{x:.1} {y:.1}", if drawn { "L" } else { "M" });
            drawn = true;
        }
        let name = html! { (line.name) }.into_string();
        let _ = write!(
            inner,
            r#"<path class="line {}" d="{path}"><title>{name}</title></path>"#,
            line.style
        );
    }
    let text = format!("Up to {} {unit}.", number(highest));
    html! {
        figure {
            figcaption { (title) }
            (frame(title, &text, height, span, bands, &inner))
            (legend(lines))
        }
    }
}

/// Areas over time, one on the other. All have the same times.
pub fn stacked(
    title: &str,
    unit: &str,
    span: Span,
    bands: &[Band],
    areas: &[Line],
    width: Micros,
) -> Markup {
    let height = 220.0;
    let count = areas
        .iter()
        .map(|area| area.points.len())
        .max()
        .unwrap_or(0);
    let value = |area: &Line, at: usize| {
        area.points
            .get(at)
            .and_then(|(_, value)| *value)
            .unwrap_or(0.0)
    };
    let sums: Vec<f64> = (0..count)
        .map(|at| areas.iter().map(|area| value(area, at)).sum())
        .collect();
    let highest = sums.iter().copied().fold(0.0, f64::max);
    let most = ceiling(highest.max(1.0));
    let bottom = height - 24.0;
    let y = |value: f64| bottom - value / most * (bottom - 16.0);
    let mut inner = grid(most, height, unit);
    let mut base = vec![0.0; count];
    for area in areas {
        let mut path = String::new();
        let top: Vec<f64> = (0..count).map(|at| base[at] + value(area, at)).collect();
        let steps: Vec<(f64, f64)> = (0..count)
            .map(|at| area.points.get(at).map_or(span.from, |(time, _)| *time))
            .map(|time| (span.x(time), span.x(time + width)))
            .collect();
        for (at, ((from, to), top)) in steps.iter().zip(&top).enumerate() {
            let (draw, y) = (if at == 0 { "M" } else { "L" }, y(*top));
            let _ = write!(path, "{draw}{from:.1} {y:.1}L{to:.1} {y:.1}");
        }
        for ((from, to), base) in steps.iter().zip(&base).rev() {
            let _ = write!(path, "L{to:.1} {:.1}L{from:.1} {:.1}", y(*base), y(*base));
        }
        let name = html! { (area.name) }.into_string();
        let _ = write!(
            inner,
            r#"<path class="area {}" d="{path}Z"><title>{name}</title></path>"#,
            area.style
        );
        base = top;
    }
    let text = format!("Up to {} {unit}.", number(highest));
    html! {
        figure {
            figcaption { (title) }
            (frame(title, &text, height, span, bands, &inner))
            (legend(areas))
        }
    }
}

/// One bar of a row.
pub struct Bar {
    pub from: Micros,
    pub to: Micros,
    pub style: &'static str,
    pub text: String,
    /// How strong, 0 to 1.
    pub strength: f64,
}

/// Named rows of bars over time.
pub fn rows(title: &str, text: &str, span: Span, rows: &[(String, Vec<Bar>)]) -> Markup {
    const ROW: f64 = 22.0;
    let height = 16.0 + ROW * rows.len() as f64 + 28.0;
    let mut inner = String::new();
    for (number, (name, bars)) in rows.iter().enumerate() {
        let top = 12.0 + ROW * number as f64;
        for bar in bars {
            let (from, to) = (span.x(bar.from), span.x(bar.to));
            let text = html! { (bar.text) }.into_string();
            let _ = write!(
                inner,
                concat!(
                    r#"<rect class="bar {}" x="{:.1}" y="{:.1}" width="{:.1}" height="{:.1}" "#,
                    r#"fill-opacity="{:.2}"><title>{}</title></rect>"#
                ),
                bar.style,
                from,
                top,
                (to - from).max(2.0),
                ROW - 6.0,
                bar.strength.clamp(0.0, 1.0),
                text
            );
        }
        let short: String = if name.chars().count() > 26 {
            name.chars().take(25).chain(['…']).collect()
        } else {
            name.clone()
        };
        let name = html! { (short) }.into_string();
        let _ = write!(
            inner,
            r#"<text class="name" x="{:.0}" y="{:.1}" text-anchor="end">{name}</text>"#,
            LEFT - 8.0,
            top + ROW - 10.0
        );
    }
    html! {
        figure {
            figcaption { (title) }
            (frame(title, text, height, span, &[], &inner))
        }
    }
}
