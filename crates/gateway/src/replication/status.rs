//! How the fleet's shared state stands: for the record, the counters and the status file.

use super::*;

impl ReplicationDriver {
    pub fn words(&mut self) -> Vec<FleetEvent> {
        let mut words = std::mem::take(&mut self.words);
        if let Some(leases) = &mut self.leases {
            words.extend(leases.take_events());
        }
        words
    }

    /// The lease driver, where there is one.
    pub fn leases(&self) -> Option<&LeaseDriver> {
        self.leases.as_ref()
    }

    /// All that the record knows of the fleet, for the beginning of a segment.
    pub fn state(&self) -> Vec<FleetEvent> {
        let peer = |(name, (state, _)): (&String, &(PeerState, Micros))| FleetEvent::PeerState {
            name: name.clone(),
            state: state.name().into(),
        };
        let mut words: Vec<FleetEvent> = self.states.iter().map(peer).collect();
        if self.keepers.contains(&self.name) {
            words.push(FleetEvent::VotingChanged {
                is_voter: self.core.is_voting(),
            });
        }
        words.push(FleetEvent::MajorityChanged {
            is_reachable: self.majority,
        });
        words
    }

    pub fn counted(&self) -> eideryard_replication::core::Counters {
        self.core.counters()
    }

    pub fn sizes(&self) -> [(&'static str, usize); 4] {
        [
            ("copies", self.core.replicas().len()),
            ("claims", self.core.claims().pending()),
            ("own_copies", self.core.claims().records()),
            ("acknowledgements", self.then.len()),
        ]
    }

    /// The status file's text, where it is time for one.
    pub fn status(&mut self, now: Micros) -> Option<Value> {
        if now < self.status_at {
            return None;
        }
        self.status_at = now + STATUS_EVERY;
        let peers: BTreeMap<&String, Value> = self
            .states
            .iter()
            .map(|(name, (state, trip))| (name, json!({"state": state.name(), "trip_us": trip})))
            .collect();
        // As of a whole second: two keepers' files of one second can be held against each other.
        let prints = self
            .core
            .replicas()
            .range_fingerprints(now - now % 1_000_000);
        let print = prints
            .iter()
            .fold(0u64, |sum, print| sum.rotate_left(7) ^ print);
        let (core, origin) = (&self.core, self.core.origin());
        let counted = core.counters();
        let leases = self.leases.as_ref();
        let lease_status = leases.map(|leases| leases.status(now)).unwrap_or_default();
        let lease_counters = leases.map(LeaseDriver::counters).unwrap_or_default();
        Some(json!({
            "owner": format!("{:016x}", origin.identity ^ origin.start.rotate_left(40)),
            "owned": lease_status.owned, "terms": lease_status.known,
            "won": lease_counters.acquired, "lost": lease_counters.lost,
            "applied": lease_counters.applied, "fenced": lease_counters.fenced,
            "own_fenced": lease_counters.rejected,
            "name": self.name, "fleet": self.fleet, "at_ms": now / 1000,
            "identity": format!("{:016x}", origin.identity), "start": origin.start,
            "keeper": self.keepers.contains(&self.name), "votes": core.is_voting(),
            "majority": self.majority, "peers": peers, "turned": self.turned,
            "askers": self.askers.len(), "copies": core.replicas().len(), "print": format!("{print:016x}"),
            "lagging": core.claims().replication_lag(), "claims": counted.claims, "granted": counted.granted,
            "earlier": counted.prior_runs_found, "without_majority": counted.without_majority,
            "answered": counted.accepted, "turned_away": counted.rejected, "mended": counted.repaired,
            "caught_up_bytes": counted.transferred_bytes, "resent": counted.resent,
        }))
    }
}
