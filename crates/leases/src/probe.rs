//! Probes of engines on behalf of all gateways, which is the only kind of task in use. Decides
//! which copy of a probe report counts, for how long a report makes a gateway's own probe
//! unnecessary, and when an owner probes its engines.

use std::collections::BTreeMap;

use crate::fencing_token::{FencingToken, Task};
use crate::Micros;

#[cfg(test)]
mod tests;

/// [`Task::kind`] of the tasks to probe an engine. [`Task::number`] is the engine's ID.
pub const PROBE_TASK_KIND: u8 = 1;
/// Interval at which an owner probes each of its engines.
pub const PROBE_INTERVAL: Micros = 1_000_000;
/// Age below which a report makes a gateway's own probe of the engine unnecessary.
pub const MAX_REPORT_AGE: Micros = 300_000;

/// Returns the task to probe an engine.
pub fn probe_task(engine: u32) -> Task {
    Task {
        kind: PROBE_TASK_KIND,
        number: engine,
    }
}

/// A probe report from the owner of an engine, as it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedReport<R> {
    /// Token under which the owner probed the engine.
    pub token: FencingToken,
    /// Sequence number, which increases with each report under the same token.
    pub number: u64,
    /// Age of the report when it arrived.
    pub age: Micros,
    /// The engine's answer to the probe.
    pub report: R,
}

/// Whether a received report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// This report or a later one had already been received.
    Duplicate,
    /// The report counts and is recent.
    Fresh,
    /// The report counts, but its age is at least [`MAX_REPORT_AGE`].
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct LastReport<R> {
    token: FencingToken,
    number: u64,
    report: R,
    made_at: Micros,
}

/// The last report of each engine from other gateways, and the times of this gateway's own probes.
/// `R` is the type of an engine's answer.
#[derive(Clone, Debug)]
pub struct Reports<R> {
    /// Last report of each engine, by engine ID.
    last_reports: BTreeMap<u32, LastReport<R>>,
    /// Time of this gateway's last probe of each engine, by engine ID.
    probed_at: BTreeMap<u32, Micros>,
}

impl<R> Default for Reports<R> {
    fn default() -> Self {
        Reports {
            last_reports: BTreeMap::new(),
            probed_at: BTreeMap::new(),
        }
    }
}

impl<R: Copy> Reports<R> {
    /// Records a received report. Every voter forwards each report, so several copies arrive. Only
    /// the first copy counts, because sequence numbers only increase under one token.
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
        let last = self.last_reports.get(&engine);
        let is_known = last.is_some_and(|last| (last.token, last.number) >= (token, number));
        // With the fence disabled, reports from former owners must count, so that tests detect the
        // missing fence.
        if is_known && !cfg!(feature = "unfenced") {
            return ReportOutcome::Duplicate;
        }
        let last = LastReport {
            token,
            number,
            report,
            made_at: now.saturating_sub(age),
        };
        self.last_reports.insert(engine, last);
        if age < MAX_REPORT_AGE {
            ReportOutcome::Fresh
        } else {
            ReportOutcome::Outdated
        }
    }

    /// Returns the last report of an engine if it is recent enough to replace a probe.
    pub fn recent_report(&self, now: Micros, engine: u32) -> Option<R> {
        let last = self.last_reports.get(&engine)?;
        (now < last.made_at + MAX_REPORT_AGE).then_some(last.report)
    }

    /// Returns the engines for which an owned task requires a probe now, and records them as
    /// probed.
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

    /// Returns the time at which [`Reports::take_due_probes`] will return an engine next; `None` if
    /// no task is owned.
    pub fn next_probe_at(&self, now: Micros, owned: impl Iterator<Item = Task>) -> Option<Micros> {
        let due_at = |task: Task| match self.probed_at.get(&task.number) {
            Some(probed_at) => probed_at + PROBE_INTERVAL,
            None => now,
        };
        owned.map(due_at).min()
    }

    /// Drops the reports and probe times of engines that no longer exist.
    pub fn retain_engines(&mut self, exists: impl Fn(u32) -> bool) {
        self.last_reports.retain(|engine, _| exists(*engine));
        self.probed_at.retain(|engine, _| exists(*engine));
    }
}
