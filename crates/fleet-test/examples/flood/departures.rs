//! Which requests engines got although their client had left, or twice.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::{LazyLock, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A request may be sent up to this long after its client has left.
const GRACE: Duration = Duration::from_millis(100);

static DEPARTURES: LazyLock<Mutex<Departures>> = LazyLock::new(Mutex::default);

/// What the clients and engines of this process have seen.
#[derive(Default)]
pub struct Departures {
    /// When clients left, by the first name of the requests that they had sent.
    left: BTreeMap<u64, Departure>,
    sent: HashSet<u64>,
    sent_after_departure: u64,
    longest: Duration,
    sent_twice: u64,
}

/// A client that has left.
struct Departure {
    last_name: u64,
    at: Instant,
}

impl Departures {
    pub fn lock() -> MutexGuard<'static, Departures> {
        DEPARTURES.lock().expect("no panic")
    }

    /// Records that the client of the requests with these names leaves now.
    pub fn record_departure(&mut self, names: RangeInclusive<u64>) {
        let departure = Departure {
            last_name: *names.end(),
            at: Instant::now(),
        };
        self.left.insert(*names.start(), departure);
    }

    /// Records that an engine has got a request.
    pub fn record_send(&mut self, id: &str) {
        let name = u64::from_str_radix(id, 16).expect("16 hexadecimal digits");
        self.sent_twice += u64::from(!self.sent.insert(name));
        let departure = self.left.range(..=name).next_back();
        let Some((_, departure)) = departure.filter(|(_, left)| name <= left.last_name) else {
            return;
        };
        let late = departure.at.elapsed();
        if late > GRACE {
            self.sent_after_departure += 1;
            self.longest = self.longest.max(late);
        }
    }
}

impl fmt::Display for Departures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} of them over 100 ms after their client had left (longest {} ms), {} twice",
            self.sent.len(),
            self.sent_after_departure,
            self.longest.as_millis(),
            self.sent_twice
        )
    }
}
