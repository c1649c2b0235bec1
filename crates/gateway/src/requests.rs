//! Requests of clients: read from their fields, kept in slots of a table until each has had its final answer
//! and no attempt of it is out. [`Requests::give_back`] is the one place where a slot is freed.

use eideryard::interface::{Effect, Micros, Settings};
use eideryard_engine_line::is_word;

use crate::deadlines::DeadlineKey;
use crate::table::{Key, Table};

/// Longest id and key that are passed on.
const MOST_WORD: usize = 256;
/// Longest time that a client can ask to be waited for: a day.
const LONGEST_WAIT_MS: f64 = 86_400_000.0;

/// The names of the settings, each at the place by which the module knows it.
pub struct Names {
    pub classes: Vec<String>,
    keyed: Vec<bool>,
    tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl Names {
    pub fn new(settings: &Settings, host: &eideryard_settings::Host) -> Self {
        Names {
            classes: host.classes.clone(),
            keyed: settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect(),
            tenants: host.tenants.clone(),
            zones: host.zones.clone(),
            kinds: host.kinds.clone(),
        }
    }
}

/// The place of a name in a list of them.
pub fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|own| own == name)
}

/// A request as its client sent it.
#[derive(Debug, PartialEq)]
pub struct Call {
    pub id: Box<str>,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<Box<str>>,
    pub wait: Micros,
    pub work: Option<f64>,
    pub memory_mb: Option<f64>,
    pub group: Option<u64>,
    pub statement: Box<[u8]>,
}

impl Call {
    /// The error names the field that can't be used.
    pub fn read(
        names: &Names,
        method: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Self, &'static str> {
        let field = |name: &str| fields.iter().find(|(own, _)| *own == name).map(|(_, value)| *value);
        let word = |text: &&str| is_word(text) && text.len() <= MOST_WORD;
        let positive =
            |text: &str| text.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        let estimate = |name: &'static str| match field(name) {
            None => Ok(None),
            Some(text) => positive(text).map(|value| Some(value).filter(|v| *v > 0.0)).ok_or(name),
        };
        let class = place(&names.classes, method).ok_or("class")?;
        let tenant = match field("t") {
            Some(name) if !names.tenants.is_empty() => place(&names.tenants, name).ok_or("t")?,
            None if !names.tenants.is_empty() => return Err("t"),
            _ => 0,
        };
        let key = field("k").map(|text| Some(text).filter(word).ok_or("k")).transpose()?;
        if key.is_none() && names.keyed[class] {
            return Err("k");
        }
        let wait = field("d").and_then(positive).filter(|&wait| wait <= LONGEST_WAIT_MS).ok_or("d")?;
        Ok(Call {
            id: field("i").filter(word).ok_or("i")?.into(),
            class,
            tenant,
            key: key.map(Into::into),
            wait: (wait * 1e3) as Micros,
            work: estimate("h")?.map(|ms| ms * 1e3),
            memory_mb: estimate("ram")?,
            group: eideryard_statement::table_group(body),
            statement: body.into(),
        })
    }
}

pub struct Attempt {
    /// The connection that carries it, while it is out.
    pub conn: Option<Key>,
    pub sent_at: Micros,
    pub deadline: Option<DeadlineKey>,
}

pub struct Request {
    pub client: Key,
    /// The client's number of it on its connection.
    pub call: u32,
    pub id: Box<str>,
    pub class: usize,
    pub key: Option<Box<str>>,
    pub statement: Box<[u8]>,
    pub grant_mb: u64,
    pub rank: Option<u8>,
    /// The client has had its final answer, or waits for none.
    pub answered: bool,
    /// When the client's patience ends.
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
}

#[derive(Default)]
pub struct Requests {
    table: Table<Request>,
}

impl Requests {
    pub fn insert(&mut self, client: Key, call: u32, deadline: Micros, read: Call) -> Key {
        self.table.insert(Request {
            client,
            call,
            id: read.id,
            class: read.class,
            key: read.key,
            statement: read.statement,
            grant_mb: 0,
            rank: None,
            answered: false,
            deadline,
            attempts: Vec::new(),
        })
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut Request> {
        self.table.get_mut(key)
    }

    /// Those that still owe an answer.
    pub fn owing(&self) -> Vec<Key> {
        self.table.iter().filter(|(_, request)| !request.answered).map(|(key, _)| key).collect()
    }

    /// Frees the slot of a request that is over, unless an attempt of it is still out.
    pub fn give_back(&mut self, key: Key) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|attempt| attempt.conn.is_none());
        if self.table.get(key).is_some_and(over) {
            self.table.remove(key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let words = |list: &[&str]| list.iter().map(|word| word.to_string()).collect();
        Names {
            classes: words(&["report", "load"]),
            keyed: vec![false, true],
            tenants: words(&["acme"]),
            zones: vec![],
            kinds: vec![],
        }
    }

    #[test]
    fn fields_are_read_in_their_units_and_what_cannot_be_used_is_named() {
        let good =
            [("i", "9b1f"), ("d", "1500"), ("t", "acme"), ("h", "820.0"), ("ram", "96"), ("k", "5c0f")];
        let call = Call::read(&names(), "load", &good, b"COPY sales_17.orders").unwrap();
        assert_eq!((call.class, call.tenant, call.wait), (1, 0, 1_500_000));
        assert_eq!((call.work, call.memory_mb, call.group), (Some(820_000.0), Some(96.0), Some(17)));
        let bad = [("i", ""), ("i", "a,b"), ("d", "soon"), ("d", "-1"), ("d", "1e99"), ("t", "nobody")];
        for (name, value) in bad.into_iter().chain([("h", "NaN"), ("ram", "-4"), ("k", "a=b")]) {
            let fields = good.map(|(own, usual)| (own, if own == name { value } else { usual }));
            assert_eq!(Call::read(&names(), "load", &fields, b"").unwrap_err(), name, "{value}");
        }
        let missing = |left_out: &str| {
            let fields: Vec<_> = good.into_iter().filter(|(own, _)| *own != left_out).collect();
            Call::read(&names(), "load", &fields, b"")
        };
        ["i", "d", "t", "k"].iter().for_each(|name| assert_eq!(missing(name).unwrap_err(), *name));
        ["h", "ram"].iter().for_each(|name| assert!(missing(name).is_ok()));
        assert_eq!(Call::read(&names(), "nonsense", &good, b"").unwrap_err(), "class");
    }
}
