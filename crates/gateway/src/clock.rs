//! One clock for the module and the host: monotonic, fixed to Unix time at the start, in
//! microseconds. Times that the protocol gives as Unix times are on it as they are.

use eideryard::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Clock {
            started: Instant::now(),
            started_at: since_epoch.as_micros() as Micros,
        }
    }

    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
}
