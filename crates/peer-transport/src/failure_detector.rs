//! The state of a peer, by the times at which its frames arrived. No I/O.
//!
//! No fixed limit suits all links. Lateness is measured against the mean and deviation of the
//! intervals between arrivals on this link, and against the link's own round trips.

use crate::limits::{DISCONNECT_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::Micros;

#[cfg(test)]
mod tests;

/// What a loaded machine may add to any interval between two arrivals.
const SCHEDULING_MARGIN: Micros = 60_000;
/// Deviations above the mean interval at which a peer is slow.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Deviations above the mean interval at which a peer is silent.
const SILENT_DEVIATIONS: f64 = 10.0;
/// A round trip of this many times the mean is slow.
const SLOW_ROUND_TRIP_FACTOR: f64 = 4.0;
/// Weight of one more observation in the mean, as TCP weights round trips.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one more observation in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// How a peer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// Its frames arrive as usual.
    Up,
    /// Its frames arrive later than usual, or it answers slowly.
    Slow,
    /// A frame is long overdue.
    Silent,
    /// The link no longer exists.
    Disconnected,
}

impl PeerState {
    /// The word for a state in the log, the event log and the status file.
    pub fn name(self) -> &'static str {
        match self {
            PeerState::Up => "up",
            PeerState::Slow => "slow",
            PeerState::Silent => "silent",
            PeerState::Disconnected => "gone",
        }
    }
}

/// Weighted mean and deviation of durations, in microseconds.
#[derive(Clone, Copy, Debug)]
struct RunningMean {
    mean: f64,
    deviation: f64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        let error = value - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }
}

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    number: u64,
    sent_at: Micros,
}

/// Failure detector of one link. All times are the caller's.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    last_received_at: Micros,
    intervals: RunningMean,
    round_trips: RunningMean,
    is_round_trip_slow: bool,
    /// The oldest heartbeat without an answer.
    unanswered: Option<SentHeartbeat>,
    last_number: u64,
    last_sent_at: Micros,
}

impl FailureDetector {
    /// The detector of a link that was just made.
    pub fn new(now: Micros) -> Self {
        FailureDetector {
            last_received_at: now,
            intervals: RunningMean {
                mean: HEARTBEAT_INTERVAL as f64,
                deviation: HEARTBEAT_INTERVAL as f64 / 4.0,
            },
            round_trips: RunningMean {
                mean: 0.0,
                deviation: 0.0,
            },
            is_round_trip_slow: false,
            unanswered: None,
            last_number: 0,
            last_sent_at: now,
        }
    }

    /// A frame has arrived.
    pub fn on_frame(&mut self, now: Micros) {
        let interval = now.saturating_sub(self.last_received_at);
        // Frames that arrive together say nothing about how long a pause may be.
        if interval >= HEARTBEAT_INTERVAL / 4 {
            self.intervals.add(interval as f64);
        }
        self.last_received_at = now;
    }

    /// The number of a heartbeat that is to be sent now, if one is.
    pub fn take_due_heartbeat(&mut self, now: Micros) -> Option<u64> {
        if now < self.next_heartbeat_at() {
            return None;
        }
        self.last_sent_at = now;
        self.last_number += 1;
        // The oldest one without an answer shows how long answers take.
        self.unanswered.get_or_insert(SentHeartbeat {
            number: self.last_number,
            sent_at: now,
        });
        Some(self.last_number)
    }

    /// A heartbeat was answered.
    pub fn on_heartbeat_reply(&mut self, now: Micros, number: u64) {
        let Some(sent) = self.unanswered.take_if(|sent| sent.number <= number) else {
            return;
        };
        let round_trip = now.saturating_sub(sent.sent_at) as f64;
        let limit = SLOW_ROUND_TRIP_FACTOR * self.round_trips.mean + SCHEDULING_MARGIN as f64;
        self.is_round_trip_slow = round_trip > limit;
        // A link that stays slow becomes usual, but not by a single answer.
        self.round_trips.add(round_trip.min(limit));
    }

    /// Mean time of a round trip.
    pub fn round_trip(&self) -> Micros {
        self.round_trips.mean as Micros
    }

    fn interval_limit(&self, deviations: f64) -> Micros {
        let interval = self.intervals.mean + deviations * self.intervals.deviation;
        interval as Micros + SCHEDULING_MARGIN
    }

    /// The state of the peer now.
    pub fn state(&self, now: Micros) -> PeerState {
        let quiet_for = now.saturating_sub(self.last_received_at);
        let unanswered_for = self
            .unanswered
            .map_or(0, |sent| now.saturating_sub(sent.sent_at));
        let slow_limit = self.interval_limit(SLOW_DEVIATIONS);
        let silent_limit = self.interval_limit(SILENT_DEVIATIONS);
        if quiet_for >= DISCONNECT_TIMEOUT {
            PeerState::Disconnected
        } else if quiet_for > silent_limit.min(DISCONNECT_TIMEOUT / 2) {
            PeerState::Silent
        } else if quiet_for > slow_limit || self.is_round_trip_slow || unanswered_for > slow_limit {
            PeerState::Slow
        } else {
            PeerState::Up
        }
    }

    /// When a heartbeat is due, and the state may change though nothing arrives.
    pub fn next_heartbeat_at(&self) -> Micros {
        self.last_sent_at + HEARTBEAT_INTERVAL
    }
}
