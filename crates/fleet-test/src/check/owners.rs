//! The rule on owners of tasks: at each gateway the fencing tokens of accepted work never fall, and
//! a term has one owner.

use std::collections::BTreeMap;
use std::path::Path;

use eideryard_emulators::history::{Micros, SharedName};
use eideryard_event_log::reader::{MergedReader, ReadContent};
use eideryard_event_log::{Entry, FleetEvent, HostEvent};

use super::{Break, Rule, Subject, Verdict};

/// Work on a task that a gateway received from the task's owner, as its event log says.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedWork {
    /// The gateway that received the work and checked its fencing token.
    pub gateway: SharedName,
    /// When it received the work, in Unix microseconds.
    pub at: Micros,
    /// The number of the task.
    pub task: u32,
    /// The fencing token: term and owner number.
    pub token: (u64, u64),
    /// Whether the gateway accepted the work; false if its token was stale.
    pub is_accepted: bool,
}

/// Reads the work on tasks from the event log in a directory, by time. Empty if there is no log.
pub fn read_owner_work(directory: &Path) -> Vec<ReceivedWork> {
    let mut received = Vec::new();
    let Ok(mut merged) = MergedReader::open(&[directory.to_path_buf()]) else {
        return received;
    };
    while let Ok(Some(next)) = merged.next_entry() {
        let ReadContent::Entry(Entry::Host(HostEvent::Fleet(FleetEvent::WorkReceived {
            task,
            term,
            owner,
            is_accepted,
        }))) = &next.content
        else {
            continue;
        };
        let gateway = merged.sources()[next.source].name.as_str().into();
        let token = (*term, *owner);
        received.push(ReceivedWork {
            gateway,
            at: next.at,
            task: *task,
            token,
            is_accepted: *is_accepted,
        });
    }
    received
}

/// Checks that the tokens of accepted work never fall at a gateway and that a term has one owner.
pub fn check(received: &[ReceivedWork], verdict: &mut Verdict) {
    if received.is_empty() {
        return;
    }
    // The greatest accepted token by gateway and task, and the owner by gateway, task and term.
    let mut greatest: BTreeMap<(&SharedName, u32), (u64, u64)> = BTreeMap::new();
    let mut owners: BTreeMap<(&SharedName, u32, u64), u64> = BTreeMap::new();
    let (mut stale_accepted, mut second_owners, mut rejected) = (0, 0, 0);
    let mut last_accepted: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut longest_gap = 0;
    let mut by_time: Vec<&ReceivedWork> = received.iter().collect();
    by_time.sort_by_key(|work| work.at);
    for ReceivedWork {
        gateway,
        at,
        task,
        token,
        is_accepted,
    } in by_time
    {
        if !is_accepted {
            rejected += 1;
            continue;
        }
        let mut add_break = |text: String| {
            let subject = Subject::Gateway(gateway.clone());
            verdict.add(Break {
                rule: Rule::Owners,
                subject,
                from: *at,
                to: *at,
                text,
            });
        };
        let highest = greatest.entry((gateway, *task)).or_default();
        if token < highest {
            stale_accepted += 1;
            add_break(format!(
                "work on task {task} was accepted with token {token:?} after token {highest:?}"
            ));
        }
        *highest = (*token).max(*highest);
        let owner = owners.entry((gateway, *task, token.0)).or_insert(token.1);
        if *owner != token.1 {
            second_owners += 1;
            add_break(format!("term {} of task {task} has two owners", token.0));
        }
        let previous = last_accepted.insert(*task, *at).unwrap_or(*at);
        longest_gap = longest_gap.max(at.saturating_sub(previous));
    }
    verdict.set_figure("stale_applied", stale_accepted);
    verdict.set_figure("two_owners", second_owners);
    verdict.set_figure("fenced", rejected);
    verdict.set_figure("owners_work", received.len() as u64);
    verdict.set_figure("longest_gap_ms", longest_gap / 1000);
}

#[cfg(test)]
mod tests;
