//! The clock of the balancer and of the main loop: microseconds since the Unix epoch. The clock is
//! set from the system's clock once at startup and is monotonic from then on. Its times can be
//! compared with Unix times in messages without a conversion.

use eideryard::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of the process. All copies return the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Micros,
}

impl Clock {
    /// Starts a clock at the system's current time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Clock {
            started: Instant::now(),
            started_at: since_epoch.as_micros() as Micros,
        }
    }

    /// Returns the current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
}
