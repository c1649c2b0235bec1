//! Drains and removals of engines learned from any gateway's endpoint list.
//!
//! They close engines at all linked gateways and never open one. Events are ordered by the number
//! of the list that reported them; a gateway whose own list is as new follows its own list.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Engines that are remembered; beyond it the entry of the oldest list is dropped.
pub const MAX_DRAINS: usize = 4096;

/// What a list reported of an engine's process. Ordered by list number first; the order of fields
/// is also the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Drain {
    /// Number of the list's event.
    pub list_event_number: u64,
    /// The engine.
    pub engine: u32,
    /// Start of its process: another process under the same name is not meant.
    pub booted_at: u64,
    /// Whether it was removed, rather than only closed for new requests.
    pub is_removed: bool,
}

/// The latest drain of each engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Drains {
    latest: BTreeMap<u32, Drain>,
}

impl Drains {
    /// Records a drain. Returns whether it is new and so has to be sent on.
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

    /// The drain that overrides a gateway's own list up to event `list_event_number`, in which the engine is
    /// usable.
    pub fn overriding(&self, engine: u32, booted_at: u64, list_event_number: u64) -> Option<Drain> {
        let drain = self.latest.get(&engine)?;
        (drain.list_event_number > list_event_number && drain.booted_at >= booted_at)
            .then_some(*drain)
    }

    /// All drains that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = Drain> + '_ {
        self.latest.values().copied()
    }

    /// Number of drains that are remembered.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether no drain is remembered.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
