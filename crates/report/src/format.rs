//! Formats times, durations, counts and lists as text.

use eideryard::interface::Micros;
use time::macros::format_description;
use time::OffsetDateTime;

const NANOSECONDS_PER_MICROSECOND: i128 = 1000;

/// Converts microseconds since 1970; a time out of range becomes the start of 1970.
fn utc(at: Micros) -> OffsetDateTime {
    let nanoseconds = i128::from(at) * NANOSECONDS_PER_MICROSECOND;
    OffsetDateTime::from_unix_timestamp_nanos(nanoseconds).unwrap_or(OffsetDateTime::UNIX_EPOCH)
}

/// Formats the time of day in UTC with seconds, as `05:00:10`.
pub fn clock(at: Micros) -> String {
    let format = format_description!("[hour]:[minute]:[second]");
    utc(at).format(format).unwrap_or_default()
}

/// Formats the time of day in UTC with milliseconds, as `05:00:10.250`.
pub fn clock_ms(at: Micros) -> String {
    let format = format_description!("[hour]:[minute]:[second].[subsecond digits:3]");
    utc(at).format(format).unwrap_or_default()
}

/// Formats the date in UTC, as `2026-12-02`.
pub fn date(at: Micros) -> String {
    let format = format_description!("[year]-[month]-[day]");
    utc(at).format(format).unwrap_or_default()
}

/// Formats a duration in milliseconds, seconds, minutes or hours, depending on its length.
pub fn duration(micros: Micros) -> String {
    match micros {
        0..1_000_000 => format!("{} ms", micros / 1000),
        1_000_000..120_000_000 => format!("{:.1} s", micros as f64 / 1e6),
        120_000_000..7_200_000_000 => format!("{} min", micros / 60_000_000),
        _ => format!("{:.1} h", micros as f64 / 3.6e9),
    }
}

/// Formats a count with its noun, whose plural must be regular: `1 episode`, `2 episodes`.
pub fn plural(count: u64, singular: &str) -> String {
    if count == 1 {
        format!("1 {singular}")
    } else {
        format!("{count} {singular}s")
    }
}

/// Joins names for use in a sentence: `a, b and c`, or `none`.
pub(crate) fn list(names: &[String]) -> String {
    match names {
        [] => "none".into(),
        [name] => name.clone(),
        [first @ .., last] => format!("{} and {last}", first.join(", ")),
    }
}
