//! Facts summed in buckets of time, for plots. The buckets widen as the record grows, so that their
//! number stays.

use std::collections::BTreeMap;

use eideryard::interface::{EngineId, Micros, Outcome};
use eideryard_event_log::AnswerKind;

use crate::state::{Fact, LoggedText};

/// Buckets at the most; when a record is longer, two become one.
pub const MAX_BUCKETS: usize = 720;
const FIRST_WIDTH: Micros = 1_000_000;
/// Classes, tenants and engines that have lines of their own.
const MAX_LINES: usize = 256;

/// Latencies in steps of the square root of two from a millisecond on: a percentile to a fifth, in
/// little room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sketch {
    counts: [u32; Sketch::STEPS],
}

impl Sketch {
    const STEPS: usize = 32;

    pub fn add(&mut self, took: Micros) {
        let step = ((took as f64 / 1e3).max(1.0).log2() * 2.0) as usize;
        self.counts[step.min(Self::STEPS - 1)] += 1;
    }

    pub fn merge(&mut self, other: &Sketch) {
        self.counts
            .iter_mut()
            .zip(other.counts)
            .for_each(|(own, count)| *own += count);
    }

    pub fn count(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// The latency in milliseconds that a share of all stay below, to a fifth.
    pub fn percentile(&self, share: f64) -> Option<f64> {
        let count = self.count();
        let wanted = (count as f64 * share).ceil().max(1.0) as u32;
        let mut seen = 0;
        for (step, of) in self.counts.iter().enumerate() {
            seen += of;
            if seen >= wanted && count > 0 {
                return Some(2f64.powf((step as f64 + 0.5) / 2.0));
            }
        }
        None
    }
}

#[derive(Clone, Debug, Default)]
pub struct ClassBucket {
    pub taken: u32,
    /// By [`AnswerKind`].
    pub ended: [u32; 5],
    pub late: u32,
    pub again: u32,
    pub latency: Sketch,
}

impl ClassBucket {
    fn merge(&mut self, other: &ClassBucket) {
        self.taken += other.taken;
        self.ended
            .iter_mut()
            .zip(other.ended)
            .for_each(|(own, count)| *own += count);
        self.late += other.late;
        self.again += other.again;
        self.latency.merge(&other.latency);
    }

    pub fn ended(&self, how: AnswerKind) -> u32 {
        self.ended[how as usize]
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct EngineBucket {
    pub sent: u32,
    pub answered: u32,
    /// Ended any other way, but for those that were withdrawn.
    pub bad: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Bucket {
    pub classes: BTreeMap<usize, ClassBucket>,
    pub engines: BTreeMap<EngineId, EngineBucket>,
    pub tenants: BTreeMap<usize, u32>,
}

impl Bucket {
    fn merge(&mut self, other: Bucket) {
        for (class, bucket) in other.classes {
            self.classes.entry(class).or_default().merge(&bucket);
        }
        for (engine, bucket) in other.engines {
            let own = self.engines.entry(engine).or_default();
            own.sent += bucket.sent;
            own.answered += bucket.answered;
            own.bad += bucket.bad;
        }
        for (tenant, taken) in other.tenants {
            *self.tenants.entry(tenant).or_default() += taken;
        }
    }

    pub fn total(&self, of: impl Fn(&ClassBucket) -> u32) -> u32 {
        self.classes.values().map(of).sum()
    }
}

/// An entry of a map that doesn't grow beyond the lines that are kept.
fn line<K: Ord, V: Default>(lines: &mut BTreeMap<K, V>, key: K) -> Option<&mut V> {
    if lines.len() >= MAX_LINES && !lines.contains_key(&key) {
        return None;
    }
    Some(lines.entry(key).or_default())
}

pub struct Series {
    pub width: Micros,
    /// Where the first bucket begins.
    pub from: Micros,
    pub buckets: Vec<Bucket>,
}

impl Default for Series {
    fn default() -> Self {
        Self::new()
    }
}

impl Series {
    pub fn new() -> Self {
        Series {
            width: FIRST_WIDTH,
            from: 0,
            buckets: Vec::new(),
        }
    }

    fn bucket(&mut self, at: Micros) -> &mut Bucket {
        if self.buckets.is_empty() {
            self.from = at - at % self.width;
            self.buckets.push(Bucket::default());
        }
        // Clocks that are apart may tell something of before the first: it belongs to the first
        // then.
        let after = at.saturating_sub(self.from);
        while (after / self.width) as usize >= MAX_BUCKETS {
            let mut halved: Vec<Bucket> = Vec::with_capacity(MAX_BUCKETS);
            for (at, bucket) in std::mem::take(&mut self.buckets).into_iter().enumerate() {
                match halved.last_mut().filter(|_| at % 2 == 1) {
                    Some(last) => last.merge(bucket),
                    None => halved.push(bucket),
                }
            }
            self.buckets = halved;
            self.width *= 2;
        }
        let place = (after / self.width) as usize;
        if self.buckets.len() <= place {
            self.buckets.resize_with(place + 1, Bucket::default);
        }
        &mut self.buckets[place]
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn take(&mut self, said: &LoggedText) {
        let bucket = match said.fact {
            Fact::Taken { .. }
            | Fact::Ended { .. }
            | Fact::Sent { .. }
            | Fact::Out { .. }
            | Fact::Refused { .. } => self.bucket(said.at),
            _ => return,
        };
        match said.fact {
            Fact::Taken { class, tenant, .. } => {
                for own in line(&mut bucket.classes, class).into_iter() {
                    own.taken += 1;
                }
                for own in line(&mut bucket.tenants, tenant).into_iter() {
                    *own += 1;
                }
            }
            Fact::Refused {
                class: Some(class),
                tenant,
            } => {
                let own = line(&mut bucket.classes, class);
                for own in own.into_iter() {
                    own.taken += 1;
                    own.ended[AnswerKind::Refused as usize] += 1;
                }
                let tenant = tenant.and_then(|tenant| line(&mut bucket.tenants, tenant));
                for own in tenant.into_iter() {
                    *own += 1;
                }
            }
            Fact::Ended {
                class,
                how,
                late,
                took,
                ..
            } => {
                let Some(own) = line(&mut bucket.classes, class) else {
                    return;
                };
                own.ended[how as usize] += 1;
                own.late += late as u32;
                if how == AnswerKind::Served {
                    for took in took.into_iter() {
                        own.latency.add(took);
                    }
                }
            }
            Fact::Sent {
                engine,
                class,
                again,
            } => {
                for own in line(&mut bucket.engines, engine).into_iter() {
                    own.sent += 1;
                }
                for own in line(&mut bucket.classes, class).into_iter() {
                    own.again += again as u32;
                }
            }
            Fact::Out {
                engine, outcome, ..
            } => {
                let Some(own) = line(&mut bucket.engines, engine) else {
                    return;
                };
                match outcome {
                    Outcome::Answered => own.answered += 1,
                    Outcome::Cancelled | Outcome::NotSent => {}
                    _ => own.bad += 1,
                }
            }
            _ => {}
        }
    }

    /// The time at which a bucket begins.
    pub fn begins(&self, bucket: usize) -> Micros {
        self.from + self.width * bucket as Micros
    }

    pub fn until(&self) -> Micros {
        self.begins(self.buckets.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_day_keeps_its_sums_in_as_many_buckets_as_ten_minutes() {
        let mut series = Series::new();
        let fact = Fact::Taken {
            class: 0,
            tenant: 0,
            from: None,
        };
        (0..86_400).for_each(|second| {
            series.take(&LoggedText {
                source: 0,
                at: second * 1_000_000,
                fact,
            });
        });
        assert!(series.buckets.len() <= MAX_BUCKETS && series.width > FIRST_WIDTH);
        assert_eq!(
            series
                .buckets
                .iter()
                .map(|bucket| bucket.total(|class| class.taken))
                .sum::<u32>(),
            86_400
        );
    }

    #[test]
    fn a_sketch_tells_percentiles_to_a_fifth() {
        let mut sketch = Sketch::default();
        (1..=1000).for_each(|ms| sketch.add(ms * 1000));
        for share in [0.1, 0.5, 0.9, 0.99] {
            let (told, true_ms) = (sketch.percentile(share).unwrap(), 1000.0 * share);
            assert!((told / true_ms - 1.0).abs() < 0.2, "{share}: {told}");
        }
        assert_eq!(Sketch::default().percentile(0.5), None);
    }
}
