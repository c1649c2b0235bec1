//! Client connections. The gateway's main loop owns one [`Clients`], which accepts connections,
//! decodes their messages into [`ClientEvent`]s and writes the answers. Each connection occupies a
//! slot of a [`Table`]; only [`Clients::close`] frees a slot.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

use eideryard::interface::Micros;

use crate::connection::{
    is_resource_shortage, listen, Connection, EventLoopHandle, WakeReason, WatchedFd,
};
use crate::deadlines::Deadline;
use crate::table::{Key, Table};

use client::{Client, ConnectionState};

pub use events::{
    CallEndReason, CallId, ClientContext, ClientEvent, ConnectionChange, ResultQuery,
};

mod answering;
mod client;
mod closing;
mod decoding;
mod events;
mod reading;
#[cfg(test)]
mod tests;

/// Time limit for the first request on a connection, and for the rest of a partly received message.
/// The limit guards against connections that send nothing or stop within a message: a client must
/// get an answer or a close within 3 s of connecting. A client that has sent a request may stay
/// idle.
const INPUT_TIMEOUT: Micros = 2_000_000;

/// All client connections and the listener that accepts them.
pub struct Clients {
    event_loop: EventLoopHandle,
    listener: Option<WatchedFd<TcpListener>>,
    table: Table<Client>,
    /// Connections that the next [`Clients::flush`] has to process.
    unflushed: Vec<Key>,
    /// Connections that have used up their turn and may have more input, in the order of their next
    /// turns. The main loop empties the list.
    pub unfinished_reads: VecDeque<Key>,
    max_connections: usize,
    /// Bytes of unwritten answers, summed over all connections.
    unsent_bytes: usize,
    /// Above this total, connections with more than their equal share are closed.
    max_unsent_bytes: usize,
    /// Bytes of incomplete messages, summed over all connections.
    unread_bytes: usize,
    /// Above this total, connections with more than their equal share are closed.
    max_unread_bytes: usize,
    /// The answer to health checks; the main loop keeps it up to date.
    pub is_healthy: bool,
    /// Whether this gateway spools results. If not, queries for spooled results get an error.
    pub accepts_result_queries: bool,
    /// Opened and closed connections, for the event log; empty if no event log is written. The main
    /// loop empties the list.
    pub changes: Vec<(Key, ConnectionChange)>,
    records_changes: bool,
}

/// Configuration of [`Clients`].
pub struct ClientsConfig {
    /// The address that clients connect to.
    pub listen_address: SocketAddr,
    /// File descriptors that the platform grants to the process; client connections get at most
    /// half of them.
    pub max_descriptors: usize,
    /// Memory in MB that the platform grants to the process; the limits on buffered bytes are
    /// fractions of it.
    pub memory_mb: u64,
    /// Whether changes of connections are collected for the event log.
    pub records_changes: bool,
    /// Whether queries for spooled results are accepted.
    pub accepts_result_queries: bool,
}

impl Clients {
    /// Starts to listen. Returns an error if the address can't be bound or the socket can't be
    /// registered with the event loop.
    pub fn new(event_loop: &EventLoopHandle, config: &ClientsConfig) -> io::Result<Self> {
        Ok(Clients {
            event_loop: event_loop.clone(),
            listener: Some(listen(event_loop, config.listen_address)?),
            table: Table::new(),
            unflushed: Vec::new(),
            unfinished_reads: VecDeque::new(),
            // The operators guarantee that clients use at most a third of the descriptors; the
            // difference between a third and the half used here is room for a burst.
            max_connections: (config.max_descriptors / 2).max(1),
            unsent_bytes: 0,
            max_unsent_bytes: (config.memory_mb as usize) << 18,
            unread_bytes: 0,
            max_unread_bytes: (config.memory_mb as usize) << 17,
            is_healthy: false,
            accepts_result_queries: config.accepts_result_queries,
            changes: Vec::new(),
            records_changes: config.records_changes,
        })
    }

    fn record_change(&mut self, key: Key, change: ConnectionChange) {
        if self.records_changes {
            self.changes.push((key, change));
        }
    }

    /// Returns the address on which the gateway listens; an error after
    /// [`Clients::stop_listening`].
    pub fn address(&self) -> io::Result<SocketAddr> {
        match &self.listener {
            Some(listener) => listener.file.local_addr(),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Accepts all pending connections. Returns false if some are still pending because no
    /// descriptor is free and no connection is idle.
    pub fn accept(&mut self, context: &mut ClientContext<'_>) -> bool {
        while self.listener.is_some() {
            // The table contains one connection more than allowed. An idle connection is closed; if
            // there is none, accepting pauses.
            let is_full = self.table.len() > self.max_connections;
            if is_full && !self.evict_longest_idle(context) {
                return false;
            }
            let Some(listener) = &self.listener else {
                break;
            };
            match listener.file.accept() {
                Ok((stream, from)) => self.add_connection(stream, from.ip(), context),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if is_resource_shortage(&e) => {
                    if !self.evict_longest_idle(context) {
                        return false;
                    }
                }
                // The connection ended before it was accepted.
                Err(e) => tracing::debug!("a client connection was not accepted: {e}"),
            }
        }
        true
    }

    fn add_connection(
        &mut self,
        stream: TcpStream,
        address: IpAddr,
        context: &mut ClientContext<'_>,
    ) {
        let key = self.table.next_key();
        match Connection::accepted(&self.event_loop, stream, WakeReason::Client(key)) {
            Ok(connection) => {
                let timeout_at = context.now + INPUT_TIMEOUT;
                let deadline = Deadline::ClientConnection(key);
                let deadline = context.deadlines.set(timeout_at, deadline);
                let client = Client::new(connection, address, context.now, deadline);
                self.table.insert(client);
                context.counters.connections += 1;
                self.record_change(key, ConnectionChange::Opened(address));
            }
            Err(e) => tracing::warn!("a client connection from {address} was dropped: {e}"),
        }
    }

    /// Closes the listener, after which no more connections are accepted.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Stores the key of the slot in the table of requests that was assigned to the request with
    /// the message ID `id`.
    pub fn assign_request(&mut self, key: Key, id: u32, request: Key) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        if let Some(open) = client.open_requests.iter_mut().find(|open| open.id == id) {
            open.key = Some(request);
        }
    }

    /// Returns whether a connection still accepts requests; `None` if it has ended.
    pub fn accepts_requests(&self, key: Key) -> Option<bool> {
        let client = self.table.get(key)?;
        Some(client.state == ConnectionState::Open)
    }

    /// Returns the client's address as a number, or 0 if the connection has ended. The result spool
    /// uses this number to share its space fairly among addresses.
    pub fn address_of(&self, key: Key) -> u64 {
        match self.table.get(key).map(|client| client.address) {
            Some(IpAddr::V4(address)) => u64::from(u32::from(address)),
            // Only the network part of the address, since one site usually uses many addresses that
            // differ in the other 64 bits.
            Some(IpAddr::V6(address)) => (u128::from(address) >> 64) as u64,
            None => 0,
        }
    }

    /// Iterates over all connections, as keys, and the clients' addresses.
    pub fn addresses(&self) -> impl Iterator<Item = (Key, IpAddr)> + '_ {
        self.table.iter().map(|(key, client)| (key, client.address))
    }

    /// Returns the number of connections, including half-closed ones.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}
