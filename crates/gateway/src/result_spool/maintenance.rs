//! Background work and the expiry of results.

use eideryard::interface::Micros;
use eideryard_result_spool::worker::{DiskJob, FinishedJob, Worker};

use super::{Delivery, ResultId, ResultSpoolDriver, Work};

impl ResultSpoolDriver {
    /// Handles finished jobs of the disk worker, starts background jobs within the work budget,
    /// drops expired results, and ends the wait of calls whose time is up. Returns messages for
    /// clients.
    pub fn poll(&mut self, now: Micros) -> Vec<Delivery> {
        let mut deliveries = Vec::new();
        let done: Vec<FinishedJob> = self.worker.iter().flat_map(Worker::finished_jobs).collect();
        for done in done {
            self.handle_done(done, now, &mut deliveries);
        }
        self.start_work(now);
        while let Some(id) = self.expiry_timers.pop_expired(now) {
            self.handle_expiry(id, now);
        }
        while let Some(call) = self.call_timers.pop_expired(now) {
            // The run may still succeed, so the error promises nothing.
            let waiter = self.remove_attached_call(call);
            let reason = "the run has not ended in time";
            deliveries.extend(waiter.map(|waiter| Delivery::failed(waiter, reason)));
        }
        deliveries
    }

    /// Returns the next time at which [`ResultSpoolDriver::poll`] must be called even if nothing
    /// arrives.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let deadlines = [
            self.expiry_timers.next_expiry(),
            self.call_timers.next_expiry(),
            self.background.next_job_at(now),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn start_work(&mut self, now: Micros) {
        self.background.start_round();
        while let Some(job) = self.background.next_job(now) {
            match job.work {
                Work::WritePage(result, page) => self.write_page(result, page, now),
                Work::RemoveSegment(segment) => {
                    let Some(worker) = &self.worker else {
                        continue;
                    };
                    if worker.submit(DiskJob::Remove { segment }).is_err() {
                        // The worker's queue is full: schedule the removal again for later.
                        self.remove_segment(segment, now);
                        break;
                    }
                }
            }
        }
    }

    fn handle_expiry(&mut self, id: ResultId, now: Micros) {
        if let Some(stored) = self.results.get_mut(&id) {
            stored.expiry_timer = None;
        }
        match self.spool.expiry(id) {
            Some(expires_at) if expires_at <= now => self.drop_result(id, now),
            Some(_) => self.schedule_expiry(id),
            // A stored failure has expired.
            None if !self.spool.contains(id) => self.drop_result(id, now),
            None => {}
        }
    }

    pub(super) fn schedule_expiry(&mut self, id: ResultId) {
        let Some(expires_at) = self.spool.expiry(id) else {
            return;
        };
        let Some(stored) = self.results.get_mut(&id) else {
            return;
        };
        let timer = self.expiry_timers.set(expires_at, id);
        if let Some(previous_timer) = stored.expiry_timer.replace(timer) {
            self.expiry_timers.cancel(previous_timer);
        }
    }

    /// Drops a result and frees its pages, unless a part of it is being sent.
    pub(super) fn drop_result(&mut self, id: ResultId, now: Micros) {
        if self.spool.contains(id) && !self.spool.drop_result(id, now) {
            return;
        }
        let Some(stored) = self.results.remove(&id) else {
            return;
        };
        if let Some(timer) = stored.expiry_timer {
            self.expiry_timers.cancel(timer);
        }
        self.run_registry.drop_answer(&stored.name);
        self.free_pages(stored.pages, now);
        self.counters.dropped += 1;
    }
}
