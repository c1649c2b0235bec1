//! Pages on disk: writing them, reading them back, and removing segment files.

use std::io;

use eideryard::interface::Micros;
use eideryard_background_scheduler::Urgency;
use eideryard_result_spool::segments::PagePosition;
use eideryard_result_spool::worker::{DiskJob, FinishedJob};
use eideryard_result_spool::SpoolAction;

use super::{Delivery, ResultId, ResultSpoolDriver, StoredPage, Work, DISK_RETRY_DELAY};
use crate::error_reply::ErrorKind;

impl ResultSpoolDriver {
    /// Schedules writes of pages to disk if memory is short.
    pub(super) fn schedule_page_writes(&mut self, now: Micros) {
        if self.worker.is_none() {
            return;
        }
        for SpoolAction::Move { result, page } in self.spool.choose_moves(now) {
            let Some(StoredPage::Memory(rows)) = self
                .results
                .get(&result)
                .and_then(|stored| stored.pages.get(page))
            else {
                continue;
            };
            let bytes = rows.len() as u64;
            self.spool.start_move(result, page);
            let work = Work::WritePage(result, page);
            if self
                .background
                .submit(now, Urgency::FreeSpace, work, bytes)
                .is_err()
            {
                self.spool.finish_move(result, page, false, now);
                return;
            }
        }
    }

    /// Passes a page to the disk worker.
    pub(super) fn write_page(&mut self, result: ResultId, page: usize, now: Micros) {
        // If the run was restarted after the write was scheduled, this index denotes a different
        // page.
        if !self.spool.is_moving(result, page) {
            return;
        }
        let Some(StoredPage::Memory(rows)) = self
            .results
            .get(&result)
            .and_then(|stored| stored.pages.get(page))
        else {
            return;
        };
        let (position, starts_segment) = self.segments.allocate(rows.len() as u32);
        let job = DiskJob::Write {
            result,
            page: page as u32,
            position,
            starts_segment,
            bytes: rows.clone(),
        };
        let is_queued = match &self.worker {
            Some(worker) => worker.submit(job).is_ok(),
            None => false,
        };
        if !is_queued {
            self.abandon_segment(position, now);
            self.spool.finish_move(result, page, false, now);
            return;
        }
        let Some(stored) = self.results.get_mut(&result) else {
            return;
        };
        let Some(page) = stored.pages.get_mut(page) else {
            return;
        };
        if let StoredPage::Memory(rows) = page {
            let rows = std::mem::take(rows);
            *page = StoredPage::Writing(rows, position);
        }
    }

    /// Handles a job that the disk worker has finished.
    pub(super) fn handle_done(
        &mut self,
        done: FinishedJob,
        now: Micros,
        deliveries: &mut Vec<Delivery>,
    ) {
        match done {
            FinishedJob::Written {
                result,
                page,
                position,
                outcome,
            } => self.handle_written(result, page as usize, position, outcome, now),
            FinishedJob::Read {
                result,
                page,
                outcome,
            } => self.handle_read(result, page as usize, &outcome, now, deliveries),
        }
    }

    fn handle_written(
        &mut self,
        result: ResultId,
        page: usize,
        position: PagePosition,
        outcome: io::Result<()>,
        now: Micros,
    ) {
        let stored_page = self
            .results
            .get_mut(&result)
            .and_then(|stored| stored.pages.get_mut(page));
        // If the page was dropped during the write, its space has already been freed.
        let Some(stored_page) = stored_page else {
            return;
        };
        let StoredPage::Writing(rows, target) = stored_page else {
            return;
        };
        if *target != position {
            return;
        }
        *stored_page = if outcome.is_ok() {
            StoredPage::Disk(position)
        } else {
            StoredPage::Memory(std::mem::take(rows))
        };
        let retry_at = now + DISK_RETRY_DELAY;
        self.spool
            .finish_move(result, page, outcome.is_ok(), retry_at);
        if let Err(e) = outcome {
            self.counters.disk_errors += 1;
            tracing::warn!("result spool: can't write a page to disk, it stays in memory: {e}");
            self.abandon_segment(position, now);
        }
    }

    /// Adds a page that was read from disk to all parts that are waiting for it. If the read
    /// failed, these parts fail.
    fn handle_read(
        &mut self,
        result: ResultId,
        page: usize,
        outcome: &io::Result<Vec<u8>>,
        now: Micros,
        deliveries: &mut Vec<Delivery>,
    ) {
        for mut part in std::mem::take(&mut self.pending_parts) {
            let index = page
                .checked_sub(part.first_page)
                .filter(|_| part.result == result);
            let slot = index
                .and_then(|index| part.rows.get_mut(index))
                .filter(|rows| rows.is_none());
            match (slot, outcome) {
                (Some(slot), Ok(rows)) => *slot = Some(rows.clone()),
                (Some(_), Err(e)) => {
                    self.counters.disk_errors += 1;
                    tracing::warn!(
                        "result spool: can't read a page from disk, its query fails: {e}"
                    );
                    self.spool.close_reader(result, false, now);
                    let reason = "a page of it can't be read";
                    deliveries.push(Delivery::error(part.waiter, ErrorKind::Failed, reason));
                    continue;
                }
                (None, _) => {}
            }
            if part.is_complete() {
                deliveries.extend(self.finish_part(part, now));
            } else {
                self.pending_parts.push_back(part);
            }
        }
    }

    /// Stops appending to the current segment after a failed write, since data written after it
    /// can't be relied on.
    fn abandon_segment(&mut self, position: PagePosition, now: Micros) {
        let freed = [self.segments.free(position), self.segments.abandon()];
        for segment in freed.into_iter().flatten() {
            self.remove_segment(segment, now);
        }
    }

    /// Frees the disk space of dropped pages.
    pub(super) fn free_pages(&mut self, pages: Vec<StoredPage>, now: Micros) {
        for page in pages {
            if let StoredPage::Disk(position) | StoredPage::Writing(_, position) = page {
                if let Some(segment) = self.segments.free(position) {
                    self.remove_segment(segment, now);
                }
            }
        }
    }

    /// Schedules the removal of a segment file. If the schedule is full, the file stays until the
    /// next start removes it.
    pub(super) fn remove_segment(&mut self, segment: u64, now: Micros) {
        let work = Work::RemoveSegment(segment);
        let _ = self.background.submit(now, Urgency::Cleanup, work, 0);
    }
}
