//! Single values with their units.

use std::net::SocketAddr;

/// What a value must be. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// Bytes: `64MB`, `4KB`, `100B`; units of 1,024.
    Size {
        /// The smallest.
        least: u64,
        /// The largest.
        most: u64,
    },
    /// Microseconds: `250ms`, `1.5s`, `10m`, `24h`, `80us`.
    Time {
        /// The shortest.
        least: u64,
        /// The longest.
        most: u64,
    },
    /// A part of one: `20%`.
    Share,
    /// A whole number.
    Count {
        /// The smallest.
        least: u64,
        /// The largest.
        most: u64,
    },
    /// Events a second: `50/s`.
    Rate {
        /// The largest.
        most: f64,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An address with a port.
    Address,
    /// Letters, digits, `.`, `_` and `-`, 64 at most.
    Name,
    /// A path of the file system.
    Path,
    /// Any text.
    Text,
}

/// A value that fits its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A size in bytes, a time in microseconds, or a count.
    Number(u64),
    /// A share or a rate.
    Real(f64),
    /// An address with a port.
    Address(SocketAddr),
    /// A choice, name, path or text.
    Text(String),
}

/// Characters of a name.
const MAX_NAME_LENGTH: usize = 64;
/// A size or time with a fraction stays under this.
const MAX_SCALED: f64 = 1e18;
/// Units of size, in bytes.
const SIZES: [(&str, u64); 5] = [
    ("TB", 1 << 40),
    ("GB", 1 << 30),
    ("MB", 1 << 20),
    ("KB", 1 << 10),
    ("B", 1),
];
/// Units of time, in microseconds.
const TIMES: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

/// A number in the largest unit that leaves no fraction, as a person would write it.
fn in_units(value: u64, units: &[(&str, u64)]) -> String {
    let fits = units
        .iter()
        .filter(|(_, unit)| value.is_multiple_of(*unit) && value >= *unit);
    match fits.max_by_key(|(_, unit)| *unit) {
        Some((name, unit)) => format!("{}{name}", value / unit),
        None => value.to_string(),
    }
}

/// " from 1 to 64", as far as the bounds bind.
fn describe_bounds(least: u64, most: u64, units: &[(&str, u64)]) -> String {
    match (least, most) {
        (0, u64::MAX) => String::new(),
        (least, u64::MAX) => format!(" of {} at least", in_units(least, units)),
        (0, most) => format!(" of {} at most", in_units(most, units)),
        (least, most) => {
            let (least, most) = (in_units(least, units), in_units(most, units));
            format!(" from {least} to {most}")
        }
    }
}

impl ValueKind {
    /// What is expected, in words.
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
            ValueKind::Rate { most } => format!("a rate like 50/s, {most}/s at most"),
            ValueKind::Choice(words) => format!("one of {}", words.join(", ")),
            ValueKind::Address => "an address with a port, like 127.0.0.1:7000".into(),
            ValueKind::Name => "a name of letters, digits, '.', '_' or '-', 64 at most".into(),
            ValueKind::Path => "a path".into(),
            ValueKind::Text => "a text".into(),
        }
    }

    /// The word that stands for such a value in the usage of a directive.
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

    /// Parses a value of this kind; `None` where the text is none.
    pub fn parse(&self, text: &str) -> Option<Value> {
        match self {
            ValueKind::Size { least, most } => bounded(parse_scaled(text, &SIZES)?, *least, *most),
            ValueKind::Time { least, most } => bounded(parse_scaled(text, &TIMES)?, *least, *most),
            ValueKind::Count { least, most } => bounded(parse_whole(text)?, *least, *most),
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

fn bounded(number: u64, least: u64, most: u64) -> Option<Value> {
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

/// Digits alone.
fn parse_whole(text: &str) -> Option<u64> {
    let is_whole = text.bytes().all(|byte| byte.is_ascii_digit());
    if is_whole {
        text.parse().ok()
    } else {
        None
    }
}

/// Digits with at most one point: neither signs nor exponents nor words.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_allowed = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let is_decimal = text.bytes().all(is_allowed) && text.bytes().any(|byte| byte.is_ascii_digit());
    if is_decimal {
        text.parse().ok()
    } else {
        None
    }
}

/// A number with one of the units; 0 needs none.
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
    /// The number of a size, time or count; 0 of another kind.
    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number,
            _ => 0,
        }
    }

    /// The number of a share or rate, or of a size, time or count; 0 of another kind.
    pub fn real(&self) -> f64 {
        match self {
            Value::Real(real) => *real,
            Value::Number(number) => *number as f64,
            _ => 0.0,
        }
    }

    /// The text of a choice, name, path or text; empty of another kind.
    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }
}
