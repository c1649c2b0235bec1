//! The shortest history of a break: what clients, gateways' records and engines did for one key or
//! at one engine, with the faults of those that took part, by time.

use std::collections::BTreeSet;

use eideryard_emulators::history::{
    Event, Micros, ProcessChange, SharedName, TimedEvent, TryOutcome,
};

use super::records::{Recorded, Said};
use super::{About, Break, History};

/// Lines of one story.
const MAX_LINES: usize = 60;
/// How long before the first try faults are told.
const BEFORE: Micros = 500_000;

/// The events of all sides that led to a break, by time.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn story(history: &History<'_>, records: &[Recorded], found: &Break) -> Vec<String> {
    let key = match &found.about {
        About::Key(key) => Some(key.clone()),
        About::Request(id) => history.tries.get(id).map(|(_, tried)| tried.key.clone()),
        _ => None,
    };
    // All tries of the key up to the break, and who took part.
    let mut ids: BTreeSet<u64> = BTreeSet::new();
    let mut parts: BTreeSet<SharedName> = BTreeSet::new();
    let mut from = found.from;
    if let Some(key) = &key {
        for (id, (at, tried)) in history
            .tries
            .iter()
            .filter(|(_, (_, tried))| tried.key == *key)
        {
            if *at <= found.to {
                ids.insert(*id);
                parts.insert(tried.gateway.clone());
                from = from.min(*at);
            }
        }
    }
    if let About::Engine(name) | About::Gateway(name) = &found.about {
        parts.insert(name.clone());
    }
    for TimedEvent { event, .. } in history.events {
        if let Event::QueryStarted { engine, id, .. } = event {
            if ids.contains(id) {
                parts.insert(engine.clone());
            }
        }
    }
    let of_engine = |name: &SharedName| key.is_none() && parts.contains(name);
    let mut lines: Vec<(Micros, String)> = Vec::new();
    for TimedEvent { at, event } in history.events {
        if *at + BEFORE < from || *at > found.to + 1 {
            continue;
        }
        let line = match event {
            Event::TrySent(tried) if ids.contains(&tried.id) => format!(
                "client of {} asks {} (try {}{}, id {:016x})",
                tried.load,
                tried.gateway,
                tried.number + 1,
                if tried.marked { ", marked" } else { "" },
                tried.id
            ),
            Event::TryEnded {
                id,
                outcome,
                advice,
            } if ids.contains(id) => {
                let outcome = match outcome {
                    TryOutcome::Served => "is served",
                    TryOutcome::Refused => "is refused",
                    TryOutcome::Failed => "is told that it failed",
                    TryOutcome::Forgotten => "takes it back",
                    TryOutcome::ConnectionLost => "loses the connection",
                    TryOutcome::Unanswered => "has waited in vain",
                };
                let advice =
                    advice.map_or(String::new(), |ms| format!(", to come back after {ms} ms"));
                format!("client {outcome}{advice} (id {id:016x})")
            }
            Event::QueryStarted {
                engine, id, work, ..
            } if ids.contains(id) || of_engine(engine) => {
                format!("{engine} begins {id:016x}, {:.0} ms of work", work * 1e3)
            }
            Event::QueryEnded {
                engine,
                id,
                completed: false,
            } if ids.contains(id) => {
                format!("{engine} gives {id:016x} up")
            }
            Event::Effect { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} takes effect")
            }
            Event::RepeatDropped { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} is a repeat and dropped")
            }
            Event::Engine { engine, begins } if parts.contains(engine) => match begins {
                Some(_) => format!("{engine} starts"),
                None => format!("{engine} ends"),
            },
            Event::EngineAnnounced {
                gateway,
                engine,
                health,
            } if of_engine(engine) => {
                format!("the bulletin tells {gateway} that {engine} is {health}")
            }
            Event::Gateway { gateway, change } if parts.contains(gateway) => match change {
                ProcessChange::Started(start) => format!("{gateway} listens, start {start}"),
                ProcessChange::Killed => format!("{gateway} is killed"),
                ProcessChange::Stopping => format!("{gateway} is told to end"),
                ProcessChange::Ended => format!("{gateway} has ended"),
                ProcessChange::Paused => format!("{gateway} is paused"),
                ProcessChange::Continued => format!("{gateway} goes on"),
            },
            Event::Link {
                from,
                to,
                fault,
                begins,
            } if parts.contains(from) || parts.contains(to) => {
                // Links to engines that took no part say nothing.
                let near =
                    |end: &SharedName| parts.contains(end) || **end == *crate::links::CLIENTS;
                if !near(from) || !near(to) {
                    continue;
                }
                format!(
                    "link {from}-{to}: {fault} {}",
                    if *begins { "begins" } else { "ends" }
                )
            }
            Event::Other { text } if text.starts_with("power") => text.clone(),
            _ => continue,
        };
        lines.push((*at, line));
    }
    for Recorded {
        gateway,
        at,
        id,
        what,
    } in records.iter().filter(|said| ids.contains(&said.id))
    {
        if *at > found.to + 1 {
            continue;
        }
        let line = match what {
            Said::Taken => format!("{gateway} records that it took {id:016x}"),
            Said::Sent(engine) => format!("{gateway} records that it sends {id:016x} to {engine}"),
            Said::Ended(outcome) => format!("{gateway} records the attempt's end: {outcome:?}"),
            Said::Answered(kind) => format!("{gateway} records the answer: {}", kind.name()),
        };
        lines.push((*at, line));
    }
    lines.sort();
    let begin = lines.first().map_or(0, |(at, _)| *at);
    let left_out = lines.len().saturating_sub(MAX_LINES);
    let told = lines.iter().skip(left_out);
    let mut text: Vec<String> = told
        .map(|(at, line)| format!("{:>10.1} ms  {line}", (at - begin) as f64 / 1e3))
        .collect();
    if left_out > 0 {
        text.insert(0, format!("({left_out} earlier lines are left out)"));
    }
    text
}

#[cfg(test)]
mod tests;
