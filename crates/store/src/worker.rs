//! The store's thread. It receives batches from the gateway's event loop, makes all waiting batches
//! durable with one flush, and rewrites the log in slices between flushes. The event loop never
//! waits for the thread; it polls which batches are durable and whether the disk is failing.
//!
//! When its [`Worker`] is dropped, the thread flushes the batches that it has received and ends.
//! The drop joins the thread, unless the disk takes longer than [`SHUTDOWN_TIMEOUT`].

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eideryard_background_scheduler::{Budget, Scheduler, Urgency};

use crate::frame::Batch;
use crate::store::Store;

/// Name of the thread as shown by system tools, for example `top -H`.
const THREAD_NAME: &str = "store";
/// Maximum number of batches that may be waiting for the thread. Further ones are rejected.
pub const MAX_QUEUED_BATCHES: usize = 4096;
/// Number of bytes that one slice of a rewrite writes.
const REWRITE_SLICE_BYTES: u64 = 16 << 10;
/// Number of bytes per second that a rewrite may write.
const REWRITE_BYTES_PER_S: f64 = 8.0 * (1 << 20) as f64;
/// Delay between a failed write and the next attempt to rebuild the log.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which the thread waits for a batch.
const MAX_IDLE: Duration = Duration::from_millis(200);
/// Maximum time for which dropping the worker waits for the last flush.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which dropping the worker checks whether the thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What the thread reports to the event loop.
#[derive(Default)]
struct WorkerStatus {
    /// Ticket of the last batch that is durable.
    durable_ticket: AtomicU64,
    is_failing: AtomicBool,
    is_full: AtomicBool,
}

/// The event loop's handle to the store's thread.
pub struct Worker {
    sender: Option<SyncSender<Batch>>,
    status: Arc<WorkerStatus>,
    thread: Option<JoinHandle<()>>,
    last_ticket: u64,
}

impl Worker {
    /// Starts the thread. The thread calls `wake` whenever more batches become durable or the disk
    /// fails.
    ///
    /// # Errors
    ///
    /// If the system can't start a thread.
    pub fn start(store: Store, wake: Box<dyn Fn() + Send>) -> std::io::Result<Self> {
        let (sender, batches) = sync_channel(MAX_QUEUED_BATCHES);
        let status = Arc::new(WorkerStatus::default());
        let mut flusher = Flusher::new(store, status.clone(), wake);
        let thread = std::thread::Builder::new().name(THREAD_NAME.into());
        let thread = thread.spawn(move || flusher.run(&batches))?;
        Ok(Worker {
            sender: Some(sender),
            status,
            thread: Some(thread),
            last_ticket: 0,
        })
    }

    /// Sends a batch to the thread and returns its ticket. Tickets count from 1. Returns `None` if
    /// [`MAX_QUEUED_BATCHES`] batches are already waiting.
    pub fn write(&mut self, batch: Batch) -> Option<u64> {
        self.sender.as_ref()?.try_send(batch).ok()?;
        self.last_ticket += 1;
        Some(self.last_ticket)
    }

    /// Returns the ticket of the last batch that is durable; 0 if there is none. Batches with lower
    /// tickets are durable too.
    pub fn durable_ticket(&self) -> u64 {
        self.status.durable_ticket.load(Ordering::Acquire)
    }

    /// Returns whether the disk is failing or the store is full. In both cases batches may be
    /// waiting for a long time.
    pub fn is_failing(&self) -> bool {
        self.status.is_failing.load(Ordering::Relaxed)
            || self.status.is_full.load(Ordering::Relaxed)
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
            // If the thread panicked, the panic hook has already reported it.
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

/// State of the store's thread.
struct Flusher {
    store: Store,
    status: Arc<WorkerStatus>,
    wake: Box<dyn Fn() + Send>,
    started_at: Instant,
    /// Limits the rate of rewriting.
    slice_scheduler: Scheduler<()>,
    /// Ticket of the last batch that was received.
    last_ticket: u64,
    /// Earliest time of the next attempt to rebuild a broken log.
    retry_at: Instant,
}

impl Flusher {
    fn new(store: Store, status: Arc<WorkerStatus>, wake: Box<dyn Fn() + Send>) -> Self {
        let budget = Budget {
            round_time: u64::MAX,
            bytes_per_s: REWRITE_BYTES_PER_S,
        };
        Flusher {
            store,
            status,
            wake,
            started_at: Instant::now(),
            slice_scheduler: Scheduler::new(budget, 0),
            last_ticket: 0,
            retry_at: Instant::now(),
        }
    }

    fn run(&mut self, batches: &Receiver<Batch>) {
        loop {
            match batches.recv_timeout(self.next_wait()) {
                Ok(batch) => self.write_batch(batch),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            // One flush makes all batches durable that are waiting at this time.
            for batch in batches.try_iter().take(MAX_QUEUED_BATCHES) {
                self.write_batch(batch);
            }
            if self.store.is_broken() && Instant::now() < self.retry_at {
                continue;
            }
            if self.flush() {
                self.rewrite_slice();
            }
        }
        // If the last flush fails, its batches are never reported as durable.
        let _ = self.store.flush();
    }

    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Returns how long to wait for a batch before there is something else to do.
    fn next_wait(&mut self) -> Duration {
        if !self.store.should_rewrite() {
            return MAX_IDLE;
        }
        let now_us = self.now_us();
        let next_slice_us = self.slice_scheduler.next_job_at(now_us).unwrap_or(0);
        Duration::from_micros(next_slice_us.saturating_sub(now_us)).min(MAX_IDLE)
    }

    fn write_batch(&mut self, batch: Batch) {
        self.last_ticket += 1;
        // No intent is so long that its batch is rejected, so no send is waiting for this batch.
        if self.store.write(batch).is_none() {
            log::error!("a batch is longer than the store allows and is not written");
        }
    }

    /// Makes all received batches durable. Returns whether that succeeded.
    fn flush(&mut self) -> bool {
        let flushed = if self.store.is_broken() {
            self.store.rebuild(unix_ms())
        } else {
            self.store.flush()
        };
        if let Err(error) = flushed {
            if !self.status.is_failing.swap(true, Ordering::Relaxed) {
                log::error!(
                    "the store can't be written; requests with an idempotency key wait and are \
                     then refused: {error}"
                );
            }
            self.retry_at = Instant::now() + RETRY_DELAY;
            (self.wake)();
            return false;
        }
        if self.status.is_failing.swap(false, Ordering::Relaxed) {
            log::info!(
                "the store can be written again; requests with an idempotency key are accepted"
            );
        }
        let is_full = self.store.is_full(0);
        self.status.is_full.store(is_full, Ordering::Relaxed);
        let durable_ticket = self.last_ticket;
        if self
            .status
            .durable_ticket
            .swap(durable_ticket, Ordering::Release)
            != durable_ticket
        {
            (self.wake)();
        }
        true
    }

    fn rewrite_slice(&mut self) {
        if !self.store.should_rewrite() {
            return;
        }
        if self.slice_scheduler.queue_length(Urgency::Cleanup) == 0 {
            // The queue is empty, so it accepts the slice.
            let now_us = self.now_us();
            let _ = self
                .slice_scheduler
                .submit(now_us, Urgency::Cleanup, (), REWRITE_SLICE_BYTES);
        }
        self.slice_scheduler.start_round();
        let now_us = self.now_us();
        if self.slice_scheduler.next_job(now_us).is_none() {
            return;
        }
        if let Err(error) = self.store.rewrite(unix_ms(), REWRITE_SLICE_BYTES as usize) {
            log::warn!("the store's log could not be rewritten and will be retried: {error}");
            self.retry_at = Instant::now() + RETRY_DELAY;
        }
    }
}
