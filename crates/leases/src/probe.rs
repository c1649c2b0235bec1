//! The task that is there: probes of an engine for all. Which copy of a report counts, how long one
//! stands in for a probe of one's own, and when an owner probes.

use std::collections::BTreeMap;

use crate::fencing_token::{FencingToken, Task};
use crate::Micros;

/// The kind of these tasks; their number is the engine's.
pub const PROBE: u8 = 1;
/// An owner probes its engines so often.
pub const EVERY: Micros = 1_000_000;
/// A report that is no older answers a probe that a gateway would have sent.
pub const FRESH: Micros = 300_000;

pub fn task(engine: u32) -> Task {
    Task {
        kind: PROBE,
        number: engine,
    }
}

/// Reports of others and times of own probes, by engine; `R` is a report.
#[derive(Clone, Debug)]
pub struct Reports<R> {
    /// The last that counted: under which token, its number there, what it said, and when.
    heard: BTreeMap<u32, (FencingToken, u64, R, Micros)>,
    probed_at: BTreeMap<u32, Micros>,
}

impl<R> Default for Reports<R> {
    fn default() -> Self {
        Reports {
            heard: BTreeMap::new(),
            probed_at: BTreeMap::new(),
        }
    }
}

impl<R: Copy> Reports<R> {
    /// Every keeper passes a report on, and numbers only grow under one token: one copy counts.
    /// Gives whether it is fresh; nothing: it came before.
    pub fn take(
        &mut self,
        now: Micros,
        engine: u32,
        (token, number): (FencingToken, u64),
        age: Micros,
        report: R,
    ) -> Option<bool> {
        let known = self
            .heard
            .get(&engine)
            .map(|(token, number, ..)| (*token, *number));
        // Without the fence an old owner's work is to be seen to count.
        if known >= Some((token, number)) && !cfg!(feature = "unfenced") {
            return None;
        }
        self.heard
            .insert(engine, (token, number, report, now.saturating_sub(age)));
        Some(age < FRESH)
    }

    /// A report that stands in for a probe.
    pub fn stands_in(&self, now: Micros, engine: u32) -> Option<R> {
        let (.., report, at) = self.heard.get(&engine)?;
        (now < at + FRESH).then_some(*report)
    }

    /// Of the engines that this gateway owns those that it probes now.
    pub fn due(&mut self, now: Micros, owned: impl Iterator<Item = Task>) -> Vec<u32> {
        let engines = owned
            .filter(|task| task.kind == PROBE)
            .map(|task| task.number);
        let due = |engine: &u32| {
            self.probed_at
                .get(engine)
                .is_none_or(|at| at + EVERY <= now)
        };
        let due: Vec<u32> = engines.filter(due).collect();
        for engine in due.iter() {
            _ = self.probed_at.insert(*engine, now);
        }
        due
    }

    /// When [`Reports::due`] gives something.
    pub fn next(&self, now: Micros, owned: impl Iterator<Item = Task>) -> Option<Micros> {
        owned
            .map(|task| {
                self.probed_at
                    .get(&task.number)
                    .map_or(now, |at| at + EVERY)
            })
            .min()
    }

    /// What is known of engines that are no more goes.
    pub fn retain(&mut self, known: impl Fn(u32) -> bool) {
        self.heard.retain(|engine, _| known(*engine));
        self.probed_at.retain(|engine, _| known(*engine));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_copy_of_a_report_counts_for_its_time_and_an_owner_probes_once_a_second() {
        let mut reports = Reports::default();
        let token = |term| FencingToken { term, owner: 1 };
        assert_eq!(reports.take(S, 7, (token(1), 1), 0, 'a'), Some(true));
        assert_eq!(
            reports.take(S, 7, (token(1), 1), 0, 'a'),
            None,
            "another keeper's copy"
        );
        assert_eq!(
            reports.take(S, 7, (token(1), 2), FRESH, 'b'),
            Some(false),
            "it was long under way"
        );
        assert_eq!(reports.stands_in(S, 7), None);
        assert_eq!(
            reports.take(S, 7, (token(2), 1), 0, 'c'),
            Some(true),
            "a new owner counts anew"
        );
        assert_eq!(reports.take(S, 7, (token(1), 9), 0, 'd'), None);
        assert_eq!(
            (reports.stands_in(S, 7), reports.stands_in(S + FRESH, 7)),
            (Some('c'), None)
        );
        let owned = || [task(7), Task { kind: 9, number: 8 }].into_iter();
        assert_eq!(
            (reports.due(S, owned()), reports.due(S + EVERY - 1, owned())),
            (vec![7], vec![])
        );
        assert_eq!(
            (
                reports.next(S, owned().take(1)),
                reports.due(S + EVERY, owned())
            ),
            (Some(S + EVERY), vec![7])
        );
        reports.retain(|_| false);
        assert!(reports.heard.is_empty() && reports.probed_at.is_empty());
    }

    const S: Micros = 1_000_000;
}
