//! The one kind of task in use: probing an engine on behalf of all gateways. Decides which copy of
//! a report counts, how long a report replaces a probe of one's own, and when an owner probes.

use std::collections::BTreeMap;

use crate::fencing_token::{FencingToken, Task};
use crate::Micros;

#[cfg(test)]
mod tests;

/// [`Task::kind`] of probes; the task's number is the engine's.
pub const PROBE_TASK_KIND: u8 = 1;
/// Interval at which an owner probes each of its engines.
pub const PROBE_INTERVAL: Micros = 1_000_000;
/// A younger report replaces a probe that a gateway would have sent itself.
pub const MAX_REPORT_AGE: Micros = 300_000;

/// The task of probing an engine.
pub fn probe_task(engine: u32) -> Task {
    Task {
        kind: PROBE_TASK_KIND,
        number: engine,
    }
}

/// A report of an engine's owner as it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedReport<R> {
    /// The owner's token.
    pub token: FencingToken,
    /// Grows with each report under one token.
    pub number: u64,
    /// How old the report was when it arrived.
    pub age: Micros,
    /// What the engine answered.
    pub report: R,
}

/// Whether a received report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It, or a later one, was received before.
    Duplicate,
    /// It counts and is recent.
    Fresh,
    /// It counts but is older than [`MAX_REPORT_AGE`].
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct LastReport<R> {
    token: FencingToken,
    number: u64,
    report: R,
    made_at: Micros,
}

/// Reports of other gateways and times of own probes, by engine; `R` is a report.
#[derive(Clone, Debug)]
pub struct Reports<R> {
    last: BTreeMap<u32, LastReport<R>>,
    probed_at: BTreeMap<u32, Micros>,
}

impl<R> Default for Reports<R> {
    fn default() -> Self {
        Reports {
            last: BTreeMap::new(),
            probed_at: BTreeMap::new(),
        }
    }
}

impl<R: Copy> Reports<R> {
    /// Takes in a report. Every voter passes it on, and numbers only grow under one token, so one
    /// copy of it counts.
    pub fn on_report(
        &mut self,
        now: Micros,
        engine: u32,
        received: ReceivedReport<R>,
    ) -> ReportOutcome {
        let ReceivedReport {
            token,
            number,
            age,
            report,
        } = received;
        let last = self.last.get(&engine);
        let is_known = last.is_some_and(|last| (last.token, last.number) >= (token, number));
        // Without the fence the tests need to see that work of a former owner counts.
        if is_known && !cfg!(feature = "unfenced") {
            return ReportOutcome::Duplicate;
        }
        let last = LastReport {
            token,
            number,
            report,
            made_at: now.saturating_sub(age),
        };
        self.last.insert(engine, last);
        if age < MAX_REPORT_AGE {
            ReportOutcome::Fresh
        } else {
            ReportOutcome::Outdated
        }
    }

    /// A report recent enough to replace a probe.
    pub fn recent_report(&self, now: Micros, engine: u32) -> Option<R> {
        let last = self.last.get(&engine)?;
        (now < last.made_at + MAX_REPORT_AGE).then_some(last.report)
    }

    /// The engines among the owned tasks that are to be probed now; they count as probed.
    pub fn take_due_probes(&mut self, now: Micros, owned: impl Iterator<Item = Task>) -> Vec<u32> {
        let mut engines = Vec::new();
        for task in owned.filter(|task| task.kind == PROBE_TASK_KIND) {
            let probed_at = self.probed_at.get(&task.number);
            if probed_at.is_none_or(|probed_at| probed_at + PROBE_INTERVAL <= now) {
                engines.push(task.number);
            }
        }
        for engine in &engines {
            self.probed_at.insert(*engine, now);
        }
        engines
    }

    /// When [`Reports::take_due_probes`] next returns an engine.
    pub fn next_probe_at(&self, now: Micros, owned: impl Iterator<Item = Task>) -> Option<Micros> {
        let due_at = |task: Task| match self.probed_at.get(&task.number) {
            Some(probed_at) => probed_at + PROBE_INTERVAL,
            None => now,
        };
        owned.map(due_at).min()
    }

    /// Forgets engines that no longer exist.
    pub fn retain_engines(&mut self, exists: impl Fn(u32) -> bool) {
        self.last.retain(|engine, _| exists(*engine));
        self.probed_at.retain(|engine, _| exists(*engine));
    }
}
