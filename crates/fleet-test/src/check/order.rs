//! A key's order: where a class asks for it, requests of one key that one gateway took run one at a
//! time, in the order taken. Nothing is sent for one while an earlier one runs and is not over, nor
//! within the pause after its end.

use std::collections::{BTreeMap, HashMap, HashSet};

use eideryard_emulators::history::{Happened, Micros, Name, Process, What};

use super::{Break, Facts, History, Rule, Subject, Verdict, SLACK};
use crate::config::ORDER_PAUSE;
use crate::links::CLIENTS;

/// One start of a gateway and a key of a class: what has an order of its own.
type Lane = (Name, usize, Name, Name);

/// Requests of one key of an ordered class run one at a time and in turn.
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
    // What runs, by lane: id, engine, since.
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
                    .retain(|(_, own)| own != id);
            }
            What::Began { engine, id, .. } => {
                let Some(lane) = lanes.get(id) else { continue };
                runs += 1;
                let excused = |asked: Micros, to: &Name| {
                    let gateway = &lane.0;
                    let link = history
                        .of_link(gateway, to)
                        .iter()
                        .chain(history.of_link(CLIENTS, gateway));
                    link.chain(history.of_gateway(gateway))
                        .any(|span| span.meets(asked, *at))
                };
                let mut broken = |from: Micros, text: String| {
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
                    let rested = ended.is_some_and(|ended| *at + SLACK >= ended + pause);
                    if other != id && !rested && !excused(*since, on) {
                        broken(
                            *since,
                            format!("{id:016x} ran at {engine} while {other:016x} ran at {on}"),
                        );
                    }
                }
                let own = history.tries.get(id).map_or(0, |(asked, _)| *asked);
                let earlier = waiting.get(lane).into_iter().flatten();
                // Its end may be on its way to the client.
                let is_over = |other: &u64| {
                    let ends = history.ends.get(other).and_then(|ends| ends.first());
                    ends.is_some_and(|(ended, _)| *ended <= *at + SLACK)
                };
                let earlier =
                    earlier.filter(|(asked, other)| asked + SLACK < own && !is_over(other));
                for (asked, other) in earlier {
                    let runs = running[lane].iter().any(|(running, ..)| running == other);
                    if !runs && !excused(*asked, engine) {
                        broken(
                            *asked,
                            format!("{id:016x} ran before {other:016x}, which was taken earlier"),
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
                        .retain(|(_, own)| own != id);
                }
                let of = running.entry(lane.clone()).or_default();
                of.retain(|(own, on, _)| own != id || on != engine);
            }
            _ => {}
        }
    }
    verdict.set_figure("ordered_runs", runs);
}

#[cfg(test)]
mod tests;
