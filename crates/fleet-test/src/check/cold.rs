//! The rule on slow start: the work that all gateways together send to an engine in slow start,
//! within any window of the configured length, is at most the configured multiple of its capacity
//! at that time.

use std::collections::{BTreeMap, VecDeque};

use eideryard_emulators::history::{Event, Micros, SharedName, TimedEvent};

use super::{Break, Facts, History, Rule, Subject, Verdict};

struct SlowStart {
    since: Micros,
    duration: Micros,
    /// Work sent within the last window: time and seconds on one core.
    sent: VecDeque<(Micros, f64)>,
    is_exceeded: bool,
}

/// Checks that no engine in slow start is sent more work than the limit by all gateways together.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let window = facts.fall_window.as_micros() as Micros;
    let mut cold: BTreeMap<SharedName, SlowStart> = BTreeMap::new();
    let (mut exceeded, mut starts, mut highest_ratio) = (0, 0, 0.0f64);
    for TimedEvent { at, event } in history.events {
        match event {
            Event::Engine { engine, begins } => {
                cold.remove(engine);
                if let Some(duration) = begins.filter(|duration| *duration > 0) {
                    starts += 1;
                    let sent = VecDeque::new();
                    cold.insert(
                        engine.clone(),
                        SlowStart {
                            since: *at,
                            duration,
                            sent,
                            is_exceeded: false,
                        },
                    );
                }
            }
            Event::QueryStarted { engine, work, .. } => {
                let Some(slow_start) = cold.get_mut(engine) else {
                    continue;
                };
                let age = (*at - slow_start.since) as f64 / slow_start.duration as f64;
                if age >= 1.0 {
                    continue;
                }
                let cores = facts.engines.iter().find(|spec| *spec.name == **engine);
                let cores = cores.map_or(1.0, |spec| spec.cores as f64);
                let capacity_part = facts.start_capacity + (1.0 - facts.start_capacity) * age;
                slow_start.sent.push_back((*at, *work));
                while slow_start
                    .sent
                    .front()
                    .is_some_and(|(sent, _)| sent + window <= *at)
                {
                    slow_start.sent.pop_front();
                }
                let sent: f64 = slow_start.sent.iter().map(|(_, work)| work).sum();
                let limit = facts.fall_multiple * cores * capacity_part * window as f64 / 1e6;
                highest_ratio = highest_ratio.max(sent / limit);
                if sent > limit && !std::mem::replace(&mut slow_start.is_exceeded, true) {
                    exceeded += 1;
                    let text = format!(
                        "{engine} was sent {sent:.1} s of work within {:.1} s, {:.0} ms after its cold \
                        start; \
                         the limit is {limit:.1} s",
                        window as f64 / 1e6,
                        (*at - slow_start.since) as f64 / 1e3
                    );
                    let from = slow_start.since;
                    let subject = Subject::Engine(engine.clone());
                    verdict.add(Break {
                        rule: Rule::ColdEngines,
                        subject,
                        from,
                        to: *at,
                        text,
                    });
                }
            }
            _ => {}
        }
    }
    verdict.set_figure("cold_starts", starts);
    verdict.set_figure("cold_over", exceeded);
    verdict.set_figure("cold_worst_percent", (100.0 * highest_ratio).round() as u64);
}

#[cfg(test)]
mod tests;
