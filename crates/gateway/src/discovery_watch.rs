//! The watch on service discovery: keeps one connection open on which engines are reported as
//! numbered events, hands each event on once and in order, and connects again when the stream ends,
//! skips an event or falls silent. The gateway's main loop owns one.

use std::io;
use std::net::SocketAddr;

use eideryard::interface::Micros;
use eideryard_discovery::{request, Item, ItemError, Reader, StreamError, StreamEvent};

use crate::connection::{Connection, EventLoopHandle, ReadOutcome, WakeReason, MAX_READS_PER_TURN};
use crate::counters::Counters;
use crate::deadlines::{Deadline, DeadlineKey, Deadlines};

#[cfg(test)]
mod tests;

/// A comment arrives each second: a stream that has missed two is dead. The operators allow 4 s of
/// silence before an event must be known, and connecting again takes a while too.
const SILENCE_TIMEOUT: Micros = 2_200_000;
/// The delay before the first retry, after a connection that brought no event.
const MIN_RETRY_DELAY: Micros = 100_000;
/// The operators allow 2 s from a break before an event must be known.
const MAX_RETRY_DELAY: Micros = 500_000;

/// Why a connection to service discovery ended.
#[derive(Debug, thiserror::Error)]
enum DisconnectReason {
    #[error("its address has changed")]
    AddressChanged,
    #[error("it is silent")]
    Silent,
    #[error("the stream ended")]
    StreamEnded,
    #[error("the response is over")]
    ResponseEnded,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    InvalidStream(StreamError),
    #[error("an event can't be read: {0}")]
    InvalidEvent(ItemError),
    #[error("event {received} came after {last}")]
    MissedEvents { received: u64, last: u64 },
}

/// A connection and the decoder of its stream.
struct DiscoveryStream {
    connection: Connection,
    reader: Reader,
}

/// The connection to service discovery.
pub struct DiscoveryWatch {
    event_loop: EventLoopHandle,
    address: SocketAddr,
    stream: Option<DiscoveryStream>,
    /// Something was received on this connection.
    has_received: bool,
    /// The number of the last event that was handed on.
    last_event: u64,
    /// How long a connection may take to come up.
    dial_timeout: Micros,
    retry_delay: Micros,
    deadline: Option<DeadlineKey>,
    rng: fastrand::Rng,
}

impl DiscoveryWatch {
    /// A watch that isn't connected yet and knows all events up to `last_event`.
    pub fn new(
        event_loop: &EventLoopHandle,
        address: SocketAddr,
        last_event: u64,
        dial_timeout: Micros,
        seed: u64,
    ) -> Self {
        DiscoveryWatch {
            event_loop: event_loop.clone(),
            address,
            stream: None,
            has_received: false,
            last_event,
            dial_timeout,
            retry_delay: 0,
            deadline: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The number of the last event that was received.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Whether there is a connection, also one that is not established yet.
    pub fn has_connection(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether something was received on the present connection.
    pub fn is_receiving(&self) -> bool {
        self.has_received
    }

    /// Connects and requests all events after the last.
    pub fn connect(&mut self, now: Micros, deadlines: &mut Deadlines, counters: &mut Counters) {
        deadlines.cancel(self.deadline.take());
        counters.discovery_connections += 1;
        match Connection::dial(&self.event_loop, self.address, WakeReason::Discovery) {
            Ok(mut connection) => {
                let text = request(&self.address.to_string(), self.last_event);
                connection.output.tail().extend_from_slice(text.as_bytes());
                self.stream = Some(DiscoveryStream {
                    connection,
                    reader: Reader::default(),
                });
                let timeout_at = now + self.dial_timeout.min(SILENCE_TIMEOUT);
                self.deadline = Some(deadlines.set(timeout_at, Deadline::Discovery));
            }
            Err(error) => self.disconnect(&error.into(), now, deadlines),
        }
    }

    /// Moves to another address, by a new configuration. The present stream ends, since events are
    /// reported at the new address from now on.
    pub fn change_address(&mut self, address: SocketAddr, now: Micros, deadlines: &mut Deadlines) {
        if self.address != address {
            self.address = address;
            // Without a delay the next connection follows at once.
            self.retry_delay = 0;
            self.disconnect(&DisconnectReason::AddressChanged, now, deadlines);
        }
    }

    /// The connection is not up in time or was silent for too long, or the retry delay is over.
    pub fn handle_deadline(
        &mut self,
        now: Micros,
        deadlines: &mut Deadlines,
        counters: &mut Counters,
    ) {
        self.deadline = None;
        if self.has_connection() {
            self.disconnect(&DisconnectReason::Silent, now, deadlines);
        } else {
            self.connect(now, deadlines, counters);
        }
    }

    /// The one place that ends the connection. After one that brought an event, the next follows at
    /// once, else after a delay that grows: a server that accepts and breaks off isn't called in a
    /// tight loop.
    fn disconnect(&mut self, reason: &DisconnectReason, now: Micros, deadlines: &mut Deadlines) {
        let last_event = self.last_event;
        tracing::info!("discovery: {reason}; events up to {last_event} are known");
        self.stream = None;
        self.has_received = false;
        let jitter = 0.5 + 0.5 * self.rng.f64();
        let delay = (self.retry_delay as f64 * jitter) as Micros;
        deadlines.replace(&mut self.deadline, now + delay, Deadline::Discovery);
        self.retry_delay = (2 * self.retry_delay).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    }

    /// Reads what has arrived and appends the new events' items. True: there may be more, others
    /// get their turn first.
    pub fn read(
        &mut self,
        now: Micros,
        deadlines: &mut Deadlines,
        counters: &mut Counters,
        items: &mut Vec<Item>,
    ) -> bool {
        match self.read_events(now, deadlines, counters, items) {
            Ok(may_have_more) => may_have_more,
            Err(reason) => {
                self.disconnect(&reason, now, deadlines);
                false
            }
        }
    }

    fn read_events(
        &mut self,
        now: Micros,
        deadlines: &mut Deadlines,
        counters: &mut Counters,
        items: &mut Vec<Item>,
    ) -> Result<bool, DisconnectReason> {
        let Some(DiscoveryStream { connection, .. }) = &mut self.stream else {
            return Ok(false);
        };
        let was_up = connection.was_up();
        if !connection.is_up()? {
            return Ok(false);
        }
        if !was_up {
            let timeout_at = now + SILENCE_TIMEOUT;
            deadlines.replace(&mut self.deadline, timeout_at, Deadline::Discovery);
        }
        connection.flush()?;
        for _ in 0..MAX_READS_PER_TURN {
            let Some(DiscoveryStream { connection, reader }) = &mut self.stream else {
                return Ok(false);
            };
            let outcome = connection.read_available()?;
            let mut events = Vec::new();
            let parsed = reader.read(connection.input.filled(), &mut events);
            connection.input.clear();
            let has_ended = reader.is_over();
            if !events.is_empty() {
                self.has_received = true;
                let timeout_at = now + SILENCE_TIMEOUT;
                deadlines.replace(&mut self.deadline, timeout_at, Deadline::Discovery);
            }
            for event in events {
                if let StreamEvent::Event { data, .. } = event {
                    self.handle_event(&data, counters, items)?;
                }
            }
            parsed.map_err(DisconnectReason::InvalidStream)?;
            match outcome {
                ReadOutcome::WouldBlock => return Ok(false),
                ReadOutcome::Closed => return Err(DisconnectReason::StreamEnded),
                ReadOutcome::Data if has_ended => return Err(DisconnectReason::ResponseEnded),
                ReadOutcome::Data => {}
            }
        }
        Ok(true)
    }

    /// Appends the item of an event that wasn't known yet. A gap is an error, unless the event
    /// lists all engines.
    fn handle_event(
        &mut self,
        data: &str,
        counters: &mut Counters,
        items: &mut Vec<Item>,
    ) -> Result<(), DisconnectReason> {
        let item = Item::read(data).map_err(DisconnectReason::InvalidEvent)?;
        if item.no <= self.last_event {
            return Ok(());
        }
        let is_snapshot = item.roster.as_ref().is_some_and(|roster| roster.whole);
        if item.no > self.last_event + 1 && !is_snapshot {
            return Err(DisconnectReason::MissedEvents {
                received: item.no,
                last: self.last_event,
            });
        }
        self.last_event = item.no;
        self.retry_delay = 0;
        counters.discovery_events += 1;
        items.push(item);
        Ok(())
    }
}
