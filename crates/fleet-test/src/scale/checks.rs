//! Checks of a scale run that don't depend on the speed of the machine. No input or output.

use eideryard_emulators::ledger::Answers;

use super::control::Reloads;
use super::measure::{Axis, Series};
use super::mixed;
use super::processes::FleetExit;
use super::run::{Outcome, Violation};

/// Permitted growth of a count that must stay flat, from the first to the last point of a sweep, as
/// a fraction of the first.
const MAX_GROWTH: f64 = 0.25;

/// Counts that must not grow with the size of the fleet, and the axis along which they are checked.
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

/// Adds the answers that clients received. The fleet isn't overloaded, so a refusal is a violation.
pub fn count_answers(outcome: &mut Outcome, answers: Answers) {
    outcome.requests += answers.asked;
    outcome.unanswered += answers.lost;
    if answers.refused > 0 {
        outcome.add_violation("served", format!("{answers:?}"));
    }
}

/// Checks that each process ended on its signal only, and that its final counters have the
/// `expected` values, by name.
pub fn check_exit(outcome: &mut Outcome, exit: &FleetExit, expected: &[(&str, u64)]) {
    for name in &exit.crashed {
        outcome.add_violation(
            "no crash",
            format!("gateway {name} ended by itself or had to be killed"),
        );
    }
    for (name, expected) in expected {
        let counted = exit.counted(name);
        if counted.iter().any(|count| *count != Some(*expected)) {
            outcome.add_violation(
                "list and settings in force",
                format!(
                    "counter {name}: the gateways report {counted:?}, expected {expected} each"
                ),
            );
        }
    }
}

/// Checks that each configuration change was applied by all gateways in time.
pub fn check_reloads(outcome: &mut Outcome, reloads: &Reloads) {
    if reloads.missed > 0 {
        let count = reloads.missed + reloads.in_force_after.len();
        outcome.add_violation(
            "in force in time",
            format!(
                "{} of {count} configuration changes were not in force in time",
                reloads.missed
            ),
        );
    }
}

/// Checks that hollow gateways received all list events that the real ones received, and that they
/// end with the same engines.
pub fn check_hollow_gateways(
    outcome: &mut Outcome,
    counted: &mixed::HollowCounts,
    list_events: u64,
) {
    outcome.requests += counted.cost.requests;
    outcome.unanswered += counted.cost.unanswered;
    let gateways = counted.cost.gateways;
    if counted.list_events != list_events * gateways || counted.gateways_with_wrong_list > 0 {
        let (events, wrong) = (counted.list_events, counted.gateways_with_wrong_list);
        let what = format!(
            "hollow gateways read {events} of {list_events} x {gateways} list events; \
                 {wrong} of them have wrong lists"
        );
        outcome.add_violation("one list", what);
    }
}

/// Adds the violations that the counts of a whole run show.
pub fn check_counts(outcome: &mut Outcome) {
    for (name, axis) in FLAT {
        let growth = outcome.collected.find(name, axis).and_then(describe_growth);
        for what in growth.into_iter() {
            outcome.add_violation("flat", what);
        }
    }
    let (requests, unanswered) = (outcome.requests, outcome.unanswered);
    if unanswered > 0 || requests == 0 {
        outcome.add_violation(
            "one final answer",
            format!("{unanswered} of {requests} requests had no final answer"),
        );
    }
}

/// Describes the growth of a count over its sweep, if it exceeds the permitted growth.
pub fn describe_growth(series: &Series) -> Option<String> {
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
