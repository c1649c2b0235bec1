//! Requests of clients: read from their fields, kept in slots of a table until each has had its
//! final answer and no attempt of it is out. [`Requests::give_back`] is the one place where a slot
//! is freed.

use std::collections::{BTreeSet, VecDeque};

use eideryard::interface::{Effect, EngineId, Kind, Micros, PriorAttempt, Settings};

use crate::deadlines::{DeadlineKey, Deadlines};
use crate::table::{Key, Table};

#[cfg(test)]
mod tests;

/// Digits of an id and of a key, hex as the protocol has them.
const ID_DIGITS: usize = 16;
const KEY_DIGITS: usize = 32;
/// The longest key of an order.
const MAX_ORDER_KEY: usize = 64;
/// Estimates that are so many times off what the largest engine could do or hold are none, and so
/// is a wait so many times longer than the longest that the settings know.
const MAX_OFF: f64 = 100.0;
const MAX_WAITS: f64 = 2.0;
/// The longest wait, in microseconds, and the largest memory where the settings tell none: a day, a
/// terabyte.
const USUAL_WAIT: f64 = 86_400e6;
const USUAL_MEMORY_MB: f64 = 1e6;
/// Ids of requests that are over, kept so that one that comes again is known: ids are new with
/// every request.
const MAX_OVER: usize = 4096;

/// The names of the settings, each at the place by which the module knows it.
pub struct Names {
    pub classes: Vec<String>,
    keyed: Vec<bool>,
    tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    threads: Vec<f64>,
    longest_wait: f64,
    most_work: f64,
    most_memory_mb: f64,
}

impl Names {
    pub fn new(settings: &Settings, host: &eideryard_settings::HostSettings) -> Self {
        let largest = |of: fn(&Kind) -> f64| settings.kinds.iter().map(of).fold(1.0, f64::max);
        // Where the settings don't tell, what can be reckoned with.
        let told = |value: f64, usual| {
            if value > 0.0 && value.is_finite() {
                value
            } else {
                usual
            }
        };
        let longest = told(host.longest_wait as f64, USUAL_WAIT);
        Names {
            longest_wait: MAX_WAITS * longest,
            most_work: MAX_OFF * longest * largest(|kind| kind.cores),
            most_memory_mb: MAX_OFF * told(largest(|kind| kind.memory_mb), USUAL_MEMORY_MB),
            classes: host.classes.clone(),
            keyed: settings
                .classes
                .iter()
                .map(|class| class.effect == Effect::IdempotentWithKey)
                .collect(),
            tenants: host.tenants.clone(),
            zones: host.zones.clone(),
            kinds: host.kinds.clone(),
            threads: settings.classes.iter().map(|class| class.threads).collect(),
        }
    }
}

impl Names {
    /// As the record tells them.
    pub fn of_record(&self) -> eideryard_event_log::Names {
        eideryard_event_log::Names {
            classes: self.classes.clone(),
            tenants: self.tenants.clone(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            threads: self.threads.clone(),
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
    /// What it keeps its turn behind, in classes with an order.
    pub order_key: Option<Box<str>>,
    /// Its client says that it asks again.
    pub marked: bool,
    pub wait: Micros,
    pub work: Option<f64>,
    pub memory_mb: Option<f64>,
    pub group: Option<u64>,
    pub statement: Box<[u8]>,
    /// The client takes its result by pages, where there is a spool.
    pub paged: bool,
}

impl Call {
    /// The error names the field that can't be used.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub fn read(
        names: &Names,
        method: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Self, &'static str> {
        let field = |name: &str| {
            fields
                .iter()
                .find(|(own, _)| *own == name)
                .map(|(_, value)| *value)
        };
        let digits = |text: &str, count| {
            text.len() == count && text.bytes().all(|byte| byte.is_ascii_hexdigit())
        };
        // Neither a number below 0 or above what makes sense, nor none at all.
        let upto = |text: &str, most: f64| {
            text.parse()
                .ok()
                .filter(|value: &f64| (0.0..=most).contains(value))
        };
        let estimate = |name: &'static str, most| match field(name) {
            None => Ok(None),
            Some(text) => upto(text, most)
                .map(|value| Some(value).filter(|v| *v > 0.0))
                .ok_or(name),
        };
        let known = ["i", "d", "t", "r", "k", "o", "h", "ram", "p"];
        if known
            .iter()
            .any(|name| fields.iter().filter(|(own, _)| own == name).count() > 1)
        {
            return Err("one that is there twice");
        }
        let class = place(&names.classes, method).ok_or("class")?;
        let tenant = match field("t") {
            Some(name) if !names.tenants.is_empty() => place(&names.tenants, name).ok_or("t")?,
            None if !names.tenants.is_empty() => return Err("t"),
            _ => 0,
        };
        let key = field("k")
            .map(|text| Some(text).filter(|k| digits(k, KEY_DIGITS)).ok_or("k"))
            .transpose()?;
        if key.is_none() && names.keyed[class] {
            return Err("k");
        }
        let plain =
            |text: &&str| text.len() <= MAX_ORDER_KEY && text.bytes().all(|b| b.is_ascii_graphic());
        let order_key = field("o")
            .map(|text| Some(text).filter(plain).ok_or("o"))
            .transpose()?;
        let wait = field("d")
            .and_then(|text| upto(text, names.longest_wait / 1e3))
            .ok_or("d")?;
        if body.is_empty() || std::str::from_utf8(body).is_err() || body.contains(&0) {
            return Err("statement");
        }
        Ok(Call {
            id: field("i")
                .filter(|id| digits(id, ID_DIGITS))
                .ok_or("i")?
                .into(),
            class,
            tenant,
            key: key.map(Into::into),
            order_key: order_key.filter(|text| !text.is_empty()).map(Into::into),
            marked: field("r") == Some("1"),
            wait: (wait * 1e3) as Micros,
            work: estimate("h", names.most_work / 1e3)?.map(|ms| ms * 1e3),
            memory_mb: estimate("ram", names.most_memory_mb)?,
            group: eideryard_sql_tables::table_group(body),
            statement: body.into(),
            paged: field("p") == Some("1"),
        })
    }
}

pub struct Attempt {
    pub engine: EngineId,
    /// The connection that carries it, while it is out.
    pub conn: Option<Key>,
    pub sent_at: Micros,
    pub deadline: Option<DeadlineKey>,
    /// It waits until its intent is durable: no byte of it has gone out.
    pub waits: bool,
    /// Its intent is in the ledger, which is told of its end.
    pub kept: bool,
}

pub struct Request {
    pub client: Key,
    /// The client's number of it on its connection.
    pub call: u32,
    pub id: Box<str>,
    pub class: usize,
    pub tenant: usize,
    pub taken_at: Micros,
    pub key: Option<Box<str>>,
    pub statement: Box<[u8]>,
    /// Its result goes to the spool.
    pub spooled: bool,
    pub grant_mb: u64,
    pub rank: Option<u8>,
    /// The client has had its final answer, or waits for none.
    pub answered: bool,
    /// When the client's patience ends.
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    /// What of it may have run elsewhere, as the module was told.
    pub earlier: Vec<PriorAttempt>,
    /// The module's own timer of it.
    pub timer: Option<DeadlineKey>,
}

/// Why a request that can be read isn't taken.
#[derive(Debug, PartialEq)]
pub enum NotTaken {
    Again,
    NoRoom,
}

pub struct Requests {
    table: Table<Request>,
    /// Bytes of all statements in the table, and how many there may be.
    held: usize,
    most_held: usize,
    /// Ids of all requests in the table, and of the last that have left it, in that order.
    ids: BTreeSet<Box<str>>,
    over: VecDeque<Box<str>>,
}

impl Requests {
    pub fn new(memory_mb: u64) -> Self {
        let most_held = (memory_mb as usize) << 17;
        Requests {
            table: Table::new(),
            held: 0,
            most_held,
            ids: BTreeSet::new(),
            over: VecDeque::new(),
        }
    }

    /// Takes a request in, unless its id is open, or was a while ago: engines could not tell the
    /// two apart; nor where statements take an eighth of the memory already, as each waits once
    /// more for its engine.
    pub fn insert(
        &mut self,
        client: Key,
        call: u32,
        taken_at: Micros,
        deadline: Micros,
        read: Call,
    ) -> Result<Key, NotTaken> {
        if self.ids.contains(&read.id) {
            return Err(NotTaken::Again);
        }
        if self.held + read.statement.len() > self.most_held {
            return Err(NotTaken::NoRoom);
        }
        self.held += read.statement.len();
        self.ids.insert(read.id.clone());
        Ok(self.table.insert(Request {
            client,
            call,
            id: read.id,
            class: read.class,
            tenant: read.tenant,
            taken_at,
            key: read.key,
            statement: read.statement,
            spooled: false,
            grant_mb: 0,
            rank: None,
            answered: false,
            deadline,
            attempts: Vec::new(),
            earlier: Vec::new(),
            timer: None,
        }))
    }

    pub fn get(&self, key: Key) -> Option<&Request> {
        self.table.get(key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut Request> {
        self.table.get_mut(key)
    }

    /// How many requests are kept, and how many ids.
    pub fn sizes(&self) -> (usize, usize) {
        (self.table.len(), self.ids.len())
    }

    /// Those that wait for an answer.
    pub fn open(&self) -> impl Iterator<Item = (Key, &Request)> {
        self.table.iter().filter(|(_, request)| !request.answered)
    }

    /// Those that still owe an answer.
    pub fn owing(&self) -> Vec<Key> {
        self.open().map(|(key, _)| key).collect()
    }

    /// Frees the slot of a request that is over, unless an attempt of it is still out.
    pub fn give_back(&mut self, key: Key, due: &mut Deadlines) {
        let over = |r: &Request| {
            r.answered
                && r.attempts
                    .iter()
                    .all(|attempt| attempt.conn.is_none() && !attempt.waits)
        };
        if !self.table.get(key).is_some_and(over) {
            return;
        }
        let Some(request) = self.table.remove(key) else {
            return;
        };
        due.take_back(request.timer);
        self.held -= request.statement.len();
        self.over.push_back(request.id);
        if self.over.len() > MAX_OVER {
            self.over.pop_front().map(|id| self.ids.remove(&id));
        }
    }
}
