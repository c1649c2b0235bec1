//! Joins the ledger of intents to the store's thread: what is written before a send, what waits for it, and
//! what a start finds. Off without `store-dir` in the operator's file. Decides nothing: the ledger does.

use std::collections::{BTreeMap, VecDeque};

use eideryard::interface::{Class, Earlier, EngineId, Lessons, Micros, Settings};
use eideryard_ledger::{entry, state, Doubt, Ledger, Limits, Place, Refusal, Wish};
use eideryard_operator::StorePlan;
use eideryard_store::worker::Worker;
use eideryard_store::{Batch, Directory, Files, Found, Plan, Store, Trust};

use crate::lessons;
use crate::table::Key;

/// A sixteenth of the memory limit is the ledger's; an entry takes about so much, here and in the store's
/// index.
const PART_OF_MEMORY: u64 = 16;
const ENTRY_BYTES: u64 = 320;
/// What an entry takes on disk, of which a third of the budget may be live.
const DISK_BYTES: u64 = 72;

/// An attempt that waits until its intent is durable.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub ticket: u64,
    pub since: Micros,
    pub request: Key,
    pub attempt: usize,
    pub engine: EngineId,
    pub give_up_at: Micros,
}

/// What is to be done with a send.
pub enum Sending {
    Now,
    /// Under this ticket.
    Waits(u64),
    /// The store's thread takes no more: it was not sent.
    Not,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    pub intents: u64,
    pub waited: u64,
    pub pinned: u64,
    pub doubted: u64,
    pub refused_full: u64,
    pub refused_stalled: u64,
}

pub struct Keeping {
    ledger: Ledger,
    /// Nothing where the store can't be used: keyed requests are refused then.
    worker: Option<Worker>,
    waiting: VecDeque<Waiting>,
    /// A send waited for too long: until this ticket is durable nothing keyed is taken.
    stalled_at: Option<u64>,
    places: BTreeMap<EngineId, Place>,
    /// What tells these settings from others, when the last checkpoint was, and the one that a start found.
    settings: u64,
    learned_at: Micros,
    found: Option<(Lessons, Micros)>,
    pub counted: Counted,
}

/// What a start found, in words.
fn tell(found: &Found, now: Micros, doubt: Doubt) {
    let age = (now / 1000).saturating_sub(found.last_at_ms) as f64 / 1e3;
    let life = format!("{:016x}", found.identity);
    let said = match &found.trust {
        Trust::New => "nothing was there: it begins as a stranger".to_string(),
        Trust::Whole => {
            format!("{} keys, last begun {age:.1} s ago, whole: all of it is trusted", found.keys)
        }
        Trust::Copy => format!(
            "{} keys in a copy of the directory that was written, last begun {age:.1} s ago: what came \
            behind it \
             is not known here, so it begins as a stranger with hints",
            found.keys
        ),
        Trust::Damaged { segment, at } => format!(
            "{} keys up to byte {at} of {segment}, which is damaged: what lies behind is dropped, so it \
            begins as \
             a stranger with hints",
            found.keys
        ),
    };
    tracing::info!("store: life {life}, start {}: {said}", found.start);
    if found.torn > 0 {
        tracing::info!("store: {} bytes at the end were never whole; nobody was told of them", found.torn);
    }
    if let Doubt::Before(life) = doubt {
        tracing::info!(
            "store: retries of keys that it doesn't know are not run until their class's window after \
            {} ms has \
             passed (Unix time), except where all engines drop a repeat",
            life / 1000
        );
    }
}

impl Keeping {
    pub fn start(
        plan: &StorePlan,
        settings: &Settings,
        memory_mb: u64,
        now: Micros,
        random: u64,
        wake: Box<dyn Fn() + Send>,
    ) -> Self {
        Self::start_on(
            Box::new(Directory::new(&plan.directory)),
            plan,
            settings,
            memory_mb,
            now,
            random,
            wake,
        )
    }

    fn start_on(
        files: Box<dyn Files>,
        plan: &StorePlan,
        settings: &Settings,
        memory_mb: u64,
        now: Micros,
        random: u64,
        wake: Box<dyn Fn() + Send>,
    ) -> Self {
        let entries = ((memory_mb << 20) / PART_OF_MEMORY / ENTRY_BYTES).min(plan.budget / 3 / DISK_BYTES);
        let limits = Limits { entries: entries as usize };
        let classes: Vec<Class> = settings.classes.clone();
        let opened = Store::open(files, Plan { budget: plan.budget }, now / 1000, random);
        let (waiting, stalled_at, places, counted) = Default::default();
        let (settings, learned_at) = (lessons::print_of(settings), now);
        match opened {
            Ok((store, found)) => {
                let kept = store.prefix(entry::prefix());
                let kept: Vec<_> = kept
                    .filter_map(|(key, value)| Some((key.to_vec(), entry::from_bytes(&value.bytes)?)))
                    .collect();
                let life = found.life_ms * 1000;
                let ledger = Ledger::restore(limits, classes, kept.into_iter(), life, now);
                tell(&found, now, ledger.doubt());
                let found =
                    store.get(lessons::KEY).map(|told| lessons::from_bytes(&told.bytes, now, settings));
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
                let worker = Worker::start(store, wake)
                    .inspect_err(|e| tracing::error!("store: {e}; keyed requests are refused"))
                    .ok();
                Keeping { ledger, worker, waiting, stalled_at, places, settings, learned_at, found, counted }
            }
            Err(e) => {
                tracing::error!(
                    "store {}: {e}. Safe classes are served; keyed and unsafe requests are refused until the \
                     gateway starts with a store that can be used",
                    plan.directory.display()
                );
                let ledger = Ledger::restore(limits, classes, std::iter::empty(), now, now);
                let (worker, found) = (None, None);
                Keeping { ledger, worker, waiting, stalled_at, places, settings, learned_at, found, counted }
            }
        }
    }

    /// What an earlier life had learned, once.
    pub fn lessons(&mut self) -> Option<(Lessons, Micros)> {
        self.found.take()
    }

    /// Whether it is time for a checkpoint.
    pub fn wants_lessons(&self, now: Micros) -> bool {
        self.worker.is_some() && now >= self.learned_at + lessons::EVERY
    }

    pub fn learns(&mut self, now: Micros, learned: &Lessons) {
        self.learned_at = now;
        let mut batch = Batch::default();
        batch.put(lessons::KEY.to_vec(), lessons::to_bytes(learned, now, self.settings), 0);
        // Where the thread takes no more, the next one will do.
        self.worker.iter_mut().for_each(|worker| _ = worker.write(batch.clone()));
    }

    /// Where an engine's scope is, as the list says.
    pub fn listed(&mut self, engine: EngineId, zone: u32, cell: u32) {
        self.places.insert(engine, Place { zone, cell });
    }

    pub fn forget_engines(&mut self, known: impl Fn(EngineId) -> bool) {
        self.places.retain(|engine, _| known(*engine));
    }

    /// What of a request that comes may have run before, or why it is refused.
    pub fn arrives(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        marked: bool,
    ) -> Result<Vec<Earlier>, Refusal> {
        let failing = self.worker.as_ref().is_none_or(Worker::is_failing) || self.stalled_at.is_some();
        let told = self.ledger.arrives(now, class, key, marked, failing);
        match &told {
            Ok(earlier) if earlier.iter().any(|earlier| earlier.since == 0) => self.counted.doubted += 1,
            Ok(earlier) => self.counted.pinned += !earlier.is_empty() as u64,
            Err(Refusal::Full) => self.counted.refused_full += 1,
            Err(Refusal::Stalled) => self.counted.refused_stalled += 1,
        }
        told
    }

    fn write(&mut self, wish: Wish) -> Option<u64> {
        let mut batch = Batch::default();
        match &wish.intent {
            // The store's own clock drops it where the ledger's word to do so never came.
            Some(intent) => {
                let until_ms = intent.until / 1000 + state::SLACK / 1000;
                batch.put(wish.key, entry::to_bytes(intent), until_ms)
            }
            None => batch.remove(wish.key),
        }
        self.worker.as_mut()?.write(batch)
    }

    /// A request is to be sent to an engine.
    pub fn sends(&mut self, now: Micros, class: usize, key: Option<&str>, engine: EngineId) -> Sending {
        let place = self.places.get(&engine).copied().unwrap_or_default();
        let durable = self.worker.as_ref().map_or(0, Worker::durable);
        let Some((wish, waits)) = self.ledger.sends(now, class, key, place, durable) else {
            return Sending::Now;
        };
        let name = wish.key.clone();
        self.counted.intents += 1;
        match self.write(wish) {
            Some(ticket) => {
                self.ledger.handed(now, &name, ticket);
                if waits {
                    Sending::Waits(ticket)
                } else {
                    Sending::Now
                }
            }
            None => Sending::Not,
        }
    }

    pub fn waits(&mut self, waiting: Waiting) {
        self.counted.waited += 1;
        self.waiting.push_back(waiting);
    }

    /// An attempt has its end; the store hears of it by and by.
    pub fn ended(&mut self, now: Micros, class: usize, key: Option<&str>, never_ran: bool) {
        if let Some(wish) = self.ledger.ended(now, class, key, never_ran) {
            // What the store doesn't hear of is only remembered for longer.
            self.write(wish);
        }
    }

    /// Those whose intents are durable now.
    pub fn durable(&mut self) -> Vec<Waiting> {
        let durable = self.worker.as_ref().map_or(0, Worker::durable);
        let count = self.waiting.partition_point(|waiting| waiting.ticket <= durable);
        let go: Vec<Waiting> = self.waiting.drain(..count).collect();
        self.stalled_at.take_if(|ticket| *ticket <= durable);
        self.ledger.waits(self.waiting.front().map(|waiting| waiting.since));
        go
    }

    /// Those that have waited for too long, and what else time brings.
    pub fn work(&mut self, now: Micros) -> Vec<Waiting> {
        for wish in self.ledger.expire(now) {
            self.write(wish);
        }
        let late = self.waiting.partition_point(|waiting| waiting.since + state::STALL <= now);
        let late: Vec<Waiting> = self.waiting.drain(..late).collect();
        self.stalled_at = late.last().map(|waiting| waiting.ticket).or(self.stalled_at);
        late
    }

    /// When [`Keeping::work`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        let stalls = self.waiting.front().map(|waiting| waiting.since + state::STALL);
        self.ledger.due().into_iter().chain(stalls).min()
    }

    pub fn sizes(&self) -> [(&'static str, usize); 2] {
        [("intents", self.ledger.len()), ("intents_waiting", self.waiting.len())]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use eideryard::interface::{Effect, Scope};
    use eideryard_store::faulty::Faulty;

    const KEYS: [&str; 2] = ["00000000000000000000000000000abc", "00000000000000000000000000000def"];

    fn class(effect: Effect) -> Class {
        Class {
            aim: 0,
            aim_stretch: 0.0,
            worth: 1.0,
            effect,
            scope: Scope::All,
            window: 15_000_000,
            ordered: false,
            zones_only: None,
            kinds_only: None,
            threads: 1.0,
            is_load: false,
            waits_for_load: false,
        }
    }

    fn settings(classes: Vec<Class>) -> Settings {
        let tree = eideryard_settings::Tree::from_json(&serde_json::json!({}));
        Settings { classes, ..eideryard_settings::settings(&tree).expect("nothing has to be set") }
    }

    /// A disk that stalls: what waits is given back after the bound, keyed work is refused until the disk
    /// writes again, and safe classes never notice.
    #[test]
    fn a_disk_that_stalls_delays_keyed_work_to_its_bound_and_then_refuses_it() {
        let (disk, mut now) = (Faulty::default(), 1_800_000_000_000_000);
        let plan = StorePlan { directory: "".into(), budget: 1 << 20 };
        let settings = settings(vec![class(Effect::Safe), class(Effect::Keyed)]);
        let files = Box::new(disk.clone());
        let mut keeping = Keeping::start_on(files, &plan, &settings, 64, now, 1, Box::new(|| {}));
        disk.stall(true);
        assert!(matches!(keeping.sends(now, 0, None, 1), Sending::Now), "a safe class needs no store");
        let Sending::Waits(ticket) = keeping.sends(now, 1, Some(KEYS[0]), 1) else { panic!("it went") };
        let request = Key::from_number(1 << 32);
        keeping.waits(Waiting { ticket, since: now, request, attempt: 0, engine: 1, give_up_at: now + 9 });
        now += state::STALL - 1;
        assert!(keeping.durable().is_empty() && keeping.work(now).is_empty());
        assert!(keeping.arrives(now, 1, Some(KEYS[1]), false).is_ok());
        now += 1;
        assert_eq!(keeping.work(now).len(), 1, "it has waited for long enough");
        keeping.ended(now, 1, Some(KEYS[0]), true);
        for _ in 0..3 {
            assert!(keeping.durable().is_empty());
            assert_eq!(keeping.arrives(now, 1, Some(KEYS[1]), false), Err(Refusal::Stalled));
            assert_eq!(keeping.arrives(now, 0, None, false), Ok(Vec::new()));
        }
        disk.stall(false);
        let until = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while keeping.arrives(now, 1, Some(KEYS[1]), false).is_err() {
            assert!(std::time::Instant::now() < until, "keyed work is refused though the disk writes again");
            std::thread::sleep(std::time::Duration::from_millis(5));
            keeping.durable();
        }
        assert!(keeping.counted.refused_stalled >= 3);
    }
}
