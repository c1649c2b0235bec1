//! Times that are given on the command line.

use thiserror::Error;

#[cfg(test)]
mod tests;

/// Length of a day, in microseconds.
const DAY: u64 = 86_400_000_000;
/// Upper bound of Unix times, in seconds; greater values are rejected as mistakes.
const MAX_UNIX_SECONDS: f64 = 1e11;

/// A Unix time, or a time on the last day of the event logs; both in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// Microseconds since 1970, UTC.
    Unix(u64),
    /// Microseconds since midnight, UTC.
    OfDay(u64),
}

/// The given text isn't a time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is neither HH:MM[:SS] nor a Unix time in seconds")]
pub struct MomentError(String);

/// A part of a time of day: its length in seconds, and the exclusive upper bound of its value.
struct TimePart {
    seconds: f64,
    bound: f64,
}

const HOURS: TimePart = TimePart {
    seconds: 3600.0,
    bound: 24.0,
};
const MINUTES: TimePart = TimePart {
    seconds: 60.0,
    bound: 60.0,
};
const SECONDS: TimePart = TimePart {
    seconds: 1.0,
    bound: 60.0,
};

/// Parses a time in one of the forms HH:MM, HH:MM:SS and Unix seconds.
///
/// # Errors
///
/// The text isn't a time.
pub fn parse(text: &str) -> Result<Moment, MomentError> {
    let moment = if text.contains(':') {
        parse_time_of_day(text)
    } else {
        parse_unix_seconds(text)
    };
    moment.ok_or_else(|| MomentError(text.to_string()))
}

fn parse_unix_seconds(text: &str) -> Option<Moment> {
    let seconds: f64 = text.parse().ok()?;
    let is_time = (0.0..MAX_UNIX_SECONDS).contains(&seconds);
    is_time.then_some(Moment::Unix((seconds * 1e6) as u64))
}

fn parse_time_of_day(text: &str) -> Option<Moment> {
    let values: Vec<&str> = text.split(':').collect();
    if !(2..=3).contains(&values.len()) {
        return None;
    }
    let mut seconds = 0.0;
    for (value, part) in values.iter().zip([HOURS, MINUTES, SECONDS]) {
        let value: f64 = value.parse().ok()?;
        if !(0.0..part.bound).contains(&value) {
            return None;
        }
        seconds += part.seconds * value;
    }
    Some(Moment::OfDay((seconds * 1e6) as u64))
}

impl Moment {
    /// Returns the Unix time in microseconds. A time of day refers to the day of the Unix time
    /// `at`.
    pub fn on_day_of(self, at: u64) -> u64 {
        match self {
            Moment::Unix(at) => at,
            Moment::OfDay(of_day) => at - at % DAY + of_day,
        }
    }
}
