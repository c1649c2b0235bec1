//! The event loop's side of a record: encodes entries into buffers that were allocated at the start
//! and hands them to the writer. It never waits and never allocates while it records. Where the
//! writer can't keep up, entries are counted and left out; the writer tells of the gap, and a new
//! segment begins behind it with the state as it is then.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eideryard::interface::Micros;

use crate::codec::Context;
use crate::entry::{EntryRef, Host};
use crate::plan::Batch;
pub use crate::plan::Config;
use crate::tally::Tally;
use crate::writer::{self, Disk};

/// Buffers between the loop and the writer, and the bytes of each: what a disk may lag behind
/// before entries are left out. At 500 requests a second and some 100 bytes each this is half a
/// minute's worth.
pub const BATCHES: usize = 24;
pub const BATCH: usize = 64 << 10;
/// No entry but a list of engines is longer; what is left of a buffer behind the limit is room for
/// one.
const MAX_ENTRY: usize = 4 << 10;
/// What was recorded goes to the writer after this time at the latest: a killed gateway loses no
/// more.
const MAX_WAIT: Micros = 200_000;
/// A gateway that has nothing to record says so much more often than a reader takes silence for its
/// end: a few bytes, so that a gap begins where the gateway ended.
pub const ALIVE_EVERY: Micros = 1_000_000;
/// A tally is told this often, so that totals are exact again behind damage.
const TALLY_EVERY: Micros = 5_000_000;
/// The usual pause after a fault of the disk.
pub const PAUSE: Duration = Duration::from_millis(500);
/// How long the end of the program waits for the writer.
const LAST_WRITES: Duration = Duration::from_millis(300);

pub struct Recorder {
    plan: Config,
    filled: Option<SyncSender<Batch>>,
    empty: Receiver<Batch>,
    /// Set by the writer when it had to leave something out.
    lost: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
    batch: Option<Batch>,
    context: Context,
    tally: Tally,
    told_at: Micros,
    /// When the last entry was recorded.
    last_at: Micros,
    segment: u64,
    segment_bytes: u64,
    segment_at: Micros,
    /// The next entry needs a segment that begins with the state.
    stale: bool,
}

impl Recorder {
    pub fn start(plan: Config, disk: Box<dyn Disk>) -> std::io::Result<Self> {
        let (filled, to_write) = sync_channel(BATCHES);
        let (written, empty) = sync_channel(BATCHES);
        let lost = Arc::new(AtomicBool::new(false));
        let tally = Tally::sized(plan.classes, plan.tenants);
        for _ in 0..BATCHES {
            let batch = Batch {
                bytes: Vec::with_capacity(BATCH + MAX_ENTRY),
                entries: 0,
                first_at: 0,
                last_at: 0,
                begins: false,
                before: tally.clone(),
                after: tally.clone(),
            };
            // The channel holds as many as there are.
            let _ = written.try_send(batch);
        }
        let worker = writer::Writer::new(plan.clone(), disk, lost.clone());
        let thread = std::thread::Builder::new().name("record".into());
        let writer = thread.spawn(move || worker.run(to_write, written))?;
        Ok(Recorder {
            plan,
            filled: Some(filled),
            empty,
            lost,
            writer: Some(writer),
            batch: None,
            context: Context::default(),
            tally,
            told_at: 0,
            last_at: 0,
            segment: 0,
            segment_bytes: 0,
            segment_at: 0,
            stale: true,
        })
    }

    /// What was counted since the start, recorded or not.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Whether a segment should begin: the caller then calls [`Recorder::begin`], tells the state
    /// and calls [`Recorder::state_whole`].
    pub fn wants_state(&self, now: Micros) -> bool {
        let aged = now.saturating_sub(self.segment_at) >= self.plan.segment_time;
        self.stale
            || aged
            || self.segment_bytes >= self.plan.segment
            || self.lost.load(Ordering::Relaxed)
    }

    /// False: there is no buffer for it now.
    pub fn begin(&mut self, now: Micros) -> bool {
        self.hand_over();
        if !self.has_batch(now) {
            return false;
        }
        self.lost.store(false, Ordering::Relaxed);
        self.stale = false;
        self.segment += 1;
        (self.segment_bytes, self.segment_at, self.told_at) = (0, now, now);
        if let Some(batch) = &mut self.batch {
            batch.begins = true;
        }
        let Config { name, epoch, .. } = &self.plan;
        let begin = Host::Begin {
            name: name.clone(),
            epoch: *epoch,
            segment: self.segment,
        };
        self.state(now, &begin);
        true
    }

    /// Something that was told before and is told again: it isn't counted.
    pub fn state(&mut self, now: Micros, host: &Host) {
        if !self.stale && self.has_batch(now) {
            self.put(now, EntryRef::Host(host), 0);
        }
    }

    pub fn state_whole(&mut self, now: Micros) {
        self.state(now, &Host::Tally(Box::new(self.tally.clone())));
        self.state(now, &Host::StateWhole);
    }

    /// Records an entry, or counts it as left out.
    pub fn record(&mut self, now: Micros, entry: EntryRef<'_>) {
        let recorded = !self.stale && self.has_batch(now);
        self.tally.count(entry);
        if recorded {
            self.put(now, entry, 1);
        }
    }

    fn put(&mut self, now: Micros, entry: EntryRef<'_>, counts: u64) {
        let Some(batch) = &mut self.batch else { return };
        self.context.put(&mut batch.bytes, now, entry);
        batch.entries += counts;
        batch.last_at = now;
        self.last_at = now;
        if batch.bytes.len() >= BATCH {
            self.hand_over();
        }
    }

    fn has_batch(&mut self, now: Micros) -> bool {
        if self.batch.is_some() {
            return true;
        }
        let Ok(mut batch) = self.empty.try_recv() else {
            // From here on entries are missing.
            self.stale = true;
            return false;
        };
        batch.bytes.clear();
        (batch.entries, batch.begins) = (0, false);
        (batch.first_at, batch.last_at) = (now, now);
        batch.before.clone_from(&self.tally);
        self.context = Context::new(now);
        self.batch = Some(batch);
        true
    }

    fn hand_over(&mut self) {
        let Some(mut batch) = self.batch.take() else {
            return;
        };
        self.segment_bytes += batch.bytes.len() as u64;
        batch.after.clone_from(&self.tally);
        // The channel holds as many as there are, so it is never full; the writer ends only with
        // the program.
        self.stale |= self
            .filled
            .as_ref()
            .is_some_and(|filled| filled.try_send(batch).is_err());
    }

    /// When [`Recorder::flush`] has something to do, if nothing else happens.
    pub fn due(&self) -> Option<Micros> {
        let alive = (!self.stale).then_some(self.last_at + ALIVE_EVERY);
        self.batch
            .as_ref()
            .map(|batch| batch.first_at + MAX_WAIT)
            .or(alive)
    }

    /// Hands on what has waited for long enough.
    pub fn flush(&mut self, now: Micros) {
        if self.batch.is_some() && !self.stale && now.saturating_sub(self.told_at) >= TALLY_EVERY {
            self.told_at = now;
            self.state(now, &Host::Tally(Box::new(self.tally.clone())));
        }
        if self.batch.is_none() && !self.stale && now.saturating_sub(self.last_at) >= ALIVE_EVERY {
            self.record(now, EntryRef::Host(&Host::Alive));
            return self.hand_over();
        }
        if self
            .batch
            .as_ref()
            .is_some_and(|batch| batch.first_at + MAX_WAIT <= now)
        {
            self.hand_over();
        }
    }
}

/// The end: the writer gets what is left, and a little time for it.
impl Drop for Recorder {
    fn drop(&mut self) {
        self.hand_over();
        self.filled = None;
        let (until, writer) = (Instant::now() + LAST_WRITES, self.writer.take());
        while writer.as_ref().is_some_and(|writer| !writer.is_finished()) && Instant::now() < until
        {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
