//! Connections of clients. The gateway's main loop owns one [`Clients`]: it accepts connections,
//! decodes their messages into [`ClientEvent`]s and writes their answers. Each connection lives in
//! a slot of the table; [`Clients::close`] is the one place that frees a slot.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

use eideryard::interface::Micros;

use crate::connection::{is_shortage, listen, Connection, EventLoopHandle, WakeReason, Watched};
use crate::deadlines::Deadline;
use crate::table::{Key, Table};

use client::{Client, ConnectionState};

pub use events::{ClientContext, ClientEvent, ConnectionChange, ResultQuery};

mod answering;
mod client;
mod closing;
mod decoding;
mod events;
mod reading;

/// Time for the first request of a connection to arrive, and for the rest of a message that has
/// begun. Clients are owed an answer or a close within 3 s of connecting. This guards against
/// connections that send nothing or stop half way; a client that has sent a request may stay idle.
const SILENCE_TIMEOUT: Micros = 2_000_000;

/// All connections of clients, and the listener that accepts them.
pub struct Clients {
    event_loop: EventLoopHandle,
    listener: Option<Watched<TcpListener>>,
    table: Table<Client>,
    unflushed: Vec<Key>,
    /// Connections with more to read once others had their turn; the owner empties it.
    pub unfinished_reads: Vec<Key>,
    max_connections: usize,
    /// Bytes that wait to be written on all connections, and how many may.
    unsent_bytes: usize,
    max_unsent_bytes: usize,
    /// Bytes of incomplete messages on all connections, and how many may be held.
    unread_bytes: usize,
    max_unread_bytes: usize,
    /// The answer to questions about this gateway's health.
    pub is_healthy: bool,
    /// Whether queries for spooled results are accepted.
    pub accepts_result_queries: bool,
    /// Changes of connections, where they are recorded; the owner empties it.
    pub changes: Vec<(Key, ConnectionChange)>,
    records_changes: bool,
}

/// What [`Clients::new`] needs to know.
pub struct ClientsConfig {
    /// Where to listen.
    pub listen_address: SocketAddr,
    /// Descriptors that the platform grants to the process.
    pub max_descriptors: usize,
    /// Memory that the platform grants to the process.
    pub memory_mb: u64,
    /// Whether changes of connections are collected for the event log.
    pub records_changes: bool,
    /// Whether queries for spooled results are accepted.
    pub accepts_result_queries: bool,
}

impl Clients {
    /// Listens for clients.
    pub fn new(event_loop: &EventLoopHandle, config: &ClientsConfig) -> io::Result<Self> {
        Ok(Clients {
            event_loop: event_loop.clone(),
            listener: Some(listen(event_loop, config.listen_address)?),
            table: Table::new(),
            unflushed: Vec::new(),
            unfinished_reads: Vec::new(),
            // Clients are promised to hold a third of the descriptors at most; the rest is room for
            // a burst.
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

    /// Where clients reach this gateway; an error once it has stopped listening.
    pub fn address(&self) -> io::Result<SocketAddr> {
        match &self.listener {
            Some(listener) => listener.file.local_addr(),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Accepts all connections that wait. False: descriptors ran out, so that some still wait.
    pub fn accept(&mut self, context: &mut ClientContext<'_>) -> bool {
        while self.listener.is_some() {
            // One connection more than allowed was accepted: an idle one is closed, or accepting
            // pauses.
            let is_full = self.table.len() > self.max_connections;
            if is_full && !self.evict_idlest(context) {
                return false;
            }
            let Some(listener) = &self.listener else {
                break;
            };
            match listener.file.accept() {
                Ok((stream, from)) => self.add_connection(stream, from.ip(), context),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if is_shortage(&e) => {
                    if !self.evict_idlest(context) {
                        return false;
                    }
                }
                // Of a connection that ended before it was accepted.
                Err(e) => tracing::debug!("accept: {e}"),
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
                let timeout_at = context.now + SILENCE_TIMEOUT;
                let deadline = Deadline::ClientConnection(key);
                let deadline = context.deadlines.set(timeout_at, deadline);
                let client = Client::new(connection, address, context.now, deadline);
                self.table.insert(client);
                context.counters.connections += 1;
                self.record_change(key, ConnectionChange::Opened(address));
            }
            Err(e) => tracing::warn!("a client's connection is of no use: {e}"),
        }
    }

    /// Accepts no more connections.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// The request of that number on a connection has got a slot in the table of requests.
    pub fn assign_request(&mut self, key: Key, id: u32, request: Key) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        if let Some(open) = client.open.iter_mut().find(|open| open.id == id) {
            open.request = Some(request);
        }
    }

    /// Whether a connection still accepts requests; `None` where it has ended.
    pub fn accepts_requests(&self, key: Key) -> Option<bool> {
        let client = self.table.get(key)?;
        Some(client.state == ConnectionState::Open)
    }

    /// Where a connection comes from, as a number for fair shares of the result spool.
    pub fn address_of(&self, key: Key) -> u64 {
        match self.table.get(key).map(|client| client.address) {
            Some(IpAddr::V4(address)) => u64::from(u32::from(address)),
            // The network's part: one site has many addresses of the rest.
            Some(IpAddr::V6(address)) => (u128::from(address) >> 64) as u64,
            None => 0,
        }
    }

    /// The open connections and where they come from.
    pub fn addresses(&self) -> impl Iterator<Item = (Key, IpAddr)> + '_ {
        self.table.iter().map(|(key, client)| (key, client.address))
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}
