//! Reports the state of replication to the event log, the counters and the status file.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use super::*;
use crate::leases::LeaseStatus;

/// Interval at which the status file is written, in microseconds.
const STATUS_INTERVAL: Micros = 250_000;
/// Fingerprints of replicas are computed as of multiples of this interval, in microseconds.
/// Fingerprints in status files that two voters write within the same second can thus be compared.
const FINGERPRINT_INTERVAL: Micros = 1_000_000;

impl ReplicationDriver {
    /// Takes the events for the event log since the last call.
    pub fn take_events(&mut self) -> Vec<FleetEvent> {
        let mut events = std::mem::take(&mut self.events);
        if let Some(leases) = &mut self.leases {
            events.extend(leases.take_events());
        }
        events
    }

    /// Returns the lease driver; `None` unless the operator's file contains `task`.
    pub fn leases(&self) -> Option<&LeaseDriver> {
        self.leases.as_ref()
    }

    /// Returns the current state of the fleet as events, which are recorded at the beginning of
    /// each segment of the event log.
    pub fn state_events(&self) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        for (name, health) in self.peers.voter_health() {
            events.push(FleetEvent::PeerState {
                name: name.clone(),
                state: health.state.name().into(),
            });
        }
        if self.peers.is_voter(&self.name) {
            events.push(FleetEvent::VotingChanged {
                is_voter: self.core.is_voting(),
            });
        }
        events.push(FleetEvent::MajorityChanged {
            is_reachable: self.has_majority,
        });
        events
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> eideryard_replication::core::Counters {
        self.core.counters()
    }

    /// Returns the sizes of all tables, with the names under which they are logged.
    pub fn sizes(&self) -> [(&'static str, usize); 4] {
        [
            ("copies", self.core.replicas().len()),
            ("claims", self.core.claims().pending()),
            ("own_copies", self.core.claims().records()),
            ("acknowledgements", self.pending_outputs.len()),
        ]
    }

    /// Returns the content of the status file; `None` until [`STATUS_INTERVAL`] has passed since it
    /// was last written.
    pub fn status(&mut self, now: Micros) -> Option<Value> {
        if now < self.next_status_at {
            return None;
        }
        self.next_status_at = now + STATUS_INTERVAL;
        Some(self.status_content(now))
    }

    /// Builds the content of the status file. Scripts read the keys, so they must not change.
    fn status_content(&self, now: Micros) -> Value {
        let core = &self.core;
        let origin = core.origin();
        let counters = core.counters();
        let leases = self.leases.as_ref();
        let lease_status = leases.map(|leases| leases.status(now)).unwrap_or_default();
        let lease_counters = leases.map(LeaseDriver::counters).unwrap_or_default();
        json!({
            "owner": format!("{:016x}", lease_owner(origin)),
            "owned": lease_status.owned, "terms": known_terms(&lease_status),
            "won": lease_counters.acquired, "lost": lease_counters.lost,
            "applied": lease_counters.applied, "fenced": lease_counters.fenced,
            "own_fenced": lease_counters.rejected,
            "name": self.name, "fleet": self.fleet_name, "at_ms": now / 1000,
            "identity": format!("{:016x}", origin.identity), "start": origin.start,
            "keeper": self.peers.is_voter(&self.name), "votes": core.is_voting(),
            "majority": self.has_majority, "peers": self.peer_status(),
            "turned": self.peers.rejections(), "askers": self.peers.requester_count(),
            "copies": core.replicas().len(),
            "print": format!("{:016x}", self.replicas_fingerprint(now)),
            "lagging": core.claims().replication_lag(), "claims": counters.claims,
            "granted": counters.granted, "earlier": counters.prior_runs_found,
            "without_majority": counters.without_majority, "answered": counters.accepted,
            "turned_away": counters.rejected, "mended": counters.repaired,
            "caught_up_bytes": counters.transferred_bytes, "resent": counters.resent,
        })
    }

    fn peer_status(&self) -> BTreeMap<&String, Value> {
        let mut peers = BTreeMap::new();
        for (name, health) in self.peers.voter_health() {
            let status = json!({"state": health.state.name(), "trip_us": health.round_trip});
            peers.insert(name, status);
        }
        peers
    }

    fn replicas_fingerprint(&self, now: Micros) -> u64 {
        let as_of = now - now % FINGERPRINT_INTERVAL;
        let mut sum = 0u64;
        for fingerprint in self.core.replicas().range_fingerprints(as_of) {
            sum = sum.rotate_left(7) ^ fingerprint;
        }
        sum
    }
}

/// Returns the known fencing tokens in the form of the status file: arrays of engine, term and
/// owner.
fn known_terms(status: &LeaseStatus) -> Vec<Value> {
    let mut terms = Vec::new();
    for (engine, token) in &status.known {
        terms.push(json!([engine, token.term, token.owner]));
    }
    terms
}
