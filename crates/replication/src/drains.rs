//! Drains and removals of engines that any gateway has learned from its endpoint list.
//!
//! Drains stop new requests to an engine at all linked gateways and never permit any. They are
//! ordered by the sequence number of the discovery event that reported them. A gateway whose own
//! endpoint list is at least as new follows its own list.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of engines whose drains are stored. When it is exceeded, the drain with the
/// lowest event number is dropped.
pub const MAX_DRAINS: usize = 4096;

/// A drain or removal of an engine process that an endpoint list reported. Ordered by the event
/// number first. The order of the fields is also the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Drain {
    /// Sequence number of the discovery event with the endpoint list that reported this drain.
    pub list_event_number: u64,
    /// ID of the engine in the endpoint lists of all gateways.
    pub engine: u32,
    /// Start time of the engine's process. A later process of the same engine is not affected.
    pub booted_at: u64,
    /// Whether the engine was removed from the list rather than only drained.
    pub is_removed: bool,
}

/// The latest drain of each engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drains {
    latest: BTreeMap<u32, Drain>,
}

impl Drains {
    /// Records a drain. Returns whether it is new, in which case it must be forwarded.
    pub fn record(&mut self, drain: Drain) -> bool {
        let latest = self.latest.get(&drain.engine);
        if latest.is_some_and(|latest| *latest >= drain) {
            return false;
        }
        self.latest.insert(drain.engine, drain);
        if self.latest.len() > MAX_DRAINS {
            self.remove_oldest();
        }
        true
    }

    fn remove_oldest(&mut self) {
        let oldest = self.latest.values().min().map(|drain| drain.engine);
        if let Some(engine) = oldest {
            self.latest.remove(&engine);
        }
    }

    /// Returns the drain that overrides a gateway's own endpoint list with sequence number
    /// `list_event_number`, in which the engine process that started at `booted_at` is ready.
    pub fn overriding(&self, engine: u32, booted_at: u64, list_event_number: u64) -> Option<Drain> {
        let drain = self.latest.get(&engine)?;
        (drain.list_event_number > list_event_number && drain.booted_at >= booted_at)
            .then_some(*drain)
    }

    /// Iterates over all stored drains, sorted by engine ID.
    pub fn iter(&self) -> impl Iterator<Item = Drain> + '_ {
        self.latest.values().copied()
    }

    /// Returns the number of stored drains, one per engine.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Returns whether no drain is stored.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
