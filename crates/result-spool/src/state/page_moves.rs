//! Moves pages from memory to disk, so that memory is free for pages that arrive.

use super::stored_result::{Page, Tier};
use super::{ResultId, Spool};
use crate::limits::*;
use crate::Micros;

/// An action on pages that the host must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoolAction {
    /// Write a page to disk: report the start with [`Spool::start_move`] and the end with
    /// [`Spool::finish_move`].
    Move {
        /// The result that the page belongs to.
        result: ResultId,
        /// Index of the page in the result, from 0.
        page: usize,
    },
}

impl Spool {
    /// Chooses the pages to write to disk now: none while memory use is at most [`MOVE_HIGH_MARK`],
    /// above that mark as many as bring the use down to [`MOVE_LOW_MARK`]. The order is: results
    /// without a reader except for their first pages, the longest unused first; pages that readers
    /// have passed; pages furthest ahead of a reader; the first pages of results without a reader.
    /// The next [`NEAR_PAGES`] pages of a reader stay in memory.
    pub fn choose_moves(&self, now: Micros) -> Vec<SpoolAction> {
        let mark = |part: f64| (self.budget.memory as f64 * part) as u64;
        // Pages being written don't count. So the pages are scanned once for many arriving pages,
        // not for each of them.
        let staying = self.memory_used - self.moving_bytes;
        if staying <= mark(MOVE_HIGH_MARK) || self.disk_fails_until.is_some_and(|until| now < until)
        {
            return Vec::new();
        }
        let mut excess = staying.saturating_sub(mark(MOVE_LOW_MARK));
        let mut room = self.budget.disk.saturating_sub(self.disk_used);
        let mut pages: Vec<(u8, Micros, std::cmp::Reverse<usize>, ResultId, usize, u64)> = self
            .pages()
            .filter(|(_, _, page)| page.tier == Tier::Memory)
            .filter_map(|(id, index, page)| {
                let stored = &self.results[&id];
                let is_near = (stored.next..stored.next + NEAR_PAGES).contains(&index);
                let (rank, last_used) = match (stored.readers > 0, is_near) {
                    (false, false) => (0, stored.touched_at),
                    (true, false) if index < stored.next => (1, 0),
                    (true, false) => (2, 0),
                    (false, true) => (3, stored.touched_at),
                    (true, true) => return None,
                };
                let distance = index.abs_diff(stored.next);
                Some((
                    rank,
                    last_used,
                    std::cmp::Reverse(distance),
                    id,
                    index,
                    page.bytes,
                ))
            })
            .collect();
        pages.sort_unstable();
        let mut choices = Vec::new();
        for (.., result, page, bytes) in pages {
            if excess == 0 || bytes > room {
                break;
            }
            excess = excess.saturating_sub(bytes);
            room -= bytes;
            choices.push(SpoolAction::Move { result, page });
        }
        choices
    }

    fn pages(&self) -> impl Iterator<Item = (ResultId, usize, Page)> + '_ {
        let in_memory = self
            .results
            .iter()
            .filter(|(_, stored)| stored.in_memory > 0);
        in_memory.flat_map(|(id, stored)| {
            stored
                .pages
                .iter()
                .enumerate()
                .map(|(index, page)| (*id, index, *page))
        })
    }

    fn page_mut(&mut self, id: ResultId, page: usize) -> Option<&mut Page> {
        self.results.get_mut(&id)?.pages.get_mut(page)
    }

    /// Marks a page as being written to disk: until [`Spool::finish_move`] it counts as used in
    /// memory and on disk.
    pub fn start_move(&mut self, id: ResultId, page: usize) {
        if let Some(page) = self
            .page_mut(id, page)
            .filter(|page| page.tier == Tier::Memory)
        {
            page.tier = Tier::Moving;
            let bytes = page.bytes;
            self.disk_used += bytes;
            self.moving_bytes += bytes;
        }
    }

    /// Returns whether a page is being written to disk.
    pub fn is_moving(&self, id: ResultId, page: usize) -> bool {
        let page = self
            .results
            .get(&id)
            .and_then(|stored| stored.pages.get(page));
        page.is_some_and(|page| page.tier == Tier::Moving)
    }

    /// Ends the write of a page. If it failed, the page stays in memory and nothing is written
    /// before `retry_at`.
    pub fn finish_move(&mut self, id: ResultId, page: usize, written: bool, retry_at: Micros) {
        if !written {
            self.disk_fails_until = Some(retry_at);
        }
        if let Some(page) = self
            .page_mut(id, page)
            .filter(|page| page.tier == Tier::Moving)
        {
            page.tier = if written { Tier::Disk } else { Tier::Memory };
            let bytes = page.bytes;
            self.moving_bytes -= bytes;
            if written {
                self.memory_used -= bytes;
                self.results
                    .entry(id)
                    .and_modify(|stored| stored.in_memory -= bytes);
            } else {
                self.disk_used -= bytes;
            }
        }
    }
}
