//! Joins the ledger of intents to the store's thread: what is written before a send, what waits for
//! it, and what a start finds. Off without `store-dir` in the operator's file. Decides nothing: the
//! ledger does.

use std::collections::BTreeMap;
use std::io;

use eideryard::interface::{
    Class, EngineId, LearnedState, LoadReport, Micros, PriorAttempt, Settings,
};
use eideryard_event_log::{FleetEvent, RejectReason};
use eideryard_intent_log::waiting::{is_within_window, PendingSends, TimeoutReason};
use eideryard_intent_log::{
    entry, state, Intent, IntentError, IntentLog, Limits, Place, UncertainWindow,
};
use eideryard_operator_config::{FleetConfig, StoreConfig};
use eideryard_replication::drains::Drain;
use eideryard_replication::{Origin, Verdict};
use eideryard_store::worker::Worker;
use eideryard_store::{Batch, Config, Directory, RecoveryReport, RecoveryStatus, Store};

use crate::checkpoint;
use crate::counter_text;
use crate::fingerprints::settings_fingerprint;
use crate::replication::{self, ReplicationDriver};
use crate::status::Status;
use crate::table::Key;

/// A sixteenth of the memory limit is the ledger's; an entry takes about so much, here and in the
/// store's index.
const PART_OF_MEMORY: u64 = 16;
const ENTRY_BYTES: u64 = 320;
/// What an entry takes on disk, of which a third of the budget may be live.
const DISK_BYTES: u64 = 72;

/// Keepers hold copies of the whole fleet's keys, in a part of the memory of their own: an entry of
/// the ledger's size for each.
const PART_FOR_COPIES: u64 = 8;

/// An attempt that waits until its intent is durable.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub ticket: u64,
    /// Of the claim that it waits for too.
    pub claim: Option<u64>,
    pub request: Key,
    pub attempt: usize,
    pub engine: EngineId,
    pub give_up_at: Micros,
}

/// What has become of sends that waited.
#[derive(Default)]
pub struct Ready {
    pub go: Vec<Waiting>,
    /// Refused, where nothing else of their request has been sent.
    pub late: Vec<(Waiting, RejectReason)>,
    /// Others may have run them: the module decides anew.
    pub earlier: Vec<(Waiting, Vec<PriorAttempt>)>,
}

/// What is to be done with a send.
pub enum Sending {
    Now,
    /// Under this ticket, and for this claim; from now on the module counts it among what may have
    /// run.
    Waits {
        ticket: u64,
        claim: Option<u64>,
        ran: PriorAttempt,
    },
    /// The store's thread takes no more: it was not sent.
    Not,
    /// The module has to be told of another run first: it was not sent.
    Untold(PriorAttempt),
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    pub intents: u64,
    pub waited: u64,
    pub pinned: u64,
    pub doubted: u64,
    pub refused_full: u64,
    pub refused_stalled: u64,
    pub refused_no_majority: u64,
    /// Engines that were closed here by what a peer's list said.
    pub drains_heard: u64,
}

impl Counted {
    fn refused(&mut self, why: RejectReason) {
        match why {
            RejectReason::IntentLogFull => self.refused_full += 1,
            RejectReason::NoMajority => self.refused_no_majority += 1,
            _ => self.refused_stalled += 1,
        }
    }
}

pub struct IntentDurability {
    ledger: IntentLog,
    /// Nothing where the store can't be used: keyed requests are refused then.
    worker: Option<Worker>,
    waiting: PendingSends<Waiting>,
    sharing: Option<Box<ReplicationDriver>>,
    status: Option<Status>,
    windows: Vec<Micros>,
    places: BTreeMap<EngineId, Place>,
    /// What tells these settings from others, when the last checkpoint was, and the one that a
    /// start found.
    settings: u64,
    learned_at: Micros,
    found: Option<(LearnedState, Micros)>,
    /// Figures of an earlier life or of a peer were taken back.
    taught: bool,
    pub counted: Counted,
}

/// What a start found, in words.
fn tell(found: &RecoveryReport, now: Micros, doubt: UncertainWindow) {
    let age = (now / 1000).saturating_sub(found.last_segment_at_ms) as f64 / 1e3;
    let life = format!("{:016x}", found.identity);
    let said = match &found.status {
        RecoveryStatus::New => "nothing was there: it begins as a stranger".to_string(),
        RecoveryStatus::Whole => {
            format!("{} keys, last begun {age:.1} s ago, whole: all of it is trusted", found.keys)
        }
        RecoveryStatus::Copy => format!(
            "{} keys in a copy of the directory that was written, last begun {age:.1} s ago: what came \
            behind it \
             is not known here, so it begins as a stranger with hints",
            found.keys
        ),
        RecoveryStatus::Damaged { segment, at } => format!(
            "{} keys up to byte {at} of {segment}, which is damaged: what lies behind is dropped, so it \
            begins as \
             a stranger with hints",
            found.keys
        ),
    };
    tracing::info!("store: life {life}, start {}: {said}", found.start);
    if found.torn_bytes > 0 {
        tracing::info!(
            "store: {} bytes at the end were never whole; nobody was told of them",
            found.torn_bytes
        );
    }
    if let UncertainWindow::Before(life) = doubt {
        tracing::info!(
            "store: retries of keys that it doesn't know are not run until their class's window after \
            {} ms has \
             passed (Unix time), except where all engines drop a repeat",
            life / 1000
        );
    }
}

/// What a store held for the fleet.
pub struct Shared {
    pub origin: Origin,
    pub whole: bool,
    pub voted: Option<Vec<u8>>,
    pub copies: Vec<(Vec<u8>, eideryard_replication::ReplicaRecord)>,
    pub tokens: Vec<(eideryard_leases::Task, eideryard_leases::FencingToken)>,
}

impl Shared {
    fn of(store: &Store, found: &RecoveryReport) -> Self {
        use eideryard_replication::entry;
        let copies = store.prefix(entry::PREFIX).filter_map(|(key, value)| {
            let copy = entry::from_bytes(&value.bytes)?;
            Some((key[entry::PREFIX.len()..].to_vec(), copy))
        });
        Shared {
            origin: Origin {
                identity: found.identity,
                start: found.start,
            },
            whole: matches!(found.status, RecoveryStatus::Whole),
            voted: store
                .get(ReplicationDriver::votes_key())
                .map(|value| value.bytes.to_vec()),
            copies: copies.collect(),
            tokens: store
                .prefix(crate::leases::TOKEN_KEY_PREFIX)
                .filter_map(|(key, value)| crate::leases::decode_token(key, &value.bytes))
                .collect(),
        }
    }
}

impl IntentDurability {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn start(
        plan: &StoreConfig,
        settings: &Settings,
        memory_mb: u64,
        now: Micros,
        random: u64,
        wake: Box<dyn Fn() + Send>,
    ) -> (Self, Option<Shared>) {
        let entries =
            ((memory_mb << 20) / PART_OF_MEMORY / ENTRY_BYTES).min(plan.budget / 3 / DISK_BYTES);
        let limits = Limits {
            entries: entries as usize,
        };
        let classes: Vec<Class> = settings.classes.clone();
        let opened = Store::open(
            Box::new(Directory::new(&plan.directory)),
            Config {
                budget: plan.budget,
            },
            now / 1000,
            random,
        );
        let (waiting, places, counted) = Default::default();
        let windows: Vec<Micros> = settings.classes.iter().map(|class| class.window).collect();
        let settings_print = settings_fingerprint(settings);
        let (ledger, worker, found, shared) = match opened {
            Ok((store, told)) => {
                let kept = store.prefix(entry::prefix());
                let kept: Vec<_> = kept
                    .filter_map(|(key, value)| {
                        Some((key.to_vec(), entry::from_bytes(&value.bytes)?))
                    })
                    .collect();
                let life = told.complete_since_ms * 1000;
                let ledger = IntentLog::restore(limits, classes, kept.into_iter(), life, now);
                tell(&told, now, ledger.uncertain_window());
                let found = store
                    .get(checkpoint::KEY)
                    .map(|told| checkpoint::from_bytes(&told.bytes, now, settings_print));
                let found = match found {
                    Some(Err(void)) => {
                        tracing::info!("store: learned figures are dropped: {}", void.reason());
                        None
                    }
                    Some(Ok((lessons, age))) => {
                        let (engines, age_s) = (lessons.engines.len(), age as f64 / 1e6);
                        tracing::info!(
                            "store: learned figures of {engines} engines, {age_s:.1} s old: hints, \
                             doubted by their age"
                        );
                        Some((lessons, age))
                    }
                    None => None,
                };
                let shared = Shared::of(&store, &told);
                let worker = Worker::start(store, wake)
                    .inspect_err(|e| tracing::error!("store: {e}; keyed requests are refused"))
                    .ok();
                (ledger, worker, found, Some(shared))
            }
            Err(e) => {
                tracing::error!(
                    "store {}: {e}. Safe classes are served; keyed and unsafe requests are refused until the \
                     gateway starts with a store that can be used",
                    plan.directory.display()
                );
                let ledger = IntentLog::restore(limits, classes, std::iter::empty(), now, now);
                (ledger, None, None, None)
            }
        };
        let keeping = IntentDurability {
            ledger,
            worker,
            waiting,
            sharing: None,
            status: None,
            windows,
            places,
            settings: settings_print,
            learned_at: now,
            taught: found.is_some(),
            found,
            counted,
        };
        (keeping, shared)
    }

    /// Copies of the whole fleet's keys that a keeper with this memory has room for.
    pub fn room_for_copies(memory_mb: u64) -> usize {
        ((memory_mb << 20) / PART_FOR_COPIES / ENTRY_BYTES) as usize
    }

    /// Joins the fleet, with what the store held of it. Without a usable store it stays alone, and
    /// refuses.
    pub fn join(
        &mut self,
        fleet: (&FleetConfig, &StoreConfig),
        about: replication::About<'_>,
        shared: Option<Shared>,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<()> {
        let (Some(shared), Some(_)) = (shared, &self.worker) else {
            return Ok(());
        };
        self.sharing = Some(Box::new(ReplicationDriver::start(
            fleet.0, about, shared, wake,
        )?));
        self.status = Some(Status::start(fleet.1.directory.clone())?);
        Ok(())
    }

    /// What an earlier life had learned, once.
    pub fn take_restored_state(&mut self) -> Option<(LearnedState, Micros)> {
        self.found.take()
    }

    /// Whether it is time for a checkpoint.
    pub fn is_checkpoint_due(&self, now: Micros) -> bool {
        self.worker.is_some() && now >= self.learned_at + checkpoint::EVERY
    }

    pub fn save_checkpoint(&mut self, now: Micros, learned: &LearnedState) {
        self.learned_at = now;
        // A hint has no time but its age.
        let hint = checkpoint::to_bytes(learned, 0, self.settings);
        self.sharing
            .iter_mut()
            .for_each(|sharing| sharing.learned(now, hint.clone()));
        let mut batch = Batch::default();
        batch.put(
            checkpoint::KEY.to_vec(),
            checkpoint::to_bytes(learned, now, self.settings),
            0,
        );
        // Where the thread takes no more, the next one will do.
        self.worker
            .iter_mut()
            .for_each(|worker| _ = worker.write(batch.clone()));
    }

    /// Where an engine's scope is, as the list says.
    pub fn set_place(&mut self, engine: EngineId, zone: u32, cell: u32) {
        self.places.insert(engine, Place { zone, cell });
    }

    pub fn retain_engines(&mut self, known: impl Fn(EngineId) -> bool) {
        self.places.retain(|engine, _| known(*engine));
    }

    /// What of a request that comes may have run before, or why it is refused.
    pub fn admit_request(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        marked: bool,
    ) -> Result<Vec<PriorAttempt>, RejectReason> {
        let held_up = self.waiting.is_held_up(now, self.durable());
        let failing = self.worker.as_ref().is_none_or(Worker::is_failing) || held_up;
        // What this store may have forgotten the keepers know.
        let marked = marked && self.sharing.is_none();
        let request = state::IncomingRequest {
            class,
            key,
            is_retry: marked,
            is_store_failing: failing,
        };
        let told = self.ledger.on_request(now, request);
        let told = told.map_err(|why| match why {
            IntentError::Full => RejectReason::IntentLogFull,
            IntentError::Stalled => RejectReason::StoreStalled,
        });
        let kept = key.is_some() && self.ledger.is_tracked_class(class);
        let apart = self
            .sharing
            .as_ref()
            .filter(|_| kept)
            .and_then(|sharing| sharing.refuses());
        let told = told.and_then(|told| apart.map_or(Ok(told), Err));
        match &told {
            Ok(earlier) if earlier.iter().any(|earlier| earlier.since == 0) => {
                self.counted.doubted += 1;
            }
            Ok(earlier) => self.counted.pinned += !earlier.is_empty() as u64,
            Err(why) => self.counted.refused(*why),
        }
        told
    }

    /// The last ticket that is durable.
    fn durable(&self) -> u64 {
        self.worker.as_ref().map_or(0, Worker::durable)
    }

    fn write(&mut self, key: Vec<u8>, intent: Option<&Intent>) -> Option<u64> {
        let mut batch = Batch::default();
        match intent {
            // The store's own clock drops it where the ledger's word to do so never came.
            Some(intent) => {
                let until_ms = intent.until / 1000 + state::RETENTION_MARGIN / 1000;
                batch.put(key, entry::to_bytes(intent), until_ms);
            }
            None => batch.remove(key),
        }
        self.worker.as_mut()?.write(batch)
    }

    /// A request is to be sent to an engine. `known`: what the module was told of it.
    pub fn prepare_send(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        engine: EngineId,
        give_up_at: Micros,
        known: &[PriorAttempt],
    ) -> Sending {
        let place = self.places.get(&engine).copied().unwrap_or_default();
        let attempt = state::NextAttempt {
            class,
            key,
            place,
            known,
        };
        let wish = match self.ledger.on_send(now, attempt) {
            eideryard_intent_log::SendDecision::Immediate => return Sending::Now,
            eideryard_intent_log::SendDecision::PriorAttemptFound(ran) => {
                return Sending::Untold(ran)
            }
            eideryard_intent_log::SendDecision::AfterWrite(wish) => wish,
        };
        self.counted.intents += 1;
        let Some(ticket) = self.write(wish.key.clone(), wish.intent.as_ref()) else {
            return Sending::Not;
        };
        let since = wish.intent.as_ref().map_or(now, |intent| intent.since);
        let ran = PriorAttempt {
            zone: place.zone,
            cell: place.cell,
            since,
        };
        let (Some(sharing), Some(worker), Some(intent)) =
            (&mut self.sharing, &mut self.worker, &wish.intent)
        else {
            return Sending::Waits {
                ticket,
                claim: None,
                ran,
            };
        };
        let keep = give_up_at.saturating_sub(now)
            + self.windows.get(class).unwrap_or(&0)
            + state::RETENTION_MARGIN;
        let claim = Some(sharing.claim(now, &wish.key, intent, keep, known, worker));
        Sending::Waits { ticket, claim, ran }
    }

    /// Whether a send that waited is still within the window of what may have run before it.
    pub fn is_within_window(&self, now: Micros, class: usize, known: &[PriorAttempt]) -> bool {
        is_within_window(now, self.windows.get(class).copied().unwrap_or(0), known)
    }

    pub fn add_pending_send(&mut self, now: Micros, waiting: Waiting) {
        self.counted.waited += 1;
        self.waiting
            .push(now, waiting.ticket, waiting.claim, waiting);
    }

    /// An attempt has its end; the store hears of it by and by.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        never_ran: bool,
    ) {
        let attempt = state::EndedAttempt {
            class,
            key,
            never_ran,
        };
        let Some(wish) = self.ledger.on_attempt_ended(now, attempt) else {
            return;
        };
        // What the store doesn't hear of is only remembered for longer.
        self.write(wish.key.clone(), wish.intent.as_ref());
        if wish
            .intent
            .as_ref()
            .is_some_and(|intent| intent.in_flight > 0)
        {
            return;
        }
        if let (Some(sharing), Some(worker)) = (&mut self.sharing, &mut self.worker) {
            let keep = self.windows.get(class).unwrap_or(&0) + state::RETENTION_MARGIN;
            sharing.ended(now, &wish.key, wish.intent.as_ref(), keep, worker);
        }
    }

    /// What has become of sends that wait: those that are durable and granted go, those that have
    /// waited for too long don't.
    pub fn poll(&mut self, now: Micros) -> Ready {
        let mut ready = Ready::default();
        for wish in self.ledger.expire(now) {
            self.write(wish.key, wish.intent.as_ref());
        }
        let verdicts = match (&mut self.sharing, &mut self.worker) {
            (Some(sharing), Some(worker)) => sharing.work(now, worker),
            _ => Vec::new(),
        };
        for (claim, verdict) in verdicts {
            match verdict {
                Verdict::Granted => self.waiting.on_claim_granted(claim),
                Verdict::PriorRunsFound(told) => {
                    let waited = self.waiting.take_by_claim(claim);
                    ready
                        .earlier
                        .extend(waited.map(|waited| (waited, replication::earlier(&told))));
                }
                Verdict::NoMajority(_) => {
                    let waited = self.waiting.take_by_claim(claim);
                    ready
                        .late
                        .extend(waited.map(|waited| (waited, RejectReason::NoMajority)));
                }
            }
        }
        let waited = self.waiting.poll(now, self.durable());
        ready.go = waited.ready;
        ready
            .late
            .extend(waited.timed_out.into_iter().map(|(waited, why)| match why {
                TimeoutReason::Store => (waited, RejectReason::StoreStalled),
                TimeoutReason::Claim => (waited, RejectReason::NoMajority),
            }));
        ready
            .late
            .iter()
            .for_each(|(_, why)| self.counted.refused(*why));
        if let (Some(sharing), Some(status)) = (&mut self.sharing, &self.status) {
            sharing
                .status(now)
                .into_iter()
                .for_each(|told| status.tell(told.to_string()));
        }
        ready
    }

    /// What a peer had learned, where this gateway began without a checkpoint; once.
    pub fn take_peer_hint(&mut self) -> Option<(LearnedState, Micros)> {
        let (bytes, age) = self.sharing.as_mut()?.hints()?;
        if std::mem::replace(&mut self.taught, true) {
            return None;
        }
        let told = checkpoint::from_bytes(&bytes, age, self.settings);
        told.inspect(|_| tracing::info!("fleet: learned figures of a peer are taken for hints"))
            .ok()
    }

    /// What peers' lists say of engines that the own list doesn't, since the last call.
    pub fn take_drains(&mut self) -> Vec<Drain> {
        self.sharing
            .as_mut()
            .map_or(Vec::new(), |sharing| sharing.drains())
    }

    /// The own list says so of engines.
    pub fn publish_drains(&mut self, now: Micros, drains: Vec<Drain>) {
        if let (Some(sharing), Some(worker), false) =
            (&mut self.sharing, &mut self.worker, drains.is_empty())
        {
            sharing.drained(now, drains, worker);
        }
    }

    /// A peer's newer list forbids what this gateway's own list allows.
    pub fn binding_drain(&self, engine: EngineId, booted_at: Micros, number: u64) -> Option<Drain> {
        self.sharing.as_ref()?.binds(engine, booted_at, number)
    }

    /// Engines that this gateway is to probe for all, and reports of others' probes.
    pub fn take_probe_work(&mut self, now: Micros) -> (Vec<EngineId>, Vec<(EngineId, LoadReport)>) {
        let Some(sharing) = &mut self.sharing else {
            return Default::default();
        };
        let Some(leases) = sharing.leases_mut() else {
            return Default::default();
        };
        (leases.take_due_probes(now), leases.take_fresh_reports())
    }

    /// A report that stands in for a probe of this gateway's own.
    pub fn recent_report(&mut self, now: Micros, engine: EngineId) -> Option<LoadReport> {
        let leases = self.sharing.as_mut()?.leases_mut()?;
        leases.recent_report(now, engine)
    }

    /// An engine has answered a probe.
    pub fn publish_report(&mut self, now: Micros, engine: EngineId, report: &LoadReport) {
        if let (Some(sharing), Some(worker)) = (&mut self.sharing, &mut self.worker) {
            sharing.run_leases(|leases| leases.publish_report(now, engine, report, worker));
        }
    }

    /// The engines that there are.
    pub fn update_lease_tasks(&mut self, now: Micros) {
        let engines: Vec<EngineId> = self.places.keys().copied().collect();
        let sharing = self.sharing.as_mut();
        if let Some(leases) = sharing.and_then(|sharing| sharing.leases_mut()) {
            leases.set_engines(now, engines.into_iter());
        }
    }

    /// This gateway is told to end: others need not wait for what it owns.
    pub fn release_leases(&mut self, now: Micros) {
        if let (Some(sharing), Some(worker)) = (&mut self.sharing, &mut self.worker) {
            sharing.run_leases(|leases| leases.stop(now, worker));
            sharing.flush();
        }
    }

    /// Messages that were handed over since go out.
    pub fn flush(&mut self) {
        self.sharing.iter_mut().for_each(|sharing| sharing.flush());
    }

    /// What the record is to be told of the fleet: news, or all of it.
    pub fn take_fleet_events(&mut self) -> Vec<FleetEvent> {
        self.sharing
            .as_mut()
            .map_or(Vec::new(), |sharing| sharing.words())
    }

    pub fn fleet_state(&self) -> Vec<FleetEvent> {
        self.sharing
            .as_ref()
            .map_or(Vec::new(), |sharing| sharing.state())
    }

    /// What was counted, in words.
    pub fn told(&self) -> String {
        let shared = self.sharing.as_ref();
        let shared = shared.map(|own| format!("; {}", counter_text::replication(&own.counted())));
        let leases = self.sharing.as_ref().and_then(|sharing| sharing.leases());
        let owned = leases.map(|leases| {
            format!(
                "; {}; probes_spared: {}",
                counter_text::leases(&leases.counters()),
                leases.probes_spared()
            )
        });
        format!(
            "; {}{}{}",
            counter_text::intents(&self.counted),
            shared.unwrap_or_default(),
            owned.unwrap_or_default()
        )
    }

    /// When [`IntentDurability::poll`] has something to do.
    pub fn deadline(&self, now: Micros) -> Option<Micros> {
        let shared = self.sharing.as_ref().map(|sharing| sharing.due(now));
        self.ledger
            .next_deadline()
            .into_iter()
            .chain(self.waiting.next_deadline())
            .chain(shared)
            .min()
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let own = [
            ("intents", self.ledger.len()),
            ("intents_waiting", self.waiting.len()),
        ];
        own.into_iter()
            .chain(self.sharing.iter().flat_map(|sharing| sharing.sizes()))
            .collect()
    }
}
