//! The rule on event logs: the end of a request in the event log of its gateway is the one that its
//! client saw.

use std::collections::HashMap;
use std::path::Path;

use eideryard::interface::{Action, Event, Outcome};
use eideryard_emulators::history::{Micros, SharedName, TryOutcome};
use eideryard_event_log::reader::{MergedReader, ReadContent};
use eideryard_event_log::{AnswerKind, Entry, HostEvent};

use super::{Break, History, Rule, Subject, Verdict};

/// An entry on a request in the event log of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// The gateway that wrote the log.
    pub gateway: SharedName,
    /// The time of the entry, in Unix microseconds.
    pub at: Micros,
    /// The id of the request's try, which its client chose.
    pub id: u64,
    /// What the gateway recorded: receipt, attempt or answer.
    pub what: RequestEvent,
}

/// An event in the life of a request, reduced to what the checks need.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The gateway received the request.
    Taken,
    /// An attempt was sent to the engine of this name.
    Sent(SharedName),
    /// An attempt ended with this outcome.
    Ended(Outcome),
    /// The final answer was sent to the client.
    Answered(AnswerKind),
}

/// Reads the events of requests from the event log in a directory, by time. Empty if there is no
/// log.
pub fn read_requests(directory: &Path) -> Vec<Recorded> {
    let mut recorded = Vec::new();
    let Ok(mut merged) = MergedReader::open(&[directory.to_path_buf()]) else {
        return recorded;
    };
    // Clients' ids of requests, and names of engines; both by source, as numbers repeat between
    // sources.
    let mut ids: HashMap<(usize, u64), u64> = HashMap::new();
    let mut engines: HashMap<(usize, u32), SharedName> = HashMap::new();
    while let Ok(Some(next)) = merged.next_entry() {
        let ReadContent::Entry(entry) = &next.content else {
            continue;
        };
        if let Entry::Host(HostEvent::Engine(listed)) = entry {
            engines.insert((next.source, listed.engine), listed.name.as_str().into());
        }
        let Some(request) = entry.request() else {
            continue;
        };
        let source_request = (next.source, request);
        let what = match entry {
            Entry::Host(HostEvent::RequestReceived(offer)) => {
                ids.insert(source_request, offer.id);
                RequestEvent::Taken
            }
            Entry::Host(HostEvent::OpenRequest(open)) => {
                ids.insert(source_request, open.client_request.id);
                continue;
            }
            Entry::Action(Action::Send { engine, .. }) => RequestEvent::Sent(
                engines
                    .get(&(next.source, *engine))
                    .cloned()
                    .unwrap_or_else(|| "an engine".into()),
            ),
            Entry::Event(Event::AttemptEnded(answered)) => RequestEvent::Ended(answered.outcome),
            Entry::Host(HostEvent::Answered { kind: how, .. }) => RequestEvent::Answered(*how),
            _ => continue,
        };
        let Some(id) = ids.get(&source_request).copied() else {
            continue;
        };
        let gateway = merged.sources()[next.source].name.as_str().into();
        recorded.push(Recorded {
            gateway,
            at: next.at,
            id,
            what,
        });
    }
    recorded
}

/// Checks that each recorded answer is the one that its client saw, and recorded once.
pub fn check(history: &History<'_>, records: &[Recorded], verdict: &mut Verdict) {
    let mut answered: HashMap<(&SharedName, u64), AnswerKind> = HashMap::new();
    let (mut equal_ends, mut breaks) = (0, 0);
    for Recorded {
        gateway,
        at,
        id,
        what,
    } in records
    {
        let RequestEvent::Answered(kind) = what else {
            continue;
        };
        let mut add_break = |text: String| {
            breaks += 1;
            let subject = Subject::Request(*id);
            verdict.add(Break {
                rule: Rule::Records,
                subject,
                from: *at,
                to: *at,
                text,
            });
        };
        if answered.insert((gateway, *id), *kind).is_some() {
            add_break(format!("{gateway} recorded two answers to it"));
            continue;
        }
        let seen = history
            .ends
            .get(id)
            .and_then(|ends| ends.first())
            .map(|(_, how)| *how);
        let is_equal = match (seen, kind) {
            (Some(TryOutcome::Served), kind) => *kind == AnswerKind::Served,
            (Some(TryOutcome::Refused), kind) => *kind == AnswerKind::Refused,
            (Some(TryOutcome::Failed), kind) => *kind == AnswerKind::Failed,
            // A client that cancelled, timed out or lost its connection sees no answer, whatever
            // the gateway recorded.
            (
                Some(TryOutcome::Forgotten | TryOutcome::ConnectionLost | TryOutcome::Unanswered)
                | None,
                _,
            ) => true,
        };
        if is_equal {
            equal_ends += 1;
        } else {
            let seen = seen.map_or("nothing", |how| match how {
                TryOutcome::Served => "a result",
                TryOutcome::Refused => "a refusal",
                _ => "a failure",
            });
            add_break(format!(
                "{gateway} recorded the answer {}, its client saw {seen}",
                kind.name()
            ));
        }
    }
    verdict.set_figure("recorded_ends", equal_ends);
    verdict.set_figure("records_differ", breaks);
}

#[cfg(test)]
mod tests;
