//! No cold engine pushed over: what all gateways together send to one that has just started, in any
//! window of the rule's length, is at most the rule's multiple of what it can do at that moment.

use std::collections::{BTreeMap, VecDeque};

use eideryard_emulators::history::{Happened, Micros, Name, What};

use super::{Break, Facts, History, Rule, Subject, Verdict};

struct Cold {
    since: Micros,
    warm_within: Micros,
    /// Work sent in the window, in seconds on one core.
    sent: VecDeque<(Micros, f64)>,
    over: bool,
}

/// No engine in slow start is sent more than it bears by all gateways together.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let window = facts.fall_window.as_micros() as Micros;
    let mut cold: BTreeMap<Name, Cold> = BTreeMap::new();
    let (mut over, mut starts, mut worst) = (0, 0, 0.0f64);
    for Happened { at, what } in history.events {
        match what {
            What::Engine { engine, begins } => {
                cold.remove(engine);
                if let Some(warm_within) = begins.filter(|warm| *warm > 0) {
                    starts += 1;
                    let sent = VecDeque::new();
                    cold.insert(
                        engine.clone(),
                        Cold {
                            since: *at,
                            warm_within,
                            sent,
                            over: false,
                        },
                    );
                }
            }
            What::Began { engine, work, .. } => {
                let Some(own) = cold.get_mut(engine) else {
                    continue;
                };
                let age = (*at - own.since) as f64 / own.warm_within as f64;
                if age >= 1.0 {
                    continue;
                }
                let cores = facts.engines.iter().find(|spec| *spec.name == **engine);
                let cores = cores.map_or(1.0, |spec| spec.cores as f64);
                let share = facts.start_capacity + (1.0 - facts.start_capacity) * age;
                own.sent.push_back((*at, *work));
                while own
                    .sent
                    .front()
                    .is_some_and(|(sent, _)| sent + window <= *at)
                {
                    own.sent.pop_front();
                }
                let sent: f64 = own.sent.iter().map(|(_, work)| work).sum();
                let most = facts.fall_multiple * cores * share * window as f64 / 1e6;
                worst = worst.max(sent / most);
                if sent > most && !std::mem::replace(&mut own.over, true) {
                    over += 1;
                    let text = format!(
                        "{engine} was sent {sent:.1} s of work within {:.1} s, {:.0} ms after its cold \
                        start; \
                         {most:.1} s are the most",
                        window as f64 / 1e6,
                        (*at - own.since) as f64 / 1e3
                    );
                    let from = own.since;
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
    verdict.set_figure("cold_over", over);
    verdict.set_figure("cold_worst_percent", (100.0 * worst).round() as u64);
}

#[cfg(test)]
mod tests;
