//! What is usual for a value: a mean that forgets.

/// Seconds after which older values count little.
const MEAN_SECONDS: f64 = 60.0;
/// Values that make a baseline.
const MIN_VALUES: u32 = 3;
/// Seconds with traffic after which a source that was never seen has a baseline of zero, because it
/// is new and not just part of the beginning.
const MIN_SECONDS_FOR_NEW: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    mean: f64,
    values: u32,
}

impl Baseline {
    /// The baseline of a new source after so many seconds with traffic.
    pub fn of_new(traffic_seconds: u32) -> Self {
        let is_new = traffic_seconds >= MIN_SECONDS_FOR_NEW;
        Baseline {
            mean: 0.0,
            values: if is_new { MIN_VALUES } else { 0 },
        }
    }

    pub fn add(&mut self, value: f64) {
        self.values = self.values.saturating_add(1);
        self.mean += (value - self.mean) / f64::from(self.values).min(MEAN_SECONDS);
    }

    /// The mean, once there are enough values.
    pub fn mean(&self) -> Option<f64> {
        (self.values >= MIN_VALUES).then_some(self.mean)
    }
}
