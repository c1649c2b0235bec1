//! What gateways recorded is held against what clients saw: the same request has the same end on
//! both sides.

use std::collections::HashMap;
use std::path::Path;

use eideryard::interface::{Action, Event, Outcome};
use eideryard_emulators::history::{How, Micros, Name};
use eideryard_event_log::reader::{MergedReader, ReadContent};
use eideryard_event_log::{AnswerKind, Entry, HostEvent};

use super::{Break, History, Rule, Subject, Verdict};

/// Entries of a gateway's record that tell of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// The gateway that wrote it.
    pub gateway: Name,
    /// When it happened.
    pub at: Micros,
    /// The id that its client gave it.
    pub id: u64,
    /// What it says.
    pub what: RequestEvent,
}

/// What a record says of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The gateway took it.
    Taken,
    /// An attempt went to an engine.
    Sent(Name),
    /// An attempt ended.
    Ended(Outcome),
    /// It got its final answer.
    Answered(AnswerKind),
}

/// All that the records in a directory tell of requests, by time. A directory without one tells
/// nothing.
pub fn read_requests(directory: &Path) -> Vec<Recorded> {
    let mut recorded = Vec::new();
    let Ok(mut merged) = MergedReader::open(&[directory.to_path_buf()]) else {
        return recorded;
    };
    // The client's id of each request that is open, and engines' names, by source.
    let mut ids: HashMap<(usize, u64), u64> = HashMap::new();
    let mut engines: HashMap<(usize, u32), Name> = HashMap::new();
    while let Ok(Some(told)) = merged.next_entry() {
        let ReadContent::Entry(entry) = &told.content else {
            continue;
        };
        if let Entry::Host(HostEvent::Engine(listed)) = entry {
            engines.insert((told.source, listed.engine), listed.name.as_str().into());
        }
        let Some(request) = entry.request() else {
            continue;
        };
        let place = (told.source, request);
        let what = match entry {
            Entry::Host(HostEvent::RequestReceived(offer)) => {
                ids.insert(place, offer.id);
                RequestEvent::Taken
            }
            Entry::Host(HostEvent::OpenRequest(open)) => {
                ids.insert(place, open.client_request.id);
                continue;
            }
            Entry::Action(Action::Send { engine, .. }) => RequestEvent::Sent(
                engines
                    .get(&(told.source, *engine))
                    .cloned()
                    .unwrap_or_else(|| "an engine".into()),
            ),
            Entry::Event(Event::AttemptEnded(ended)) => RequestEvent::Ended(ended.outcome),
            Entry::Host(HostEvent::Answered { kind: how, .. }) => RequestEvent::Answered(*how),
            _ => continue,
        };
        let Some(id) = ids.get(&place).copied() else {
            continue;
        };
        let gateway = merged.sources()[told.source].name.as_str().into();
        recorded.push(Recorded {
            gateway,
            at: told.at,
            id,
            what,
        });
    }
    recorded
}

/// What records say of ends is what clients were answered.
pub fn check(history: &History<'_>, records: &[Recorded], verdict: &mut Verdict) {
    let mut ended: HashMap<(&Name, u64), AnswerKind> = HashMap::new();
    let (mut agree, mut differ) = (0, 0);
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
        let mut broken = |text: String| {
            differ += 1;
            let subject = Subject::Request(*id);
            verdict.add(Break {
                rule: Rule::Records,
                subject,
                from: *at,
                to: *at,
                text,
            });
        };
        if ended.insert((gateway, *id), *kind).is_some() {
            broken(format!("{gateway} recorded two ends of it"));
            continue;
        }
        let seen = history
            .ends
            .get(id)
            .and_then(|ends| ends.first())
            .map(|(_, how)| *how);
        let same = match (seen, kind) {
            (Some(How::Served), kind) => *kind == AnswerKind::Served,
            (Some(How::Refused), kind) => *kind == AnswerKind::Refused,
            (Some(How::Failed), kind) => *kind == AnswerKind::Failed,
            // A client that has gone sees nothing, whatever the gateway says of it.
            (Some(How::Forgotten | How::Reset | How::Silence) | None, _) => true,
        };
        if same {
            agree += 1;
        } else {
            let seen = seen.map_or("nothing", |how| match how {
                How::Served => "a result",
                How::Refused => "a refusal",
                _ => "a failure",
            });
            broken(format!(
                "{gateway} recorded that it was {}, its client saw {seen}",
                kind.name()
            ));
        }
    }
    verdict.set_figure("recorded_ends", agree);
    verdict.set_figure("records_differ", differ);
}

#[cfg(test)]
mod tests;
