//! Answers clients' queries for results, in parts that fit into one message.

use eideryard::interface::Micros;
use eideryard_result_spool::run_registry::Arrival;
use eideryard_result_spool::token::{Token, TokenError};
use eideryard_result_spool::worker::DiskJob;
use eideryard_result_spool::PageLocation;

use super::{
    AttachedCall, Delivery, PendingPart, ResultId, ResultPart, ResultSpoolDriver, RunOutcome,
    StoredPage, Waiter,
};
use crate::error_reply::ErrorKind;

/// Maximum bytes of rows in one message, the same as for results that aren't spooled. A single page
/// that is larger is sent alone.
const MAX_MESSAGE_BYTES: usize = 48_000;
/// How long a page token is valid, in microseconds: at least as long as its result is stored.
const TOKEN_LIFETIME: Micros = 600_000_000;
/// Maximum number of parts that are waiting for reads from disk; further queries get `TryLater`.
const MAX_PENDING_PARTS: usize = 4096;

impl ResultSpoolDriver {
    /// Returns whether a run with this name is in progress or its outcome is still stored; see
    /// `StoredResult::name`.
    pub fn is_known_run(&self, name: &str) -> bool {
        self.run_registry.contains(name)
    }

    /// Attaches a call to a run, which is identified by its name. Returns `None` if the run is in
    /// progress: the client gets the result when the run ends, or an error at the time `answer_by`.
    pub fn attach_call(
        &mut self,
        name: &str,
        waiter: Waiter,
        answer_by: Micros,
        now: Micros,
    ) -> Option<Delivery> {
        let delivery = self.reattach(name, waiter, now);
        if let Some(attached) = self.attached_calls.get_mut(&waiter.call()) {
            attached.timer = Some(self.call_timers.set(answer_by, waiter.call()));
        }
        delivery
    }

    /// Answers a client's repeated query for a run, which is identified by its name. Returns `None`
    /// if the run is in progress: the client gets the result when the run ends.
    pub fn reattach(&mut self, name: &str, waiter: Waiter, now: Micros) -> Option<Delivery> {
        let delivery = match self.run_registry.register(name, waiter) {
            Arrival::First => {
                // The run is unknown. `register` has added it as new; a query starts no run, so the
                // addition is undone.
                self.run_registry.withdraw(name);
                self.counters.not_found += 1;
                let reason = "nothing is known of this request";
                return Some(Delivery::error(waiter, ErrorKind::Gone, reason));
            }
            Arrival::Gone => {
                self.counters.not_found += 1;
                return Some(Delivery::expired(waiter));
            }
            Arrival::TooManyWaiters => {
                let reason = "too many wait for it";
                return Some(Delivery::error(waiter, ErrorKind::TryLater, reason));
            }
            Arrival::Attached => {
                let attached = AttachedCall {
                    run_name: name.into(),
                    waiter,
                    timer: None,
                };
                self.attached_calls.insert(waiter.call(), attached);
                None
            }
            Arrival::Answered(RunOutcome::Failed) => {
                let reason = "the request has failed";
                Some(Delivery::error(waiter, ErrorKind::Failed, reason))
            }
            Arrival::Answered(RunOutcome::Result(id)) => self.prepare_part(waiter, id, 0, now),
        };
        self.counters.reattached += 1;
        delivery
    }

    /// Answers a query for the page that a token identifies. `name` is the ID of the client's
    /// request, which authenticates the client because no other client knows this ID. Returns
    /// `None` if the page is being read from disk.
    pub fn page_by_token(
        &mut self,
        token: &str,
        name: &str,
        waiter: Waiter,
        now: Micros,
    ) -> Option<Delivery> {
        match self.keys.read(token, name, self.epoch, now) {
            Ok(token) => self.prepare_part(waiter, token.result, token.page as usize, now),
            Err(error) => {
                let kind = match error {
                    TokenError::Forged => ErrorKind::Forged,
                    _ => ErrorKind::Gone,
                };
                Some(Delivery::error(waiter, kind, error.to_string()))
            }
        }
    }

    /// Handles a client's message that it no longer needs the result. From then on the result is
    /// stored only as long as delivered results are.
    pub fn release_result(&mut self, token: &str, name: &str, now: Micros) {
        if let Ok(token) = self.keys.read(token, name, self.epoch, now) {
            self.spool.open_reader(token.result, now);
            self.spool.close_reader(token.result, true, now);
            self.schedule_expiry(token.result);
        }
    }

    /// Prepares a message with as many pages as fit into it, starting with `first_page`. Returns
    /// `None` if pages must be read from disk first; [`Self::poll`] returns the message later.
    pub(super) fn prepare_part(
        &mut self,
        waiter: Waiter,
        id: ResultId,
        first_page: usize,
        now: Micros,
    ) -> Option<Delivery> {
        let Some(pending) = self.collect_part(waiter, id, first_page) else {
            return Some(Delivery::expired(waiter));
        };
        let end = first_page + pending.rows.len();
        let is_empty = pending.rows.is_empty();
        if is_empty && self.spool.locate_page(id, first_page, now) != PageLocation::PastEnd {
            return Some(Delivery::expired(waiter));
        }
        self.spool.open_reader(id, now);
        if !is_empty {
            self.spool.locate_page(id, end - 1, now);
        }
        if pending.is_complete() {
            return self.finish_part(pending, now);
        }
        if self.pending_parts.len() >= MAX_PENDING_PARTS || !self.submit_reads(&pending) {
            self.spool.close_reader(id, false, now);
            let reason = "the spool's disk is busy";
            return Some(Delivery::error(waiter, ErrorKind::TryLater, reason));
        }
        self.pending_parts.push_back(pending);
        None
    }

    /// Collects the pages of a part. Pages on disk are `None` until they are read.
    fn collect_part(&self, waiter: Waiter, id: ResultId, first_page: usize) -> Option<PendingPart> {
        let stored = self.results.get(&id)?;
        let mut bytes = 0;
        let mut rows = Vec::new();
        for page in stored.pages.iter().skip(first_page) {
            let page_bytes = page.length() as usize;
            if !rows.is_empty() && bytes + page_bytes > MAX_MESSAGE_BYTES {
                break;
            }
            bytes += page_bytes;
            rows.push(match page {
                StoredPage::Memory(rows) | StoredPage::Writing(rows, _) => Some(rows.clone()),
                StoredPage::Disk(_) => None,
            });
        }
        let has_more = first_page + rows.len() < stored.pages.len();
        Some(PendingPart {
            waiter,
            result: id,
            first_page,
            rows,
            has_more,
        })
    }

    /// Submits reads for the pages of a part that are on disk. Returns false if the disk worker's
    /// queue is full.
    fn submit_reads(&self, pending: &PendingPart) -> bool {
        let Some(worker) = &self.worker else {
            return false;
        };
        let Some(stored) = self.results.get(&pending.result) else {
            return false;
        };
        for (offset, rows) in pending.rows.iter().enumerate() {
            let page = pending.first_page + offset;
            let Some(StoredPage::Disk(position)) = stored.pages.get(page) else {
                continue;
            };
            if rows.is_some() {
                continue;
            }
            let job = DiskJob::Read {
                result: pending.result,
                page: page as u32,
                position: *position,
            };
            if worker.submit(job).is_err() {
                return false;
            }
        }
        true
    }

    /// Creates the message for a part whose pages are all in memory. Returns `None` if the result
    /// has been dropped.
    pub(super) fn finish_part(&mut self, part: PendingPart, now: Micros) -> Option<Delivery> {
        let name = self.results.get(&part.result)?.name.clone();
        let token = Token {
            result: part.result,
            epoch: self.epoch,
            page: (part.first_page + part.rows.len()) as u32,
            expires: now + TOKEN_LIFETIME,
        };
        let token = self.keys.write(&token, &name);
        self.spool.close_reader(part.result, !part.has_more, now);
        self.schedule_expiry(part.result);
        self.counters.parts_sent += 1;
        Some(Delivery::Part(ResultPart {
            waiter: part.waiter,
            rows: part.rows.into_iter().flatten().collect(),
            token,
            has_more: part.has_more,
        }))
    }
}
