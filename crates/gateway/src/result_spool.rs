//! Spooled results: joins the decisions of the `eideryard-result-spool` package to its disk worker.
//! The gateway's main loop owns one [`ResultSpoolDriver`], which holds the pages in memory, knows
//! which are on disk, and finds the result of a request that a client asks for again.

use std::collections::{HashMap, VecDeque};
use std::io;

use eideryard::interface::Micros;
use eideryard_background_scheduler::{Budget as WorkBudget, Scheduler, Timer, Wheel};
use eideryard_operator_config::SpoolConfig;
use eideryard_result_spool::returns::Returns;
use eideryard_result_spool::segments::{Place, Segments};
use eideryard_result_spool::size::Sizes;
use eideryard_result_spool::token::Keys;
use eideryard_result_spool::worker::{Directory, Worker};
use eideryard_result_spool::{Budget, Owner, RejectReason, Spool};

use crate::error_reply::ErrorKind;
use crate::requests::{Request, RequestLabels};
use crate::table::Key;

mod disk;
mod maintenance;
mod queries;
mod runs;

/// Bytes of a segment file.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Background work for each poll and each second: a page's write is handed over in microseconds,
/// and a disk that takes 64 MB a second is a slow one.
const WORK_BUDGET: WorkBudget = WorkBudget {
    round_time: 500,
    bytes_per_s: 64e6,
};
/// How long a failed disk is not used.
const DISK_RETRY_DELAY: Micros = 500_000;

/// The number of a result: that of the request whose run produces it.
pub type ResultId = u64;

/// Who waits for an answer: a connection, and the client's number of the call on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    pub client: Key,
    pub call_id: u32,
    /// The call is a request of its own, and its answer is counted as that of one.
    pub counted_as: Option<RequestLabels>,
}

impl Waiter {
    /// The client of the request that began the run.
    pub fn of_request(request: &Request) -> Self {
        Waiter {
            client: request.client,
            call_id: request.call_id,
            counted_as: None,
        }
    }
}

/// Who a result belongs to, for fair shares of the spool.
#[derive(Clone, Copy, Debug)]
pub struct ResultOwner {
    pub labels: RequestLabels,
    /// Where the client comes from, as a number.
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

/// A request that is not admitted, since its result would not fit.
pub struct SpoolRejection {
    pub reason: RejectReason,
    /// When there may be room, from now.
    pub retry_after: Option<Micros>,
}

/// How a run ended, for all who ask.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunEnd {
    Result(ResultId),
    Failed,
}

/// A part of a result that goes out in one message.
pub struct ResultPart {
    pub waiter: Waiter,
    pub rows: Vec<Vec<u8>>,
    /// By this the client asks for the next part.
    pub token: String,
    pub has_more: bool,
}

/// What a client is to be sent.
pub enum Delivery {
    Part(ResultPart),
    Error {
        waiter: Waiter,
        kind: ErrorKind,
        reason: String,
    },
}

impl Delivery {
    /// Who gets it.
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

    /// The result isn't kept any longer.
    fn expired(waiter: Waiter) -> Self {
        Delivery::error(waiter, ErrorKind::Gone, "its result is kept no longer")
    }
}

/// Where a page is.
enum StoredPage {
    Memory(Vec<u8>),
    /// It is being written to disk.
    Moving(Vec<u8>, Place),
    Disk(Place),
}

impl StoredPage {
    fn length(&self) -> u64 {
        match self {
            StoredPage::Memory(rows) | StoredPage::Moving(rows, _) => rows.len() as u64,
            StoredPage::Disk(place) => u64::from(place.length),
        }
    }
}

/// A result, or a failure that is remembered.
struct StoredResult {
    /// By this clients ask for it again.
    name: Box<str>,
    pages: Vec<StoredPage>,
    expiry: Option<Timer>,
    labels: RequestLabels,
}

/// A part whose pages are being read from disk.
struct PendingPart {
    waiter: Waiter,
    result: ResultId,
    first: usize,
    rows: Vec<Option<Vec<u8>>>,
    has_more: bool,
}

impl PendingPart {
    fn is_complete(&self) -> bool {
        self.rows.iter().all(Option::is_some)
    }
}

/// Background work.
enum Work {
    /// Writes a page to disk.
    Move(ResultId, usize),
    /// Removes a segment file.
    Remove(u64),
}

/// What the spool has counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResultSpoolCounters {
    /// Results begun.
    pub begun: u64,
    /// Results completed.
    pub completed: u64,
    /// Results dropped.
    pub dropped: u64,
    /// Parts sent.
    pub parts_sent: u64,
    /// Clients that asked again and were answered or attached.
    pub reattached: u64,
    /// Clients that asked again too late.
    pub not_found: u64,
    /// Reads and writes that failed.
    pub disk_errors: u64,
}

/// All spooled results of a gateway.
pub struct ResultSpoolDriver {
    spool: Spool,
    sizes: Sizes,
    keys: Keys,
    epoch: Micros,
    /// Bytes of the largest single result.
    max_result_bytes: u64,
    /// How long a failure is remembered for clients that ask again.
    failure_retention: Micros,
    stored: HashMap<ResultId, StoredResult>,
    returns: Returns<Waiter, RunEnd>,
    segments: Segments,
    worker: Option<Worker>,
    background: Scheduler<Work>,
    expiry: Wheel<ResultId>,
    pending: VecDeque<PendingPart>,
    pub counters: ResultSpoolCounters,
}

impl ResultSpoolDriver {
    /// Starts the spool; `wake` is called from the disk worker's thread when it has done something.
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
            result: config.result,
            unclaimed: config.unclaimed,
            delivered: config.delivered,
        };
        Ok(ResultSpoolDriver {
            spool: Spool::new(budget, epoch),
            sizes: Sizes::default(),
            keys: Keys::new(&config.key, config.previous_key.as_deref()),
            epoch,
            max_result_bytes: config.result,
            failure_retention: config.unclaimed,
            stored: HashMap::new(),
            returns: Returns::new(),
            segments: Segments::new(SEGMENT_BYTES),
            worker,
            background: Scheduler::new(WORK_BUDGET, epoch),
            expiry: Wheel::new(epoch),
            pending: VecDeque::new(),
            counters: ResultSpoolCounters::default(),
        })
    }

    /// Bytes in memory, on disk and claimed in all, and the number of results, each by the name
    /// under which it is logged.
    pub fn sizes(&self) -> [(&'static str, usize); 4] {
        let (memory, disk, claims) = self.spool.used();
        [
            ("spool_memory", memory as usize),
            ("spool_disk", disk as usize),
            ("spool_claims", claims as usize),
            ("spool_results", self.spool.len()),
        ]
    }
}
