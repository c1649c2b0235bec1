//! Describes what is not known because logs are incomplete or clocks differ.

use std::collections::BTreeSet;

use eideryard_event_analysis::episodes::LogGap;
use eideryard_event_analysis::skew::MIN_SIGNIFICANT_SKEW;
use eideryard_event_analysis::{GatewayRun, View};

use super::gateway_name;
use crate::format::{clock, clock_ms, duration, list, plural};

/// Returns sentences on the incomplete parts of logs and on differences between clocks, which a
/// reader of the report must know.
pub fn caveats(view: &View) -> Vec<String> {
    let mut caveats = Vec::new();
    for (_, run) in view.fleet.runs() {
        if run.is_broken_off {
            caveats.push(describe_break_off(run));
        }
        if !run.are_totals_exact {
            caveats.push(format!(
                "{}: a part of the record can't be read and no totals were recorded after it, so the true \
                 figures may be higher",
                run.name
            ));
        }
    }
    for LogGap { source, from, to } in view.detector.gaps() {
        caveats.push(format!(
            "{}: nothing is known from {} to {}",
            gateway_name(view, *source),
            clock_ms(*from),
            clock_ms(*to)
        ));
    }
    caveats.extend(clock_differences(view));
    caveats
}

/// Returns the number of requests that were open when logs broke off. Their clients got no answer
/// from that gateway.
pub fn unanswered_at_break_off(view: &View) -> u64 {
    broken_off_runs(view)
        .map(|run| run.running_tally.tally.open_requests())
        .sum()
}

/// Describes the requests that may have been lost without a trace in any log because gateways broke
/// off, or returns `None` if no gateway did.
pub fn unknown_losses(view: &View) -> Option<String> {
    let names: BTreeSet<&str> = broken_off_runs(view).map(|run| run.name.as_str()).collect();
    if names.is_empty() {
        return None;
    }
    let names = Vec::from_iter(names.into_iter().map(str::to_string));
    Some(format!(
        "{} broke off with {} open; requests received there after the last whole frame, or sent \
         while the gateway was down, are in no record, so more may be lost than is counted here",
        list(&names),
        plural(unanswered_at_break_off(view), "request")
    ))
}

fn broken_off_runs(view: &View) -> impl Iterator<Item = &GatewayRun> {
    let runs = view.fleet.runs().map(|(_, run)| run);
    runs.filter(|run| run.is_broken_off)
}

fn describe_break_off(run: &GatewayRun) -> String {
    format!(
        "{} (started {}) ended without an orderly shutdown: its figures are those up to {}, the \
         time of the last whole frame in its record; {} open at that time",
        run.name,
        clock(run.epoch),
        clock_ms(run.last_at),
        plural(run.running_tally.tally.open_requests(), "request")
    )
}

/// Describes the difference between clocks for each gateway whose clock differs significantly from
/// that of a gateway earlier in the list.
fn clock_differences(view: &View) -> Vec<String> {
    let runs: Vec<(usize, &str)> = view
        .fleet
        .runs()
        .map(|(source, run)| (source, run.name.as_str()))
        .collect();
    let mut differences = Vec::new();
    for (index, (source, name)) in runs.iter().enumerate() {
        let mut others = runs[..index].iter().filter(|(_, other)| other != name);
        let compared = others.find_map(|(other_source, other)| {
            let ahead = view.skew.micros_ahead(*source, *other_source)?;
            Some((other, ahead))
        });
        let Some((other, (micros, events))) = compared else {
            continue;
        };
        let difference = micros.unsigned_abs();
        if difference <= MIN_SIGNIFICANT_SKEW {
            continue;
        }
        let direction = if micros > 0 { "ahead of" } else { "behind" };
        differences.push(format!(
            "the clock of {name} is {} {direction} that of {other}, according to {events} events of the \
             bulletin; all times are shown as recorded",
            duration(difference)
        ));
    }
    differences
}
