//! Connections of clients: accepts them, reads what they ask, writes what they are answered. Each
//! connection lives in a slot of the table; [`Clients::close`] is the one place where it is given
//! back.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};

use eideryard::interface::Micros;
use eideryard_event_log::CloseReason;
use eideryard_msgpack_rpc::{decode, write_health, Message};

use crate::connection::{is_shortage, listen, Connection, Filled, Loop, Wake, Watched, MAX_READS};
use crate::counters::Counters;
use crate::deadlines::{DeadlineKey, Deadlines, Due};
use crate::requests::{Call, Names};
use crate::table::{Key, Table};

/// Open requests on one connection, as the protocol allows.
const MAX_OPEN: usize = 32;
/// Time for the first request of a connection to come, and for the rest of a message that has
/// begun. Clients are owed a word or a close within 3 s of connecting. This guards against
/// connections that say nothing or stop half way; whoever has asked may stay for good.
const MAX_SILENCE: Micros = 2_000_000;
/// Usual clients ask within this time of connecting.
const FIRST_WORD: Micros = 200_000;

mod closing;
mod reading;

/// Whether a connection takes more, and what it still gets.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    /// What it says is passed over; it is half-closed once all is written and closes with its other
    /// end.
    Answers,
    /// The same, and nothing more is written.
    Mute,
}

struct Client {
    connection: Connection,
    address: IpAddr,
    /// Requests without an answer yet: the client's number of each, and its slot once it has one.
    open: Vec<(u32, Option<Key>)>,
    /// It has asked for something that is owed an answer.
    asked: bool,
    /// Reads that brought whole messages.
    messages: u64,
    closing: Closing,
    used_at: Micros,
    /// Until it must have asked, finished its message, or closed.
    deadline: Option<DeadlineKey>,
}

impl Client {
    /// Nothing is open or on its way, in either direction.
    fn rests(&self) -> bool {
        let quiet = self.connection.input.is_empty() && self.connection.output.is_empty();
        self.closing == Closing::No && self.open.is_empty() && quiet
    }
}

/// What clients said.
pub enum Heard {
    Call {
        client: Key,
        id: u32,
        call: Result<Call, &'static str>,
    },
    /// A question about a spooled result.
    Asked {
        client: Key,
        id: u32,
        what: Asked,
    },
    Forgotten(Key),
    /// The connection that this was asked on holds what can't be read, so this ends at once.
    Spoilt(Key),
    /// The connection that this was asked on has ended.
    Left(Key),
}

/// Questions that exist where there is a spool.
pub enum Asked {
    Page { token: String, id: String },
    Again { id: String },
    Release { token: String, id: String },
}

/// What became of a connection.
pub enum Change {
    Came(IpAddr),
    Ends(CloseReason),
    Gone,
}

impl Heard {
    fn is_call(&self, of: Key, number: u32) -> bool {
        matches!(self, Heard::Call { client, id, .. } if (*client, *id) == (of, number))
    }
}

pub struct Clients {
    events: Loop,
    listener: Option<Watched<TcpListener>>,
    table: Table<Client>,
    unflushed: Vec<Key>,
    /// Those with more to read once others had their turn; the owner empties it.
    pub again: Vec<Key>,
    /// Connections at once, and bytes that may wait on all of them: to be written, and of messages
    /// that are not whole.
    most_connections: usize,
    most_unsent: usize,
    unsent: usize,
    most_unread: usize,
    unread: usize,
    /// What the question after this gateway's health is answered.
    pub well: bool,
    /// What became of connections, where that is recorded; the owner empties it.
    pub changes: Vec<(Key, Change)>,
    tells: bool,
    /// Whether questions about pages are heard.
    pub pages: bool,
}

impl Clients {
    pub fn new(
        events: &Loop,
        address: SocketAddr,
        sockets: usize,
        memory_mb: u64,
        tells: bool,
    ) -> io::Result<Self> {
        Ok(Clients {
            events: events.clone(),
            listener: Some(listen(events, address)?),
            table: Table::new(),
            unflushed: Vec::new(),
            again: Vec::new(),
            // Clients are promised to hold a third of the descriptors at most; the rest is room for
            // a burst.
            most_connections: (sockets / 2).max(1),
            most_unsent: (memory_mb as usize) << 18,
            unsent: 0,
            most_unread: (memory_mb as usize) << 17,
            unread: 0,
            well: false,
            changes: Vec::new(),
            tells,
            pages: false,
        })
    }

    fn tell(&mut self, key: Key, change: Change) {
        if self.tells {
            self.changes.push((key, change));
        }
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener
            .as_ref()
            .map_or(Err(io::ErrorKind::NotConnected.into()), |own| {
                own.file.local_addr()
            })
    }

    /// Takes in all that wait to connect. False: descriptors ran out, so that some still wait.
    pub fn accept(
        &mut self,
        now: Micros,
        names: &Names,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> bool {
        while self.listener.is_some() {
            // One more than may be has come in: an idle one goes, or nothing more is taken in for
            // now.
            let full = self.table.len() > self.most_connections;
            if full && !self.close_idlest(now, names, due, counters, heard) {
                return false;
            }
            let Some(listener) = &self.listener else {
                break;
            };
            match listener.file.accept() {
                Ok((stream, from)) => {
                    let key = self.table.next_key();
                    match Connection::accepted(&self.events, stream, Wake::Client(key)) {
                        Ok(connection) => {
                            self.table.insert(Client {
                                connection,
                                address: from.ip(),
                                open: Vec::new(),
                                asked: false,
                                messages: 0,
                                closing: Closing::No,
                                used_at: now,
                                deadline: Some(due.set(now + MAX_SILENCE, Due::Client(key))),
                            });
                            counters.connections += 1;
                            self.tell(key, Change::Came(from.ip()));
                        }
                        Err(e) => tracing::warn!("a client's connection is of no use: {e}"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if is_shortage(&e) => {
                    if !self.close_idlest(now, names, due, counters, heard) {
                        return false;
                    }
                }
                // Of a connection that ended before it was accepted.
                Err(e) => tracing::debug!("accept: {e}"),
            }
        }
        true
    }

    /// Takes in no more connections.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// A request taken on this connection now has a slot of its own.
    pub fn opened(&mut self, key: Key, id: u32, request: Key) {
        if let Some(client) = self.table.get_mut(key) {
            let open = client.open.iter_mut().find(|(own, _)| *own == id);
            for open in open.into_iter() {
                open.1 = Some(request);
            }
        }
    }

    /// Writes an answer. False: the connection has ended, nobody gets it.
    pub fn answer(&mut self, key: Key, id: u32, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let heeds = |client: &&mut Client| client.closing != Closing::Mute;
        let Some(client) = self.table.get_mut(key).filter(heeds) else {
            return false;
        };
        client.open.retain(|(own, _)| *own != id);
        let before = client.connection.output.len();
        write(client.connection.output.tail());
        self.unsent += client.connection.output.len() - before;
        self.unflushed.push(key);
        true
    }

    /// Whether a connection still takes requests; nothing where it has ended.
    pub fn takes(&self, key: Key) -> Option<bool> {
        self.table
            .get(key)
            .map(|client| client.closing == Closing::No)
    }

    /// Writes all that was answered since the last time, and closes what has ended or reads too
    /// slowly.
    pub fn flush(
        &mut self,
        now: Micros,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        let fair = self.most_unsent / self.table.len().max(1);
        for key in unflushed.drain(..) {
            let Some(client) = self.table.get_mut(key) else {
                continue;
            };
            let before = client.connection.output.len();
            let result = client.connection.flush();
            let left = client.connection.output.len();
            self.unsent = self.unsent.saturating_sub(before - left);
            client.used_at = now;
            if client.closing != Closing::No && client.open.is_empty() && left == 0 {
                client.connection.end_output();
            }
            if result.is_err() {
                self.close(key, due, heard);
            } else if self.unsent > self.most_unsent && left > fair {
                counters.ended.deaf += 1;
                self.tell(key, Change::Ends(CloseReason::NotReading));
                self.mute(key, now, due, heard);
            }
        }
        self.unflushed = unflushed;
    }

    /// Where a connection comes from, as a number.
    pub fn address_of(&self, key: Key) -> u64 {
        match self.table.get(key).map(|client| client.address) {
            Some(IpAddr::V4(address)) => u32::from(address) as u64,
            // A network's part of it: one house has many of the rest.
            Some(IpAddr::V6(address)) => (u128::from(address) >> 64) as u64,
            None => 0,
        }
    }

    /// Where the connections that are open come from.
    pub fn addresses(&self) -> impl Iterator<Item = (Key, IpAddr)> + '_ {
        self.table.iter().map(|(key, client)| (key, client.address))
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }
}
