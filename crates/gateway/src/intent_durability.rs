//! Joins the intent log (`eideryard_intent_log`, which decides) to the store: what is written
//! before a send, what waits for that write, and what a start finds. It owns the store's thread
//! and, in a fleet, the replication driver; the gateway's loop calls it. Without `store-dir` in the
//! operator's file there is none.

use std::collections::BTreeMap;
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

/// The share of the memory limit that intents may take is one in this many.
const INTENTS_MEMORY_DIVISOR: u64 = 16;
/// The share of the memory limit that a voter's replicas of the whole fleet's intents may take is
/// one in this many.
const REPLICAS_MEMORY_DIVISOR: u64 = 8;
/// Memory of an intent, in the log and in the store's index.
const INTENT_MEMORY_BYTES: u64 = 320;
/// Disk space of an intent.
const INTENT_DISK_BYTES: u64 = 72;
/// The share of the store's budget that may hold live intents is one in this many.
const LIVE_DISK_DIVISOR: u64 = 3;

/// Intents of one gateway and what depends on them.
pub struct IntentDurability {
    intent_log: IntentLog,
    /// Nothing where the store can't be used: requests that need an intent are refused then.
    worker: Option<Worker>,
    pending_sends: PendingSends<PendingSend>,
    replication: Option<Box<ReplicationDriver>>,
    status_writer: Option<StatusWriter>,
    /// Retry window of each class.
    windows: Vec<Micros>,
    engine_locations: BTreeMap<EngineId, Location>,
    checkpoints: Checkpoints,
    /// Counts since the start.
    pub counters: IntentCounters,
}

impl IntentDurability {
    /// Opens the store and starts its thread, which calls `wake` when writes are durable. Also
    /// returns what the store held for the fleet. If the store can't be used, requests that need it
    /// are refused.
    pub fn start(
        config: &StoreConfig,
        settings: &Settings,
        memory_mb: u64,
        now: Micros,
        random: u64,
        wake: Box<dyn Fn() + Send>,
    ) -> (Self, Option<RecoveredState>) {
        let settings_fingerprint = settings_fingerprint(settings);
        let context = RecoveryContext {
            limits: limits(config, memory_mb),
            classes: &settings.classes,
            settings_fingerprint,
            now,
            random,
        };
        let recovery = recover(config, &context, wake);
        let windows = settings.classes.iter().map(|class| class.window).collect();
        let durability = IntentDurability {
            intent_log: recovery.intent_log,
            worker: recovery.worker,
            pending_sends: PendingSends::default(),
            replication: None,
            status_writer: None,
            windows,
            engine_locations: BTreeMap::new(),
            checkpoints: Checkpoints::new(settings_fingerprint, recovery.learned_state, now),
            counters: IntentCounters::default(),
        };
        (durability, recovery.recovered_state)
    }

    /// Replicas of the whole fleet's intents that a voter with this memory has room for.
    pub fn max_replicas(memory_mb: u64) -> usize {
        ((memory_mb << 20) / REPLICAS_MEMORY_DIVISOR / INTENT_MEMORY_BYTES) as usize
    }

    /// Joins the fleet, with what the store held for it. Without a usable store the gateway stays
    /// alone, and refuses requests that need it.
    ///
    /// # Errors
    ///
    /// The links or the thread that writes the status file can't be started.
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

    /// Sets where an engine runs, as the endpoint list says.
    pub fn set_location(&mut self, engine: EngineId, zone: u32, cell: u32) {
        self.engine_locations
            .insert(engine, Location { zone, cell });
    }

    /// Forgets engines that no longer exist.
    pub fn retain_engines(&mut self, exists: impl Fn(EngineId) -> bool) {
        self.engine_locations.retain(|engine, _| exists(*engine));
    }

    /// The retry window of a class.
    fn window(&self, class: usize) -> Micros {
        self.windows.get(class).copied().unwrap_or(0)
    }

    /// When [`IntentDurability::poll`] has something to do.
    pub fn deadline(&self, now: Micros) -> Option<Micros> {
        let replication = self.replication.as_ref();
        let deadlines = [
            self.intent_log.next_deadline(),
            self.pending_sends.next_deadline(),
            replication.map(|replication| replication.deadline(now)),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Sizes of the tables, by the names that the log prints.
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

/// The bound on intents, by memory and by the store's budget.
fn limits(config: &StoreConfig, memory_mb: u64) -> Limits {
    let by_memory = (memory_mb << 20) / INTENTS_MEMORY_DIVISOR / INTENT_MEMORY_BYTES;
    let by_disk = config.budget / LIVE_DISK_DIVISOR / INTENT_DISK_BYTES;
    Limits {
        entries: by_memory.min(by_disk) as usize,
    }
}
