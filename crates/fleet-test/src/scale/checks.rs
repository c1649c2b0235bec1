//! Counts that a scale run must keep, whatever the machine. Pure.

use eideryard_emulators::ledger::Answers;

use super::control::Reloads;
use super::measure::{Axis, Series};
use super::processes::Ended;
use super::run::{Outcome, Violation};
use super::together;

/// Growth of a count that has to stay flat, over a whole sweep, as a part of its least value.
const MAX_GROWTH: f64 = 0.25;

/// Counts that must not grow with the size of the fleet, and along which axis.
const FLAT: [(&str, Axis); 5] = [
    ("decision.visits", Axis::Engines),
    ("together.visits", Axis::Engines),
    ("held.visits", Axis::Engines),
    ("list.change.bytes", Axis::Engines),
    ("claim.messages", Axis::Keyed),
];

impl Outcome {
    pub(super) fn add_violation(&mut self, rule: &'static str, what: String) {
        self.violations.push(Violation { rule, what });
    }
}

/// Counts answers of clients; without overload none is refused.
pub fn answers(outcome: &mut Outcome, answers: Answers) {
    outcome.requests += answers.asked;
    outcome.unanswered += answers.lost;
    if answers.refused > 0 {
        outcome.add_violation("served", format!("{answers:?}"));
    }
}

/// Processes end when they are told to, and each has counted what all of them were sent.
pub fn ended(outcome: &mut Outcome, ended: &Ended, wanted: &[(&str, u64)]) {
    for name in &ended.crashed {
        outcome.add_violation(
            "no crash",
            format!("gateway {name} ended by itself or had to be killed"),
        );
    }
    for (name, wanted) in wanted {
        let counted = ended.counted(name);
        if counted.iter().any(|own| *own != Some(*wanted)) {
            outcome.add_violation(
                "list and settings in force",
                format!("{name}: {counted:?}, {wanted} wanted"),
            );
        }
    }
}

/// Every change of the configuration is in force everywhere in time.
pub fn reloads(outcome: &mut Outcome, reloads: &Reloads) {
    if reloads.missed > 0 {
        let count = reloads.missed + reloads.in_force_after.len();
        outcome.add_violation(
            "in force in time",
            format!("{} of {count} changes were not", reloads.missed),
        );
    }
}

/// Hollow gateways got all events of the list that the real ones got, and end with the same
/// engines.
pub fn beside(outcome: &mut Outcome, counted: &together::Counted, list_events: u64) {
    outcome.requests += counted.cost.requests;
    outcome.unanswered += counted.cost.unanswered;
    let gateways = counted.cost.gateways;
    if counted.list_events != list_events * gateways || counted.wrong_lists > 0 {
        let (events, wrong) = (counted.list_events, counted.wrong_lists);
        let what =
            format!("{events} of {list_events} x {gateways} events, {wrong} lists are wrong");
        outcome.add_violation("one list", what);
    }
}

/// Adds what the counts of a run break.
pub fn counts(outcome: &mut Outcome) {
    for (name, axis) in FLAT {
        let grown = outcome.collected.find(name, axis).and_then(grown);
        for what in grown.into_iter() {
            outcome.add_violation("flat", what);
        }
    }
    let (requests, unanswered) = (outcome.requests, outcome.unanswered);
    if unanswered > 0 || requests == 0 {
        outcome.add_violation(
            "one final answer",
            format!("{unanswered} of {requests} requests had none"),
        );
    }
}

/// Says so where a count that must not grow with the size of the fleet does.
pub fn grown(series: &Series) -> Option<String> {
    let (first, last) = (series.points.first()?, series.points.last()?);
    let (least, most) = (first.median(), last.median());
    let what = || {
        format!(
            "{} grows from {least:.1} at {} to {most:.1} at {}",
            series.name, first.at, last.at
        )
    };
    (most > least * (1.0 + MAX_GROWTH)).then(what)
}
