//! How a peer does, by the times at which it was heard. Pure.
//!
//! No one limit holds for all links: what is late is measured against the mean of the times between
//! what was heard on this link and their deviation, and against its own round trips.

/// Microseconds.
pub type Micros = u64;

/// A peer of which nothing is heard is asked so often whether it lives.
pub const BEAT: Micros = 300_000;
/// What a machine under load may add to any time between two arrivals.
const FLOOR: Micros = 60_000;
/// Deviations over the mean at which one is late, and at which one is silent.
const LATE: f64 = 4.0;
const SILENT: f64 = 10.0;
/// Nothing was heard for so long: the link is given up.
pub const GONE: Micros = 4_000_000;
/// A round trip that takes so many times the usual one is slow.
const SLOW_TRIP: f64 = 4.0;
/// Weights of one more observation, as for round trips of connections.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Up,
    /// It is heard, but later than it was, or it answers slowly.
    Slow,
    /// It should have been heard long since.
    Silent,
    /// The link is no more.
    Gone,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Slow => "slow",
            State::Silent => "silent",
            State::Gone => "gone",
        }
    }
}

/// A mean and its deviation, of times between 0 and some seconds.
#[derive(Clone, Copy, Debug)]
struct Usual {
    mean: f64,
    deviation: f64,
}

impl Usual {
    fn add(&mut self, value: f64) {
        let error = value - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }
}

#[derive(Clone, Debug)]
pub struct Detector {
    heard_at: Micros,
    between: Usual,
    trip: Usual,
    slow_trip: bool,
    /// A beat that has no answer yet: its number, and when it left.
    beat: Option<(u64, Micros)>,
    numbers: u64,
    asked_at: Micros,
}

impl Detector {
    /// A link that was just made.
    pub fn new(now: Micros) -> Self {
        let between = Usual {
            mean: BEAT as f64,
            deviation: BEAT as f64 / 4.0,
        };
        let trip = Usual {
            mean: 0.0,
            deviation: 0.0,
        };
        Detector {
            heard_at: now,
            between,
            trip,
            slow_trip: false,
            beat: None,
            numbers: 0,
            asked_at: now,
        }
    }

    pub fn heard(&mut self, now: Micros) {
        let time = now.saturating_sub(self.heard_at);
        // Many frames of one moment say nothing of how long a pause may be.
        if time >= BEAT / 4 {
            self.between.add(time as f64);
        }
        self.heard_at = now;
    }

    /// The number of a beat that is to be sent now, if one is.
    pub fn beats(&mut self, now: Micros) -> Option<u64> {
        if now < self.asked_at + BEAT {
            return None;
        }
        self.asked_at = now;
        self.numbers += 1;
        // The oldest without an answer is the one that tells how long answers take.
        self.beat.get_or_insert((self.numbers, now));
        Some(self.numbers)
    }

    /// A beat was answered.
    pub fn answered(&mut self, now: Micros, number: u64) {
        let Some((_, sent)) = self.beat.take_if(|(own, _)| *own <= number) else {
            return;
        };
        let trip = now.saturating_sub(sent) as f64;
        let limit = SLOW_TRIP * self.trip.mean + FLOOR as f64;
        self.slow_trip = trip > limit;
        // A link that stays slow becomes usual, but not by one answer.
        self.trip.add(trip.min(limit));
    }

    /// Mean time of a round trip.
    pub fn trip(&self) -> Micros {
        self.trip.mean as Micros
    }

    fn limit(&self, deviations: f64) -> Micros {
        (self.between.mean + deviations * self.between.deviation) as Micros + FLOOR
    }

    pub fn state(&self, now: Micros) -> State {
        let quiet = now.saturating_sub(self.heard_at);
        let waits = self.beat.map_or(0, |(_, sent)| now.saturating_sub(sent)) as f64;
        if quiet >= GONE {
            State::Gone
        } else if quiet > self.limit(SILENT).min(GONE / 2) {
            State::Silent
        } else if quiet > self.limit(LATE) || self.slow_trip || waits > self.limit(LATE) as f64 {
            State::Slow
        } else {
            State::Up
        }
    }

    /// When the state may change though nothing comes.
    pub fn due(&self) -> Micros {
        self.asked_at + BEAT
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One that beats at a pace, with a little scatter, for a time.
    fn paced(pace: Micros, count: u64) -> (Detector, Micros) {
        let (mut detector, mut now) = (Detector::new(0), 0);
        for number in 0..count {
            now += pace + (number * 7919) % (pace / 10);
            let beat = detector.beats(now);
            detector.heard(now);
            for beat in beat.into_iter() {
                detector.answered(now + 2_000, beat);
            }
        }
        (detector, now)
    }

    #[test]
    fn a_steady_peer_is_up_and_one_that_stops_becomes_slow_silent_and_gone() {
        let (detector, last) = paced(BEAT, 100);
        let states: Vec<State> = (0..GONE / 10_000 + 2)
            .map(|step| detector.state(last + step * 10_000))
            .collect();
        assert!(
            states.windows(2).all(|pair| pair[0] <= pair[1]),
            "it never gets better by silence"
        );
        for state in [State::Up, State::Slow, State::Silent, State::Gone] {
            assert!(states.contains(&state), "{state:?}");
        }
        assert_eq!(detector.state(last + BEAT + FLOOR / 2), State::Up);
    }

    #[test]
    fn a_link_that_always_took_long_is_given_longer() {
        let silent_after = |pace| {
            let (detector, last) = paced(pace, 100);
            (0..)
                .step_by(1_000)
                .find(|quiet| detector.state(last + quiet) >= State::Silent)
                .expect("some time")
        };
        assert!(
            silent_after(BEAT) < silent_after(2 * BEAT)
                && silent_after(2 * BEAT) < silent_after(4 * BEAT)
        );
    }

    #[test]
    fn a_peer_whose_answers_slow_down_is_slow_while_it_is_heard() {
        let (mut detector, mut now) = paced(BEAT, 50);
        assert_eq!(detector.state(now), State::Up);
        for _ in 0..3 {
            now += BEAT;
            let beat = detector.beats(now).expect("it is time");
            detector.heard(now);
            detector.answered(now + 250_000, beat);
        }
        assert_eq!(detector.state(now), State::Slow);
    }
}
