//! The story of a break: the events of clients, engines and gateways' event logs on one key or one
//! engine, with the faults of the parts involved, sorted by time.

use std::collections::BTreeSet;

use eideryard_emulators::history::{
    Event, Micros, ProcessChange, SharedName, TimedEvent, TryOutcome,
};

use super::records::{Recorded, RequestEvent};
use super::{Break, History, Subject};

/// Most lines of one story; the latest are kept.
const MAX_LINES: usize = 60;
/// A story begins this time before the first try, so that earlier faults are in it; microseconds.
const BEFORE: Micros = 500_000;

/// Lists the events of all parts that led to a break, sorted by time, as lines of text.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn story(history: &History<'_>, records: &[Recorded], found: &Break) -> Vec<String> {
    let key = match &found.subject {
        Subject::Key(key) => Some(key.clone()),
        Subject::Request(id) => history.tries.get(id).map(|(_, tried)| tried.key.clone()),
        _ => None,
    };
    // All tries of the key up to the break, and the gateways and engines involved.
    let mut ids: BTreeSet<u64> = BTreeSet::new();
    let mut involved: BTreeSet<SharedName> = BTreeSet::new();
    let mut from = found.from;
    if let Some(key) = &key {
        for (id, (at, tried)) in history
            .tries
            .iter()
            .filter(|(_, (_, tried))| tried.key == *key)
        {
            if *at <= found.to {
                ids.insert(*id);
                involved.insert(tried.gateway.clone());
                from = from.min(*at);
            }
        }
    }
    if let Subject::Engine(name) | Subject::Gateway(name) = &found.subject {
        involved.insert(name.clone());
    }
    for TimedEvent { event, .. } in history.events {
        if let Event::QueryStarted { engine, id, .. } = event {
            if ids.contains(id) {
                involved.insert(engine.clone());
            }
        }
    }
    let is_subject = |name: &SharedName| key.is_none() && involved.contains(name);
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
                let end = match outcome {
                    TryOutcome::Served => "is served",
                    TryOutcome::Refused => "is refused",
                    TryOutcome::Failed => "gets a failure",
                    TryOutcome::Forgotten => "cancels it",
                    TryOutcome::ConnectionLost => "loses its connection",
                    TryOutcome::Unanswered => "gets no answer",
                };
                let advice = advice.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
                format!("client {end}{advice} (id {id:016x})")
            }
            Event::QueryStarted {
                engine, id, work, ..
            } if ids.contains(id) || is_subject(engine) => {
                format!("{engine} begins {id:016x}, {:.0} ms of work", work * 1e3)
            }
            Event::QueryEnded {
                engine,
                id,
                completed: false,
            } if ids.contains(id) => {
                format!("{engine} ends {id:016x} without a result")
            }
            Event::Effect { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} takes effect")
            }
            Event::RepeatDropped { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} is dropped as a repeat")
            }
            Event::Engine { engine, begins } if involved.contains(engine) => match begins {
                Some(_) => format!("{engine} starts"),
                None => format!("{engine} ends"),
            },
            Event::EngineAnnounced {
                gateway,
                engine,
                health,
            } if is_subject(engine) => {
                format!("the bulletin notifies {gateway} that {engine} is {health}")
            }
            Event::Gateway { gateway, change } if involved.contains(gateway) => match change {
                ProcessChange::Started(start) => format!("{gateway} listens, start {start}"),
                ProcessChange::Killed => format!("{gateway} is killed"),
                ProcessChange::Stopping => format!("{gateway} is asked to stop"),
                ProcessChange::Ended => format!("{gateway} has ended"),
                ProcessChange::Paused => format!("{gateway} is paused"),
                ProcessChange::Continued => format!("{gateway} is resumed"),
            },
            Event::Link {
                from,
                to,
                fault,
                begins,
            } if involved.contains(from) || involved.contains(to) => {
                // Links to parts that are not involved are left out.
                let is_involved =
                    |end: &SharedName| involved.contains(end) || **end == *crate::links::CLIENTS;
                if !is_involved(from) || !is_involved(to) {
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
    } in records.iter().filter(|entry| ids.contains(&entry.id))
    {
        if *at > found.to + 1 {
            continue;
        }
        let line = match what {
            RequestEvent::Taken => format!("{gateway} records that it received {id:016x}"),
            RequestEvent::Sent(engine) => {
                format!("{gateway} records that it sends {id:016x} to {engine}")
            }
            RequestEvent::Ended(outcome) => {
                format!("{gateway} records the end of the attempt: {outcome:?}")
            }
            RequestEvent::Answered(kind) => {
                format!("{gateway} records the answer: {}", kind.name())
            }
        };
        lines.push((*at, line));
    }
    lines.sort();
    let begin = lines.first().map_or(0, |(at, _)| *at);
    let left_out = lines.len().saturating_sub(MAX_LINES);
    let last_lines = lines.iter().skip(left_out);
    let mut text: Vec<String> = last_lines
        .map(|(at, line)| format!("{:>10.1} ms  {line}", (at - begin) as f64 / 1e3))
        .collect();
    if left_out > 0 {
        text.insert(0, format!("({left_out} earlier lines are left out)"));
    }
    text
}

#[cfg(test)]
mod tests;
