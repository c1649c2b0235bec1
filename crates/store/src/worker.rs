//! The store's thread: takes batches from the gateway's loop, flushes once for all that wait, and
//! rewrites the log in slices between flushes. The loop never waits for it; it polls what is
//! durable and whether the disk fails.
//!
//! The thread stops when its [`Worker`] is dropped: it flushes what was handed over and ends. The
//! drop joins it, unless the disk takes longer than [`SHUTDOWN_TIMEOUT`].

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eideryard_background_scheduler::{Budget, Scheduler, Urgency};

use crate::frame::Batch;
use crate::store::Store;

/// Name of the thread.
const THREAD_NAME: &str = "store";
/// Batches that wait for the thread; a further one is rejected.
pub const MAX_WAITING: usize = 4096;
/// Bytes of one slice of rewriting.
const REWRITE_SLICE_BYTES: u64 = 16 << 10;
/// Bytes of rewriting in a second.
const REWRITE_BYTES_PER_S: f64 = 8.0 * (1 << 20) as f64;
/// Delay after a failed write before the next attempt to rebuild the log.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait of the thread for a batch.
const MAX_IDLE: Duration = Duration::from_millis(200);
/// Longest wait for the last flush when the worker is dropped.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the drop checks whether the thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What the thread reports to the loop.
#[derive(Default)]
struct Shared {
    durable: AtomicU64,
    is_failing: AtomicBool,
    is_full: AtomicBool,
}

/// The loop's side of the thread, which it owns.
pub struct Worker {
    sender: Option<SyncSender<Batch>>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
    last_ticket: u64,
}

impl Worker {
    /// Starts the thread. It calls `wake` whenever more batches are durable or the disk fails.
    ///
    /// # Errors
    ///
    /// Where the system starts no thread.
    pub fn start(store: Store, wake: Box<dyn Fn() + Send>) -> std::io::Result<Self> {
        let (sender, batches) = sync_channel(MAX_WAITING);
        let shared = Arc::new(Shared::default());
        let mut flusher = Flusher::new(store, shared.clone(), wake);
        let thread = std::thread::Builder::new().name(THREAD_NAME.into());
        let thread = thread.spawn(move || flusher.run(&batches))?;
        Ok(Worker {
            sender: Some(sender),
            shared,
            thread: Some(thread),
            last_ticket: 0,
        })
    }

    /// Hands a batch over, and returns its ticket; `None` where too many wait.
    pub fn write(&mut self, batch: Batch) -> Option<u64> {
        self.sender.as_ref()?.try_send(batch).ok()?;
        self.last_ticket += 1;
        Some(self.last_ticket)
    }

    /// The last ticket that is durable.
    pub fn durable_ticket(&self) -> u64 {
        self.shared.durable.load(Ordering::Acquire)
    }

    /// Whether the disk fails or is full, so that batches may wait for long.
    pub fn is_failing(&self) -> bool {
        self.shared.is_failing.load(Ordering::Relaxed)
            || self.shared.is_full.load(Ordering::Relaxed)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        // The thread ends once the channel is closed and empty.
        self.sender = None;
        let Some(thread) = self.thread.take() else {
            return;
        };
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        if thread.is_finished() {
            // The panic hook has reported a panic of the thread already.
            let _ = thread.join();
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// State of the thread.
struct Flusher {
    store: Store,
    shared: Arc<Shared>,
    wake: Box<dyn Fn() + Send>,
    started_at: Instant,
    slices: Scheduler<()>,
    /// Tickets of the batches that were taken.
    last_ticket: u64,
    /// A broken log is not rebuilt before this time.
    retry_at: Instant,
}

impl Flusher {
    fn new(store: Store, shared: Arc<Shared>, wake: Box<dyn Fn() + Send>) -> Self {
        let budget = Budget {
            round_time: u64::MAX,
            bytes_per_s: REWRITE_BYTES_PER_S,
        };
        Flusher {
            store,
            shared,
            wake,
            started_at: Instant::now(),
            slices: Scheduler::new(budget, 0),
            last_ticket: 0,
            retry_at: Instant::now(),
        }
    }

    fn run(&mut self, batches: &Receiver<Batch>) {
        loop {
            match batches.recv_timeout(self.next_wait()) {
                Ok(batch) => self.take(batch),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            // One flush for all that wait by now.
            for batch in batches.try_iter().take(MAX_WAITING) {
                self.take(batch);
            }
            if self.store.is_broken() && Instant::now() < self.retry_at {
                continue;
            }
            if self.flush() {
                self.rewrite_slice();
            }
        }
        // The last batches; a failure leaves them not reported as durable.
        let _ = self.store.flush();
    }

    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    fn next_wait(&mut self) -> Duration {
        if !self.store.wants_rewriting() {
            return MAX_IDLE;
        }
        let now_us = self.now_us();
        let due_us = self.slices.next_job_at(now_us).unwrap_or(0);
        Duration::from_micros(due_us.saturating_sub(now_us)).min(MAX_IDLE)
    }

    fn take(&mut self, batch: Batch) {
        self.last_ticket += 1;
        // No intent is that long, so no send waits for such a batch.
        if self.store.write(batch).is_none() {
            log::error!("a batch is too long for the store and was left out");
        }
    }

    /// Makes all batches that were taken durable. Returns whether that succeeded.
    fn flush(&mut self) -> bool {
        let flushed = if self.store.is_broken() {
            self.store.rebuild(unix_ms())
        } else {
            self.store.flush()
        };
        if let Err(e) = flushed {
            if !self.shared.is_failing.swap(true, Ordering::Relaxed) {
                log::error!(
                    "the store can't be written; keyed requests wait, then are refused: {e}"
                );
            }
            self.retry_at = Instant::now() + RETRY_DELAY;
            (self.wake)();
            return false;
        }
        if self.shared.is_failing.swap(false, Ordering::Relaxed) {
            log::info!("the store is written again");
        }
        let is_full = self.store.is_full(0);
        self.shared.is_full.store(is_full, Ordering::Relaxed);
        let durable = self.last_ticket;
        if self.shared.durable.swap(durable, Ordering::Release) != durable {
            (self.wake)();
        }
        true
    }

    fn rewrite_slice(&mut self) {
        if !self.store.wants_rewriting() {
            return;
        }
        if self.slices.waiting(Urgency::Tidy) == 0 {
            // The queue is empty, so it takes the slice.
            let now_us = self.now_us();
            let _ = self
                .slices
                .offer(now_us, Urgency::Tidy, (), REWRITE_SLICE_BYTES);
        }
        self.slices.start_round();
        let now_us = self.now_us();
        if self.slices.next_job(now_us).is_none() {
            return;
        }
        if let Err(e) = self.store.rewrite(unix_ms(), REWRITE_SLICE_BYTES as usize) {
            log::warn!("the store's log could not be rewritten, which is tried again: {e}");
            self.retry_at = Instant::now() + RETRY_DELAY;
        }
    }
}
