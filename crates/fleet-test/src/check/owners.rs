//! One owner's work is_accepted: at each fence tokens never fall, and a term has one owner.

use std::collections::BTreeMap;
use std::path::Path;

use eideryard_emulators::history::{Micros, Name};
use eideryard_event_log::reader::{MergedReader, ReadContent};
use eideryard_event_log::{Entry, FleetEvent, HostEvent};

use super::{Break, Rule, Subject, Verdict};

/// An owner's work that came to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedWork {
    /// The gateway whose fence met the work.
    pub gateway: Name,
    /// When it did.
    pub at: Micros,
    /// The number of the task.
    pub task: u32,
    /// Term, and the owner's number.
    pub token: (u64, u64),
    /// Whether the fence admitted it.
    pub is_accepted: bool,
}

/// All that the records in a directory tell of owners' work, by time.
pub fn read_owner_work(directory: &Path) -> Vec<ReceivedWork> {
    let mut worked = Vec::new();
    let Ok(mut merged) = MergedReader::open(&[directory.to_path_buf()]) else {
        return worked;
    };
    while let Ok(Some(told)) = merged.next_entry() {
        let ReadContent::Entry(Entry::Host(HostEvent::Fleet(FleetEvent::WorkReceived {
            task,
            term,
            owner,
            is_accepted,
        }))) = &told.content
        else {
            continue;
        };
        let gateway = merged.sources()[told.source].name.as_str().into();
        let token = (*term, *owner);
        worked.push(ReceivedWork {
            gateway,
            at: told.at,
            task: *task,
            token,
            is_accepted: *is_accepted,
        });
    }
    worked
}

/// Of each task, one owner's work is_accepted at a time.
pub fn check(worked: &[ReceivedWork], verdict: &mut Verdict) {
    if worked.is_empty() {
        return;
    }
    // By fence and task: the greatest token that counted, and the owner of each term.
    let mut greatest: BTreeMap<(&Name, u32), (u64, u64)> = BTreeMap::new();
    let mut owners: BTreeMap<(&Name, u32, u64), u64> = BTreeMap::new();
    let (mut stale, mut two, mut fenced) = (0, 0, 0);
    let mut last: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut gap = 0;
    let mut by_time: Vec<&ReceivedWork> = worked.iter().collect();
    by_time.sort_by_key(|own| own.at);
    for ReceivedWork {
        gateway,
        at,
        task,
        token,
        is_accepted,
    } in by_time
    {
        if !is_accepted {
            fenced += 1;
            continue;
        }
        let mut broken = |text: String| {
            let subject = Subject::Gateway(gateway.clone());
            verdict.add(Break {
                rule: Rule::Owners,
                subject,
                from: *at,
                to: *at,
                text,
            });
        };
        let known = greatest.entry((gateway, *task)).or_default();
        if token < known {
            stale += 1;
            broken(format!(
                "work for {task} counted under {token:?} after that under {known:?}"
            ));
        }
        *known = (*token).max(*known);
        let owner = owners.entry((gateway, *task, token.0)).or_insert(token.1);
        if *owner != token.1 {
            two += 1;
            broken(format!("term {} of {task} has two owners", token.0));
        }
        let before = last.insert(*task, *at).unwrap_or(*at);
        gap = gap.max(at.saturating_sub(before));
    }
    verdict.set_figure("stale_applied", stale);
    verdict.set_figure("two_owners", two);
    verdict.set_figure("fenced", fenced);
    verdict.set_figure("owners_work", worked.len() as u64);
    verdict.set_figure("longest_gap_ms", gap / 1000);
}

#[cfg(test)]
mod tests;
