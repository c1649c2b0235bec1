//! The shortest history of a break: what clients, gateways' records and engines did for one key or
//! at one engine, with the faults of those that took part, by time.

use std::collections::BTreeSet;

use eideryard_emulators::history::{Happened, How, Micros, Name, Process, What};

use super::records::{Recorded, RequestEvent};
use super::{Break, History, Subject};

/// Lines of one story.
const MAX_LINES: usize = 60;
/// How long before the first try faults are told.
const BEFORE: Micros = 500_000;

/// The events of all sides that led to a break, by time.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn story(history: &History<'_>, records: &[Recorded], found: &Break) -> Vec<String> {
    let key = match &found.subject {
        Subject::Key(key) => Some(key.clone()),
        Subject::Request(id) => history.tries.get(id).map(|(_, tried)| tried.key.clone()),
        _ => None,
    };
    // All tries of the key up to the break, and who took part.
    let mut ids: BTreeSet<u64> = BTreeSet::new();
    let mut parts: BTreeSet<Name> = BTreeSet::new();
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
    if let Subject::Engine(name) | Subject::Gateway(name) = &found.subject {
        parts.insert(name.clone());
    }
    for Happened { what, .. } in history.events {
        if let What::Began { engine, id, .. } = what {
            if ids.contains(id) {
                parts.insert(engine.clone());
            }
        }
    }
    let of_engine = |name: &Name| key.is_none() && parts.contains(name);
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
                    How::Failed => "is told that it failed",
                    How::Forgotten => "takes it back",
                    How::Reset => "loses the connection",
                    How::Silence => "has waited in vain",
                };
                let advice =
                    advice.map_or(String::new(), |ms| format!(", to come back after {ms} ms"));
                format!("client {how}{advice} (id {id:016x})")
            }
            What::Began {
                engine, id, work, ..
            } if ids.contains(id) || of_engine(engine) => {
                format!("{engine} begins {id:016x}, {:.0} ms of work", work * 1e3)
            }
            What::Left {
                engine,
                id,
                done: false,
            } if ids.contains(id) => {
                format!("{engine} gives {id:016x} up")
            }
            What::Effect { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} takes effect")
            }
            What::Repeat { engine, id, .. } if ids.contains(id) => {
                format!("{engine}: {id:016x} is a repeat and dropped")
            }
            What::Engine { engine, begins } if parts.contains(engine) => match begins {
                Some(_) => format!("{engine} starts"),
                None => format!("{engine} ends"),
            },
            What::Told {
                gateway,
                engine,
                health,
            } if of_engine(engine) => {
                format!("the bulletin tells {gateway} that {engine} is {health}")
            }
            What::Gateway { gateway, how } if parts.contains(gateway) => match how {
                Process::Started(start) => format!("{gateway} listens, start {start}"),
                Process::Killed => format!("{gateway} is killed"),
                Process::Stopping => format!("{gateway} is told to end"),
                Process::Ended => format!("{gateway} has ended"),
                Process::Paused => format!("{gateway} is paused"),
                Process::Continued => format!("{gateway} goes on"),
            },
            What::Link {
                from,
                to,
                fault,
                begins,
            } if parts.contains(from) || parts.contains(to) => {
                // Links to engines that took no part say nothing.
                let near = |end: &Name| parts.contains(end) || **end == *crate::links::CLIENTS;
                if !near(from) || !near(to) {
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
    } in records.iter().filter(|said| ids.contains(&said.id))
    {
        if *at > found.to + 1 {
            continue;
        }
        let line = match what {
            RequestEvent::Taken => format!("{gateway} records that it took {id:016x}"),
            RequestEvent::Sent(engine) => {
                format!("{gateway} records that it sends {id:016x} to {engine}")
            }
            RequestEvent::Ended(outcome) => {
                format!("{gateway} records the attempt's end: {outcome:?}")
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
