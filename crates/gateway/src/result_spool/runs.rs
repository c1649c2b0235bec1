//! Runs whose results are spooled, from admission to the end of the run.

use eideryard::interface::Micros;
use eideryard_result_spool::limits::MAX_RESULTS;
use eideryard_result_spool::{Admission, RejectReason};

use super::{
    Delivery, ResultId, ResultOwner, ResultSpoolDriver, RunOutcome, SpoolRejection, StoredPage,
    StoredResult, Waiter,
};
use crate::clients::CallId;
use crate::requests::RequestLabels;

/// Expected size of a result in bytes, until sizes for its class have been learned.
const DEFAULT_RESULT_BYTES: u64 = 48_000;
/// Maximum number of stored runs: the maximum number of results plus the same number of failures.
const MAX_NAMES: usize = 2 * MAX_RESULTS;

impl ResultSpoolDriver {
    /// Checks whether a request's result is expected to fit, and drops older results if necessary
    /// to make room for it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is rejected, and when a retry may succeed.
    pub fn admit(&mut self, owner: ResultOwner, now: Micros) -> Result<(), SpoolRejection> {
        let mut expected = self.expected_bytes(owner.labels);
        if expected > self.max_result_bytes && self.sizes.should_bypass_rejection() {
            expected = DEFAULT_RESULT_BYTES;
        }
        if self.results.len() >= MAX_NAMES {
            return Err(SpoolRejection {
                reason: RejectReason::Full,
                retry_after: None,
            });
        }
        match self.spool.admit(owner.spool_owner(), expected, now) {
            Admission::Admitted { to_drop } => {
                for id in to_drop {
                    self.drop_result(id, now);
                }
                Ok(())
            }
            Admission::Rejected {
                reason,
                retry_after,
            } => Err(SpoolRejection {
                reason,
                retry_after,
            }),
        }
    }

    fn expected_bytes(&self, labels: RequestLabels) -> u64 {
        self.sizes
            .expected(labels.class, labels.tenant, DEFAULT_RESULT_BYTES)
    }

    /// Registers the run of an accepted request. From now on, calls for `name` attach to this run.
    pub fn begin_run(
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
            expiry_timer: None,
            owner,
        };
        self.results.insert(id, stored);
        self.run_registry.register(name, waiter);
        self.counters.begun += 1;
    }

    /// Returns whether a request's result is spooled.
    pub fn is_spooled(&self, id: ResultId) -> bool {
        self.results.contains_key(&id)
    }

    /// Returns the number of bytes of pages that may be requested from the engine now.
    pub fn free_bytes(&self, id: ResultId) -> u64 {
        self.spool.read_ahead_bytes(id)
    }

    /// Adds the next page of a result.
    ///
    /// # Errors
    ///
    /// Returns the reason if the result can't be stored.
    pub fn add_page(
        &mut self,
        id: ResultId,
        rows: Vec<u8>,
        now: Micros,
    ) -> Result<(), RejectReason> {
        let Some(stored) = self.results.get_mut(&id) else {
            return Ok(());
        };
        if let Err(reason) = self.spool.add_page(id, rows.len() as u64, now) {
            if reason == RejectReason::TooLarge {
                // The actual size is unknown, so its lower limit is learned. Later requests of this
                // class and tenant are then rejected before they are sent.
                let RequestLabels { class, tenant } = stored.owner.labels;
                self.sizes.learn(class, tenant, self.max_result_bytes + 1);
            }
            return Err(reason);
        }
        stored.pages.push(StoredPage::Memory(rows));
        self.schedule_page_writes(now);
        Ok(())
    }

    /// Drops the pages of a run for which a new attempt starts, so that rows of two attempts are
    /// never mixed.
    pub fn restart_run(&mut self, id: ResultId, now: Micros) {
        let Some(stored) = self.results.get_mut(&id) else {
            return;
        };
        if stored.pages.is_empty() {
            return;
        }
        let owner = stored.owner;
        let pages = std::mem::take(&mut stored.pages);
        self.spool.end(id, false, now);
        self.spool.drop_result(id, now);
        self.free_pages(pages, now);
        let expected = self.expected_bytes(owner.labels);
        self.spool.begin(id, owner.spool_owner(), expected, now);
    }

    /// Ends a run whose pages have all arrived. Returns the messages to the waiting clients.
    pub fn complete_run(&mut self, id: ResultId, now: Micros) -> Vec<Delivery> {
        let Some(stored) = self.results.get(&id) else {
            return Vec::new();
        };
        let bytes = stored.pages.iter().map(StoredPage::length).sum();
        let RequestLabels { class, tenant } = stored.owner.labels;
        self.sizes.learn(class, tenant, bytes);
        let name = stored.name.clone();
        self.spool.end(id, true, now);
        self.schedule_expiry(id);
        self.counters.completed += 1;
        let waiters = self.run_registry.finish(&name, RunOutcome::Result(id));
        self.remove_ended_calls(&waiters);
        waiters
            .into_iter()
            .filter_map(|waiter| self.prepare_part(waiter, id, 0, now))
            .collect()
    }

    /// Ends a run that has no result: either it was rejected before anything ran (`is_rejected`),
    /// in which case its name can be reused, or it failed permanently. Returns the waiting clients.
    pub fn end_run_without_result(
        &mut self,
        id: ResultId,
        is_rejected: bool,
        now: Micros,
    ) -> Vec<Waiter> {
        let Some(stored) = self.results.get(&id) else {
            return Vec::new();
        };
        let name = stored.name.clone();
        self.spool.end(id, false, now);
        if is_rejected {
            let waiters = self.run_registry.withdraw(&name);
            self.remove_ended_calls(&waiters);
            self.drop_result(id, now);
            return waiters;
        }
        // No client has received a row of the result, so only the failure is stored.
        self.spool.drop_result(id, now);
        let timer = self.expiry_timers.set(now + self.failure_retention, id);
        if let Some(stored) = self.results.get_mut(&id) {
            let previous_timer = stored.expiry_timer.replace(timer);
            let pages = std::mem::take(&mut stored.pages);
            if let Some(previous_timer) = previous_timer {
                self.expiry_timers.cancel(previous_timer);
            }
            self.free_pages(pages, now);
        }
        let waiters = self.run_registry.finish(&name, RunOutcome::Failed);
        self.remove_ended_calls(&waiters);
        waiters
    }

    /// Removes the calls whose run has ended, with their timers.
    fn remove_ended_calls(&mut self, waiters: &[Waiter]) {
        for waiter in waiters {
            let attached = self.attached_calls.remove(&waiter.call());
            if let Some(timer) = attached.and_then(|attached| attached.timer) {
                self.call_timers.cancel(timer);
            }
        }
    }

    /// Removes a call that no longer waits for its run; the run continues. Returns `None` if the
    /// call isn't attached to a run.
    pub fn remove_attached_call(&mut self, call: CallId) -> Option<Waiter> {
        let attached = self.attached_calls.remove(&call)?;
        if let Some(timer) = attached.timer {
            self.call_timers.cancel(timer);
        }
        self.run_registry
            .remove_waiter(&attached.run_name, &attached.waiter);
        Some(attached.waiter)
    }

    /// Removes a waiting client whose connection has closed. The run continues for later queries.
    pub fn detach_client(&mut self, id: ResultId, waiter: &Waiter) {
        if let Some(stored) = self.results.get(&id) {
            self.run_registry.remove_waiter(&stored.name, waiter);
        }
    }

    /// Returns whether calls other than `waiter` are waiting for the result of a request.
    pub fn has_other_waiters(&self, id: ResultId, waiter: &Waiter) -> bool {
        let stored = self.results.get(&id);
        stored.is_some_and(|stored| self.run_registry.has_other_waiters(&stored.name, waiter))
    }
}
