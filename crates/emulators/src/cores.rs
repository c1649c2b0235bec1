//! The inside of an engine, without I/O or clock: queries share cores by their rank, each up to its
//! threads, and wait while the memory granted doesn't fit. Times are seconds.

use std::collections::{BTreeMap, VecDeque};

/// A query that runs or waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Work left, as time on one core.
    pub work: f64,
    /// Threads that it runs on.
    pub threads: f64,
    /// What it holds while it runs.
    pub memory_mb: f64,
    /// Its part of contended cores doubles with each rank.
    pub rank: u8,
}

/// Cores and memory that queries share.
pub struct Cores {
    cores: f64,
    memory_mb: f64,
    /// Runs at this part of its cores when it starts, and at all of them after the time.
    cold_share: f64,
    warm_within: f64,
    started_at: f64,
    now: f64,
    running: BTreeMap<u64, Query>,
    waiting: VecDeque<(u64, Query)>,
}

impl Cores {
    /// `cold`: the part of its capacity that it has now, and seconds until it has all of it.
    pub fn new(cores: f64, memory_mb: f64, cold: Option<(f64, f64)>, now: f64) -> Self {
        let (cold_share, warm_within) = cold.unwrap_or((1.0, 0.0));
        let (running, waiting) = Default::default();
        Cores {
            cores,
            memory_mb,
            cold_share,
            warm_within,
            started_at: now,
            now,
            running,
            waiting,
        }
    }

    /// Cores' worth that is done in a second now.
    pub fn capacity(&self) -> f64 {
        let age = self.now - self.started_at;
        let warm = if age >= self.warm_within {
            1.0
        } else {
            age / self.warm_within
        };
        self.cores * (self.cold_share + (1.0 - self.cold_share) * warm)
    }

    /// Queries that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Queries that wait for memory.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether one of them waits.
    pub fn is_waiting(&self, id: u64) -> bool {
        self.waiting.iter().any(|(own, _)| *own == id)
    }

    /// Memory that queries hold.
    pub fn granted_mb(&self) -> f64 {
        self.running.values().map(|query| query.memory_mb).sum()
    }

    /// Threads that want a core, against what there is: over 1 all are slowed.
    pub fn pressure(&self) -> f64 {
        self.running
            .values()
            .map(|query| query.threads)
            .sum::<f64>()
            / self.capacity()
    }

    /// Takes a query in.
    pub fn add(&mut self, id: u64, query: Query) {
        self.waiting.push_back((id, query));
        self.admit();
    }

    /// Drops a query.
    pub fn remove(&mut self, id: u64) {
        self.running.remove(&id);
        self.waiting.retain(|(own, _)| *own != id);
        self.admit();
    }

    /// Changes the priority of a query.
    pub fn weigh(&mut self, id: u64, rank: u8) {
        let waiting = self
            .waiting
            .iter_mut()
            .filter(|(own, _)| *own == id)
            .map(|(_, query)| query);
        self.running
            .get_mut(&id)
            .into_iter()
            .chain(waiting)
            .for_each(|query| query.rank = rank);
    }

    /// Who fits goes on, first come first; one alone always fits.
    fn admit(&mut self) {
        while let Some((_, query)) = self.waiting.front() {
            if !self.running.is_empty() && self.granted_mb() + query.memory_mb > self.memory_mb {
                return;
            }
            self.running.extend(self.waiting.pop_front());
        }
    }

    /// Cores' worth that each query gets: by weight, none more than its threads, what one leaves
    /// goes to others.
    fn shares(&self) -> Vec<(u64, f64)> {
        let mut left: Vec<(u64, f64, f64)> = self
            .running
            .iter()
            .map(|(id, q)| (*id, q.threads, f64::from(1u32 << q.rank.min(8))))
            .collect();
        let (mut free, mut shares) = (self.capacity(), Vec::new());
        loop {
            let weights: f64 = left.iter().map(|(_, _, weight)| weight).sum();
            let (full, rest): (Vec<_>, Vec<_>) = left
                .into_iter()
                .partition(|(_, threads, weight)| free * weight / weights >= *threads);
            if full.is_empty() {
                shares.extend(
                    rest.into_iter()
                        .map(|(id, _, weight)| (id, free * weight / weights)),
                );
                return shares;
            }
            free -= full.iter().map(|(_, threads, _)| threads).sum::<f64>();
            shares.extend(full.into_iter().map(|(id, threads, _)| (id, threads)));
            left = rest;
        }
    }

    /// Goes on to a time; gives what has ended by then, in order. Step by step, so that what one
    /// leaves is used by others and warming up counts.
    pub fn advance(&mut self, to: f64) -> Vec<u64> {
        let mut ended = Vec::new();
        while self.now < to {
            let step = self
                .next()
                .map_or(to, |next| next.min(to))
                .max(self.now + 1e-6)
                - self.now;
            for (id, share) in self.shares() {
                self.running
                    .entry(id)
                    .and_modify(|query| query.work -= share * step);
            }
            self.now += step;
            let over = |query: &Query| query.work <= 1e-9;
            let done: Vec<u64> = self
                .running
                .iter()
                .filter(|(_, q)| over(q))
                .map(|(id, _)| *id)
                .collect();
            for id in done {
                self.running.remove(&id);
                ended.push(id);
            }
            self.admit();
        }
        ended
    }

    /// When to look again: the next end, or a moment later while it warms up.
    pub fn next(&self) -> Option<f64> {
        let ends = self.shares().into_iter().filter(|(_, share)| *share > 0.0);
        let ends = ends.map(|(id, share)| self.now + self.running[&id].work / share);
        let end = ends.min_by(f64::total_cmp)?;
        let warms = self.now - self.started_at < self.warm_within;
        Some(if warms { end.min(self.now + 0.05) } else { end })
    }
}

#[cfg(test)]
mod tests;
