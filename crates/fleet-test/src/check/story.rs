//! The story of a break: the events of clients, engines and gateways' event logs on one key or one
//! engine, with the faults of the parts involved, sorted by time.

use std::collections::BTreeSet;

use eideryard_emulators::history::{Happened, How, Micros, Name, Process, What};

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
    let mut involved: BTreeSet<Name> = BTreeSet::new();
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
    for Happened { what, .. } in history.events {
        if let What::Began { engine, id, .. } = what {
            if ids.contains(id) {
                involved.insert(engine.clone());
            }
        }
    }
    let is_subject = |name: &Name| key.is_none() && involved.contains(name);
    let mut lines: Vec<(Micros, String)> = Vec::new();
    for Happened { at, what } in history.events {
        if *at + BEFORE < from || *at > found.to + 1 {
            continue;
        }
        let line = match what {
            What::Asked(tried) if ids.contains(&tried.id) => format!(
                "client of {} asks {} (try {}{}, id {:016x})",
                tried.load,
                tried.gateway,
                tried.number + 1,
                if tried.marked { ", marked" } else { "" },
                tried.id
            ),
            What::Over { id, how, advice } if ids.contains(id) => {
                let how = match how {
                    How::Served => "is served",
                    How::Refused => "is refused",
                    How::Failed => "gets a failure",
                    How::Forgotten => "cancels it",
                    How::Reset => "loses its connection",
                    How::Silence => "gets no answer",
                };
                let advice = advice.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
                format!("client {how}{advice} (id {id:016x})")
            }
            What::Began {
                engine, id, work, ..
            } if ids.contains(id) || is_subject(engine) => {
                format!("{engine} begins {id:016x}, {:.0} ms of work", work * 1e3)
            }
            What::Left {
                engine,
                id,
                done: false,
            } if ids.contains(id) => {
                format!("{engine} ends {id:016x} without a result")
            }
            What::Effect { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} takes effect")
            }
            What::Repeat { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} is dropped as a repeat")
            }
            What::Engine { engine, begins } if involved.contains(engine) => match begins {
                Some(_) => format!("{engine} starts"),
                None => format!("{engine} ends"),
            },
            What::Told {
                gateway,
                engine,
                health,
            } if is_subject(engine) => {
                format!("the bulletin notifies {gateway} that {engine} is {health}")
            }
            What::Gateway { gateway, how } if involved.contains(gateway) => match how {
                Process::Started(start) => format!("{gateway} listens, start {start}"),
                Process::Killed => format!("{gateway} is killed"),
                Process::Stopping => format!("{gateway} is asked to stop"),
                Process::Ended => format!("{gateway} has ended"),
                Process::Paused => format!("{gateway} is paused"),
                Process::Continued => format!("{gateway} is resumed"),
            },
            What::Link {
                from,
                to,
                fault,
                begins,
            } if involved.contains(from) || involved.contains(to) => {
                // Links to parts that are not involved are left out.
                let is_involved =
                    |end: &Name| involved.contains(end) || **end == *crate::links::CLIENTS;
                if !is_involved(from) || !is_involved(to) {
                    continue;
                }
                format!(
                    "link {from}-{to}: {fault} {}",
                    if *begins { "begins" } else { "ends" }
                )
            }
            What::Did { what } if what.starts_with("power") => what.clone(),
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
