//! Spooled results: connects the decisions of the `eideryard-result-spool` package to its disk
//! worker. The gateway's main loop owns one [`ResultSpoolDriver`], which stores pages in memory,
//! tracks pages on disk, and finds the stored result when a client queries it later.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;

use eideryard::interface::Micros;
use eideryard_background_scheduler::{Budget as WorkBudget, Scheduler, Timer, Wheel};
use eideryard_operator_config::SpoolConfig;
use eideryard_result_spool::run_registry::{RunName, RunRegistry};
use eideryard_result_spool::segments::{PagePosition, Segments};
use eideryard_result_spool::size::Sizes;
use eideryard_result_spool::token::Keys;
use eideryard_result_spool::worker::{Directory, Worker};
use eideryard_result_spool::{Budget, Owner, RejectReason, Spool};

use crate::clients::CallId;
use crate::error_reply::ErrorKind;
use crate::requests::{Request, RequestLabels};
use crate::table::Key;

mod disk;
mod maintenance;
mod queries;
mod runs;

/// Size at which a segment file is full, in bytes.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Limit on background work: 500 µs in each poll, since passing a page to the disk worker takes
/// microseconds, and 64 MB per second, which even a slow disk can write.
const WORK_BUDGET: WorkBudget = WorkBudget {
    round_time: 500,
    bytes_per_s: 64e6,
};
/// Delay before the next write of a page to disk after a failed write, in microseconds.
const DISK_RETRY_DELAY: Micros = 500_000;

/// The ID of a result, which equals the ID of the request whose run produces the result.
pub type ResultId = u64;

/// A call that is waiting for an answer: the client's connection, and the message ID that the
/// client chose for the call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    pub client: Key,
    pub call_id: u32,
    /// Class and tenant under which the answer is counted, if the call is a request that was
    /// attached to an earlier run. `None` for queries, and for the request that began the run,
    /// whose answer is counted elsewhere.
    pub counted_as: Option<RequestLabels>,
}

impl Waiter {
    /// Returns the call of the request that began the run.
    pub fn of_request(request: &Request) -> Self {
        Waiter {
            client: request.client,
            call_id: request.call_id,
            counted_as: None,
        }
    }

    fn call(&self) -> CallId {
        CallId {
            client: self.client,
            id: self.call_id,
        }
    }
}

/// The owner of a result. The spool's space is divided fairly among owners.
#[derive(Clone, Copy, Debug)]
pub struct ResultOwner {
    pub labels: RequestLabels,
    /// The client's network address, mapped to a number.
    pub address: u64,
}

impl ResultOwner {
    fn spool_owner(self) -> Owner {
        Owner {
            tenant: self.labels.tenant as u32,
            address: self.address,
        }
    }
}

/// The rejection of a request whose result is not expected to fit into the spool.
pub struct SpoolRejection {
    pub reason: RejectReason,
    /// Microseconds from now until there may be room; `None` if unknown.
    pub retry_after: Option<Micros>,
}

/// How a run ended, stored for clients that query its result later.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunOutcome {
    Result(ResultId),
    Failed,
}

/// The part of a result that is sent in one message.
pub struct ResultPart {
    pub waiter: Waiter,
    pub rows: Vec<Vec<u8>>,
    /// Page token with which the client queries the next part.
    pub token: String,
    pub has_more: bool,
}

/// A message to send to a client.
pub enum Delivery {
    Part(ResultPart),
    Error {
        waiter: Waiter,
        kind: ErrorKind,
        reason: String,
    },
}

impl Delivery {
    /// Returns the call that the message answers.
    pub fn waiter(&self) -> Waiter {
        match self {
            Delivery::Part(part) => part.waiter,
            Delivery::Error { waiter, .. } => *waiter,
        }
    }

    fn error(waiter: Waiter, kind: ErrorKind, reason: impl Into<String>) -> Self {
        Delivery::Error {
            waiter,
            kind,
            reason: reason.into(),
        }
    }

    /// Returns the error for a call whose wait has ended before its run.
    pub fn failed(waiter: Waiter, reason: &str) -> Self {
        Delivery::error(waiter, ErrorKind::Failed, reason)
    }

    /// Returns the error for a result that has expired or was dropped.
    fn expired(waiter: Waiter) -> Self {
        Delivery::error(waiter, ErrorKind::Gone, "its result is kept no longer")
    }
}

/// The rows of one page of a result, or the page's position on disk.
enum StoredPage {
    Memory(Vec<u8>),
    /// The page is being written to disk; its rows stay in memory until the write has succeeded.
    Writing(Vec<u8>, PagePosition),
    Disk(PagePosition),
}

impl StoredPage {
    fn length(&self) -> u64 {
        match self {
            StoredPage::Memory(rows) | StoredPage::Writing(rows, _) => rows.len() as u64,
            StoredPage::Disk(position) => u64::from(position.length),
        }
    }
}

/// A result, or the stored failure of a run, which has no pages.
struct StoredResult {
    /// The name by which clients query the result: the request's idempotency key, or its ID if it
    /// has no key.
    name: Box<str>,
    pages: Vec<StoredPage>,
    expiry_timer: Option<Timer>,
    owner: ResultOwner,
}

/// A part of a result, some of whose pages may still have to be read from disk.
struct PendingPart {
    waiter: Waiter,
    result: ResultId,
    first_page: usize,
    /// The rows of each page from `first_page` on; `None` until the page has been read.
    rows: Vec<Option<Vec<u8>>>,
    has_more: bool,
}

impl PendingPart {
    fn is_complete(&self) -> bool {
        self.rows.iter().all(Option::is_some)
    }
}

/// A call or query that waits for the end of the run that it is attached to.
struct AttachedCall {
    run_name: RunName,
    waiter: Waiter,
    /// When the call gets an error unless the run has ended; `None` for queries, which state no
    /// time.
    timer: Option<Timer>,
}

/// A job for the background scheduler.
enum Work {
    /// Writes a page to disk.
    WritePage(ResultId, usize),
    /// Removes a segment file.
    RemoveSegment(u64),
}

/// Counters of the spool since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResultSpoolCounters {
    /// Runs that began to spool a result.
    pub begun: u64,
    /// Results received completely.
    pub completed: u64,
    /// Results and stored failures dropped after expiry or to make room.
    pub dropped: u64,
    /// Parts of results passed on for sending.
    pub parts_sent: u64,
    /// Calls for a known run that were answered or attached to that run.
    pub reattached: u64,
    /// Calls for a run that is unknown or whose result was dropped.
    pub not_found: u64,
    /// Reads and writes on disk that failed.
    pub disk_errors: u64,
}

/// All spooled results of a gateway.
pub struct ResultSpoolDriver {
    spool: Spool,
    sizes: Sizes,
    keys: Keys,
    /// Time at which the gateway started. Page tokens contain this time, so tokens from earlier
    /// starts are recognized.
    epoch: Micros,
    /// Maximum size of a single result in bytes.
    max_result_bytes: u64,
    /// How long the failure of a run is stored for later queries, in microseconds.
    failure_retention: Micros,
    results: HashMap<ResultId, StoredResult>,
    run_registry: RunRegistry<Waiter, RunOutcome>,
    segments: Segments,
    /// `None` if the operator's file sets no directory: pages are then stored in memory only.
    worker: Option<Worker>,
    background: Scheduler<Work>,
    expiry_timers: Wheel<ResultId>,
    /// All calls and queries that wait for a run, except for the requests that started the runs.
    attached_calls: BTreeMap<CallId, AttachedCall>,
    call_timers: Wheel<CallId>,
    pending_parts: VecDeque<PendingPart>,
    pub counters: ResultSpoolCounters,
}

impl ResultSpoolDriver {
    /// Starts the spool. The disk worker's thread calls `wake` when it has finished a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk worker can't be started.
    pub fn start(
        name: &str,
        epoch: Micros,
        config: &SpoolConfig,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<Self> {
        let worker = match &config.directory {
            Some(directory) => {
                let directory = Box::new(Directory(directory.clone()));
                Some(Worker::start(name, epoch, directory, wake)?)
            }
            None => None,
        };
        let budget = Budget {
            memory: config.memory,
            disk: if worker.is_some() { config.disk } else { 0 },
            max_result_bytes: config.result,
            unclaimed_retention: config.unclaimed,
            delivered_retention: config.delivered,
        };
        Ok(ResultSpoolDriver {
            spool: Spool::new(budget, epoch),
            sizes: Sizes::default(),
            keys: Keys::new(&config.key, config.previous_key.as_deref()),
            epoch,
            max_result_bytes: config.result,
            failure_retention: config.unclaimed,
            results: HashMap::new(),
            run_registry: RunRegistry::new(),
            segments: Segments::new(SEGMENT_BYTES),
            worker,
            background: Scheduler::new(WORK_BUDGET, epoch),
            expiry_timers: Wheel::new(epoch),
            attached_calls: BTreeMap::new(),
            call_timers: Wheel::new(epoch),
            pending_parts: VecDeque::new(),
            counters: ResultSpoolCounters::default(),
        })
    }

    /// Returns the bytes in memory, on disk and claimed, the number of results, and the number of
    /// attached calls, with the names under which they are logged.
    pub fn sizes(&self) -> [(&'static str, usize); 5] {
        let (memory, disk, claims) = self.spool.used();
        [
            ("spool_memory", memory as usize),
            ("spool_disk", disk as usize),
            ("spool_claims", claims as usize),
            ("spool_results", self.spool.len()),
            ("spool_calls", self.attached_calls.len()),
        ]
    }
}
