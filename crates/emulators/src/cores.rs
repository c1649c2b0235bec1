//! The model of an engine's execution, without I/O or clock: queries share the cores by rank, each
//! up to its number of threads, and wait until their memory fits. Times are in seconds.

use std::collections::{BTreeMap, VecDeque};

/// A query that is running or waiting.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Remaining work, in seconds on one core.
    pub work: f64,
    /// Number of threads, which is the maximum number of cores that the query can use.
    pub threads: f64,
    /// Memory that the query needs while it runs, in MB.
    pub memory_mb: f64,
    /// Priority: when cores are contended, each rank doubles the query's weight. Ranks above 8
    /// count as 8.
    pub rank: u8,
}

/// An engine's cores and memory, and the queries that share them.
pub struct Cores {
    cores: f64,
    memory_mb: f64,
    /// Fraction of the cores available at `started_at`; this fraction grows to 1 within
    /// `warm_within` seconds.
    cold_share: f64,
    warm_within: f64,
    started_at: f64,
    now: f64,
    running: BTreeMap<u64, Query>,
    waiting: VecDeque<(u64, Query)>,
}

impl Cores {
    /// Creates an idle engine. `cold` contains the fraction of its capacity that is available now,
    /// and the number of seconds until all capacity is available; `None` if all capacity is
    /// available now.
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

    /// Returns the current capacity, in cores; less than the number of cores while the engine warms
    /// up.
    pub fn capacity(&self) -> f64 {
        let age = self.now - self.started_at;
        let warm_fraction = if age >= self.warm_within {
            1.0
        } else {
            age / self.warm_within
        };
        self.cores * (self.cold_share + (1.0 - self.cold_share) * warm_fraction)
    }

    /// Returns the number of running queries.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queries that are waiting for memory.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a query is waiting for memory.
    pub fn is_waiting(&self, id: u64) -> bool {
        self.waiting.iter().any(|(other_id, _)| *other_id == id)
    }

    /// Returns the memory used by the running queries, in MB.
    pub fn granted_mb(&self) -> f64 {
        self.running.values().map(|query| query.memory_mb).sum()
    }

    /// Returns the number of threads of the running queries divided by the capacity. Above 1, the
    /// queries slow each other down.
    pub fn pressure(&self) -> f64 {
        self.running
            .values()
            .map(|query| query.threads)
            .sum::<f64>()
            / self.capacity()
    }

    /// Adds a query, which starts at once if its memory fits.
    pub fn add(&mut self, id: u64, query: Query) {
        self.waiting.push_back((id, query));
        self.admit();
    }

    /// Removes a query, running or waiting.
    pub fn remove(&mut self, id: u64) {
        self.running.remove(&id);
        self.waiting.retain(|(other_id, _)| *other_id != id);
        self.admit();
    }

    /// Changes the rank of a query.
    pub fn set_rank(&mut self, id: u64, rank: u8) {
        let waiting = self
            .waiting
            .iter_mut()
            .filter(|(other_id, _)| *other_id == id)
            .map(|(_, query)| query);
        self.running
            .get_mut(&id)
            .into_iter()
            .chain(waiting)
            .for_each(|query| query.rank = rank);
    }

    /// Starts waiting queries in their order of arrival while their memory fits. A query always
    /// fits if none is running.
    fn admit(&mut self) {
        while let Some((_, query)) = self.waiting.front() {
            if !self.running.is_empty() && self.granted_mb() + query.memory_mb > self.memory_mb {
                return;
            }
            self.running.extend(self.waiting.pop_front());
        }
    }

    /// Distributes the capacity to the running queries by weight. No query gets more cores than it
    /// has threads; the capacity that a query can't use is distributed to the others.
    fn shares(&self) -> Vec<(u64, f64)> {
        let mut unassigned: Vec<(u64, f64, f64)> = self
            .running
            .iter()
            .map(|(id, query)| (*id, query.threads, f64::from(1u32 << query.rank.min(8))))
            .collect();
        let (mut free_cores, mut shares) = (self.capacity(), Vec::new());
        loop {
            let weights: f64 = unassigned.iter().map(|(_, _, weight)| weight).sum();
            let (saturated, contending): (Vec<_>, Vec<_>) = unassigned
                .into_iter()
                .partition(|(_, threads, weight)| free_cores * weight / weights >= *threads);
            if saturated.is_empty() {
                shares.extend(
                    contending
                        .into_iter()
                        .map(|(id, _, weight)| (id, free_cores * weight / weights)),
                );
                return shares;
            }
            free_cores -= saturated.iter().map(|(_, threads, _)| threads).sum::<f64>();
            shares.extend(saturated.into_iter().map(|(id, threads, _)| (id, threads)));
            unassigned = contending;
        }
    }

    /// Advances to the time `to` and returns the IDs of the queries that have completed, in order.
    /// Advances in steps, so that capacity freed by one query is used by the others and warming up
    /// takes effect.
    pub fn advance(&mut self, to: f64) -> Vec<u64> {
        let mut completed = Vec::new();
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
            let is_finished = |query: &Query| query.work <= 1e-9;
            let finished: Vec<u64> = self
                .running
                .iter()
                .filter(|(_, query)| is_finished(query))
                .map(|(id, _)| *id)
                .collect();
            for id in finished {
                self.running.remove(&id);
                completed.push(id);
            }
            self.admit();
        }
        completed
    }

    /// Returns the time at which [`Cores::advance`] should be called next: when the next query
    /// completes, or at most 50 ms from now while the engine warms up. `None` if nothing is
    /// running.
    pub fn next(&self) -> Option<f64> {
        let end_times = self.shares().into_iter().filter(|(_, share)| *share > 0.0);
        let end_times = end_times.map(|(id, share)| self.now + self.running[&id].work / share);
        let next_end = end_times.min_by(f64::total_cmp)?;
        let is_warming_up = self.now - self.started_at < self.warm_within;
        Some(if is_warming_up {
            next_end.min(self.now + 0.05)
        } else {
            next_end
        })
    }
}

#[cfg(test)]
mod tests;
