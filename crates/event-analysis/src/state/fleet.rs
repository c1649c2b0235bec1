//! The state of all gateways.

use eideryard::interface::{EngineId, Micros};
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::Source;

use super::fact::{Fact, TimedFact};
use super::run::GatewayRun;
use super::FactSink;

/// The runs of all gateways.
#[derive(Default)]
pub struct Fleet {
    /// One element for each source, in the same order; `None` before the source's first entry.
    runs: Vec<Option<GatewayRun>>,
    /// Latest time of all entries added; 0 before the first.
    pub now: Micros,
}

impl Fleet {
    /// Returns the run of a source, or `None` before its first entry.
    pub fn run(&self, source: usize) -> Option<&GatewayRun> {
        self.runs.get(source).and_then(Option::as_ref)
    }

    /// Returns all runs that have an entry, with the indexes of their sources.
    pub fn runs(&self) -> impl Iterator<Item = (usize, &GatewayRun)> {
        self.runs
            .iter()
            .enumerate()
            .filter_map(|(source, run)| Some((source, run.as_ref()?)))
    }

    /// Returns the last run of each gateway, with the index of its source.
    pub fn latest_runs(&self) -> impl Iterator<Item = (usize, &GatewayRun)> {
        self.runs().filter(|(_, run)| !self.is_superseded(run))
    }

    /// Returns the last run of each gateway that has not shut down, with the index of its source.
    pub fn active_runs(&self) -> impl Iterator<Item = (usize, &GatewayRun)> {
        self.latest_runs().filter(|(_, run)| !run.has_ended())
    }

    /// Returns an engine's name from the first run that knows it, or its ID if none does. The
    /// IDs of engines are the same in all gateways.
    pub fn engine_name(&self, engine: EngineId) -> String {
        let states = self.runs().filter_map(|(_, run)| run.engines.get(&engine));
        let mut names = states.map(|state| &state.name);
        match names.find(|name| !name.is_empty()) {
            Some(name) => name.clone(),
            None => format!("engine {engine:08x}"),
        }
    }

    /// Returns a class's name from the first run that knows it, or its index if none does. All
    /// gateways of a fleet have the same settings.
    pub fn class_name(&self, class: usize) -> String {
        let mut runs = self.runs();
        match runs.find(|(_, run)| class < run.names.classes.len()) {
            Some((_, run)) => run.class_name(class),
            None => format!("class {class}"),
        }
    }

    /// Returns a tenant's name from the first run that knows it, or its index if none does.
    pub fn tenant_name(&self, tenant: usize) -> String {
        let mut runs = self.runs();
        match runs.find(|(_, run)| tenant < run.names.tenants.len()) {
            Some((_, run)) => run.tenant_name(tenant),
            None => format!("tenant {tenant}"),
        }
    }

    fn is_superseded(&self, run: &GatewayRun) -> bool {
        self.runs()
            .any(|(_, other)| other.name == run.name && other.epoch > run.epoch)
    }

    // ---- Changes ----

    /// Excludes what a source counted up to now from its totals if its run began before `from`.
    /// Has no effect if the source has been given a baseline.
    pub(crate) fn set_baseline(&mut self, source: usize, from: Micros) {
        if let Some(Some(run)) = self.runs.get_mut(source) {
            run.set_baseline(from);
        }
    }

    /// Applies the next content read from the source with this index, and passes the facts that
    /// result from it to `receiver`.
    pub fn add(
        &mut self,
        sources: &[Source],
        source: usize,
        at: Micros,
        content: &ReadContent,
        receiver: &mut dyn FnMut(TimedFact),
    ) {
        if self.runs.len() < sources.len() {
            self.runs.resize_with(sources.len(), || None);
        }
        self.now = self.now.max(at);
        if self.runs[source].is_none() {
            self.start_run(source, &sources[source], at, receiver);
        }
        let Some(run) = &mut self.runs[source] else {
            return;
        };
        match content {
            ReadContent::Damaged => run.add_damage(),
            ReadContent::Entry(entry) => {
                let mut sink = FactSink {
                    source,
                    at,
                    receiver,
                };
                run.add_entry(entry, &mut sink);
            }
        }
    }

    /// Starts the run of a source. Marks earlier runs of the same gateway as broken off if they did
    /// not shut down.
    fn start_run(
        &mut self,
        source: usize,
        description: &Source,
        at: Micros,
        receiver: &mut dyn FnMut(TimedFact),
    ) {
        let mut restart_of = None;
        for (number, run) in self.runs.iter_mut().enumerate() {
            let Some(run) = run.as_mut().filter(|run| run.name == description.name) else {
                continue;
            };
            restart_of = Some(number);
            run.break_off(number, at, receiver);
        }
        self.runs[source] = Some(GatewayRun::new(description, at));
        receiver(TimedFact {
            source,
            at,
            fact: Fact::Started { restart_of },
        });
    }

    /// Marks the runs as broken off that did not shut down and that logged nothing for a while
    /// before the end. Must be called after the last entry of all logs.
    pub fn finish(&mut self, receiver: &mut dyn FnMut(TimedFact)) {
        let now = self.now;
        for (source, run) in self.runs.iter_mut().enumerate() {
            let Some(run) = run else { continue };
            if run.is_silent(now) {
                run.break_off(source, now, receiver);
            }
        }
    }
}
