//! The state of one run of a gateway, from its start to its end.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use eideryard::interface::{EngineId, Micros, RequestId};
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::totals::Tally;
use eideryard_event_log::{Entry, Names, Source};
use hdrhistogram::Histogram;

use super::engine::Engine;
use super::fact::Fact;
use super::request::{Request, RequestTable};
use super::FactSink;

/// Open requests and connections of one gateway that are kept; a gateway's own limits are far
/// below.
pub(super) const MAX_OPEN: usize = 1 << 17;
/// A run whose log is silent for longer than this has broken off: gateways write heartbeats three
/// times as often.
const MAX_SILENCE: Micros = 3_000_000;

/// One run of a gateway.
pub struct GatewayRun {
    /// The gateway's name.
    pub name: String,
    /// When it started.
    pub epoch: Micros,
    /// Names of classes, tenants, zones and kinds.
    pub names: Names,
    /// Totals up to the last entry.
    pub running_tally: RunningTally,
    /// Engines by number.
    pub engines: BTreeMap<EngineId, Engine>,
    /// Open requests, and answered ones with attempts that run.
    pub open_requests: HashMap<RequestId, Request>,
    /// While the state at the start of a segment is read: the requests that were open before it.
    /// Those that the state doesn't repeat have ended without an entry.
    pub(super) previous_requests: RequestTable,
    pub(super) connections: HashMap<u64, IpAddr>,
    /// Latency of served requests by class, in milliseconds.
    pub latency: Vec<Histogram<u64>>,
    /// Whether it is connected to the discovery service.
    pub is_discovery_up: bool,
    /// The failure detector's state of its peers, by name.
    pub peers: BTreeMap<String, String>,
    /// Whether it votes; `None` outside a fleet.
    pub is_voter: Option<bool>,
    /// Whether it reaches a majority of voters; `None` outside a fleet.
    pub has_majority: Option<bool>,
    /// Peers whose handshake was rejected, with the reason.
    pub rejected_peers: BTreeMap<String, String>,
    /// Terms of the leases that it holds, by the engine that they are for.
    pub leases: BTreeMap<EngineId, u64>,
    /// Work that it rejected because of a stale fencing token.
    pub rejected_work: u64,
    /// Whether it shuts down.
    pub is_stopping: bool,
    /// Its own counters when it ended; `None` before that.
    pub final_counters: Option<Vec<(String, u64)>>,
    /// Time of its first entry.
    pub first_at: Micros,
    /// Time of its last entry.
    pub last_at: Micros,
    /// Whether the totals are exact: nothing was skipped since they were last logged.
    pub are_totals_exact: bool,
    /// Entries that the gateway could not write.
    pub missing_entries: u64,
    /// Entries read.
    pub entries: u64,
    /// Time of the last entry before damage that was not reported yet.
    pub(super) damaged_since: Option<Micros>,
    /// Whether its log stopped although it had not ended.
    pub is_broken_off: bool,
    /// The totals when the time that is looked at began.
    baseline: Option<Tally>,
}

impl GatewayRun {
    pub(super) fn new(source: &Source, at: Micros) -> Self {
        GatewayRun {
            name: source.name.clone(),
            epoch: source.epoch,
            names: Names::default(),
            running_tally: RunningTally::default(),
            engines: BTreeMap::new(),
            open_requests: HashMap::new(),
            previous_requests: HashMap::new(),
            connections: HashMap::new(),
            latency: Vec::new(),
            is_discovery_up: false,
            peers: BTreeMap::new(),
            is_voter: None,
            has_majority: None,
            rejected_peers: BTreeMap::new(),
            leases: BTreeMap::new(),
            rejected_work: 0,
            is_stopping: false,
            final_counters: None,
            first_at: at,
            last_at: at,
            are_totals_exact: true,
            missing_entries: 0,
            entries: 0,
            damaged_since: None,
            is_broken_off: false,
            baseline: None,
        }
    }

    /// The totals of the time that is looked at.
    pub fn tally(&self) -> Tally {
        match &self.baseline {
            Some(baseline) => self.running_tally.tally.since(baseline),
            None => self.running_tally.tally.clone(),
        }
    }

    /// A class's name.
    pub fn class_name(&self, class: usize) -> String {
        let name = self.names.classes.get(class).cloned();
        name.unwrap_or_else(|| format!("class {class}"))
    }

    /// A tenant's name.
    pub fn tenant_name(&self, tenant: usize) -> String {
        let name = self.names.tenants.get(tenant).cloned();
        name.unwrap_or_else(|| format!("tenant {tenant}"))
    }

    /// An engine's name.
    pub fn engine_name(&self, engine: EngineId) -> String {
        match self.engines.get(&engine) {
            Some(known) if !known.name.is_empty() => known.name.clone(),
            _ => format!("engine {engine:08x}"),
        }
    }

    /// Whether it ended in order.
    pub fn has_ended(&self) -> bool {
        self.final_counters.is_some()
    }

    /// Requests that wait for their answer.
    pub fn unanswered_requests(&self) -> impl Iterator<Item = &Request> {
        self.open_requests
            .values()
            .filter(|request| !request.is_answered)
    }

    // ---- Changes ----

    /// Makes what was counted up to now the past, once, if the run began before `from`.
    pub(super) fn set_baseline(&mut self, from: Micros) {
        if self.baseline.is_none() && self.first_at < from {
            self.baseline = Some(self.running_tally.tally.clone());
            self.latency.clear();
        }
    }

    /// Notes that something could not be read here.
    pub(super) fn add_damage(&mut self) {
        self.are_totals_exact = false;
        self.damaged_since.get_or_insert(self.last_at);
    }

    /// Applies an entry and emits its facts.
    pub(super) fn add_entry(&mut self, entry: &Entry, sink: &mut FactSink<'_>) {
        if let Some(from) = self.damaged_since.take() {
            sink.emit(Fact::EntriesMissing {
                from,
                entries: None,
            });
        }
        self.last_at = self.last_at.max(sink.at);
        self.entries += 1;
        let is_in_state = self.running_tally.is_in_state();
        self.running_tally.add(entry.as_ref());
        match entry {
            Entry::Event(event) => self.on_event(event, sink),
            Entry::Action(action) => self.on_action(action, sink),
            Entry::Host(event) => self.on_host_event(event, is_in_state, sink),
        }
    }

    /// Marks the run as broken off if it has not ended and emits that, with the entries missing
    /// since then, up to `now`.
    pub(super) fn break_off(
        &mut self,
        source: usize,
        now: Micros,
        receiver: &mut dyn FnMut(super::TimedFact),
    ) {
        if self.has_ended() || self.is_broken_off {
            return;
        }
        self.is_broken_off = true;
        let from = self.last_at;
        let mut sink = FactSink {
            source,
            at: from,
            receiver,
        };
        sink.emit(Fact::BrokenOff);
        sink.at = now;
        sink.emit(Fact::EntriesMissing {
            from,
            entries: None,
        });
    }

    /// Whether the run's log is silent for longer than a running gateway's is.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        self.last_at + MAX_SILENCE < now
    }

    pub(super) fn add_open_request(&mut self, id: RequestId, request: Request) {
        if self.open_requests.len() < MAX_OPEN {
            self.open_requests.insert(id, request);
        }
    }

    /// Forgets an answered request, unless an attempt of it still runs.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let request = self.open_requests.get(&id);
        if request.is_some_and(|request| !request.is_running()) {
            self.open_requests.remove(&id);
        }
    }
}
