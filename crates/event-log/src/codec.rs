//! Entries to bytes and back, without I/O. Times are told as differences from the entry before,
//! requests by the distance of their generation from the last one named; both start anew in each
//! frame, so that a frame can be read alone.

use crate::entry::{
    AnswerKind, CloseReason, Entry, EntryRef, FleetEvent, Host, ListedEngine, Names, Offer,
    OpenRequest, RejectReason,
};
use crate::tally::{Lane, Tally, Totals, MAX_LANES};
use eideryard::interface as i;
use eideryard::interface::{Action, Event, Micros, Outcome, Phase};
use std::net::IpAddr;

/// Names and texts longer than this are cut where they are written and refused where they are read.
pub const MAX_TEXT: usize = 1024;
/// Items of one list; a list of engines that is longer goes on in a further entry.
pub const MAX_ITEMS: usize = 65_536;

/// Why bytes are no entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("an entry stops short")]
    Short,
    #[error("kind {0} of entry is not known")]
    Kind(u8),
    #[error("a value out of range")]
    Value,
    #[error("a text that is not UTF-8")]
    Text,
}

mod kind {
    pub const FULL_LIST: u8 = 1;
    pub const LIST_CHANGES: u8 = 2;
    pub const LIST_FAILED: u8 = 3;
    pub const ARRIVED: u8 = 4;
    pub const STREAM_BEGAN: u8 = 5;
    pub const NOTED: u8 = 6;
    pub const ENDED: u8 = 7;
    pub const PROBED: u8 = 8;
    pub const CLIENT_LEFT: u8 = 9;
    pub const TIMER: u8 = 10;
    /// `ARRIVED` of one that may have run before.
    pub const ARRIVED_AGAIN: u8 = 11;
    pub const REMEMBERED: u8 = 12;
    pub const RAN_BEFORE: u8 = 13;
    pub const TERMS: u8 = 20;
    pub const SEND: u8 = 21;
    pub const PROBE: u8 = 22;
    pub const CANCEL: u8 = 23;
    pub const REFUSE: u8 = 24;
    pub const FAIL: u8 = 25;
    pub const SET_TIMER: u8 = 26;
    pub const SUBSCRIBE: u8 = 27;
    pub const LOG: u8 = 28;
    pub const BEGIN: u8 = 40;
    pub const NAMES: u8 = 41;
    pub const ENGINE: u8 = 42;
    pub const OPEN: u8 = 43;
    pub const TALLY: u8 = 44;
    pub const STATE_WHOLE: u8 = 45;
    pub const CONNECTED: u8 = 46;
    pub const DISCONNECTED: u8 = 47;
    pub const OFFERED: u8 = 48;
    pub const NOT_TAKEN: u8 = 49;
    pub const ANSWERED: u8 = 50;
    pub const LINK: u8 = 51;
    pub const LIST_EVENT: u8 = 52;
    pub const RELOADED: u8 = 53;
    pub const STOPPING: u8 = 54;
    pub const END: u8 = 55;
    pub const GAP: u8 = 56;
    pub const ENDING: u8 = 57;
    pub const ATTACHED: u8 = 58;
    pub const ALIVE: u8 = 59;
    pub const BECAUSE: u8 = 60;
    pub const PEER: u8 = 61;
    pub const TURNED: u8 = 62;
    pub const VOTES: u8 = 63;
    pub const MAJORITY: u8 = 64;
    pub const OWNS: u8 = 65;
    pub const WORK: u8 = 66;
}

// ---- Numbers ----

fn put_number(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

fn put_signed(out: &mut Vec<u8>, value: i64) {
    put_number(out, (value << 1 ^ value >> 63) as u64);
}

/// A fraction: whole thousandths as a number, which most are, else all its bits.
fn put_real(out: &mut Vec<u8>, value: f64) {
    let milli = value * 1e3;
    let whole = (0.0..1e15).contains(&milli).then(|| milli.round() as u64);
    match whole.filter(|&whole| (whole as f64 / 1e3).to_bits() == value.to_bits()) {
        Some(whole) if whole % 1000 == 0 => put_number(out, (whole / 1000) << 2),
        Some(whole) => put_number(out, whole << 2 | 1),
        None => {
            out.push(2);
            out.extend_from_slice(&value.to_bits().to_le_bytes());
        }
    }
}

fn put_reals(out: &mut Vec<u8>, values: &[Option<f64>]) {
    let present = values
        .iter()
        .enumerate()
        .fold(0u8, |bits, (at, v)| bits | (v.is_some() as u8) << at);
    out.push(present);
    values
        .iter()
        .flatten()
        .for_each(|value| put_real(out, *value));
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    let mut cut = text.len().min(MAX_TEXT);
    while !text.is_char_boundary(cut) {
        cut -= 1;
    }
    put_number(out, cut as u64);
    out.extend_from_slice(&text.as_bytes()[..cut]);
}

fn put_texts(out: &mut Vec<u8>, texts: &[String]) {
    put_number(out, texts.len() as u64);
    for text in texts.iter() {
        put_text(out, text);
    }
}

/// An optional small number: 0 is none.
fn put_optional(out: &mut Vec<u8>, value: Option<usize>) {
    put_number(out, value.map_or(0, |value| value as u64 + 1));
}

fn put_tally(out: &mut Vec<u8>, tally: &Tally) {
    put_number(out, tally.entries);
    put_number(out, Totals::NAMES.len() as u64);
    tally
        .totals
        .pairs()
        .for_each(|(_, value)| put_number(out, value));
    for lanes in [&tally.classes, &tally.tenants] {
        put_number(out, lanes.len() as u64);
        lanes
            .iter()
            .flat_map(|lane| lane.values())
            .for_each(|value| put_number(out, value));
    }
}

fn put_earlier(out: &mut Vec<u8>, earlier: &[i::PriorAttempt]) {
    put_number(out, earlier.len() as u64);
    for earlier in earlier {
        put_number(out, earlier.zone.into());
        put_number(out, earlier.cell.into());
        put_number(out, earlier.since);
    }
}

fn put_fleet(out: &mut Vec<u8>, word: &FleetEvent) -> u8 {
    match word {
        FleetEvent::Peer { name, state } => {
            put_text(out, name);
            put_text(out, state);
            kind::PEER
        }
        FleetEvent::Turned { name, why } => {
            put_text(out, name);
            put_text(out, why);
            kind::TURNED
        }
        FleetEvent::Votes { votes } => {
            out.push(*votes as u8);
            kind::VOTES
        }
        FleetEvent::Majority { stands } => {
            out.push(*stands as u8);
            kind::MAJORITY
        }
        FleetEvent::Owns { task, term, owns } => {
            put_number(out, u64::from(*task));
            put_number(out, *term);
            out.push(*owns as u8);
            kind::OWNS
        }
        FleetEvent::Work {
            task,
            term,
            owner,
            counts,
        } => {
            put_number(out, u64::from(*task));
            put_number(out, *term);
            put_number(out, *owner);
            out.push(*counts as u8);
            kind::WORK
        }
    }
}

fn put_entry(out: &mut Vec<u8>, entry: &i::Endpoint) {
    out.extend_from_slice(&entry.engine.to_le_bytes());
    put_number(out, entry.zone as u64);
    put_number(out, entry.kind as u64);
    put_number(out, entry.cell as u64);
    out.push(phase_byte(entry.phase));
    put_number(out, entry.booted_at);
}

fn put_report(out: &mut Vec<u8>, report: &Option<i::LoadReport>) {
    match report {
        None => out.push(0),
        Some(r) => {
            let fields = [
                r.in_flight,
                r.waiting_for_memory,
                r.cores_busy,
                r.memory_granted,
                r.disks_busy,
            ];
            out.push(1);
            put_reals(out, &fields);
        }
    }
}

fn phase_byte(phase: Phase) -> u8 {
    match phase {
        Phase::Ready => 0,
        Phase::Draining => 1,
        Phase::Removed => 2,
    }
}

/// Engines that an earlier life learned of.
const MAX_LESSONS: usize = 4096;

/// Earlier attempts of one request that are told; whatever says more is damage.
const MAX_EARLIER: usize = 64;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Answered,
    Outcome::Error,
    Outcome::AtCapacity,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Broken,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn outcome_byte(outcome: Outcome) -> u8 {
    OUTCOMES
        .iter()
        .position(|own| *own == outcome)
        .unwrap_or_default() as u8
}

// ---- Writing ----

/// What entries of one frame are told in relation to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    pub at: Micros,
    /// The upper half of the last request named: the generation of its slot.
    generation: u32,
}

impl Context {
    pub fn new(at: Micros) -> Self {
        Context { at, generation: 0 }
    }

    fn put_request(&mut self, out: &mut Vec<u8>, request: u64) {
        let generation = (request >> 32) as u32;
        put_signed(out, generation.wrapping_sub(self.generation) as i32 as i64);
        put_number(out, request & 0xffff_ffff);
        self.generation = generation;
    }

    fn put_offer(&mut self, out: &mut Vec<u8>, offer: &Offer) {
        self.put_request(out, offer.request);
        out.extend_from_slice(&offer.id.to_le_bytes());
        put_number(out, offer.connection & 0xffff_ffff);
        put_number(out, offer.connection >> 32);
    }

    /// Writes an entry behind what is there.
    pub fn put(&mut self, out: &mut Vec<u8>, at: Micros, entry: EntryRef<'_>) {
        out.push(0);
        let place = out.len() - 1;
        put_signed(out, at.wrapping_sub(self.at) as i64);
        self.at = at;
        out[place] = match entry {
            EntryRef::In(event) => self.put_event(out, at, event),
            EntryRef::Out(action) => self.put_action(out, at, action),
            EntryRef::Host(host) => self.put_host(out, at, host),
        };
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn put_event(&mut self, out: &mut Vec<u8>, at: Micros, event: &Event) -> u8 {
        match event {
            Event::EndpointSnapshot(entries) | Event::EndpointChanges(entries) => {
                put_number(out, entries.len() as u64);
                for entry in entries.iter() {
                    put_entry(out, entry);
                }
                if matches!(event, Event::EndpointSnapshot(_)) {
                    kind::FULL_LIST
                } else {
                    kind::LIST_CHANGES
                }
            }
            Event::DiscoveryFailed => kind::LIST_FAILED,
            Event::CheckpointRestored { learned, age } => {
                put_number(out, *age);
                put_number(out, learned.classes.len() as u64);
                for class in &learned.classes {
                    put_reals(out, &[Some(class.work_ratio), Some(class.memory_ratio)]);
                    put_reals(out, &[Some(class.work), class.memory_mb]);
                }
                put_number(out, learned.engines.len() as u64);
                for engine in &learned.engines {
                    put_number(out, engine.engine.into());
                    put_number(out, engine.booted_at);
                    put_reals(out, &[Some(engine.slowdown), Some(engine.best_slowdown)]);
                    put_reals(out, &[Some(engine.bad), Some(engine.foreign_load)]);
                }
                put_real(out, learned.baseline_load);
                kind::REMEMBERED
            }
            Event::PriorAttempts {
                request,
                prior_attempts,
            } => {
                self.put_request(out, *request);
                put_earlier(out, prior_attempts);
                kind::RAN_BEFORE
            }
            Event::Arrived(r) => {
                self.put_request(out, r.id);
                put_number(out, r.class as u64);
                put_number(out, r.tenant as u64);
                put_signed(out, r.deadline.wrapping_sub(at) as i64);
                put_reals(out, &[r.work, r.memory_mb]);
                put_number(out, r.group);
                put_text(out, r.key.as_deref().unwrap_or(""));
                if r.prior_attempts.is_empty() {
                    return kind::ARRIVED;
                }
                put_earlier(out, &r.prior_attempts);
                kind::ARRIVED_AGAIN
            }
            Event::StreamBegan { request } => {
                self.put_request(out, *request);
                kind::STREAM_BEGAN
            }
            Event::ProgressReported {
                request,
                attempt,
                progress,
            } => {
                self.put_request(out, *request);
                put_number(out, *attempt as u64);
                match progress {
                    i::Progress::Share(share) => {
                        out.push(0);
                        put_real(out, *share);
                    }
                    i::Progress::Spilling(short) => {
                        out.push(1);
                        put_real(out, *short);
                    }
                    i::Progress::WaitsForMemory => out.push(2),
                    i::Progress::WaitsForLoad => out.push(3),
                }
                kind::NOTED
            }
            Event::AttemptEnded(e) => {
                self.put_request(out, e.request);
                put_number(out, e.attempt as u64);
                let flags = (e.complete as u8) << 4
                    | (e.already_reported as u8) << 5
                    | (e.usage.is_some() as u8) << 6;
                out.push(outcome_byte(e.outcome) | flags);
                put_number(out, e.spent);
                if let Some(bill) = e.usage {
                    put_real(out, bill.work);
                    put_real(out, bill.memory_mb);
                }
                put_report(out, &e.report);
                kind::ENDED
            }
            Event::Probed(p) => {
                out.extend_from_slice(&p.engine.to_le_bytes());
                out.push(outcome_byte(p.outcome));
                put_report(out, &p.report);
                kind::PROBED
            }
            Event::ClientLeft { request } => {
                self.put_request(out, *request);
                kind::CLIENT_LEFT
            }
            Event::Timer { tag } => {
                self.put_tag(out, *tag);
                kind::TIMER
            }
        }
    }

    /// Tags of requests' own timers are told like requests, other tags as they are.
    fn put_tag(&mut self, out: &mut Vec<u8>, tag: u64) {
        match tag
            .checked_sub(i::end_tag(0))
            .filter(|request| request >> 32 != 0)
        {
            Some(request) => {
                out.push(1);
                self.put_request(out, request);
            }
            None => {
                out.push(0);
                put_number(out, tag);
            }
        }
    }

    fn put_action(&mut self, out: &mut Vec<u8>, at: Micros, action: &Action) -> u8 {
        match action {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => {
                self.put_request(out, *request);
                put_real(out, *grant_mb);
                out.push(*rank);
                kind::TERMS
            }
            Action::Send {
                request,
                engine,
                attempt_deadline,
            } => {
                self.put_request(out, *request);
                out.extend_from_slice(&engine.to_le_bytes());
                put_signed(out, attempt_deadline.wrapping_sub(at) as i64);
                kind::SEND
            }
            Action::Probe { engine } => {
                out.extend_from_slice(&engine.to_le_bytes());
                kind::PROBE
            }
            Action::Cancel { request, attempt } => {
                self.put_request(out, *request);
                put_number(out, *attempt as u64);
                kind::CANCEL
            }
            Action::Refuse {
                request,
                retry_after,
            } => {
                self.put_request(out, *request);
                put_number(out, *retry_after);
                kind::REFUSE
            }
            Action::Fail { request } => {
                self.put_request(out, *request);
                kind::FAIL
            }
            Action::SetTimer { after, tag } => {
                put_number(out, *after);
                self.put_tag(out, *tag);
                kind::SET_TIMER
            }
            Action::Subscribe => kind::SUBSCRIBE,
            Action::Log(text) => {
                put_text(out, text);
                kind::LOG
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn put_host(&mut self, out: &mut Vec<u8>, at: Micros, host: &Host) -> u8 {
        match host {
            Host::Begin {
                name,
                epoch,
                segment,
            } => {
                put_text(out, name);
                put_number(out, *epoch);
                put_number(out, *segment);
                kind::BEGIN
            }
            Host::Names(names) => {
                let lists = [&names.classes, &names.tenants, &names.zones, &names.kinds];
                for list in lists.iter() {
                    put_texts(out, list);
                }
                put_number(out, names.threads.len() as u64);
                names
                    .threads
                    .iter()
                    .for_each(|threads| put_real(out, *threads));
                kind::NAMES
            }
            Host::Engine(e) => {
                out.extend_from_slice(&e.engine.to_le_bytes());
                put_text(out, &e.name);
                put_text(out, &e.address);
                put_number(out, e.zone as u64);
                put_number(out, e.kind as u64);
                out.push(phase_byte(e.phase));
                put_number(out, e.booted_at);
                kind::ENGINE
            }
            Host::Open(o) => {
                self.put_offer(out, &o.offer);
                put_number(out, o.class as u64);
                put_number(out, o.tenant as u64);
                put_signed(out, at.wrapping_sub(o.arrived_at) as i64);
                put_signed(out, o.deadline.wrapping_sub(at) as i64);
                put_number(out, o.attempts);
                match o.out {
                    None => out.push(0),
                    Some((engine, since)) => {
                        out.push(1);
                        out.extend_from_slice(&engine.to_le_bytes());
                        put_signed(out, at.wrapping_sub(since) as i64);
                    }
                }
                kind::OPEN
            }
            Host::Tally(tally) => {
                put_tally(out, tally);
                kind::TALLY
            }
            Host::StateWhole => kind::STATE_WHOLE,
            Host::Connected {
                connection,
                address,
            } => {
                put_number(out, connection & 0xffff_ffff);
                put_number(out, connection >> 32);
                match address {
                    IpAddr::V4(a) => {
                        out.push(4);
                        out.extend_from_slice(&a.octets());
                    }
                    IpAddr::V6(a) => {
                        out.push(6);
                        out.extend_from_slice(&a.octets());
                    }
                }
                kind::CONNECTED
            }
            Host::Ending { connection, why } => {
                put_number(out, connection & 0xffff_ffff);
                put_number(out, connection >> 32);
                out.push(*why as u8);
                kind::ENDING
            }
            Host::Disconnected { connection } => {
                put_number(out, connection & 0xffff_ffff);
                put_number(out, connection >> 32);
                kind::DISCONNECTED
            }
            Host::Offered(offer) => {
                self.put_offer(out, offer);
                kind::OFFERED
            }
            Host::Attached { class, tenant } => {
                put_number(out, *class as u64);
                put_number(out, *tenant as u64);
                kind::ATTACHED
            }
            Host::NotTaken { how, class, tenant } => {
                out.push(*how as u8);
                put_optional(out, *class);
                put_optional(out, *tenant);
                kind::NOT_TAKEN
            }
            Host::Answered {
                request,
                class,
                tenant,
                how,
                late,
            } => {
                self.put_request(out, *request);
                put_number(out, *class as u64);
                put_number(out, *tenant as u64);
                out.push(*how as u8 | (*late as u8) << 4);
                kind::ANSWERED
            }
            Host::Link { up } => {
                out.push(*up as u8);
                kind::LINK
            }
            Host::ListEvent { number } => {
                put_number(out, *number);
                kind::LIST_EVENT
            }
            Host::Reloaded { done } => {
                out.push(*done as u8);
                kind::RELOADED
            }
            Host::Because { request, why } => {
                self.put_request(out, *request);
                out.push(*why as u8);
                kind::BECAUSE
            }
            Host::Fleet(word) => put_fleet(out, word),
            Host::Stopping => kind::STOPPING,
            Host::Alive => kind::ALIVE,
            Host::Ended { counters } => {
                put_number(out, counters.len() as u64);
                for (name, value) in counters {
                    put_text(out, name);
                    put_number(out, *value);
                }
                kind::END
            }
            Host::Gap {
                from,
                to,
                entries,
                counted,
            } => {
                put_signed(out, at.wrapping_sub(*from) as i64);
                put_signed(out, at.wrapping_sub(*to) as i64);
                put_number(out, *entries);
                put_tally(out, counted);
                kind::GAP
            }
        }
    }
}

// ---- Reading ----

/// Reads the entries of one frame, one after the other.
pub struct Decoder<'a> {
    rest: &'a [u8],
    context: Context,
}

type Read<T> = Result<T, DecodeError>;

impl<'a> Decoder<'a> {
    pub fn new(payload: &'a [u8], context: Context) -> Self {
        Decoder {
            rest: payload,
            context,
        }
    }

    /// What is left unread, and what it is told in relation to: enough to go on later.
    pub fn state(&self) -> (usize, Context) {
        (self.rest.len(), self.context)
    }

    fn byte(&mut self) -> Read<u8> {
        let (first, rest) = self.rest.split_first().ok_or(DecodeError::Short)?;
        self.rest = rest;
        Ok(*first)
    }

    fn bytes<const N: usize>(&mut self) -> Read<[u8; N]> {
        let (first, rest) = self
            .rest
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Short)?;
        self.rest = rest;
        Ok(*first)
    }

    fn number(&mut self) -> Read<u64> {
        let mut value = 0u64;
        for (at, byte) in self.rest.iter().enumerate().take(10) {
            value |= ((byte & 0x7f) as u64) << (7 * at);
            if byte & 0x80 == 0 {
                self.rest = &self.rest[at + 1..];
                return Ok(value);
            }
        }
        Err(if self.rest.len() < 10 {
            DecodeError::Short
        } else {
            DecodeError::Value
        })
    }

    fn signed(&mut self) -> Read<i64> {
        let value = self.number()?;
        Ok((value >> 1) as i64 ^ -((value & 1) as i64))
    }

    /// A time told as a distance from another.
    fn after(&mut self, at: Micros) -> Read<Micros> {
        Ok(at.wrapping_add(self.signed()? as u64))
    }

    fn before(&mut self, at: Micros) -> Read<Micros> {
        Ok(at.wrapping_sub(self.signed()? as u64))
    }

    fn small(&mut self) -> Read<u32> {
        self.number()?.try_into().map_err(|_| DecodeError::Value)
    }

    fn place(&mut self) -> Read<usize> {
        Ok(self.small()? as usize)
    }

    fn optional(&mut self) -> Read<Option<usize>> {
        Ok(self.place()?.checked_sub(1))
    }

    fn length(&mut self, most: usize) -> Read<usize> {
        self.place().and_then(|length| {
            if length <= most {
                Ok(length)
            } else {
                Err(DecodeError::Value)
            }
        })
    }

    fn flag(&mut self) -> Read<bool> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::Value),
        }
    }

    fn real(&mut self) -> Read<f64> {
        if self.rest.first() == Some(&2) {
            self.byte()?;
            return Ok(f64::from_bits(u64::from_le_bytes(self.bytes()?)));
        }
        let value = self.number()?;
        match value & 3 {
            0 => Ok((value >> 2) as f64),
            1 => Ok((value >> 2) as f64 / 1e3),
            _ => Err(DecodeError::Value),
        }
    }

    fn reals<const N: usize>(&mut self) -> Read<[Option<f64>; N]> {
        let present = self.byte()?;
        if present >> N != 0 {
            return Err(DecodeError::Value);
        }
        let mut values = [None; N];
        for (at, value) in values.iter_mut().enumerate() {
            if present >> at & 1 == 1 {
                *value = Some(self.real()?);
            }
        }
        Ok(values)
    }

    fn text(&mut self) -> Read<&'a str> {
        let length = self.length(MAX_TEXT)?;
        let (text, rest) = self
            .rest
            .split_at_checked(length)
            .ok_or(DecodeError::Short)?;
        self.rest = rest;
        std::str::from_utf8(text).map_err(|_| DecodeError::Text)
    }

    fn texts(&mut self) -> Read<Vec<String>> {
        (0..self.length(MAX_ITEMS)?)
            .map(|_| self.text().map(str::to_string))
            .collect()
    }

    fn engine(&mut self) -> Read<u32> {
        Ok(u32::from_le_bytes(self.bytes()?))
    }

    fn request(&mut self) -> Read<u64> {
        let step = self.signed()?;
        let step = i32::try_from(step).map_err(|_| DecodeError::Value)?;
        self.context.generation = self.context.generation.wrapping_add(step as u32);
        Ok((self.context.generation as u64) << 32 | self.small()? as u64)
    }

    fn connection(&mut self) -> Read<u64> {
        Ok(self.small()? as u64 | (self.small()? as u64) << 32)
    }

    fn offer(&mut self) -> Read<Offer> {
        let request = self.request()?;
        Ok(Offer {
            request,
            id: u64::from_le_bytes(self.bytes()?),
            connection: self.connection()?,
        })
    }

    fn phase(&mut self) -> Read<Phase> {
        match self.byte()? {
            0 => Ok(Phase::Ready),
            1 => Ok(Phase::Draining),
            2 => Ok(Phase::Removed),
            _ => Err(DecodeError::Value),
        }
    }

    fn outcome(&self, byte: u8) -> Read<Outcome> {
        OUTCOMES
            .get(byte as usize)
            .copied()
            .ok_or(DecodeError::Value)
    }

    fn report(&mut self) -> Read<Option<i::LoadReport>> {
        if !self.flag()? {
            return Ok(None);
        }
        let [in_flight, waiting_for_memory, cores_busy, memory_granted, disks_busy] =
            self.reals()?;
        Ok(Some(i::LoadReport {
            in_flight,
            waiting_for_memory,
            cores_busy,
            memory_granted,
            disks_busy,
        }))
    }

    fn tag(&mut self) -> Read<u64> {
        if self.flag()? {
            Ok(i::end_tag(self.request()?))
        } else {
            self.number()
        }
    }

    fn entries(&mut self) -> Read<Vec<i::Endpoint>> {
        let entry = |d: &mut Self| {
            Ok(i::Endpoint {
                engine: d.engine()?,
                zone: d.small()?,
                kind: d.small()?,
                cell: d.small()?,
                phase: d.phase()?,
                booted_at: d.number()?,
            })
        };
        (0..self.length(MAX_ITEMS)?).map(|_| entry(self)).collect()
    }

    fn tally(&mut self) -> Read<Tally> {
        let entries = self.number()?;
        let mut totals = Totals::default();
        // A later program may count more; what this one doesn't know is passed over.
        let count = self.length(MAX_ITEMS)?;
        let mut values = totals.values_mut();
        for _ in 0..count {
            let value = self.number()?;
            values.next().into_iter().for_each(|own| *own = value);
        }
        drop(values);
        let [classes, tenants] = [self.lanes()?, self.lanes()?];
        Ok(Tally {
            entries,
            totals,
            classes,
            tenants,
        })
    }

    fn earlier(&mut self) -> Read<Vec<i::PriorAttempt>> {
        let mut earlier = Vec::new();
        for _ in 0..self.length(MAX_EARLIER)? {
            let (zone, cell, since) =
                (self.number()? as u32, self.number()? as u32, self.number()?);
            earlier.push(i::PriorAttempt { zone, cell, since });
        }
        Ok(earlier)
    }

    fn want(&mut self) -> Read<RejectReason> {
        let byte = self.byte()?;
        RejectReason::ALL
            .get(byte as usize)
            .copied()
            .ok_or(DecodeError::Value)
    }

    fn lanes(&mut self) -> Read<Vec<Lane>> {
        let lane = |d: &mut Self| {
            let mut values = [0; 7];
            for value in &mut values {
                *value = d.number()?;
            }
            Ok(Lane::from_values(values))
        };
        (0..self.length(MAX_LANES)?).map(|_| lane(self)).collect()
    }

    /// The next entry and its time; nothing at the end.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Read<Option<(Micros, Entry)>> {
        if self.rest.is_empty() {
            return Ok(None);
        }
        let kind = self.byte()?;
        let at = self.after(self.context.at)?;
        self.context.at = at;
        let entry = match kind {
            0..=19 => Entry::In(self.event(kind, at)?),
            20..=39 => Entry::Out(self.action(kind, at)?),
            _ => Entry::Host(self.host(kind, at)?),
        };
        Ok(Some((at, entry)))
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn event(&mut self, kind: u8, at: Micros) -> Read<Event> {
        Ok(match kind {
            kind::FULL_LIST => Event::EndpointSnapshot(self.entries()?),
            kind::LIST_CHANGES => Event::EndpointChanges(self.entries()?),
            kind::LIST_FAILED => Event::DiscoveryFailed,
            kind::REMEMBERED => {
                let age = self.number()?;
                let real = |value: Option<f64>| value.unwrap_or_default();
                let (mut classes, mut engines) = (Vec::new(), Vec::new());
                for _ in 0..self.length(MAX_LANES)? {
                    let ([work_ratio, memory_ratio], [work, memory_mb]) =
                        (self.reals()?, self.reals()?);
                    let (work_ratio, memory_ratio) = (real(work_ratio), real(memory_ratio));
                    classes.push(i::ClassEstimates {
                        work_ratio,
                        memory_ratio,
                        work: real(work),
                        memory_mb,
                    });
                }
                for _ in 0..self.length(MAX_LESSONS)? {
                    let (engine, booted_at) = (self.number()? as u32, self.number()?);
                    let ([stretch, best], [bad, others]) = (self.reals()?, self.reals()?);
                    let (stretch, best, bad, others) =
                        (real(stretch), real(best), real(bad), real(others));
                    engines.push(i::EngineEstimates {
                        engine,
                        booted_at,
                        slowdown: stretch,
                        best_slowdown: best,
                        bad,
                        foreign_load: others,
                    });
                }
                let level = self.real()?;
                Event::CheckpointRestored {
                    learned: i::LearnedState {
                        classes,
                        engines,
                        baseline_load: level,
                    },
                    age,
                }
            }
            kind::ARRIVED | kind::ARRIVED_AGAIN => {
                let (id, class, tenant) = (self.request()?, self.place()?, self.place()?);
                let deadline = self.after(at)?;
                let [work, memory_mb] = self.reals()?;
                let group = self.number()?;
                let key = Some(self.text()?)
                    .filter(|key| !key.is_empty())
                    .map(str::to_string);
                let earlier = if kind == kind::ARRIVED {
                    Vec::new()
                } else {
                    self.earlier()?
                };
                Event::Arrived(i::Request {
                    id,
                    class,
                    tenant,
                    key,
                    deadline,
                    work,
                    memory_mb,
                    group,
                    prior_attempts: earlier,
                })
            }
            kind::RAN_BEFORE => Event::PriorAttempts {
                request: self.request()?,
                prior_attempts: self.earlier()?,
            },
            kind::STREAM_BEGAN => Event::StreamBegan {
                request: self.request()?,
            },
            kind::NOTED => {
                let (request, attempt) = (self.request()?, self.place()?);
                let note = match self.byte()? {
                    0 => i::Progress::Share(self.real()?),
                    1 => i::Progress::Spilling(self.real()?),
                    2 => i::Progress::WaitsForMemory,
                    3 => i::Progress::WaitsForLoad,
                    _ => return Err(DecodeError::Value),
                };
                Event::ProgressReported {
                    request,
                    attempt,
                    progress: note,
                }
            }
            kind::ENDED => {
                let (request, attempt, flags) = (self.request()?, self.place()?, self.byte()?);
                let outcome = self.outcome(flags & 15)?;
                let spent = self.number()?;
                let bill = match flags >> 6 & 1 {
                    1 => Some(i::ResourceUsage {
                        work: self.real()?,
                        memory_mb: self.real()?,
                    }),
                    _ => None,
                };
                let (complete, told) = (flags >> 4 & 1 == 1, flags >> 5 & 1 == 1);
                let report = self.report()?;
                Event::AttemptEnded(i::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    spent,
                    complete,
                    already_reported: told,
                    usage: bill,
                    report,
                })
            }
            kind::PROBED => {
                let (engine, outcome) = (self.engine()?, self.byte()?);
                let outcome = self.outcome(outcome)?;
                Event::Probed(i::Probed {
                    engine,
                    outcome,
                    report: self.report()?,
                })
            }
            kind::CLIENT_LEFT => Event::ClientLeft {
                request: self.request()?,
            },
            kind::TIMER => Event::Timer { tag: self.tag()? },
            kind => return Err(DecodeError::Kind(kind)),
        })
    }

    fn action(&mut self, kind: u8, at: Micros) -> Read<Action> {
        Ok(match kind {
            kind::TERMS => Action::Grant {
                request: self.request()?,
                grant_mb: self.real()?,
                rank: self.byte()?,
            },
            kind::SEND => Action::Send {
                request: self.request()?,
                engine: self.engine()?,
                attempt_deadline: self.after(at)?,
            },
            kind::PROBE => Action::Probe {
                engine: self.engine()?,
            },
            kind::CANCEL => Action::Cancel {
                request: self.request()?,
                attempt: self.place()?,
            },
            kind::REFUSE => Action::Refuse {
                request: self.request()?,
                retry_after: self.number()?,
            },
            kind::FAIL => Action::Fail {
                request: self.request()?,
            },
            kind::SET_TIMER => Action::SetTimer {
                after: self.number()?,
                tag: self.tag()?,
            },
            kind::SUBSCRIBE => Action::Subscribe,
            kind::LOG => Action::Log(self.text()?.to_string()),
            kind => return Err(DecodeError::Kind(kind)),
        })
    }

    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn host(&mut self, kind: u8, at: Micros) -> Read<Host> {
        Ok(match kind {
            kind::BEGIN => {
                let name = self.text()?.to_string();
                Host::Begin {
                    name,
                    epoch: self.number()?,
                    segment: self.number()?,
                }
            }
            kind::NAMES => {
                let [classes, tenants, zones, kinds] =
                    [self.texts()?, self.texts()?, self.texts()?, self.texts()?];
                let threads = (0..self.length(MAX_ITEMS)?)
                    .map(|_| self.real())
                    .collect::<Read<_>>()?;
                Host::Names(Names {
                    classes,
                    tenants,
                    zones,
                    kinds,
                    threads,
                })
            }
            kind::ENGINE => Host::Engine(ListedEngine {
                engine: self.engine()?,
                name: self.text()?.to_string(),
                address: self.text()?.to_string(),
                zone: self.small()?,
                kind: self.small()?,
                phase: self.phase()?,
                booted_at: self.number()?,
            }),
            kind::OPEN => {
                let (offer, class, tenant) = (self.offer()?, self.place()?, self.place()?);
                let (arrived_at, deadline) = (self.before(at)?, self.after(at)?);
                let attempts = self.number()?;
                let out = if self.flag()? {
                    Some((self.engine()?, self.before(at)?))
                } else {
                    None
                };
                Host::Open(OpenRequest {
                    offer,
                    class,
                    tenant,
                    arrived_at,
                    deadline,
                    attempts,
                    out,
                })
            }
            kind::TALLY => Host::Tally(Box::new(self.tally()?)),
            kind::STATE_WHOLE => Host::StateWhole,
            kind::CONNECTED => {
                let connection = self.connection()?;
                let address = match self.byte()? {
                    4 => IpAddr::from(self.bytes::<4>()?),
                    6 => IpAddr::from(self.bytes::<16>()?),
                    _ => return Err(DecodeError::Value),
                };
                Host::Connected {
                    connection,
                    address,
                }
            }
            kind::ENDING => {
                let (connection, why) = (self.connection()?, self.byte()?);
                Host::Ending {
                    connection,
                    why: CloseReason::ALL
                        .get(why as usize)
                        .copied()
                        .ok_or(DecodeError::Value)?,
                }
            }
            kind::DISCONNECTED => Host::Disconnected {
                connection: self.connection()?,
            },
            kind::OFFERED => Host::Offered(self.offer()?),
            kind::ATTACHED => Host::Attached {
                class: self.place()?,
                tenant: self.place()?,
            },
            kind::NOT_TAKEN => {
                let how = self.want()?;
                Host::NotTaken {
                    how,
                    class: self.optional()?,
                    tenant: self.optional()?,
                }
            }
            kind::ANSWERED => {
                let (request, class, tenant) = (self.request()?, self.place()?, self.place()?);
                let flags = self.byte()?;
                let how = AnswerKind::ALL
                    .get((flags & 15) as usize)
                    .copied()
                    .ok_or(DecodeError::Value)?;
                Host::Answered {
                    request,
                    class,
                    tenant,
                    how,
                    late: flags >> 4 == 1,
                }
            }
            kind::LINK => Host::Link { up: self.flag()? },
            kind::LIST_EVENT => Host::ListEvent {
                number: self.number()?,
            },
            kind::RELOADED => Host::Reloaded { done: self.flag()? },
            kind::BECAUSE => Host::Because {
                request: self.request()?,
                why: self.want()?,
            },
            kind::PEER | kind::TURNED => {
                let (name, said) = (self.text()?.to_string(), self.text()?.to_string());
                Host::Fleet(match kind {
                    kind::PEER => FleetEvent::Peer { name, state: said },
                    _ => FleetEvent::Turned { name, why: said },
                })
            }
            kind::VOTES => Host::Fleet(FleetEvent::Votes {
                votes: self.flag()?,
            }),
            kind::MAJORITY => Host::Fleet(FleetEvent::Majority {
                stands: self.flag()?,
            }),
            kind::OWNS => {
                let (task, term, owns) = (self.number()? as u32, self.number()?, self.flag()?);
                Host::Fleet(FleetEvent::Owns { task, term, owns })
            }
            kind::WORK => {
                let (task, term) = (self.number()? as u32, self.number()?);
                let (owner, counts) = (self.number()?, self.flag()?);
                Host::Fleet(FleetEvent::Work {
                    task,
                    term,
                    owner,
                    counts,
                })
            }
            kind::STOPPING => Host::Stopping,
            kind::ALIVE => Host::Alive,
            kind::END => {
                let count = self.length(MAX_ITEMS)?;
                let pair = |d: &mut Self| Ok((d.text()?.to_string(), d.number()?));
                Host::Ended {
                    counters: (0..count).map(|_| pair(self)).collect::<Read<_>>()?,
                }
            }
            kind::GAP => Host::Gap {
                from: self.before(at)?,
                to: self.before(at)?,
                entries: self.number()?,
                counted: Box::new(self.tally()?),
            },
            kind => return Err(DecodeError::Kind(kind)),
        })
    }
}
