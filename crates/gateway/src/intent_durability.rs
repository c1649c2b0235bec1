//! Connects the intent log (`eideryard_intent_log`, which makes the decisions) to the store: writes
//! intents before requests are sent, delays sends until their intents are durable, and restores
//! intents at startup. [`IntentDurability`] owns the store's writer thread and, in a fleet, the
//! replication driver; the gateway's main loop calls its methods. [`IntentDurability`] exists only
//! if the operator's file contains `store-dir`.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use eideryard::interface::{EngineId, Micros, Settings};
use eideryard_intent_log::waiting::PendingSends;
use eideryard_intent_log::{IntentLog, Limits, Location};
use eideryard_operator_config::{FleetConfig, StoreConfig};
use eideryard_store::worker::Worker;

use crate::fingerprints::settings_fingerprint;
use crate::recovered_state::RecoveredState;
use crate::replication::{ReplicationContext, ReplicationDriver};
use crate::status::StatusWriter;

mod counters;
mod fleet;
mod learned_state;
mod recovery;
mod sends;

pub use counters::IntentCounters;
pub use fleet::ProbeWork;
use learned_state::Checkpoints;
use recovery::{recover, RecoveryContext};
pub use sends::{PendingSend, RefusedSend, SendPlan, SendRequest, SendResults, SendWithPriorRuns};

/// Intents may use the memory limit divided by this number.
const INTENTS_MEMORY_DIVISOR: u64 = 16;
/// A voter's replicas of the whole fleet's intents may use the memory limit divided by this number.
const REPLICAS_MEMORY_DIVISOR: u64 = 8;
/// Memory that one intent uses in the intent log and in the store's index, in bytes.
const INTENT_MEMORY_BYTES: u64 = 320;
/// Disk space that one intent uses, in bytes.
const INTENT_DISK_BYTES: u64 = 72;
/// Live intents may use the store's disk budget divided by this number.
const LIVE_DISK_DIVISOR: u64 = 3;

/// The intents of one gateway, the sends that are waiting for them, and, in a fleet, the
/// replication of the intents.
pub struct IntentDurability {
    intent_log: IntentLog,
    /// `None` if the store can't be used; requests that need an intent are refused then.
    worker: Option<Worker>,
    pending_sends: PendingSends<PendingSend>,
    /// Keys of intents for which the store has rejected a write that nothing waits for.
    rejected_keys: BTreeSet<Vec<u8>>,
    replication: Option<Box<ReplicationDriver>>,
    status_writer: Option<StatusWriter>,
    /// The retry window of each class, by the class's index in the settings.
    retry_windows: Vec<Micros>,
    engine_locations: BTreeMap<EngineId, Location>,
    checkpoints: Checkpoints,
    /// Counters since the start of the process.
    pub counters: IntentCounters,
}

impl IntentDurability {
    /// Opens the store and starts its writer thread, which calls `wake` when writes have become
    /// durable. Also returns the part of the store that replication needs, or `None` if the store
    /// can't be opened; requests that need the store are refused then. `seed` must differ between
    /// starts.
    pub fn start(
        config: &StoreConfig,
        settings: &Settings,
        memory_mb: u64,
        now: Micros,
        seed: u64,
        wake: Box<dyn Fn() + Send>,
    ) -> (Self, Option<RecoveredState>) {
        let settings_fingerprint = settings_fingerprint(settings);
        let context = RecoveryContext {
            limits: intent_limits(config, memory_mb),
            classes: &settings.classes,
            settings_fingerprint,
            now,
            seed,
        };
        let recovery = recover(config, &context, wake);
        let retry_windows = settings.classes.iter().map(|class| class.window).collect();
        let durability = IntentDurability {
            intent_log: recovery.intent_log,
            worker: recovery.worker,
            pending_sends: PendingSends::default(),
            rejected_keys: BTreeSet::new(),
            replication: None,
            status_writer: None,
            retry_windows,
            engine_locations: BTreeMap::new(),
            checkpoints: Checkpoints::new(settings_fingerprint, recovery.learned_state, now),
            counters: IntentCounters::default(),
        };
        (durability, recovery.recovered_state)
    }

    /// Returns the number of replicas of the whole fleet's intents that fit into a voter's share of
    /// `memory_mb`.
    pub fn max_replicas(memory_mb: u64) -> usize {
        ((memory_mb << 20) / REPLICAS_MEMORY_DIVISOR / INTENT_MEMORY_BYTES) as usize
    }

    /// Joins the fleet with the state that was recovered from the store. Without a usable store
    /// this does nothing: the gateway runs alone and refuses requests that need the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the links to peers or the thread that writes the status file can't be
    /// started.
    pub fn join_fleet(
        &mut self,
        fleet: &FleetConfig,
        store: &StoreConfig,
        context: ReplicationContext<'_>,
        recovered: Option<RecoveredState>,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<()> {
        let (Some(recovered), Some(_)) = (recovered, &self.worker) else {
            return Ok(());
        };
        let replication = ReplicationDriver::start(fleet, context, recovered, wake)?;
        self.replication = Some(Box::new(replication));
        self.status_writer = Some(StatusWriter::start(store.directory.clone())?);
        Ok(())
    }

    /// Sets the zone and cell of an engine, as given in the endpoint list.
    pub fn set_location(&mut self, engine: EngineId, zone: u32, cell: u32) {
        self.engine_locations
            .insert(engine, Location { zone, cell });
    }

    /// Drops the zone and cell of engines that no longer exist.
    pub fn retain_engines(&mut self, exists: impl Fn(EngineId) -> bool) {
        self.engine_locations.retain(|engine, _| exists(*engine));
    }

    /// Returns the retry window of a class in microseconds; 0 if the class is unknown.
    fn retry_window(&self, class: usize) -> Micros {
        self.retry_windows.get(class).copied().unwrap_or(0)
    }

    /// Returns the next time at which [`IntentDurability::poll`] must be called even if nothing
    /// arrives.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let replication = self.replication.as_ref();
        let deadlines = [
            self.intent_log.next_deadline(),
            self.pending_sends.next_deadline(),
            replication.map(|replication| replication.next_deadline(now)),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Returns the sizes of all tables, with the names under which they are logged.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut sizes = vec![
            ("intents", self.intent_log.len()),
            ("intents_waiting", self.pending_sends.len()),
        ];
        if let Some(replication) = &self.replication {
            sizes.extend(replication.sizes());
        }
        sizes
    }
}

/// Returns the limits on the number of intents that follow from the memory limit and the store's
/// disk budget.
fn intent_limits(config: &StoreConfig, memory_mb: u64) -> Limits {
    let by_memory = (memory_mb << 20) / INTENTS_MEMORY_DIVISOR / INTENT_MEMORY_BYTES;
    let by_disk = config.budget / LIVE_DISK_DIVISOR / INTENT_DISK_BYTES;
    Limits {
        entries: by_memory.min(by_disk) as usize,
    }
}
