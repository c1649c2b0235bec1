//! Failure detector: derives the state of a peer from the arrival times of its frames. No I/O.
//!
//! No fixed timeout suits all links. A frame is late relative to the mean and deviation of the
//! intervals between arrivals on the same link; a reply is late relative to the mean round trip
//! time of that link.

use crate::limits::{DISCONNECT_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::Micros;

#[cfg(test)]
mod tests;

/// Tolerance for scheduling delays on a machine under high system load, added to each limit.
const SCHEDULING_MARGIN: Micros = 60_000;
/// Number of deviations above the mean interval at which a peer counts as slow.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Number of deviations above the mean interval at which a peer counts as silent.
const SILENT_DEVIATIONS: f64 = 10.0;
/// Multiple of the mean round trip time above which, plus [`SCHEDULING_MARGIN`], a reply is slow.
const SLOW_ROUND_TRIP_FACTOR: f64 = 4.0;
/// Weight of a new observation in the mean; TCP uses the same for its round trip estimate.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new observation in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Health of a peer, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// Frames and replies from the peer arrive in the usual time.
    Up,
    /// Frames from the peer are late, or its replies to heartbeats are slow.
    Slow,
    /// No frame has arrived for much longer than usual, or for half of [`DISCONNECT_TIMEOUT`].
    Silent,
    /// Nothing has arrived for [`DISCONNECT_TIMEOUT`], or the link was closed.
    Disconnected,
}

impl PeerState {
    /// Returns the name of the state in log lines, the event log and the status file.
    pub fn name(self) -> &'static str {
        match self {
            PeerState::Up => "up",
            PeerState::Slow => "slow",
            PeerState::Silent => "silent",
            PeerState::Disconnected => "gone",
        }
    }
}

/// Exponentially weighted mean and deviation of durations, in microseconds.
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

/// Failure detector of one link. The caller passes the current time to each method.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    last_received_at: Micros,
    intervals: RunningMean,
    round_trips: RunningMean,
    is_round_trip_slow: bool,
    /// The oldest heartbeat without a reply.
    unanswered: Option<SentHeartbeat>,
    last_heartbeat_number: u64,
    last_heartbeat_at: Micros,
}

impl FailureDetector {
    /// Creates the detector of a link that was opened at `now`, with the state [`PeerState::Up`].
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
            last_heartbeat_number: 0,
            last_heartbeat_at: now,
        }
    }

    /// Updates the arrival intervals with a frame that has arrived at `now`.
    pub fn on_frame(&mut self, now: Micros) {
        let interval = now.saturating_sub(self.last_received_at);
        // Frames that arrive in one burst would shorten the mean without saying anything about the
        // usual pause between frames.
        if interval >= HEARTBEAT_INTERVAL / 4 {
            self.intervals.add(interval as f64);
        }
        self.last_received_at = now;
    }

    /// Returns the sequence number of the heartbeat to send now, or `None` if none is due yet.
    pub fn take_due_heartbeat(&mut self, now: Micros) -> Option<u64> {
        if now < self.next_heartbeat_at() {
            return None;
        }
        self.last_heartbeat_at = now;
        self.last_heartbeat_number += 1;
        // Only the oldest heartbeat without a reply is stored: its age is the minimum time that
        // replies take now.
        self.unanswered.get_or_insert(SentHeartbeat {
            number: self.last_heartbeat_number,
            sent_at: now,
        });
        Some(self.last_heartbeat_number)
    }

    /// Updates the round trip time with the reply to the heartbeat with sequence number `number`.
    pub fn on_heartbeat_reply(&mut self, now: Micros, number: u64) {
        let Some(sent) = self.unanswered.take_if(|sent| sent.number <= number) else {
            return;
        };
        let round_trip = now.saturating_sub(sent.sent_at) as f64;
        let limit = SLOW_ROUND_TRIP_FACTOR * self.round_trips.mean + SCHEDULING_MARGIN as f64;
        self.is_round_trip_slow = round_trip > limit;
        // The limit on the observation keeps one slow reply from raising the mean too far. If
        // replies stay slow, the mean follows and the peer is up again.
        self.round_trips.add(round_trip.min(limit));
    }

    /// Returns the weighted mean of the round trip times, in microseconds; 0 before the first
    /// reply.
    pub fn round_trip(&self) -> Micros {
        self.round_trips.mean as Micros
    }

    fn interval_limit(&self, deviations: f64) -> Micros {
        let interval = self.intervals.mean + deviations * self.intervals.deviation;
        interval as Micros + SCHEDULING_MARGIN
    }

    /// Returns the state of the peer, derived from the frames and replies that have arrived until
    /// `now`.
    pub fn state(&self, now: Micros) -> PeerState {
        let silence = now.saturating_sub(self.last_received_at);
        let reply_delay = self
            .unanswered
            .map_or(0, |sent| now.saturating_sub(sent.sent_at));
        let slow_limit = self.interval_limit(SLOW_DEVIATIONS);
        let silent_limit = self.interval_limit(SILENT_DEVIATIONS);
        if silence >= DISCONNECT_TIMEOUT {
            PeerState::Disconnected
        } else if silence > silent_limit.min(DISCONNECT_TIMEOUT / 2) {
            PeerState::Silent
        } else if silence > slow_limit || self.is_round_trip_slow || reply_delay > slow_limit {
            PeerState::Slow
        } else {
            PeerState::Up
        }
    }

    /// Returns the time of the next heartbeat. The peer's state has to be checked at this time too,
    /// since the state changes if no frame arrives.
    pub fn next_heartbeat_at(&self) -> Micros {
        self.last_heartbeat_at + HEARTBEAT_INTERVAL
    }
}
