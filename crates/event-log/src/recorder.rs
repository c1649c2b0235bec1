//! The event loop's side of a log: it encodes entries into buffers that were allocated at the start
//! and passes them to the writer thread. It never waits, and recording allocates nothing. Where the
//! writer can't keep up, entries are counted and left out; a new segment then starts with the state
//! as it is, followed by an entry that describes the gap.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eideryard::interface::Micros;

use crate::codec::Context;
use crate::config::Batch;
pub use crate::config::Config;
use crate::disk::Disk;
use crate::entry::{EntryRef, HostEvent};
use crate::totals::Tally;
use crate::writer::Writer;

/// Buffers between the event loop and the writer. At 500 requests a second and some 100 bytes each
/// they hold half a minute of entries.
pub const BATCH_COUNT: usize = 24;
/// Bytes after which a buffer goes to the writer.
pub const BATCH_BYTES: usize = 64 << 10;
/// Extra room in each buffer for its last entry. Only lists of endpoints are longer.
const MAX_ENTRY_BYTES: usize = 4 << 10;
/// Longest time that an entry stays in memory before it goes to the writer.
const MAX_BATCH_AGE: Micros = 200_000;
/// A gateway that has nothing else to record writes a heartbeat this often, so that the reader
/// notices its end.
pub const HEARTBEAT_INTERVAL: Micros = 1_000_000;
/// Totals are repeated this often, so that they are exact again after damage.
const TALLY_INTERVAL: Micros = 5_000_000;
/// The usual [`Config::retry_delay`].
pub const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long dropping the recorder waits for the writer.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// How often dropping the recorder looks whether the writer has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Records the entries of one gateway. Dropping it writes what is left.
pub struct Recorder {
    config: Config,
    /// `None` once the recorder is being dropped; the writer then ends.
    filled: Option<SyncSender<Batch>>,
    empty: Receiver<Batch>,
    /// Set by the writer when it had to leave something out.
    has_lost: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
    batch: Option<Batch>,
    context: Context,
    tally: Tally,
    last_tally_at: Micros,
    last_entry_at: Micros,
    segment: u64,
    segment_bytes: u64,
    segment_started_at: Micros,
    /// Entries are left out until a segment starts with the state.
    needs_state: bool,
}

impl Recorder {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// If the thread can't be started. Errors of the disk are logged and tried again later.
    pub fn start(config: Config, disk: Box<dyn Disk>) -> std::io::Result<Self> {
        let (filled, to_write) = sync_channel(BATCH_COUNT);
        let (written, empty) = sync_channel(BATCH_COUNT);
        let has_lost = Arc::new(AtomicBool::new(false));
        let tally = Tally::with_groups(config.class_count, config.tenant_count);
        for _ in 0..BATCH_COUNT {
            // The channel has room for all buffers.
            let _ = written.try_send(empty_batch(&tally));
        }
        let writer = Writer::new(config.clone(), disk, has_lost.clone());
        let thread = std::thread::Builder::new()
            .name("record".into())
            .spawn(move || writer.run(&to_write, &written))?;
        Ok(Recorder {
            config,
            filled: Some(filled),
            empty,
            has_lost,
            writer: Some(thread),
            batch: None,
            context: Context::default(),
            tally,
            last_tally_at: 0,
            last_entry_at: 0,
            segment: 0,
            segment_bytes: 0,
            segment_started_at: 0,
            needs_state: true,
        })
    }

    /// The totals since the start, recorded or not.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Whether a segment should start. The caller then calls [`Recorder::start_segment`], records
    /// the state with [`Recorder::record_state`] and calls [`Recorder::finish_state`].
    pub fn needs_segment(&self, now: Micros) -> bool {
        let age = now.saturating_sub(self.segment_started_at);
        self.needs_state
            || age >= self.config.max_segment_age
            || self.segment_bytes >= self.config.max_segment_bytes
            || self.has_lost.load(Ordering::Relaxed)
    }

    /// Starts a segment. Returns false if no buffer is free now; the caller tries again later.
    pub fn start_segment(&mut self, now: Micros) -> bool {
        self.send_batch();
        if !self.ensure_batch(now) {
            return false;
        }
        self.has_lost.store(false, Ordering::Relaxed);
        self.needs_state = false;
        self.segment += 1;
        self.segment_bytes = 0;
        self.segment_started_at = now;
        self.last_tally_at = now;
        if let Some(batch) = &mut self.batch {
            batch.starts_segment = true;
        }
        let started = HostEvent::SegmentStarted {
            name: self.config.name.clone(),
            epoch: self.config.epoch,
            segment: self.segment,
        };
        self.record_state(now, &started);
        true
    }

    /// Records part of the state at the start of a segment, which is not counted.
    pub fn record_state(&mut self, now: Micros, event: &HostEvent) {
        if !self.needs_state && self.ensure_batch(now) {
            self.append(now, EntryRef::Host(event));
        }
    }

    /// Ends the state at the start of a segment.
    pub fn finish_state(&mut self, now: Micros) {
        self.record_tally(now);
        self.record_state(now, &HostEvent::StateComplete);
    }

    /// Records an entry, or counts it as left out.
    pub fn record(&mut self, now: Micros, entry: EntryRef<'_>) {
        // A new batch starts from the totals without this entry.
        let can_append = !self.needs_state && self.ensure_batch(now);
        self.tally.count(entry);
        if can_append {
            self.append(now, entry);
        }
    }

    /// When [`Recorder::flush`] has something to do, if nothing else happens.
    pub fn next_flush_at(&self) -> Option<Micros> {
        if let Some(batch) = &self.batch {
            return Some(batch.first_at + MAX_BATCH_AGE);
        }
        (!self.needs_state).then_some(self.last_entry_at + HEARTBEAT_INTERVAL)
    }

    /// Sends a batch that is old enough to the writer, and records totals and heartbeats that are
    /// due.
    pub fn flush(&mut self, now: Micros) {
        let is_tally_due = now.saturating_sub(self.last_tally_at) >= TALLY_INTERVAL;
        if self.batch.is_some() && !self.needs_state && is_tally_due {
            self.last_tally_at = now;
            self.record_tally(now);
        }
        let is_idle = now.saturating_sub(self.last_entry_at) >= HEARTBEAT_INTERVAL;
        if self.batch.is_none() && !self.needs_state && is_idle {
            self.record(now, EntryRef::Host(&HostEvent::Heartbeat));
            self.send_batch();
            return;
        }
        let is_batch_due = |batch: &Batch| batch.first_at + MAX_BATCH_AGE <= now;
        if self.batch.as_ref().is_some_and(is_batch_due) {
            self.send_batch();
        }
    }

    fn record_tally(&mut self, now: Micros) {
        let tally = HostEvent::Tally(Box::new(self.tally.clone()));
        self.record_state(now, &tally);
    }

    fn append(&mut self, now: Micros, entry: EntryRef<'_>) {
        let Some(batch) = &mut self.batch else { return };
        self.context.encode(&mut batch.bytes, now, entry);
        batch.last_at = now;
        self.last_entry_at = now;
        if batch.bytes.len() >= BATCH_BYTES {
            self.send_batch();
        }
    }

    /// Takes a free buffer if none is in use. Returns false, and leaves entries out from now on, if
    /// none is free.
    fn ensure_batch(&mut self, now: Micros) -> bool {
        if self.batch.is_some() {
            return true;
        }
        let Ok(mut batch) = self.empty.try_recv() else {
            self.needs_state = true;
            return false;
        };
        batch.bytes.clear();
        batch.starts_segment = false;
        batch.first_at = now;
        batch.last_at = now;
        batch.before.clone_from(&self.tally);
        self.context = Context::new(now);
        self.batch = Some(batch);
        true
    }

    fn send_batch(&mut self) {
        let Some(mut batch) = self.batch.take() else {
            return;
        };
        self.segment_bytes += batch.bytes.len() as u64;
        batch.after.clone_from(&self.tally);
        // The channel has room for all buffers, so this fails only if the writer has ended.
        if let Some(filled) = &self.filled {
            self.needs_state |= filled.try_send(batch).is_err();
        }
    }
}

fn empty_batch(tally: &Tally) -> Batch {
    Batch {
        bytes: Vec::with_capacity(BATCH_BYTES + MAX_ENTRY_BYTES),
        first_at: 0,
        last_at: 0,
        starts_segment: false,
        before: tally.clone(),
        after: tally.clone(),
    }
}

/// Sends the writer what is left and gives it a limited time: a disk that hangs doesn't keep the
/// process from ending.
impl Drop for Recorder {
    fn drop(&mut self) {
        self.send_batch();
        self.filled = None;
        let Some(writer) = self.writer.take() else {
            return;
        };
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !writer.is_finished() && Instant::now() < deadline {
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}
