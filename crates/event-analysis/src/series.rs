//! Facts summed in buckets of time, for plots. Buckets widen as a log grows, so that their number
//! is bounded.

mod sketch;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use eideryard::interface::{EngineId, Micros, Outcome};
use eideryard_event_log::AnswerKind;

use crate::state::{Fact, TimedFact};
pub use sketch::LatencySketch;

/// Most buckets; in a longer log each two become one.
pub const MAX_BUCKETS: usize = 720;
const INITIAL_WIDTH: Micros = 1_000_000;
/// Most classes, tenants and engines that have sums of their own.
const MAX_GROUPS: usize = 256;

/// Sums of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassBucket {
    /// Requests received.
    pub received: u32,
    /// Requests ended, indexed by [`AnswerKind`].
    pub ended: [u32; AnswerKind::ALL.len()],
    /// Requests that ended after their deadline.
    pub late: u32,
    /// Attempts that were not the first of their request.
    pub retries: u32,
    /// Latency of served requests.
    pub latency: LatencySketch,
}

impl ClassBucket {
    fn merge(&mut self, other: &ClassBucket) {
        self.received += other.received;
        for (count, more) in self.ended.iter_mut().zip(other.ended) {
            *count += more;
        }
        self.late += other.late;
        self.retries += other.retries;
        self.latency.merge(&other.latency);
    }

    /// Requests that ended in this way.
    pub fn ended(&self, kind: AnswerKind) -> u32 {
        self.ended[kind as usize]
    }
}

/// Sums of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineBucket {
    /// Attempts sent.
    pub sent: u32,
    /// Attempts that it answered.
    pub answered: u32,
    /// Attempts that ended any other way, without those that were cancelled or not sent.
    pub failed: u32,
}

/// Sums of one stretch of time.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// By class.
    pub classes: BTreeMap<usize, ClassBucket>,
    /// By engine.
    pub engines: BTreeMap<EngineId, EngineBucket>,
    /// Requests received, by tenant.
    pub tenants: BTreeMap<usize, u32>,
}

impl Bucket {
    /// The sum of a value over all classes.
    pub fn total(&self, value: impl Fn(&ClassBucket) -> u32) -> u32 {
        self.classes.values().map(value).sum()
    }

    fn merge(&mut self, other: Bucket) {
        for (class, bucket) in other.classes {
            self.classes.entry(class).or_default().merge(&bucket);
        }
        for (engine, bucket) in other.engines {
            let sums = self.engines.entry(engine).or_default();
            sums.sent += bucket.sent;
            sums.answered += bucket.answered;
            sums.failed += bucket.failed;
        }
        for (tenant, received) in other.tenants {
            *self.tenants.entry(tenant).or_default() += received;
        }
    }

    fn add(&mut self, fact: &Fact) {
        match *fact {
            Fact::RequestReceived { class, tenant, .. } => self.add_received(class, tenant),
            Fact::RequestRefused {
                class: Some(class),
                tenant,
            } => self.add_refused(class, tenant),
            Fact::RequestEnded {
                class,
                kind,
                is_late,
                duration,
                ..
            } => self.add_ended(class, kind, is_late, duration),
            Fact::AttemptSent {
                engine,
                class,
                is_retry,
            } => self.add_sent(engine, class, is_retry),
            Fact::AttemptEnded { engine, outcome } => self.add_outcome(engine, outcome),
            _ => {}
        }
    }

    fn add_received(&mut self, class: usize, tenant: usize) {
        if let Some(sums) = group_mut(&mut self.classes, class) {
            sums.received += 1;
        }
        if let Some(received) = group_mut(&mut self.tenants, tenant) {
            *received += 1;
        }
    }

    fn add_refused(&mut self, class: usize, tenant: Option<usize>) {
        if let Some(sums) = group_mut(&mut self.classes, class) {
            sums.received += 1;
            sums.ended[AnswerKind::Refused as usize] += 1;
        }
        if let Some(received) = tenant.and_then(|tenant| group_mut(&mut self.tenants, tenant)) {
            *received += 1;
        }
    }

    fn add_ended(
        &mut self,
        class: usize,
        kind: AnswerKind,
        is_late: bool,
        duration: Option<Micros>,
    ) {
        let Some(sums) = group_mut(&mut self.classes, class) else {
            return;
        };
        sums.ended[kind as usize] += 1;
        sums.late += u32::from(is_late);
        if let (AnswerKind::Served, Some(duration)) = (kind, duration) {
            sums.latency.add(duration);
        }
    }

    fn add_sent(&mut self, engine: EngineId, class: usize, is_retry: bool) {
        if let Some(sums) = group_mut(&mut self.engines, engine) {
            sums.sent += 1;
        }
        if let Some(sums) = group_mut(&mut self.classes, class) {
            sums.retries += u32::from(is_retry);
        }
    }

    fn add_outcome(&mut self, engine: EngineId, outcome: Outcome) {
        let Some(sums) = group_mut(&mut self.engines, engine) else {
            return;
        };
        match outcome {
            Outcome::Answered => sums.answered += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => sums.failed += 1,
        }
    }
}

/// The sums of a group; `None` for a new one beyond [`MAX_GROUPS`].
fn group_mut<K: Ord, V: Default>(groups: &mut BTreeMap<K, V>, key: K) -> Option<&mut V> {
    if groups.len() >= MAX_GROUPS && !groups.contains_key(&key) {
        return None;
    }
    Some(groups.entry(key).or_default())
}

/// Sums over time.
pub struct Series {
    /// Time of one bucket.
    pub width: Micros,
    /// When the first bucket starts.
    pub from: Micros,
    /// The buckets, without pauses between them.
    pub buckets: Vec<Bucket>,
}

impl Default for Series {
    fn default() -> Self {
        Self::new()
    }
}

impl Series {
    /// An empty series.
    pub fn new() -> Self {
        Series {
            width: INITIAL_WIDTH,
            from: 0,
            buckets: Vec::new(),
        }
    }

    /// Adds a fact to the bucket of its time.
    pub fn add(&mut self, fact: &TimedFact) {
        let is_summed = matches!(
            fact.fact,
            Fact::RequestReceived { .. }
                | Fact::RequestRefused { .. }
                | Fact::RequestEnded { .. }
                | Fact::AttemptSent { .. }
                | Fact::AttemptEnded { .. }
        );
        if is_summed {
            self.bucket_mut(fact.at).add(&fact.fact);
        }
    }

    /// When a bucket starts.
    pub fn start_of(&self, bucket: usize) -> Micros {
        self.from + self.width * bucket as Micros
    }

    /// When the last bucket ends.
    pub fn end(&self) -> Micros {
        self.start_of(self.buckets.len())
    }

    fn bucket_mut(&mut self, at: Micros) -> &mut Bucket {
        if self.buckets.is_empty() {
            self.from = at - at % self.width;
            self.buckets.push(Bucket::default());
        }
        // Where clocks differ, a fact may be older than the first bucket: it then counts there.
        let offset = at.saturating_sub(self.from);
        while (offset / self.width) as usize >= MAX_BUCKETS {
            self.double_width();
        }
        let index = (offset / self.width) as usize;
        if self.buckets.len() <= index {
            self.buckets.resize_with(index + 1, Bucket::default);
        }
        &mut self.buckets[index]
    }

    /// Merges each two buckets into one.
    fn double_width(&mut self) {
        let mut merged: Vec<Bucket> = Vec::with_capacity(MAX_BUCKETS);
        for (index, bucket) in std::mem::take(&mut self.buckets).into_iter().enumerate() {
            match merged.last_mut() {
                Some(last) if index % 2 == 1 => last.merge(bucket),
                _ => merged.push(bucket),
            }
        }
        self.buckets = merged;
        self.width *= 2;
    }
}
