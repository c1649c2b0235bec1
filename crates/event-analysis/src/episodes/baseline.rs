//! The usual value of a measurement: an exponentially weighted moving average.

/// Time constant of the moving average in seconds, with one value a second.
const MEAN_SECONDS: f64 = 60.0;
/// Minimum number of values for a baseline.
const MIN_VALUES: u32 = 3;
/// Number of seconds with traffic after which a tenant or address that sends its first request gets
/// a baseline of zero. Before that, every sender is new because the log has just begun.
const MIN_SECONDS_FOR_NEW: u32 = 5;

/// A moving average of the values added so far.

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    mean: f64,
    values: u32,
}

impl Baseline {
    /// Creates the baseline of a new tenant or address after this number of seconds with traffic.
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

    /// Returns the mean, or `None` until there are enough values.
    pub fn mean(&self) -> Option<f64> {
        (self.values >= MIN_VALUES).then_some(self.mean)
    }
}
