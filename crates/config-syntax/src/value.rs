//! Single values with their units.

use std::net::SocketAddr;

/// What a value must be. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Bytes: `64MB`, `4KB`, `100B`; units of 1,024.
    Size {
        least: u64,
        most: u64,
    },
    /// Microseconds: `250ms`, `1.5s`, `10m`, `24h`, `80us`.
    Time {
        least: u64,
        most: u64,
    },
    /// A part of one: `20%`.
    Share,
    Count {
        least: u64,
        most: u64,
    },
    /// Events a second: `50/s`.
    Rate {
        most: f64,
    },
    Choice(&'static [&'static str]),
    Address,
    /// Letters, digits, `.`, `_` and `-`, 64 at most.
    Name,
    Path,
    Text,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A size in bytes, a time in microseconds, or a count.
    Number(u64),
    /// A share or a rate.
    Real(f64),
    Address(SocketAddr),
    Text(String),
}

const SIZES: [(&str, u64); 5] = [
    ("TB", 1 << 40),
    ("GB", 1 << 30),
    ("MB", 1 << 20),
    ("KB", 1 << 10),
    ("B", 1),
];
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

impl Kind {
    /// What is expected, in words.
    pub fn expected(&self) -> String {
        let between = |least: &u64, most: &u64, units: &[(&str, u64)]| match (*least, *most) {
            (0, u64::MAX) => String::new(),
            (least, u64::MAX) => format!(" of {} at least", in_units(least, units)),
            (0, most) => format!(" of {} at most", in_units(most, units)),
            (least, most) => format!(
                " from {} to {}",
                in_units(least, units),
                in_units(most, units)
            ),
        };
        match self {
            Kind::Size { least, most } => {
                format!("a size like 64MB{}", between(least, most, &SIZES))
            }
            Kind::Time { least, most } => {
                format!("a time like 250ms{}", between(least, most, &TIMES))
            }
            Kind::Share => "a share from 0% to 100%".into(),
            Kind::Count { least, most } => format!("a whole number{}", between(least, most, &[])),
            Kind::Rate { most } => format!("a rate like 50/s, {most}/s at most"),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
            Kind::Address => "an address with a port, like 127.0.0.1:7000".into(),
            Kind::Name => "a name of letters, digits, '.', '_' or '-', 64 at most".into(),
            Kind::Path => "a path".into(),
            Kind::Text => "a text".into(),
        }
    }

    /// The form in the usage of a directive.
    pub fn form(&self) -> String {
        match self {
            Kind::Size { .. } => "SIZE".into(),
            Kind::Time { .. } => "TIME".into(),
            Kind::Share => "SHARE".into(),
            Kind::Count { .. } => "NUMBER".into(),
            Kind::Rate { .. } => "RATE".into(),
            Kind::Choice(words) => words.join("|"),
            Kind::Address => "ADDRESS".into(),
            Kind::Name => "NAME".into(),
            Kind::Path => "PATH".into(),
            Kind::Text => "TEXT".into(),
        }
    }

    pub fn read(&self, text: &str) -> Option<Value> {
        let number = |value: Option<u64>, least: &u64, most: &u64| {
            value
                .filter(|value| (*least..=*most).contains(value))
                .map(Value::Number)
        };
        match self {
            Kind::Size { least, most } => number(scaled(text, &SIZES), least, most),
            Kind::Time { least, most } => number(scaled(text, &TIMES), least, most),
            Kind::Count { least, most } => number(plain(text), least, most),
            Kind::Share => {
                let share = decimal(text.strip_suffix('%')?)? / 100.0;
                (0.0..=1.0).contains(&share).then_some(Value::Real(share))
            }
            Kind::Rate { most } => {
                let rate = decimal(text.strip_suffix("/s")?)?;
                (0.0..=*most).contains(&rate).then_some(Value::Real(rate))
            }
            Kind::Choice(words) => words.contains(&text).then(|| Value::Text(text.to_string())),
            Kind::Address => text.parse().ok().map(Value::Address),
            Kind::Name => {
                let usual = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
                let name = !text.is_empty() && text.len() <= 64 && text.chars().all(usual);
                name.then(|| Value::Text(text.to_string()))
            }
            Kind::Path => {
                (!text.is_empty() && !text.contains('\0')).then(|| Value::Text(text.to_string()))
            }
            Kind::Text => Some(Value::Text(text.to_string())),
        }
    }
}

fn plain(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

/// Digits with at most one point: neither signs nor exponents nor words.
fn decimal(text: &str) -> Option<f64> {
    let usual = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    (text.bytes().all(usual) && text.bytes().any(|b| b.is_ascii_digit()))
        .then(|| text.parse().ok())?
}

/// A number with one of the units; 0 needs none.
fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    if text == "0" {
        return Some(0);
    }
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let (_, unit) = units
        .iter()
        .find(|(name, _)| *name == &text[digits.len()..])?;
    match plain(digits) {
        Some(_) if digits.is_empty() => None,
        Some(whole) => whole.checked_mul(*unit),
        None => {
            let value = decimal(digits)? * *unit as f64;
            (value < 1e18).then_some(value.round() as u64)
        }
    }
}

impl Value {
    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number,
            _ => 0,
        }
    }

    pub fn real(&self) -> f64 {
        match self {
            Value::Real(real) => *real,
            Value::Number(number) => *number as f64,
            _ => 0.0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }
}
