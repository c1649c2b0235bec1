//! The kinds of values, with their units and limits.

use std::net::SocketAddr;

/// The kind of a value and its inclusive limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A size in bytes: `64MB`, `4KB`, `100B`. Each unit is 1,024 times the smaller one.
    Size {
        /// Smallest allowed value in bytes.
        least: u64,
        /// Largest allowed value in bytes.
        most: u64,
    },
    /// A time in microseconds: `250ms`, `1.5s`, `10m`, `24h`, `80us`.
    Time {
        /// Smallest allowed value in microseconds.
        least: u64,
        /// Largest allowed value in microseconds.
        most: u64,
    },
    /// A share from 0% to 100%, stored as 0.0 to 1.0: `20%`.
    Share,
    /// A whole number.
    Count {
        /// The minimum.
        least: u64,
        /// The maximum.
        most: u64,
    },
    /// Events per second: `50/s`.
    Rate {
        /// The maximum.
        most: f64,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// An IP address with a port.
    Address,
    /// At most 64 ASCII letters, digits, `.`, `_` or `-`.
    Name,
    /// A path of the file system.
    Path,
    /// Any string.
    Text,
}

/// A parsed value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A size in bytes, a time in microseconds, or a count.
    Number(u64),
    /// A share or a rate.
    Real(f64),
    /// An IP address with a port.
    Address(SocketAddr),
    /// A choice, name, path or text.
    Text(String),
}

/// Maximum length of a name in characters, which are all ASCII.
const MAX_NAME_LENGTH: usize = 64;
/// Exclusive maximum for a size or time that is written with a fraction. It ensures that the
/// conversion from `f64` can't overflow.
const MAX_SCALED: f64 = 1e18;
/// Names of the units of size, with the number of bytes in each.
const SIZES: [(&str, u64); 5] = [
    ("TB", 1 << 40),
    ("GB", 1 << 30),
    ("MB", 1 << 20),
    ("KB", 1 << 10),
    ("B", 1),
];
/// Names of the units of time, with the number of microseconds in each.
const TIMES: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

/// Formats a number in the largest unit that leaves no fraction.
fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let fits = units
        .iter()
        .filter(|(_, unit)| value.is_multiple_of(*unit) && value >= *unit);
    match fits.max_by_key(|(_, unit)| *unit) {
        Some((name, unit)) => format!("{}{name}", value / unit),
        None => value.to_string(),
    }
}

/// Returns a description such as " from 1 to 64". A minimum of 0 and a maximum of `u64::MAX` are
/// omitted.
fn describe_bounds(least: u64, most: u64, units: &[(&str, u64)]) -> String {
    match (least, most) {
        (0, u64::MAX) => String::new(),
        (least, u64::MAX) => format!(" of at least {}", format_with_unit(least, units)),
        (0, most) => format!(" of at most {}", format_with_unit(most, units)),
        (least, most) => {
            let (least, most) = (
                format_with_unit(least, units),
                format_with_unit(most, units),
            );
            format!(" from {least} to {most}")
        }
    }
}

impl ValueKind {
    /// Returns a description of the expected value for use in an error message.
    pub fn expected(&self) -> String {
        match self {
            ValueKind::Size { least, most } => {
                format!("a size like 64MB{}", describe_bounds(*least, *most, &SIZES))
            }
            ValueKind::Time { least, most } => {
                format!(
                    "a time like 250ms{}",
                    describe_bounds(*least, *most, &TIMES)
                )
            }
            ValueKind::Share => "a share from 0% to 100%".into(),
            ValueKind::Count { least, most } => {
                format!("a whole number{}", describe_bounds(*least, *most, &[]))
            }
            ValueKind::Rate { most } => format!("a rate like 50/s, at most {most}/s"),
            ValueKind::Choice(words) => format!("one of {}", words.join(", ")),
            ValueKind::Address => "an address with a port, like 127.0.0.1:7000".into(),
            ValueKind::Name => "a name of at most 64 letters, digits, '.', '_' or '-'".into(),
            ValueKind::Path => "a path".into(),
            ValueKind::Text => "a text".into(),
        }
    }

    /// Returns the placeholder for a value of this kind in the syntax of a directive.
    pub fn placeholder(&self) -> String {
        match self {
            ValueKind::Size { .. } => "SIZE".into(),
            ValueKind::Time { .. } => "TIME".into(),
            ValueKind::Share => "SHARE".into(),
            ValueKind::Count { .. } => "NUMBER".into(),
            ValueKind::Rate { .. } => "RATE".into(),
            ValueKind::Choice(words) => words.join("|"),
            ValueKind::Address => "ADDRESS".into(),
            ValueKind::Name => "NAME".into(),
            ValueKind::Path => "PATH".into(),
            ValueKind::Text => "TEXT".into(),
        }
    }

    /// Parses a value of this kind, or returns `None` if the text is not one.
    pub fn parse(&self, text: &str) -> Option<Value> {
        match self {
            ValueKind::Size { least, most } => {
                check_limits(parse_scaled(text, &SIZES)?, *least, *most)
            }
            ValueKind::Time { least, most } => {
                check_limits(parse_scaled(text, &TIMES)?, *least, *most)
            }
            ValueKind::Count { least, most } => check_limits(parse_whole(text)?, *least, *most),
            ValueKind::Share => {
                let share = parse_decimal(text.strip_suffix('%')?)? / 100.0;
                (0.0..=1.0).contains(&share).then_some(Value::Real(share))
            }
            ValueKind::Rate { most } => {
                let rate = parse_decimal(text.strip_suffix("/s")?)?;
                (0.0..=*most).contains(&rate).then_some(Value::Real(rate))
            }
            ValueKind::Choice(words) => words.contains(&text).then(|| text_value(text)),
            ValueKind::Address => text.parse().ok().map(Value::Address),
            ValueKind::Name => is_name(text).then(|| text_value(text)),
            ValueKind::Path => {
                let is_path = !text.is_empty() && !text.contains('\0');
                is_path.then(|| text_value(text))
            }
            ValueKind::Text => Some(text_value(text)),
        }
    }
}

fn check_limits(number: u64, least: u64, most: u64) -> Option<Value> {
    (least..=most)
        .contains(&number)
        .then_some(Value::Number(number))
}

fn text_value(text: &str) -> Value {
    Value::Text(text.to_string())
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.chars().all(is_allowed)
}

/// Parses a number that consists of digits only.
fn parse_whole(text: &str) -> Option<u64> {
    let is_whole = text.bytes().all(|byte| byte.is_ascii_digit());
    if is_whole {
        text.parse().ok()
    } else {
        None
    }
}

/// Parses digits with at most one point. Signs, exponents and words like `inf` are rejected.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_allowed = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let is_decimal = text.bytes().all(is_allowed) && text.bytes().any(|byte| byte.is_ascii_digit());
    if is_decimal {
        text.parse().ok()
    } else {
        None
    }
}

/// Parses a number followed by one of the units. Only `0` may have no unit.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    if text == "0" {
        return Some(0);
    }
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    if digits.is_empty() {
        return None;
    }
    let suffix = &text[digits.len()..];
    let (_, unit) = units.iter().find(|(name, _)| *name == suffix)?;
    if let Some(whole) = parse_whole(digits) {
        return whole.checked_mul(*unit);
    }
    let value = parse_decimal(digits)? * *unit as f64;
    (value < MAX_SCALED).then_some(value.round() as u64)
}

impl Value {
    /// Returns the number of a size, time or count, and 0 for any other value.
    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number,
            _ => 0,
        }
    }

    /// Returns the number of a share, rate, size, time or count, and 0 for any other value.
    pub fn real(&self) -> f64 {
        match self {
            Value::Real(real) => *real,
            Value::Number(number) => *number as f64,
            _ => 0.0,
        }
    }

    /// Returns the text of a choice, name, path or text, and an empty string for any other value.
    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }
}
