//! Queries of clients for results, and the parts that they are sent.

use eideryard::interface::Micros;
use eideryard_result_spool::returns::Arrival;
use eideryard_result_spool::token::{Token, TokenError};
use eideryard_result_spool::worker::Order;
use eideryard_result_spool::PageLocation;

use super::{
    Delivery, PendingPart, ResultId, ResultPart, ResultSpoolDriver, RunEnd, StoredPage, Waiter,
};
use crate::error_reply::ErrorKind;

/// Bytes of rows in one message, as for results that aren't spooled.
const MAX_MESSAGE_BYTES: usize = 48_000;
/// How long a page token is valid: at least as long as its result is kept.
const TOKEN_LIFETIME: Micros = 600_000_000;
/// Parts that wait for the disk; further clients are told to try later.
const MAX_PENDING_PARTS: usize = 4096;

impl ResultSpoolDriver {
    /// Whether a request of this name runs, or has ended.
    pub fn is_known(&self, name: &str) -> bool {
        self.returns.knows(name)
    }

    /// A client asks again for the request of this name: what it is sent now, if anything is known
    /// yet.
    pub fn reattach(&mut self, name: &str, waiter: Waiter, now: Micros) -> Option<Delivery> {
        let delivery = match self.returns.arrives(name, waiter) {
            Arrival::First => {
                // Nothing of it is known here, and asking starts no run.
                self.returns.refused(name);
                self.counters.not_found += 1;
                let reason = "nothing is known of this request";
                return Some(Delivery::error(waiter, ErrorKind::Gone, reason));
            }
            Arrival::Gone => {
                self.counters.not_found += 1;
                return Some(Delivery::expired(waiter));
            }
            Arrival::Crowded => {
                let reason = "too many wait for it";
                return Some(Delivery::error(waiter, ErrorKind::TryLater, reason));
            }
            Arrival::Attached => None,
            Arrival::Answered(RunEnd::Failed) => {
                let reason = "the request has failed";
                Some(Delivery::error(waiter, ErrorKind::Failed, reason))
            }
            Arrival::Answered(RunEnd::Result(id)) => self.part(waiter, id, 0, now),
        };
        self.counters.reattached += 1;
        delivery
    }

    /// A client asks for a page by its token, with the id of its request, which only that client
    /// knows.
    pub fn page_by_token(
        &mut self,
        token: &str,
        name: &str,
        waiter: Waiter,
        now: Micros,
    ) -> Option<Delivery> {
        match self.keys.read(token, name, self.epoch, now) {
            Ok(token) => self.part(waiter, token.result, token.page as usize, now),
            Err(error) => {
                let kind = match error {
                    TokenError::Forged => ErrorKind::Forged,
                    _ => ErrorKind::Gone,
                };
                Some(Delivery::error(waiter, kind, error.to_string()))
            }
        }
    }

    /// The client needs the result no longer.
    pub fn release(&mut self, token: &str, name: &str, now: Micros) {
        if let Ok(token) = self.keys.read(token, name, self.epoch, now) {
            self.spool.open(token.result, now);
            self.spool.close(token.result, true, now);
            self.schedule_expiry(token.result);
        }
    }

    /// The pages from `first` on that fit into a message: at once, or when they were read from
    /// disk.
    pub(super) fn part(
        &mut self,
        waiter: Waiter,
        id: ResultId,
        first: usize,
        now: Micros,
    ) -> Option<Delivery> {
        let Some(pending) = self.collect_part(waiter, id, first) else {
            return Some(Delivery::expired(waiter));
        };
        let end = first + pending.rows.len();
        let is_empty = pending.rows.is_empty();
        if is_empty && self.spool.read(id, first, now) != PageLocation::NoSuch {
            return Some(Delivery::expired(waiter));
        }
        self.spool.open(id, now);
        if !is_empty {
            self.spool.read(id, end - 1, now);
        }
        if pending.is_complete() {
            return self.finish_part(pending, now);
        }
        if self.pending.len() >= MAX_PENDING_PARTS || !self.order_reads(&pending) {
            self.spool.close(id, false, now);
            let reason = "the spool's disk is busy";
            return Some(Delivery::error(waiter, ErrorKind::TryLater, reason));
        }
        self.pending.push_back(pending);
        None
    }

    /// The rows of a part that are in memory, with gaps for those on disk.
    fn collect_part(&self, waiter: Waiter, id: ResultId, first: usize) -> Option<PendingPart> {
        let stored = self.stored.get(&id)?;
        let mut bytes = 0;
        let mut rows = Vec::new();
        for page in stored.pages.iter().skip(first) {
            let page_bytes = page.length() as usize;
            if !rows.is_empty() && bytes + page_bytes > MAX_MESSAGE_BYTES {
                break;
            }
            bytes += page_bytes;
            rows.push(match page {
                StoredPage::Memory(rows) | StoredPage::Moving(rows, _) => Some(rows.clone()),
                StoredPage::Disk(_) => None,
            });
        }
        let has_more = first + rows.len() < stored.pages.len();
        Some(PendingPart {
            waiter,
            result: id,
            first,
            rows,
            has_more,
        })
    }

    /// Orders reads of the pages of a part that are on disk. False: the disk is behind.
    fn order_reads(&self, pending: &PendingPart) -> bool {
        let Some(worker) = &self.worker else {
            return false;
        };
        let Some(stored) = self.stored.get(&pending.result) else {
            return false;
        };
        for (offset, rows) in pending.rows.iter().enumerate() {
            let page = pending.first + offset;
            let Some(StoredPage::Disk(place)) = stored.pages.get(page) else {
                continue;
            };
            if rows.is_some() {
                continue;
            }
            let order = Order::Read {
                result: pending.result,
                page: page as u32,
                place: *place,
            };
            if worker.order(order).is_err() {
                return false;
            }
        }
        true
    }

    /// The message for a part whose pages are all there.
    pub(super) fn finish_part(&mut self, part: PendingPart, now: Micros) -> Option<Delivery> {
        let name = self.stored.get(&part.result)?.name.clone();
        let token = Token {
            result: part.result,
            epoch: self.epoch,
            page: (part.first + part.rows.len()) as u32,
            expires: now + TOKEN_LIFETIME,
        };
        let token = self.keys.write(&token, &name);
        self.spool.close(part.result, !part.has_more, now);
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
