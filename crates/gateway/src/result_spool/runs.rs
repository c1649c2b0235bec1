//! Runs whose results are spooled, from their admission to their end.

use eideryard::interface::Micros;
use eideryard_result_spool::limits::MAX_RESULTS;
use eideryard_result_spool::{Admission, RejectReason};

use super::{
    Delivery, ResultId, ResultOwner, ResultSpoolDriver, RunEnd, SpoolRejection, StoredPage,
    StoredResult, Waiter,
};
use crate::requests::RequestLabels;

/// The expected size of a result before anything was learned.
const DEFAULT_RESULT_BYTES: u64 = 48_000;
/// Names of runs that are known: as many as results, and as many failures.
const MAX_NAMES: usize = 2 * MAX_RESULTS;

impl ResultSpoolDriver {
    /// Checks whether a request's result will fit; drops the results that have to go for it.
    pub fn admit(&mut self, owner: ResultOwner, now: Micros) -> Result<(), SpoolRejection> {
        let mut expected = self.expected_bytes(owner.labels);
        if expected > self.max_result_bytes && self.sizes.doubts() {
            expected = DEFAULT_RESULT_BYTES;
        }
        if self.stored.len() >= MAX_NAMES {
            return Err(SpoolRejection {
                reason: RejectReason::Full,
                retry_after: None,
            });
        }
        match self.spool.admit(owner.spool_owner(), expected, now) {
            Admission::Yes { dropping } => {
                for id in dropping {
                    self.drop_result(id, now);
                }
                Ok(())
            }
            Admission::No { why, retry_after } => Err(SpoolRejection {
                reason: why,
                retry_after,
            }),
        }
    }

    fn expected_bytes(&self, labels: RequestLabels) -> u64 {
        self.sizes
            .expected(labels.class, labels.tenant, DEFAULT_RESULT_BYTES)
    }

    /// A request was taken: whoever asks for this name gets the result of its run.
    pub fn begin(
        &mut self,
        id: ResultId,
        name: &str,
        waiter: Waiter,
        owner: ResultOwner,
        now: Micros,
    ) {
        let expected = self.expected_bytes(owner.labels);
        self.spool.begin(id, owner.spool_owner(), expected, now);
        let stored = StoredResult {
            name: name.into(),
            pages: Vec::new(),
            expiry: None,
            labels: owner.labels,
        };
        self.stored.insert(id, stored);
        self.returns.arrives(name, waiter);
        self.counters.begun += 1;
    }

    /// Whether a request's result is spooled.
    pub fn is_spooled(&self, id: ResultId) -> bool {
        self.stored.contains_key(&id)
    }

    /// Bytes of pages that may be requested from the engine now.
    pub fn free_bytes(&self, id: ResultId) -> u64 {
        self.spool.ahead(id)
    }

    /// Adds the next page of a result; an error if the result can't be kept.
    pub fn add_page(
        &mut self,
        id: ResultId,
        rows: Vec<u8>,
        now: Micros,
    ) -> Result<(), RejectReason> {
        let Some(stored) = self.stored.get_mut(&id) else {
            return Ok(());
        };
        if let Err(reason) = self.spool.page(id, rows.len() as u64, now) {
            if reason == RejectReason::TooLarge {
                // All that is known of its size; the next such requests are rejected before they
                // are sent.
                let RequestLabels { class, tenant } = stored.labels;
                self.sizes.learn(class, tenant, self.max_result_bytes + 1);
            }
            return Err(reason);
        }
        stored.pages.push(StoredPage::Memory(rows));
        self.make_room(now);
        Ok(())
    }

    /// Forgets the pages of a run that is tried again: rows of two runs are never mixed.
    pub fn restart(&mut self, id: ResultId, owner: ResultOwner, now: Micros) {
        let Some(stored) = self.stored.get_mut(&id) else {
            return;
        };
        if stored.pages.is_empty() {
            return;
        }
        let pages = std::mem::take(&mut stored.pages);
        self.spool.end(id, false, now);
        self.spool.drop(id, now);
        self.free_pages(pages, now);
        let expected = self.expected_bytes(owner.labels);
        self.spool.begin(id, owner.spool_owner(), expected, now);
    }

    /// All pages have arrived. Returns what goes to those who wait.
    pub fn complete(&mut self, id: ResultId, now: Micros) -> Vec<Delivery> {
        let Some(stored) = self.stored.get(&id) else {
            return Vec::new();
        };
        let bytes = stored.pages.iter().map(StoredPage::length).sum();
        let RequestLabels { class, tenant } = stored.labels;
        self.sizes.learn(class, tenant, bytes);
        let name = stored.name.clone();
        self.spool.end(id, true, now);
        self.schedule_expiry(id);
        self.counters.completed += 1;
        let waiters = self.returns.ends(&name, RunEnd::Result(id));
        waiters
            .into_iter()
            .filter_map(|waiter| self.part(waiter, id, 0, now))
            .collect()
    }

    /// The run ended without a result: rejected before anything ran, or failed for good. Returns
    /// who waits for it.
    pub fn end_without_result(
        &mut self,
        id: ResultId,
        is_rejected: bool,
        now: Micros,
    ) -> Vec<Waiter> {
        let Some(stored) = self.stored.get(&id) else {
            return Vec::new();
        };
        let name = stored.name.clone();
        self.spool.end(id, false, now);
        if is_rejected {
            let waiters = self.returns.refused(&name);
            self.drop_result(id, now);
            return waiters;
        }
        // Nobody has seen a row of it, so only the failure is kept.
        self.spool.drop(id, now);
        let timer = self.expiry.set(now + self.failure_retention, id);
        if let Some(stored) = self.stored.get_mut(&id) {
            let previous_timer = stored.expiry.replace(timer);
            let pages = std::mem::take(&mut stored.pages);
            if let Some(previous_timer) = previous_timer {
                self.expiry.cancel(previous_timer);
            }
            self.free_pages(pages, now);
        }
        self.returns.ends(&name, RunEnd::Failed)
    }

    /// The connection of a waiter has ended; the run goes on for whoever asks again.
    pub fn detach(&mut self, id: ResultId, waiter: &Waiter) {
        if let Some(stored) = self.stored.get(&id) {
            self.returns.leaves(&stored.name, waiter);
        }
    }
}
