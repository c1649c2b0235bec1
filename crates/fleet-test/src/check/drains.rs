//! The rule on drains: no new request begins at an engine later than the grace time after its
//! gateway was notified that the engine drains or was removed, also across restarts of the gateway.
//! Requests that a faulty link or a pause of the gateway delayed don't count.

use std::collections::HashMap;

use eideryard_emulators::history::{Event, Micros, ProcessChange, SharedName, TimedEvent};

use super::{Break, Facts, History, Rule, Subject, Verdict, SLACK};
use crate::links::BULLETIN;

/// After this time a gateway counts as notified even if its link to the bulletin was faulty all the
/// time, in microseconds.
const NOTIFIED_WITHIN: Micros = 7_000_000;

/// Checks that no attempt begins at an engine later than the grace time after its drain.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let grace = facts.drain_grace.as_micros() as Micros + SLACK;
    // When each gateway was notified that it must not send to an engine.
    let mut unavailable: HashMap<(SharedName, SharedName), Micros> = HashMap::new();
    let mut begun_after_drain = 0;
    for TimedEvent { at, event } in history.events {
        match event {
            Event::EngineAnnounced {
                gateway,
                engine,
                health,
            } => {
                let pair = (gateway.clone(), engine.clone());
                if *health == "up" {
                    unavailable.remove(&pair);
                } else {
                    unavailable.entry(pair).or_insert(*at);
                }
            }
            // A new process has the endpoint list of its configuration from its start on.
            Event::Gateway {
                gateway,
                change: ProcessChange::Started(_),
            } => {
                unavailable
                    .iter_mut()
                    .filter(|((notified, _), _)| notified == gateway)
                    .for_each(|(_, since)| *since = *at);
            }
            Event::QueryStarted { engine, id, .. } => {
                let Some((_, tried)) = history.tries.get(id) else {
                    continue;
                };
                let Some(&since) = unavailable.get(&(tried.gateway.clone(), engine.clone())) else {
                    continue;
                };
                begun_after_drain += 1;
                let link = history.link_faults(&tried.gateway, BULLETIN);
                let link_repaired = link
                    .iter()
                    .filter(|span| span.overlaps(since, since))
                    .map(|span| span.to)
                    .max();
                let notified = link_repaired.map_or(since, |end| end.min(since + NOTIFIED_WITHIN));
                let engine_link = history.link_faults(&tried.gateway, engine);
                let is_excused = engine_link.iter().any(|span| span.overlaps(notified, *at))
                    || history.was_paused(&tried.gateway, since, *at);
                if *at > notified + grace && !is_excused {
                    let text = format!(
                        "{} sent {id:016x} to {engine} {:.1} ms after it was notified of the drain",
                        tried.gateway,
                        (*at - notified) as f64 / 1e3
                    );
                    let subject = Subject::Engine(engine.clone());
                    verdict.add(Break {
                        rule: Rule::Drains,
                        subject,
                        from: since,
                        to: *at,
                        text,
                    });
                }
            }
            _ => {}
        }
    }
    verdict.set_figure("begun_after_drain", begun_after_drain);
}

#[cfg(test)]
mod tests;
