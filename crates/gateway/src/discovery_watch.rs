//! The watch on the list of engines (service discovery): keeps one connection to the bulletin open,
//! hands each event on once and in order, and calls again when the stream ends, skips an event or
//! falls silent.

use std::net::SocketAddr;

use eideryard::interface::Micros;
use eideryard_discovery::{request, Item, Reader, StreamEvent};

use crate::connection::{Connection, Filled, Loop, Wake, MAX_READS};
use crate::counters::Counters;
use crate::deadlines::{DeadlineKey, Deadlines, Due};

#[cfg(test)]
mod tests;

/// A comment comes each second: a stream that has missed two is dead. What it would have told
/// counts as told 4 s after it fell silent, and asking again takes a while too.
const SILENCE: Micros = 2_200_000;
/// The first pause before another call, after a call that brought nothing, and the longest: what a
/// broken stream would have told counts as told 2 s after the break.
const FIRST_PAUSE: Micros = 100_000;
const LONGEST_PAUSE: Micros = 500_000;

pub struct Watch {
    events: Loop,
    address: SocketAddr,
    connection: Option<(Connection, Reader)>,
    /// Something came on this connection.
    heard: bool,
    /// The number of the last event that was handed on.
    last: u64,
    /// How long a call may take to come up.
    dial_timeout: Micros,
    pause: Micros,
    deadline: Option<DeadlineKey>,
    rng: fastrand::Rng,
}

impl Watch {
    /// The list's last event that was heard.
    pub fn number(&self) -> u64 {
        self.last
    }

    pub fn new(
        events: &Loop,
        address: SocketAddr,
        last: u64,
        dial_timeout: Micros,
        seed: u64,
    ) -> Self {
        Watch {
            events: events.clone(),
            address,
            connection: None,
            heard: false,
            last,
            dial_timeout,
            pause: 0,
            deadline: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn is_up(&self) -> bool {
        self.connection.is_some()
    }

    /// Whether the bulletin speaks: a connection that is only being made proves nothing.
    pub fn is_heard(&self) -> bool {
        self.heard
    }

    /// Calls the bulletin for all events after the last.
    pub fn call(&mut self, now: Micros, due: &mut Deadlines, counters: &mut Counters) {
        due.take_back(self.deadline.take());
        counters.list_connections += 1;
        match Connection::dial(&self.events, self.address, Wake::Bulletin) {
            Ok(mut connection) => {
                let text = request(&self.address.to_string(), self.last);
                connection.output.tail().extend_from_slice(text.as_bytes());
                self.connection = Some((connection, Reader::default()));
                self.deadline = Some(due.set(now + self.dial_timeout.min(SILENCE), Due::Bulletin));
            }
            Err(e) => self.hang_up(&e.to_string(), now, due),
        }
    }

    /// Another address, by a new configuration: what is there tells the events that come now, so
    /// the old watch ends, whatever it is about.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros, due: &mut Deadlines) {
        if self.address != address {
            self.address = address;
            // Without a pause the next call follows at once.
            self.pause = 0;
            self.hang_up("its address has changed", now, due);
        }
    }

    /// Not up in time, silent for too long, or the pause is over.
    pub fn due(&mut self, now: Micros, due: &mut Deadlines, counters: &mut Counters) {
        self.deadline = None;
        match self.connection {
            Some(_) => self.hang_up("it is silent", now, due),
            None => self.call(now, due, counters),
        }
    }

    /// The one place that gives the connection back. After one that brought an event the next call
    /// follows at once, else after a pause that grows: one that greets and breaks off isn't called
    /// in a tight loop.
    fn hang_up(&mut self, reason: &str, now: Micros, due: &mut Deadlines) {
        tracing::info!("bulletin: {reason}; events up to {} are known", self.last);
        self.connection = None;
        self.heard = false;
        let pause = (self.pause as f64 * (0.5 + 0.5 * self.rng.f64())) as Micros;
        due.renew(&mut self.deadline, now + pause, Due::Bulletin);
        self.pause = (2 * self.pause).clamp(FIRST_PAUSE, LONGEST_PAUSE);
    }

    /// Reads what has come. True: there may be more, others first.
    pub fn read(
        &mut self,
        now: Micros,
        due: &mut Deadlines,
        counters: &mut Counters,
        items: &mut Vec<Item>,
    ) -> bool {
        let more = self.take(now, due, counters, items);
        if let Err(reason) = &more {
            self.hang_up(reason, now, due);
        }
        more == Ok(true)
    }

    fn take(
        &mut self,
        now: Micros,
        due: &mut Deadlines,
        counters: &mut Counters,
        items: &mut Vec<Item>,
    ) -> Result<bool, String> {
        let Some((connection, reader)) = &mut self.connection else {
            return Ok(false);
        };
        let was_up = connection.was_up();
        if !connection.is_up().map_err(|e| e.to_string())? {
            return Ok(false);
        }
        if !was_up {
            due.renew(&mut self.deadline, now + SILENCE, Due::Bulletin);
        }
        connection.flush().map_err(|e| e.to_string())?;
        let mut heard = Vec::new();
        for _ in 0..MAX_READS {
            let filled = connection.fill().map_err(|e| e.to_string())?;
            let taken = reader
                .read(connection.input.filled(), &mut heard)
                .map_err(|e| e.to_string());
            connection.input.clear();
            if !heard.is_empty() {
                self.heard = true;
                due.renew(&mut self.deadline, now + SILENCE, Due::Bulletin);
            }
            for heard in heard.drain(..) {
                let StreamEvent::Event { data, .. } = heard else {
                    continue;
                };
                let item = Item::read(&data).map_err(|e| format!("an event can't be read: {e}"))?;
                if item.no <= self.last {
                    continue;
                }
                let whole = item.roster.as_ref().is_some_and(|roster| roster.whole);
                if item.no > self.last + 1 && !whole {
                    return Err(format!("event {} came after {}", item.no, self.last));
                }
                self.last = item.no;
                self.pause = 0;
                counters.list_events += 1;
                items.push(item);
            }
            taken?;
            match filled {
                Filled::Blocked => return Ok(false),
                Filled::Ended => return Err("the stream ended".into()),
                Filled::Some if reader.is_over() => return Err("the response is over".into()),
                Filled::Some => {}
            }
        }
        Ok(true)
    }
}
