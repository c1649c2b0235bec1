//! The store's thread: takes batches from the loop, flushes once for all that wait, and rewrites
//! the log in slices between. The loop never waits for it: it is told what is durable, and that the
//! disk fails.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eideryard_background_scheduler::{Budget, Scheduler, Urgency};

use crate::frame::Batch;
use crate::store::Store;

/// Batches between the loop and the thread; one more is refused.
pub const MAX_WAITING: usize = 4096;
/// The rewriting of a log: bytes of one slice, and bytes a second.
const SLICE: u64 = 16 << 10;
const SLICES_PER_S: f64 = 8.0 * (1 << 20) as f64;
/// After a fault the log is written anew no sooner than this.
const PAUSE: Duration = Duration::from_millis(500);
/// How often the thread looks round where nothing comes.
const IDLE: Duration = Duration::from_millis(200);
/// How long the end of the program waits for the last flush.
const LAST_FLUSH: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Shared {
    durable: AtomicU64,
    failing: AtomicBool,
    full: AtomicBool,
}

/// The loop's side.
pub struct Worker {
    sender: Option<SyncSender<Batch>>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
    sent: u64,
}

impl Worker {
    /// `wake` is called from the thread whenever more is durable.
    pub fn start(store: Store, wake: Box<dyn Fn() + Send>) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_WAITING);
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        let thread = std::thread::Builder::new().name("store".into());
        let thread = thread.spawn(move || run(store, receiver, &own, wake))?;
        Ok(Worker {
            sender: Some(sender),
            shared,
            thread: Some(thread),
            sent: 0,
        })
    }

    /// Hands a batch over; gives its ticket, or nothing where too many wait.
    pub fn write(&mut self, batch: Batch) -> Option<u64> {
        match self.sender.as_ref()?.try_send(batch) {
            Ok(()) => {
                self.sent += 1;
                Some(self.sent)
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// The last ticket that is durable.
    pub fn durable(&self) -> u64 {
        self.shared.durable.load(Ordering::Acquire)
    }

    /// The disk fails or is full: what is handed over now may wait for long.
    pub fn is_failing(&self) -> bool {
        self.shared.failing.load(Ordering::Relaxed) || self.shared.full.load(Ordering::Relaxed)
    }
}

/// The end: what was handed over is flushed, if the disk is quick about it.
impl Drop for Worker {
    fn drop(&mut self) {
        self.sender = None;
        let (until, thread) = (Instant::now() + LAST_FLUSH, self.thread.take());
        while thread.as_ref().is_some_and(|thread| !thread.is_finished()) && Instant::now() < until
        {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

#[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
fn run(mut store: Store, batches: Receiver<Batch>, shared: &Shared, wake: Box<dyn Fn() + Send>) {
    let began = Instant::now();
    let mut slices: Scheduler<()> = Scheduler::new(
        Budget {
            round_time: u64::MAX,
            bytes_per_s: SLICES_PER_S,
        },
        0,
    );
    let (mut taken, mut not_before) = (0u64, Instant::now());
    loop {
        let now = || began.elapsed().as_micros() as u64;
        let rewrites = store.wants_rewriting();
        let wait = if rewrites {
            Duration::from_micros(
                slices
                    .next_job_at(now())
                    .map_or(0, |due| due.saturating_sub(now())),
            )
            .min(IDLE)
        } else {
            IDLE
        };
        let first = match batches.recv_timeout(wait) {
            Ok(batch) => Some(batch),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        // One flush for all that waits by now.
        for batch in first
            .into_iter()
            .chain(batches.try_iter().take(MAX_WAITING))
        {
            taken += 1;
            // Only what nobody waits for can be too long: an intent is some sixty bytes.
            if store.write(batch).is_none() {
                log::error!("a batch is too long for the store and was left out");
            }
        }
        let flushed = match store.is_broken() {
            false => store.flush().map(|_| ()),
            true if Instant::now() < not_before => continue,
            true => store.rescue(unix_ms()).map(|_| ()),
        };
        if let Err(e) = flushed {
            if !shared.failing.swap(true, Ordering::Relaxed) {
                log::error!(
                    "the store can't be written; keyed requests wait, then are refused: {e}"
                );
            }
            not_before = Instant::now() + PAUSE;
            wake();
            continue;
        }
        if shared.failing.swap(false, Ordering::Relaxed) {
            log::info!("the store is written again");
        }
        shared.full.store(store.is_full(0), Ordering::Relaxed);
        if shared.durable.swap(taken, Ordering::Release) != taken {
            wake();
        }
        if store.wants_rewriting() {
            // A full queue has one slice waiting already.
            if slices.waiting(Urgency::Tidy) == 0 {
                let _ = slices.offer(now(), Urgency::Tidy, (), SLICE);
            }
            slices.start_round();
            if slices.next_job(now()).is_some() {
                if let Err(e) = store.rewrite(unix_ms(), SLICE as usize) {
                    log::warn!("the store's log could not be rewritten, which is tried again: {e}");
                    not_before = Instant::now() + PAUSE;
                }
            }
        }
    }
    // What came last; where this fails nobody was told otherwise.
    let _ = store.flush();
}
