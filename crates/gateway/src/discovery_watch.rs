//! The watch on service discovery: keeps one connection open that streams the engines as numbered
//! events, passes on each event once and in order, and reconnects when the stream ends, skips an
//! event or is silent for too long. The gateway's main loop owns one [`DiscoveryWatch`].

use std::io;
use std::net::SocketAddr;

use eideryard::interface::Micros;
use eideryard_discovery::{
    request, DiscoveryEvent, DiscoveryEventError, Reader, StreamError, StreamEvent,
};

use crate::connection::{Connection, EventLoopHandle, ReadOutcome, WakeReason, MAX_READS_PER_TURN};
use crate::counters::Counters;
use crate::deadlines::{Deadline, DeadlineKey, Deadlines};

#[cfg(test)]
mod tests;

/// Service discovery sends a comment each second, so a stream that has missed two is dead. The
/// operators require that an event is known after at most 4 s of silence, and reconnecting takes
/// part of that time.
const SILENCE_TIMEOUT: Micros = 2_200_000;
/// The delay before the second attempt to reconnect, if the previous connection delivered no event;
/// the first attempt follows at once.
const MIN_RETRY_DELAY: Micros = 100_000;
/// The operators require that an event is known within 2 s after a connection has broken.
const MAX_RETRY_DELAY: Micros = 500_000;

/// Why a connection to service discovery ended.
#[derive(Debug, thiserror::Error)]
enum DisconnectReason {
    #[error("the configuration names another address")]
    AddressChanged,
    #[error("nothing was received in time")]
    Silent,
    #[error("the stream ended")]
    StreamEnded,
    #[error("the HTTP response ended")]
    ResponseEnded,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    InvalidStream(StreamError),
    #[error("an event is invalid: {0}")]
    InvalidEvent(DiscoveryEventError),
    #[error("event {received} follows event {last}, the events between are missing")]
    MissedEvents { received: u64, last: u64 },
}

/// A connection and the decoder of its stream.
struct DiscoveryStream {
    connection: Connection,
    reader: Reader,
}

/// The watch on service discovery: its connection if there is one, and the state for reconnecting.
pub struct DiscoveryWatch {
    event_loop: EventLoopHandle,
    address: SocketAddr,
    stream: Option<DiscoveryStream>,
    /// Whether anything was received on the current connection.
    has_received: bool,
    /// The sequence number of the last event that was passed on.
    last_event: u64,
    /// How long a connection may take to be established.
    dial_timeout: Micros,
    /// The delay before the next reconnect, without jitter.
    retry_delay: Micros,
    /// While there is a connection: when it must have received something. Otherwise: when the watch
    /// reconnects.
    deadline: Option<DeadlineKey>,
    rng: fastrand::Rng,
}

impl DiscoveryWatch {
    /// Creates a watch that has no connection yet and already knows all events up to `last_event`.
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

    /// Returns the sequence number of the last event that was passed on.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Returns whether there is a connection, which may not be established yet.
    pub fn has_connection(&self) -> bool {
        self.stream.is_some()
    }

    /// Returns whether anything was received on the current connection.
    pub fn is_receiving(&self) -> bool {
        self.has_received
    }

    /// Connects and requests all events after the last one that was passed on.
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

    /// Applies the address of a reloaded configuration. If it has changed, the current stream ends,
    /// since service discovery now serves events at the new address.
    pub fn change_address(&mut self, address: SocketAddr, now: Micros, deadlines: &mut Deadlines) {
        if self.address != address {
            self.address = address;
            // Connects to the new address without a delay.
            self.retry_delay = 0;
            self.disconnect(&DisconnectReason::AddressChanged, now, deadlines);
        }
    }

    /// Disconnects if the connection was not established in time or was silent for too long;
    /// reconnects if the retry delay is over.
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

    /// Ends the connection; no other code does. If the connection delivered an event, the watch
    /// reconnects at once, otherwise after a growing delay. The delay prevents a tight loop of
    /// reconnects to a server that accepts connections and closes them.
    fn disconnect(&mut self, reason: &DisconnectReason, now: Micros, deadlines: &mut Deadlines) {
        let last_event = self.last_event;
        tracing::info!(
            "service discovery: {reason}; reconnecting for the events after {last_event}"
        );
        self.stream = None;
        self.has_received = false;
        let jitter = 0.5 + 0.5 * self.rng.f64();
        let delay = (self.retry_delay as f64 * jitter) as Micros;
        deadlines.replace(&mut self.deadline, now + delay, Deadline::Discovery);
        self.retry_delay = (2 * self.retry_delay).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    }

    /// Reads the available input and appends the items of new events. Returns true if there may be
    /// more after [`MAX_READS_PER_TURN`] reads; the caller reads other connections first.
    pub fn read(
        &mut self,
        now: Micros,
        deadlines: &mut Deadlines,
        counters: &mut Counters,
        items: &mut Vec<DiscoveryEvent>,
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
        items: &mut Vec<DiscoveryEvent>,
    ) -> Result<bool, DisconnectReason> {
        let Some(DiscoveryStream { connection, .. }) = &mut self.stream else {
            return Ok(false);
        };
        let was_established = connection.is_established();
        if !connection.check_established()? {
            return Ok(false);
        }
        if !was_established {
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

    /// Appends the item of an event that is newer than the last event that was passed on. Skipped
    /// sequence numbers are an error, unless the event contains the whole list of engines.
    fn handle_event(
        &mut self,
        data: &str,
        counters: &mut Counters,
        items: &mut Vec<DiscoveryEvent>,
    ) -> Result<(), DisconnectReason> {
        let item = DiscoveryEvent::read(data).map_err(DisconnectReason::InvalidEvent)?;
        if item.number <= self.last_event {
            return Ok(());
        }
        let is_snapshot = item
            .update
            .as_ref()
            .is_some_and(|update| update.is_snapshot);
        if item.number - self.last_event > 1 && !is_snapshot {
            return Err(DisconnectReason::MissedEvents {
                received: item.number,
                last: self.last_event,
            });
        }
        self.last_event = item.number;
        self.retry_delay = 0;
        counters.discovery_events += 1;
        items.push(item);
        Ok(())
    }
}
