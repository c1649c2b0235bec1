//! The event loop's side of a log. It encodes entries into buffers that were allocated at startup
//! and passes them to the writer thread. It never blocks, and recording an entry allocates nothing.
//! If the writer can't keep up, entries are counted but dropped. A new segment then starts with the
//! current state, followed by an entry that describes the gap.

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

/// Number of buffers between the event loop and the writer. At 500 requests per second and about
/// 100 bytes per request they have room for half a minute of entries.
pub const BATCH_COUNT: usize = 24;
/// Size in bytes at which a buffer is sent to the writer.
pub const BATCH_BYTES: usize = 64 << 10;
/// Extra capacity in bytes of each buffer for its last entry. Only lists of endpoints are longer.
const MAX_ENTRY_BYTES: usize = 4 << 10;
/// Maximum time in microseconds that an entry stays in memory before it is sent to the writer.
const MAX_BATCH_AGE: Micros = 200_000;
/// Interval in microseconds of the heartbeats that an idle gateway records, so that a reader can
/// tell an idle gateway from one that has ended.
pub const HEARTBEAT_INTERVAL: Micros = 1_000_000;
/// Interval in microseconds at which the totals are recorded, so that a reader has exact totals
/// again after a damaged part.
const TALLY_INTERVAL: Micros = 5_000_000;
/// The [`Config::retry_delay`] that gateways use.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which dropping the recorder waits for the writer.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which dropping the recorder checks whether the writer thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Records the entries of one gateway. Dropping it sends the remaining entries to the writer and
/// waits a limited time for them to be written.
pub struct Recorder {
    config: Config,
    /// `None` once the recorder is being dropped, which ends the writer thread.
    filled_batches: Option<SyncSender<Batch>>,
    free_batches: Receiver<Batch>,
    /// Set by the writer when it has dropped entries and needs a new segment.
    has_lost_entries: Arc<AtomicBool>,
    writer: Option<JoinHandle<()>>,
    batch: Option<Batch>,
    context: Context,
    tally: Tally,
    last_tally_at: Micros,
    last_entry_at: Micros,
    segment_number: u64,
    segment_bytes: u64,
    segment_started_at: Micros,
    /// Whether entries are dropped until a new segment starts with the current state.
    needs_state: bool,
}

impl Recorder {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// If the thread can't be started. Disk errors are logged, and writing is retried later.
    pub fn start(config: Config, disk: Box<dyn Disk>) -> std::io::Result<Self> {
        let (filled_batches, batches_to_write) = sync_channel(BATCH_COUNT);
        let (written_batches, free_batches) = sync_channel(BATCH_COUNT);
        let has_lost_entries = Arc::new(AtomicBool::new(false));
        let tally = Tally::with_groups(config.class_count, config.tenant_count);
        for _ in 0..BATCH_COUNT {
            // The channel has room for all buffers.
            let _ = written_batches.try_send(empty_batch(&tally));
        }
        let writer = Writer::new(config.clone(), disk, has_lost_entries.clone());
        let thread = std::thread::Builder::new()
            .name("record".into())
            .spawn(move || writer.run(&batches_to_write, &written_batches))?;
        Ok(Recorder {
            config,
            filled_batches: Some(filled_batches),
            free_batches,
            has_lost_entries,
            writer: Some(thread),
            batch: None,
            context: Context::default(),
            tally,
            last_tally_at: 0,
            last_entry_at: 0,
            segment_number: 0,
            segment_bytes: 0,
            segment_started_at: 0,
            needs_state: true,
        })
    }

    /// Returns the totals since the start of the gateway, dropped entries included.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns whether a new segment should start. If so, the caller calls
    /// [`Recorder::start_segment`], records the state with [`Recorder::record_state`] and calls
    /// [`Recorder::finish_state`].
    pub fn needs_segment(&self, now: Micros) -> bool {
        let age = now.saturating_sub(self.segment_started_at);
        self.needs_state
            || age >= self.config.max_segment_age
            || self.segment_bytes >= self.config.max_segment_bytes
            || self.has_lost_entries.load(Ordering::Relaxed)
    }

    /// Starts a segment. Returns false if no buffer is free; the caller then retries later.
    pub fn start_segment(&mut self, now: Micros) -> bool {
        self.send_batch();
        if !self.ensure_batch(now) {
            return false;
        }
        self.has_lost_entries.store(false, Ordering::Relaxed);
        self.needs_state = false;
        self.segment_number += 1;
        self.segment_bytes = 0;
        self.segment_started_at = now;
        self.last_tally_at = now;
        if let Some(batch) = &mut self.batch {
            batch.starts_segment = true;
        }
        let started = HostEvent::SegmentStarted {
            name: self.config.name.clone(),
            epoch: self.config.epoch,
            segment: self.segment_number,
        };
        self.record_state(now, &started);
        true
    }

    /// Records part of the state at the start of a segment. It repeats earlier entries and is not
    /// counted.
    pub fn record_state(&mut self, now: Micros, event: &HostEvent) {
        if !self.needs_state && self.ensure_batch(now) {
            self.append(now, EntryRef::Host(event));
        }
    }

    /// Ends the state at the start of a segment by recording the totals and an end mark.
    pub fn finish_state(&mut self, now: Micros) {
        self.record_tally(now);
        self.record_state(now, &HostEvent::StateComplete);
    }

    /// Counts an entry and records it, or drops it if no buffer is free.
    pub fn record(&mut self, now: Micros, entry: EntryRef<'_>) {
        // The totals at the start of a new batch must not include this entry.
        let can_append = !self.needs_state && self.ensure_batch(now);
        self.tally.count(entry);
        if can_append {
            self.append(now, entry);
        }
    }

    /// Returns the time at which [`Recorder::flush`] should be called next unless an entry is
    /// recorded first; `None` if a segment has to start first.
    pub fn next_flush_at(&self) -> Option<Micros> {
        if let Some(batch) = &self.batch {
            return Some(batch.first_at + MAX_BATCH_AGE);
        }
        (!self.needs_state).then_some(self.last_entry_at + HEARTBEAT_INTERVAL)
    }

    /// Sends the batch to the writer if it is old enough, and records totals and heartbeats at
    /// their intervals.
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

    /// Takes a free buffer unless one is in use. If none is free, returns false and drops entries
    /// from now on.
    fn ensure_batch(&mut self, now: Micros) -> bool {
        if self.batch.is_some() {
            return true;
        }
        let Ok(mut batch) = self.free_batches.try_recv() else {
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
        if let Some(filled_batches) = &self.filled_batches {
            self.needs_state |= filled_batches.try_send(batch).is_err();
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

/// Sends the remaining entries to the writer and waits at most `SHUTDOWN_TIMEOUT`, so that a disk
/// that hangs can't keep the process from ending.
impl Drop for Recorder {
    fn drop(&mut self) {
        self.send_batch();
        self.filled_batches = None;
        let Some(writer) = self.writer.take() else {
            return;
        };
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !writer.is_finished() && Instant::now() < deadline {
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}
