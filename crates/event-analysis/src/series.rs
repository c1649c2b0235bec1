//! Sums of facts per time bucket, for plots. Buckets get wider as a log gets longer, which bounds
//! their number.

mod sketch;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use eideryard::interface::{EngineId, Micros, Outcome};
use eideryard_event_log::AnswerKind;

use crate::state::{Fact, TimedFact};
pub use sketch::LatencySketch;

/// Maximum number of buckets. When a log needs more, pairs of neighbouring buckets are merged.
pub const MAX_BUCKETS: usize = 720;
/// Width of a bucket before any merge.
const INITIAL_WIDTH: Micros = 1_000_000;
/// Maximum number of classes, of tenants and of engines for which one bucket stores sums. The
/// bucket doesn't count facts about any others.
const MAX_GROUPS: usize = 256;

/// Sums over the requests of one class in one bucket.
#[derive(Clone, Debug, Default)]
pub struct ClassBucket {
    /// Requests received, including those rejected before they reached the balancer.
    pub received: u32,
    /// Requests that ended, indexed by [`AnswerKind`].
    pub ended: [u32; AnswerKind::ALL.len()],
    /// Requests that ended after their deadline.
    pub late: u32,
    /// Attempts sent that were not the first of their request.
    pub retries: u32,
    /// Latencies of served requests, from arrival to answer.
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

    /// Returns the number of requests that ended with this kind of answer.
    pub fn ended(&self, kind: AnswerKind) -> u32 {
        self.ended[kind as usize]
    }
}

/// Sums over all gateways' attempts on one engine in one bucket.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineBucket {
    /// Attempts sent to the engine.
    pub sent: u32,
    /// Attempts that the engine answered.
    pub answered: u32,
    /// Attempts that failed: those with any outcome except answered, cancelled and not sent.
    pub failed: u32,
}

/// Sums over one interval of time.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Sums for each class, by index of the class.
    pub classes: BTreeMap<usize, ClassBucket>,
    /// Sums by engine.
    pub engines: BTreeMap<EngineId, EngineBucket>,
    /// Number of requests received, by index of the tenant.
    pub tenants: BTreeMap<usize, u32>,
}

impl Bucket {
    /// Returns the sum of a value over all classes.
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

/// Returns the sums for a group, or `None` if the group is new and there are [`MAX_GROUPS`]
/// others.
fn group_mut<K: Ord, V: Default>(groups: &mut BTreeMap<K, V>, key: K) -> Option<&mut V> {
    if groups.len() >= MAX_GROUPS && !groups.contains_key(&key) {
        return None;
    }
    Some(groups.entry(key).or_default())
}

/// Sums over time, one bucket after the other.
pub struct Series {
    /// Duration of each bucket. It doubles whenever buckets are merged.
    pub width: Micros,
    /// Start of the first bucket; 0 while there is none.
    pub from: Micros,
    /// Consecutive buckets, including empty ones.
    pub buckets: Vec<Bucket>,
}

impl Default for Series {
    fn default() -> Self {
        Self::new()
    }
}

impl Series {
    /// Creates an empty series.
    pub fn new() -> Self {
        Series {
            width: INITIAL_WIDTH,
            from: 0,
            buckets: Vec::new(),
        }
    }

    /// Adds a fact about a request or an attempt to the bucket of its time; ignores other facts.
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

    /// Returns the start of the bucket with this index, which need not exist yet.
    pub fn start_of(&self, bucket: usize) -> Micros {
        self.from + self.width * bucket as Micros
    }

    /// Returns the end of the last bucket.
    pub fn end(&self) -> Micros {
        self.start_of(self.buckets.len())
    }

    fn bucket_mut(&mut self, at: Micros) -> &mut Bucket {
        if self.buckets.is_empty() {
            self.from = at - at % self.width;
            self.buckets.push(Bucket::default());
        }
        // If the gateways' clocks differ, a fact may be older than the first bucket. Such a fact is
        // counted in the first bucket.
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

    /// Merges each pair of neighbouring buckets into one.
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
