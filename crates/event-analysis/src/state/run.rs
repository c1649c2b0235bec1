//! The state of one run of a gateway, from the start of the process to its end.

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

/// Maximum number of open requests, and of client connections, stored for one gateway. The limits
/// in the gateway itself are far lower.
pub(super) const MAX_OPEN: usize = 1 << 17;
/// A run that did not shut down is marked as broken off if it logged nothing for longer than this.
/// Gateways write heartbeats three times as often.
const MAX_SILENCE: Micros = 3_000_000;

/// One run of a gateway, which is also one source of entries.
pub struct GatewayRun {
    /// Name of the gateway, from its configuration.
    pub name: String,
    /// Start time of the run, by the gateway's clock.
    pub epoch: Micros,
    /// Names of classes, tenants, zones and kinds of machines.
    pub names: Names,
    /// Totals since the start of the gateway, up to the last entry.
    pub running_tally: RunningTally,
    /// All engines that the log mentions, including removed ones.
    pub engines: BTreeMap<EngineId, Engine>,
    /// Requests without a final answer, and answered ones whose attempts are still running.
    pub open_requests: HashMap<RequestId, Request>,
    /// While the state at the start of a segment is read, the requests that were open before it.
    /// Requests that the state doesn't repeat have ended without an entry.
    pub(super) previous_requests: RequestTable,
    /// Addresses of the connected clients, by connection.
    pub(super) connections: HashMap<u64, IpAddr>,
    /// Latencies of served requests in milliseconds, by index of the class.
    pub latency: Vec<Histogram<u64>>,
    /// Whether the gateway is connected to the discovery service.
    pub is_discovery_up: bool,
    /// States that the gateway's failure detector gives to its peers, by name of the peer.
    pub peers: BTreeMap<String, String>,
    /// Whether the gateway is a voter at present; `None` outside a fleet.
    pub is_voter: Option<bool>,
    /// Whether the gateway reaches a majority of voters; `None` outside a fleet.
    pub has_majority: Option<bool>,
    /// Reasons why handshakes with peers were rejected, by name of the peer.
    pub rejected_peers: BTreeMap<String, String>,
    /// Terms of the leases that the gateway holds, by the engine that each lease is for.
    pub leases: BTreeMap<EngineId, u64>,
    /// Number of work messages that the gateway rejected because their fencing token was stale.
    pub rejected_work: u64,
    /// Whether the gateway has begun to shut down.
    pub is_stopping: bool,
    /// The gateway's own counters at the end of an orderly shutdown; `None` before that.
    pub final_counters: Option<Vec<(String, u64)>>,
    /// Time of the first entry read.
    pub first_at: Micros,
    /// Time of the last entry read.
    pub last_at: Micros,
    /// Whether the totals are exact: no part of the log was unreadable since the totals were last
    /// logged.
    pub are_totals_exact: bool,
    /// Number of entries that the gateway could not write.
    pub missing_entries: u64,
    /// Number of entries read.
    pub entries: u64,
    /// Time of the last entry before a damaged part of the log that no fact has reported yet;
    /// `None` if there is no such part.
    pub(super) damaged_since: Option<Micros>,
    /// Whether the log ends without an orderly shutdown.
    pub is_broken_off: bool,
    /// Totals at the start of the analysed time; `None` if the run began later.
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

    /// Returns the totals of the analysed time.
    pub fn tally(&self) -> Tally {
        match &self.baseline {
            Some(baseline) => self.running_tally.tally.since(baseline),
            None => self.running_tally.tally.clone(),
        }
    }

    /// Returns a class's name, or its index if the log doesn't state the name.
    pub fn class_name(&self, class: usize) -> String {
        let name = self.names.classes.get(class).cloned();
        name.unwrap_or_else(|| format!("class {class}"))
    }

    /// Returns a tenant's name, or its index if the log doesn't state the name.
    pub fn tenant_name(&self, tenant: usize) -> String {
        let name = self.names.tenants.get(tenant).cloned();
        name.unwrap_or_else(|| format!("tenant {tenant}"))
    }

    /// Returns an engine's name, or its ID if the log doesn't state the name.
    pub fn engine_name(&self, engine: EngineId) -> String {
        match self.engines.get(&engine) {
            Some(state) if !state.name.is_empty() => state.name.clone(),
            _ => format!("engine {engine:08x}"),
        }
    }

    /// Returns whether the gateway completed an orderly shutdown.
    pub fn has_ended(&self) -> bool {
        self.final_counters.is_some()
    }

    /// Returns the requests without a final answer.
    pub fn unanswered_requests(&self) -> impl Iterator<Item = &Request> {
        self.open_requests
            .values()
            .filter(|request| !request.is_answered)
    }

    // ---- Changes ----

    /// Excludes everything counted up to now from [`GatewayRun::tally`] if the run began before
    /// `from`. Has no effect if there is a baseline.
    pub(super) fn set_baseline(&mut self, from: Micros) {
        if self.baseline.is_none() && self.first_at < from {
            self.baseline = Some(self.running_tally.tally.clone());
            self.latency.clear();
        }
    }

    /// Records that a part of the log could not be read.
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

    /// Marks the run as broken off unless it shut down. Emits one fact for this and one for the
    /// entries that are missing from the last entry up to `now`.
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

    /// Returns whether the run has logged nothing for longer than a running gateway can.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        self.last_at + MAX_SILENCE < now
    }

    pub(super) fn add_open_request(&mut self, id: RequestId, request: Request) {
        if self.open_requests.len() < MAX_OPEN {
            self.open_requests.insert(id, request);
        }
    }

    /// Removes an answered request, unless one of its attempts is still running.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let request = self.open_requests.get(&id);
        if request.is_some_and(|request| !request.is_running()) {
            self.open_requests.remove(&id);
        }
    }
}
