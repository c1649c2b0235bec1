//! Results that are spooled: joins the core of the spool to its worker, keeps pages in memory, and
//! finds the answer of a request that comes again. What is decided is decided in
//! `crates/result-spool`; here it is done.

use std::collections::{HashMap, VecDeque};
use std::io;

use eideryard::interface::Micros;
use eideryard_background_scheduler::{Budget as Pace, Scheduler, Timer, Urgency, Wheel};
use eideryard_operator_config::SpoolConfig;
use eideryard_result_spool::returns::{Arrival, Returns};
use eideryard_result_spool::segments::{Place, Segments};
use eideryard_result_spool::size::Sizes;
use eideryard_result_spool::token::{Keys, Token, TokenError};
use eideryard_result_spool::worker::{Directory, Done, Order, Worker};
use eideryard_result_spool::{Admission, Budget, Choice, Owner, PageLocation, RejectReason, Spool};

use crate::table::Key;

/// Rows that go out in one message, as for results that aren't paged.
const MAX_MESSAGE: usize = 48_000;
/// What a result is promised before anything was learned.
const USUAL: u64 = 48_000;
/// Bytes of a segment file, and background work for each look and each second: a page's write is
/// handed over in microseconds, and a disk that takes 64 MB a second is a slow one.
const SEGMENT: u64 = 4 << 20;
const PACE: Pace = Pace {
    look: 500,
    bytes_per_s: 64e6,
};
/// A disk that failed is tried again after this.
const DISK_PAUSE: Micros = 500_000;
/// How long a page token is good: as long as its result is kept at the most.
const TOKEN_LIFE: Micros = 600_000_000;
/// Names of runs that are known, failed ones included: as many as results, and as many failures.
const MAX_NAMES: usize = 2 * eideryard_result_spool::limits::MAX_RESULTS;
/// Parts of results that wait for the disk; more are told to come again.
const MAX_PENDING: usize = 4096;

pub type ResultId = u64;

/// Who is to get an answer: a connection and the client's number of the call on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    pub client: Key,
    pub call: u32,
    /// It is a request of its own, of this class and tenant, and counts as one.
    pub counts: Option<(usize, usize)>,
}

/// How a run ended, for all who ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    Result(ResultId),
    Failed,
}

/// A part of a result that goes out in one message.
pub struct Part {
    pub waiter: Waiter,
    pub rows: Vec<Vec<u8>>,
    pub token: String,
    pub more: bool,
}

/// What a client is told.
pub enum Told {
    Part(Part),
    /// An error's word and what it says.
    Error(Waiter, &'static str, String),
}

enum Kept {
    Memory(Vec<u8>),
    Moving(Vec<u8>, Place),
    Disk(Place),
}

struct Stored {
    /// What it is known by when it comes again.
    name: Box<str>,
    pages: Vec<Kept>,
    expiry: Option<Timer>,
    class: usize,
    tenant: usize,
}

/// A part whose pages are being fetched.
struct Pending {
    waiter: Waiter,
    result: ResultId,
    first: usize,
    rows: Vec<Option<Vec<u8>>>,
    more: bool,
}

enum Work {
    Move(ResultId, usize),
    Remove(u64),
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spooled {
    /// Results begun, ended whole, dropped; parts sent; returns answered or attached, and those
    /// that came too late.
    pub begun: u64,
    pub whole: u64,
    pub dropped: u64,
    pub parts: u64,
    pub returned: u64,
    pub gone: u64,
    pub disk_errors: u64,
}

pub struct ResultSpoolDriver {
    core: Spool,
    sizes: Sizes,
    keys: Keys,
    epoch: Micros,
    /// The largest single result, and how long a failure is remembered for who comes again.
    result: u64,
    remembered: Micros,
    stored: HashMap<ResultId, Stored>,
    returns: Returns<Waiter, Ended>,
    segments: Segments,
    worker: Option<Worker>,
    background: Scheduler<Work>,
    expiry: Wheel<ResultId>,
    pending: VecDeque<Pending>,
    pub counted: Spooled,
}

impl ResultSpoolDriver {
    pub fn start(
        name: &str,
        epoch: Micros,
        plan: &SpoolConfig,
        wake: Box<dyn Fn() + Send>,
    ) -> io::Result<Self> {
        let worker = match &plan.directory {
            Some(directory) => Some(Worker::start(
                name,
                epoch,
                Box::new(Directory(directory.clone())),
                wake,
            )?),
            None => None,
        };
        let budget = Budget {
            memory: plan.memory,
            disk: if worker.is_some() { plan.disk } else { 0 },
            result: plan.result,
            unclaimed: plan.unclaimed,
            delivered: plan.delivered,
        };
        Ok(ResultSpoolDriver {
            core: Spool::new(budget, epoch),
            sizes: Sizes::default(),
            keys: Keys::new(&plan.key, plan.previous_key.as_deref()),
            epoch,
            result: plan.result,
            remembered: plan.unclaimed,
            stored: HashMap::new(),
            returns: Returns::new(),
            segments: Segments::new(SEGMENT),
            worker,
            background: Scheduler::new(PACE, epoch),
            expiry: Wheel::new(epoch),
            pending: VecDeque::new(),
            counted: Spooled::default(),
        })
    }

    /// Bytes in memory, on disk, claimed in all, and results kept.
    pub fn sizes(&self) -> [(&'static str, usize); 4] {
        let (memory, disk, claims) = self.core.used();
        let results = self.core.len();
        [
            ("spool_memory", memory as usize),
            ("spool_disk", disk as usize),
            ("spool_claims", claims as usize),
            ("spool_results", results),
        ]
    }

    // ---- Runs ----

    /// Whether a request's result will fit; what has to go for it is dropped. An error: when to
    /// come back, and why not.
    pub fn admit(
        &mut self,
        class: usize,
        tenant: usize,
        address: u64,
        now: Micros,
    ) -> Result<(), (Option<Micros>, &'static str)> {
        let owner = Owner {
            tenant: tenant as u32,
            address,
        };
        let mut expected = self.sizes.expected(class, tenant, USUAL);
        if expected > self.result && self.sizes.doubts() {
            expected = USUAL;
        }
        if self.stored.len() >= MAX_NAMES {
            return Err((None, RejectReason::Full.word()));
        }
        match self.core.admit(owner, expected, now) {
            Admission::Yes { dropping } => {
                for id in dropping.into_iter() {
                    self.drop(id, now);
                }
                Ok(())
            }
            Admission::No { why, retry_after } => Err((retry_after, why.word())),
        }
    }

    /// A request was taken: its run is the one that whoever asks for its name gets.
    pub fn begin(
        &mut self,
        id: ResultId,
        name: &str,
        who: Waiter,
        (class, tenant, address): (usize, usize, u64),
        now: Micros,
    ) {
        let owner = Owner {
            tenant: tenant as u32,
            address,
        };
        self.core
            .begin(id, owner, self.sizes.expected(class, tenant, USUAL), now);
        self.stored.insert(
            id,
            Stored {
                name: name.into(),
                pages: Vec::new(),
                expiry: None,
                class,
                tenant,
            },
        );
        self.returns.arrives(name, who);
        self.counted.begun += 1;
    }

    pub fn is_spooled(&self, id: ResultId) -> bool {
        self.stored.contains_key(&id)
    }

    /// Bytes that the engine may be asked for now.
    pub fn ahead(&self, id: ResultId) -> u64 {
        self.core.ahead(id)
    }

    /// A page has come, the next in order. An error: the result can't be kept.
    pub fn page(&mut self, id: ResultId, bytes: Vec<u8>, now: Micros) -> Result<(), &'static str> {
        let Some(stored) = self.stored.get_mut(&id) else {
            return Ok(());
        };
        if let Err(why) = self.core.page(id, bytes.len() as u64, now) {
            if why == RejectReason::TooLarge {
                // All that is known of its size; the next are refused before they are sent.
                self.sizes
                    .learn(stored.class, stored.tenant, self.result + 1);
            }
            return Err(why.word());
        }
        stored.pages.push(Kept::Memory(bytes));
        self.make_room(now);
        Ok(())
    }

    /// What came of a run that is tried again is forgotten: rows of two runs are never mixed.
    pub fn restart(
        &mut self,
        id: ResultId,
        (class, tenant, address): (usize, usize, u64),
        now: Micros,
    ) {
        let Some(stored) = self
            .stored
            .get_mut(&id)
            .filter(|stored| !stored.pages.is_empty())
        else {
            return;
        };
        let pages = std::mem::take(&mut stored.pages);
        self.core.end(id, false, now);
        self.core.drop(id, now);
        self.free(pages, now);
        let owner = Owner {
            tenant: tenant as u32,
            address,
        };
        self.core
            .begin(id, owner, self.sizes.expected(class, tenant, USUAL), now);
    }

    /// All pages have come. Gives what goes to whom.
    pub fn whole(&mut self, id: ResultId, now: Micros) -> Vec<Told> {
        let Some(stored) = self.stored.get_mut(&id) else {
            return Vec::new();
        };
        let bytes = stored.pages.iter().map(Kept::length).sum();
        self.sizes.learn(stored.class, stored.tenant, bytes);
        let name = stored.name.clone();
        self.core.end(id, true, now);
        self.expire_later(id);
        self.counted.whole += 1;
        let waiting = self.returns.ends(&name, Ended::Result(id));
        waiting
            .into_iter()
            .filter_map(|waiter| self.part(waiter, id, 0, now))
            .collect()
    }

    /// The run ended without a result: refused before anything ran, or failed for good. Gives who
    /// waits besides the request's own client.
    pub fn over(&mut self, id: ResultId, refused: bool, now: Micros) -> Vec<Waiter> {
        let Some(stored) = self.stored.get(&id) else {
            return Vec::new();
        };
        let name = stored.name.clone();
        self.core.end(id, false, now);
        if refused {
            let waiting = self.returns.refused(&name);
            self.drop(id, now);
            return waiting;
        }
        // Nobody has seen a row of it, so only the failure is kept.
        self.core.drop(id, now);
        let timer = self.expiry.set(now + self.remembered, id);
        if let Some(stored) = self.stored.get_mut(&id) {
            let before = stored.expiry.replace(timer);
            let pages = std::mem::take(&mut stored.pages);
            before.and_then(|timer| self.expiry.take_back(timer));
            self.free(pages, now);
        }
        self.returns.ends(&name, Ended::Failed)
    }

    /// The connection of one who waits has ended; the run goes on for whoever comes again.
    pub fn leaves(&mut self, id: ResultId, who: &Waiter) {
        if let Some(stored) = self.stored.get(&id) {
            self.returns.leaves(&stored.name, who);
        }
    }

    // ---- Clients ----

    /// Whether a request of this name runs, or has an answer.
    pub fn knows(&self, name: &str) -> bool {
        self.returns.knows(name)
    }

    /// A client comes again by its request's id: what it is told now, if anything is known yet.
    pub fn again(&mut self, name: &str, who: Waiter, now: Micros) -> Option<Told> {
        let told = match self.returns.arrives(name, who) {
            Arrival::First => {
                // Nothing of it is known here, and asking starts no run.
                self.returns.refused(name);
                self.counted.gone += 1;
                return Some(Told::Error(
                    who,
                    "Gone",
                    "nothing is known of this request".into(),
                ));
            }
            Arrival::Gone => {
                self.counted.gone += 1;
                return Some(Told::Error(
                    who,
                    "Gone",
                    "its result is kept no longer".into(),
                ));
            }
            Arrival::Crowded => {
                return Some(Told::Error(who, "TryLater", "too many wait for it".into()))
            }
            Arrival::Attached => None,
            Arrival::Answered(Ended::Failed) => {
                Some(Told::Error(who, "Failed", "the request has failed".into()))
            }
            Arrival::Answered(Ended::Result(id)) => self.part(who, id, 0, now),
        };
        self.counted.returned += 1;
        told
    }

    /// A page by its token, with the id of its request as the one thing that only its client knows.
    pub fn by_token(&mut self, token: &str, name: &str, who: Waiter, now: Micros) -> Option<Told> {
        match self.keys.read(token, name, self.epoch, now) {
            Ok(token) => self.part(who, token.result, token.page as usize, now),
            Err(wrong) => {
                let word = if wrong == TokenError::Forged {
                    "Forged"
                } else {
                    "Gone"
                };
                Some(Told::Error(who, word, wrong.to_string()))
            }
        }
    }

    /// The client wants no more of it.
    pub fn release(&mut self, token: &str, name: &str, now: Micros) {
        if let Ok(token) = self.keys.read(token, name, self.epoch, now) {
            self.core.open(token.result, now);
            self.core.close(token.result, true, now);
            self.expire_later(token.result);
        }
    }

    /// The pages from one on that fit into a message, at once or when the disk has given them.
    fn part(&mut self, waiter: Waiter, id: ResultId, first: usize, now: Micros) -> Option<Told> {
        let gone = || {
            Some(Told::Error(
                waiter,
                "Gone",
                "its result is kept no longer".into(),
            ))
        };
        let Some(stored) = self.stored.get(&id) else {
            return gone();
        };
        let (mut bytes, mut rows) = (0, Vec::new());
        for page in stored.pages.iter().skip(first) {
            if !rows.is_empty() && bytes + page.length() as usize > MAX_MESSAGE {
                break;
            }
            bytes += page.length() as usize;
            rows.push(match page {
                Kept::Memory(rows) | Kept::Moving(rows, _) => Some(rows.clone()),
                Kept::Disk(_) => None,
            });
        }
        let last = first + rows.len();
        let more = last < stored.pages.len();
        if rows.is_empty() && self.core.read(id, first, now) != PageLocation::NoSuch {
            return gone();
        }
        self.core.open(id, now);
        if !rows.is_empty() {
            self.core.read(id, last - 1, now);
        }
        let pending = Pending {
            waiter,
            result: id,
            first,
            rows,
            more,
        };
        if pending.rows.iter().all(Option::is_some) {
            return self.finish(pending, now);
        }
        if self.pending.len() >= MAX_PENDING || !self.fetch(&pending) {
            self.core.close(id, false, now);
            return Some(Told::Error(
                waiter,
                "TryLater",
                "the spool's disk is busy".into(),
            ));
        }
        self.pending.push_back(pending);
        None
    }

    /// Orders the pages of a part that are on disk.
    fn fetch(&self, pending: &Pending) -> bool {
        let (Some(worker), Some(stored)) = (&self.worker, self.stored.get(&pending.result)) else {
            return false;
        };
        let missing = pending
            .rows
            .iter()
            .enumerate()
            .filter(|(_, rows)| rows.is_none());
        let places = missing.filter_map(|(at, _)| match stored.pages.get(pending.first + at) {
            Some(Kept::Disk(place)) => Some((pending.first + at, *place)),
            _ => None,
        });
        places.into_iter().all(|(page, place)| {
            worker
                .order(Order::Read {
                    result: pending.result,
                    page: page as u32,
                    place,
                })
                .is_ok()
        })
    }

    fn finish(&mut self, pending: Pending, now: Micros) -> Option<Told> {
        let Pending {
            waiter,
            result,
            first,
            rows,
            more,
        } = pending;
        let name = self.stored.get(&result)?.name.clone();
        let page = (first + rows.len()) as u32;
        let token = Token {
            result,
            epoch: self.epoch,
            page,
            expires: now + TOKEN_LIFE,
        };
        let token = self.keys.write(&token, &name);
        self.core.close(result, !more, now);
        self.expire_later(result);
        self.counted.parts += 1;
        Some(Told::Part(Part {
            waiter,
            rows: rows.into_iter().flatten().collect(),
            token,
            more,
        }))
    }

    // ---- Disk, background, expiry ----

    fn make_room(&mut self, now: Micros) {
        if self.worker.is_none() {
            return;
        }
        for Choice::Move { result, page } in self.core.moves(now) {
            let Some(Kept::Memory(rows)) = self
                .stored
                .get(&result)
                .and_then(|stored| stored.pages.get(page))
            else {
                continue;
            };
            let bytes = rows.len() as u64;
            self.core.moving(result, page);
            if self
                .background
                .offer(now, Urgency::Room, Work::Move(result, page), bytes)
                .is_err()
            {
                self.core.moved(result, page, false, now);
                return;
            }
        }
    }

    /// What the worker has done, work that may be done now, and results whose time is over. Gives
    /// what goes to whom.
    pub fn work(&mut self, now: Micros) -> Vec<Told> {
        let mut told = Vec::new();
        let done: Vec<Done> = self.worker.iter().flat_map(Worker::done).collect();
        for done in done {
            self.done(done, now, &mut told);
        }
        self.background.look();
        while let Some(job) = self.background.next(now) {
            match job.what {
                Work::Move(result, page) => self.write(result, page, now),
                Work::Remove(segment) => {
                    let order = self
                        .worker
                        .as_ref()
                        .map(|worker| worker.order(Order::Remove { segment }));
                    if let Some(Err(_)) = order {
                        // The disk is behind: later, with the others that wait.
                        let _ = self
                            .background
                            .offer(now, Urgency::Tidy, Work::Remove(segment), 0);
                        break;
                    }
                }
            }
        }
        while let Some(id) = self.expiry.due(now) {
            if let Some(stored) = self.stored.get_mut(&id) {
                stored.expiry = None;
            }
            match self.core.expires(id) {
                Some(at) if at <= now => self.drop(id, now),
                Some(_) => self.expire_later(id),
                // A failure that was remembered for long enough.
                None if !self.core.holds(id) => self.drop(id, now),
                None => {}
            }
        }
        told
    }

    /// When [`ResultSpoolDriver::work`] has something to do, if nothing else happens.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        self.expiry
            .next()
            .into_iter()
            .chain(self.background.due(now))
            .min()
    }

    fn write(&mut self, result: ResultId, page: usize, now: Micros) {
        let kept = self
            .stored
            .get_mut(&result)
            .and_then(|stored| stored.pages.get_mut(page));
        // It may have been another run's page that was to move.
        let Some(Kept::Memory(rows)) = kept.filter(|_| self.core.is_moving(result, page)) else {
            return;
        };
        let (place, begins) = self.segments.place(rows.len() as u32);
        let order = Order::Write {
            result,
            page: page as u32,
            place,
            begins,
            bytes: rows.clone(),
        };
        if self
            .worker
            .as_ref()
            .is_none_or(|worker| worker.order(order).is_err())
        {
            self.failed_place(place, now);
            self.core.moved(result, page, false, now);
            return;
        }
        if let Some(kept @ Kept::Memory(_)) = self
            .stored
            .get_mut(&result)
            .and_then(|stored| stored.pages.get_mut(page))
        {
            if let Kept::Memory(rows) = std::mem::replace(kept, Kept::Disk(place)) {
                *kept = Kept::Moving(rows, place);
            }
        }
    }

    /// Nothing that follows in a segment whose write failed can be relied on.
    fn failed_place(&mut self, place: Place, now: Micros) {
        let gone = [self.segments.free(place), self.segments.abandon()];
        gone.into_iter()
            .flatten()
            .for_each(|segment| self.remove(segment, now));
    }

    fn done(&mut self, done: Done, now: Micros, told: &mut Vec<Told>) {
        match done {
            Done::Written {
                result,
                page,
                place,
                outcome,
            } => {
                let page = page as usize;
                let kept = self
                    .stored
                    .get_mut(&result)
                    .and_then(|stored| stored.pages.get_mut(page));
                let Some(kept) =
                    kept.filter(|kept| matches!(kept, Kept::Moving(_, own) if *own == place))
                else {
                    // It was dropped meanwhile, which has given its place back.
                    return;
                };
                let written = outcome.is_ok();
                if let Kept::Moving(rows, _) = std::mem::replace(kept, Kept::Disk(place)) {
                    if !written {
                        *kept = Kept::Memory(rows);
                    }
                }
                self.core.moved(result, page, written, now + DISK_PAUSE);
                if let Err(e) = outcome {
                    self.counted.disk_errors += 1;
                    tracing::warn!("the spool's disk fails, what is in memory goes on: {e}");
                    self.failed_place(place, now);
                }
            }
            Done::Read {
                result,
                page,
                outcome,
            } => self.fetched(result, page as usize, outcome, now, told),
        }
    }

    /// A page has come from the disk, for all parts that wait for it.
    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn fetched(
        &mut self,
        result: ResultId,
        page: usize,
        outcome: io::Result<Vec<u8>>,
        now: Micros,
        told: &mut Vec<Told>,
    ) {
        let mut waiting = std::mem::take(&mut self.pending);
        for mut pending in waiting.drain(..) {
            let at = page
                .checked_sub(pending.first)
                .filter(|_| pending.result == result);
            let place = at
                .and_then(|at| pending.rows.get_mut(at))
                .filter(|rows| rows.is_none());
            match (place, &outcome) {
                (Some(place), Ok(rows)) => *place = Some(rows.clone()),
                (Some(_), Err(e)) => {
                    self.counted.disk_errors += 1;
                    tracing::warn!("a page of the spool can't be read: {e}");
                    self.core.close(result, false, now);
                    told.push(Told::Error(
                        pending.waiter,
                        "Failed",
                        "a page of it can't be read".into(),
                    ));
                    continue;
                }
                (None, _) => {}
            }
            if pending.rows.iter().all(Option::is_some) {
                told.extend(self.finish(pending, now));
            } else {
                self.pending.push_back(pending);
            }
        }
    }

    fn expire_later(&mut self, id: ResultId) {
        let Some(at) = self.core.expires(id) else {
            return;
        };
        if let Some(stored) = self.stored.get_mut(&id) {
            if let Some(before) = stored.expiry.replace(self.expiry.set(at, id)) {
                self.expiry.take_back(before);
            }
        }
    }

    fn drop(&mut self, id: ResultId, now: Micros) {
        if self.core.holds(id) && !self.core.drop(id, now) {
            return;
        }
        let Some(stored) = self.stored.remove(&id) else {
            return;
        };
        stored.expiry.and_then(|timer| self.expiry.take_back(timer));
        self.returns.drops(&stored.name);
        self.free(stored.pages, now);
        self.counted.dropped += 1;
    }

    fn free(&mut self, pages: Vec<Kept>, now: Micros) {
        for page in pages {
            if let Kept::Disk(place) | Kept::Moving(_, place) = page {
                let gone = self.segments.free(place);
                for segment in gone.into_iter() {
                    self.remove(segment, now);
                }
            }
        }
    }

    fn remove(&mut self, segment: u64, now: Micros) {
        // What finds no room here is removed at the next start.
        let _ = self
            .background
            .offer(now, Urgency::Tidy, Work::Remove(segment), 0);
    }
}

impl Kept {
    fn length(&self) -> u64 {
        match self {
            Kept::Memory(rows) | Kept::Moving(rows, _) => rows.len() as u64,
            Kept::Disk(place) => place.length as u64,
        }
    }
}
