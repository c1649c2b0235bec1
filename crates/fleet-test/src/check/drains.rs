//! Drains are kept, across restarts too: nothing new reaches an engine later than the grace after
//! its gateway was told that it drains or is gone. What was under way on a faulty link is not held
//! against a gateway.

use std::collections::HashMap;

use eideryard_emulators::history::{Happened, Micros, Name, Process, What};

use super::{Break, Facts, History, Rule, Subject, Verdict, SLACK};
use crate::links::BULLETIN;

/// What the bulletin has to tell counts as told so long after at the latest, whether or not it
/// arrived.
const TOLD_WITHIN: Micros = 7_000_000;

/// No attempt begins at an engine after the grace of its drain.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let grace = facts.drain_grace.as_micros() as Micros + SLACK;
    // Since when a gateway knows that it must not send to an engine.
    let mut told: HashMap<(Name, Name), Micros> = HashMap::new();
    let mut after = 0;
    for Happened { at, what } in history.events {
        match what {
            What::Told {
                gateway,
                engine,
                health,
            } => {
                let place = (gateway.clone(), engine.clone());
                if *health == "up" {
                    told.remove(&place);
                } else {
                    told.entry(place).or_insert(*at);
                }
            }
            // A process that starts knows what it is started with, from then on.
            What::Gateway {
                gateway,
                how: Process::Started(_),
            } => {
                told.iter_mut()
                    .filter(|((own, _), _)| own == gateway)
                    .for_each(|(_, since)| *since = *at);
            }
            What::Began { engine, id, .. } => {
                let Some((_, tried)) = history.tries.get(id) else {
                    continue;
                };
                let Some(&since) = told.get(&(tried.gateway.clone(), engine.clone())) else {
                    continue;
                };
                after += 1;
                let link = history.of_link(&tried.gateway, BULLETIN);
                let heard = link
                    .iter()
                    .filter(|span| span.meets(since, since))
                    .map(|span| span.to)
                    .max();
                let heard = heard.map_or(since, |end| end.min(since + TOLD_WITHIN));
                let way = history.of_link(&tried.gateway, engine);
                let excused = way.iter().any(|span| span.meets(heard, *at))
                    || history.paused_within(&tried.gateway, since, *at);
                if *at > heard + grace && !excused {
                    let text = format!(
                        "{} sent {id:016x} to {engine} {:.1} ms after it was told that it drains",
                        tried.gateway,
                        (*at - heard) as f64 / 1e3
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
    verdict.set_figure("begun_after_drain", after);
}

#[cfg(test)]
mod tests;
