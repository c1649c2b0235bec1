//! The clock of the balancer and of the main loop: monotonic, set to Unix time at the start, in
//! microseconds. Times that the protocol states as Unix times are used as they are.

use eideryard::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that was started once for the process; copies show the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Micros,
}

impl Clock {
    /// Starts a clock at the system's present time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Clock {
            started: Instant::now(),
            started_at: since_epoch.as_micros() as Micros,
        }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
}
