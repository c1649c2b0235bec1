//! The rule on order: requests of an ordered class with the same key run one at a time at each
//! gateway, in the order in which it received them. No request is sent while an earlier one runs
//! and has no final answer, nor within the pause after the end of one that may still run.

use std::collections::{BTreeMap, HashMap, HashSet};

use eideryard_emulators::history::{Happened, Micros, Name, Process, What};

use super::{Break, Facts, History, Rule, Subject, Verdict, SLACK};
use crate::config::ORDER_PAUSE;
use crate::links::CLIENTS;

/// Requests that are ordered among each other: gateway, number of its start, class and key.
type Lane = (Name, usize, Name, Name);

/// Checks that requests of an ordered class with one key run one at a time and in order.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let ordered: HashSet<&str> = facts
        .classes
        .iter()
        .filter(|class| class.ordered)
        .map(|class| class.name.as_str())
        .collect();
    let pause = ORDER_PAUSE.as_micros() as Micros;
    let mut starts: BTreeMap<Name, usize> = BTreeMap::new();
    let mut lanes: HashMap<u64, Lane> = HashMap::new();
    // Running attempts by lane: id of the try, engine, start.
    let mut running: HashMap<Lane, Vec<(u64, Name, Micros)>> = HashMap::new();
    let mut waiting: HashMap<Lane, Vec<(Micros, u64)>> = HashMap::new();
    let mut runs = 0;
    for Happened { at, what } in history.events {
        match what {
            What::Gateway {
                gateway,
                how: Process::Started(start),
            } => {
                starts.insert(gateway.clone(), *start);
            }
            What::Asked(tried) if ordered.contains(&*tried.class) => {
                let start = starts.get(&tried.gateway).copied().unwrap_or(0);
                let lane = (
                    tried.gateway.clone(),
                    start,
                    tried.class.clone(),
                    tried.key.clone(),
                );
                lanes.insert(tried.id, lane.clone());
                waiting.entry(lane).or_default().push((*at, tried.id));
            }
            What::Over { id, .. } => {
                let Some(lane) = lanes.get(id) else { continue };
                waiting
                    .entry(lane.clone())
                    .or_default()
                    .retain(|(_, waiting)| waiting != id);
            }
            What::Began { engine, id, .. } => {
                let Some(lane) = lanes.get(id) else { continue };
                runs += 1;
                let is_excused = |since: Micros, to: &Name| {
                    let gateway = &lane.0;
                    let link = history
                        .link_faults(gateway, to)
                        .iter()
                        .chain(history.link_faults(CLIENTS, gateway));
                    link.chain(history.gateway_faults(gateway))
                        .any(|span| span.overlaps(since, *at))
                };
                let mut add_break = |from: Micros, text: String| {
                    let subject = Subject::Key(lane.3.clone());
                    verdict.add(Break {
                        rule: Rule::Order,
                        subject,
                        from,
                        to: *at,
                        text,
                    });
                };
                for (other, on, since) in running.entry(lane.clone()).or_default().iter() {
                    let ended = history
                        .ends
                        .get(other)
                        .and_then(|ends| ends.first())
                        .map(|(at, _)| *at);
                    let is_past_pause = ended.is_some_and(|ended| *at + SLACK >= ended + pause);
                    if other != id && !is_past_pause && !is_excused(*since, on) {
                        add_break(
                            *since,
                            format!("{id:016x} ran at {engine} while {other:016x} ran at {on}"),
                        );
                    }
                }
                let sent = history.tries.get(id).map_or(0, |(sent, _)| *sent);
                let earlier = waiting.get(lane).into_iter().flatten();
                // The answer may still be on its way to the client: hence the slack.
                let is_over = |other: &u64| {
                    let ends = history.ends.get(other).and_then(|ends| ends.first());
                    ends.is_some_and(|(ended, _)| *ended <= *at + SLACK)
                };
                let earlier = earlier.filter(|(at, other)| at + SLACK < sent && !is_over(other));
                for (since, other) in earlier {
                    let is_running = running[lane].iter().any(|(running, ..)| running == other);
                    if !is_running && !is_excused(*since, engine) {
                        add_break(
                            *since,
                            format!(
                                "{id:016x} ran before {other:016x}, which was received earlier"
                            ),
                        );
                    }
                }
                running
                    .entry(lane.clone())
                    .or_default()
                    .push((*id, engine.clone(), *at));
            }
            What::Left { engine, id, done } => {
                let Some(lane) = lanes.get(id) else { continue };
                if *done {
                    waiting
                        .entry(lane.clone())
                        .or_default()
                        .retain(|(_, waiting)| waiting != id);
                }
                let attempts = running.entry(lane.clone()).or_default();
                attempts.retain(|(other, on, _)| other != id || on != engine);
            }
            _ => {}
        }
    }
    verdict.set_figure("ordered_runs", runs);
}

#[cfg(test)]
mod tests;
