//! Counts that a scale run must keep, whatever the machine. Pure.

use super::measure::{Axis, Series};
use super::run::{Broken, Outcome};

/// Growth of a count that has to stay flat, over a whole sweep, as a part of its least value.
const MOST_GROWTH: f64 = 0.25;

/// Counts that must not grow with the size of the fleet, and along which axis.
const FLAT: [(&str, Axis); 5] = [
    ("decision.visits", Axis::Engines),
    ("together.visits", Axis::Engines),
    ("held.visits", Axis::Engines),
    ("list.change.bytes", Axis::Engines),
    ("claim.messages", Axis::Keyed),
];

impl Outcome {
    pub(super) fn broken(&mut self, rule: &'static str, what: String) {
        self.broken.push(Broken { rule, what });
    }
}

/// Adds what the counts of a run break.
pub fn counts(outcome: &mut Outcome) {
    for (name, axis) in FLAT {
        let grown = outcome.collected.find(name, axis).and_then(grown);
        grown.into_iter().for_each(|what| outcome.broken("flat", what));
    }
    let (requests, unanswered) = (outcome.requests, outcome.unanswered);
    if unanswered > 0 || requests == 0 {
        outcome.broken("one final answer", format!("{unanswered} of {requests} requests had none"));
    }
}

/// Says so where a count that must not grow with the size of the fleet does.
pub fn grown(series: &Series) -> Option<String> {
    let (first, last) = (series.points.first()?, series.points.last()?);
    let (least, most) = (first.median(), last.median());
    let what =
        || format!("{} grows from {least:.1} at {} to {most:.1} at {}", series.name, first.at, last.at);
    (most > least * (1.0 + MOST_GROWTH)).then(what)
}
