//! Connections of clients: accepts them, reads what they ask, writes what they are answered. Each connection
//! lives in a slot of the table; [`Clients::close`] is the one place where it is given back.

use std::io;
use std::net::{SocketAddr, TcpListener};

use eideryard::interface::Micros;
use eideryard_msgpack_rpc::{decode, write_health, Message};

use crate::connection::{listen, Connection, Filled, Loop, Wake, Watched, MOST_READS};
use crate::counters::Counters;
use crate::requests::{Call, Names};
use crate::table::{Key, Table};

/// Open requests on one connection; the protocol allows 32, so that many more are no client of ours.
const MOST_OPEN: usize = 256;

struct Client {
    connection: Connection,
    /// Requests without an answer yet: the client's id of each, and its slot.
    open: Vec<(u32, Key)>,
    /// Nothing more is read; it closes once what is owed is written.
    closing: bool,
    used_at: Micros,
}

/// What clients said.
pub enum Heard {
    Call {
        client: Key,
        id: u32,
        call: Result<Call, &'static str>,
    },
    Forgotten(Key),
    /// The connection that this was asked on has ended.
    Left(Key),
}

pub struct Clients {
    events: Loop,
    listener: Watched<TcpListener>,
    table: Table<Client>,
    unflushed: Vec<Key>,
    /// Connections at once, and bytes that may wait to be written on all of them.
    most_connections: usize,
    most_unsent: usize,
    unsent: usize,
    /// What the question after this gateway's health is answered.
    pub well: bool,
}

impl Clients {
    pub fn new(events: &Loop, address: SocketAddr, sockets: usize, memory_mb: u64) -> io::Result<Self> {
        Ok(Clients {
            events: events.clone(),
            listener: listen(events, address)?,
            table: Table::new(),
            unflushed: Vec::new(),
            // Clients are promised to hold a third of the descriptors at most; the rest is room for a burst.
            most_connections: (sockets / 2).max(1),
            most_unsent: (memory_mb as usize) << 18,
            unsent: 0,
            well: false,
        })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.file.local_addr()
    }

    /// Takes in all that wait to connect. False: descriptors ran out, so that some still wait.
    pub fn accept(&mut self, now: Micros, counters: &mut Counters) -> bool {
        loop {
            // One more than may be has come in: an idle one goes, or nothing more is taken in for now.
            if self.table.len() > self.most_connections && !self.close_idlest() {
                return false;
            }
            match self.listener.file.accept() {
                Ok((stream, _)) => {
                    let key = self.table.next_key();
                    match Connection::accepted(&self.events, stream, Wake::Client(key)) {
                        Ok(connection) => {
                            let open = Vec::new();
                            self.table.insert(Client { connection, open, closing: false, used_at: now });
                            counters.connections += 1;
                        }
                        Err(e) => log::warn!("a client's connection is of no use: {e}"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => {
                    if !self.close_idlest() {
                        return false;
                    }
                }
                // Of a connection that ended before it was accepted.
                Err(e) => log::debug!("accept: {e}"),
            }
        }
    }

    /// Room for another connection, at the cost of the one that asked for nothing for the longest time.
    fn close_idlest(&mut self) -> bool {
        let idle = self.table.iter().filter(|(_, c)| c.open.is_empty() && c.connection.output.is_empty());
        let Some((key, _)) = idle.min_by_key(|(_, client)| client.used_at) else { return false };
        self.close(key, &mut Vec::new());
        true
    }

    /// Reads what has come. True: there may be more, others first.
    pub fn read(
        &mut self,
        key: Key,
        now: Micros,
        names: &Names,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> bool {
        for _ in 0..MOST_READS {
            let Some(client) = self.table.get_mut(key) else { return false };
            let before = client.connection.input.len();
            let filled = client.connection.fill();
            counters.bytes_in += (client.connection.input.len() - before) as u64;
            match filled {
                Ok(Filled::Some) if client.closing => client.connection.input.clear(),
                Ok(Filled::Some) => {
                    client.used_at = now;
                    if !Self::understand(key, client, self.well, names, counters, heard) {
                        counters.malformed += 1;
                        log::warn!(
                            "a client's connection holds no MessagePack-RPC; it is closed once answered"
                        );
                        client.closing = true;
                        client.connection.input.clear();
                    }
                    self.unflushed.push(key);
                }
                Ok(Filled::Blocked) => {
                    self.unflushed.push(key);
                    return false;
                }
                Ok(Filled::Ended) | Err(_) => {
                    self.close(key, heard);
                    return false;
                }
            }
        }
        true
    }

    /// All whole messages in a connection's buffer. False: what is there can't be read.
    fn understand(
        key: Key,
        client: &mut Client,
        well: bool,
        names: &Names,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> bool {
        let Connection { input, output, .. } = &mut client.connection;
        let (bytes, mut used) = (input.filled(), 0);
        let understood = loop {
            let (message, length) = match decode(&bytes[used..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break true,
                Err(_) => break false,
            };
            used += length;
            let (id, call) = match message {
                Message::Call { id, method, fields, body } => (id, Call::read(names, method, &fields, body)),
                Message::Ask { id, method: "isWell", .. } => {
                    counters.health_asked += 1;
                    write_health(output.tail(), id, well);
                    continue;
                }
                Message::Ask { id, .. } | Message::Unusable { id } => (id, Err("parameters")),
                Message::Forget { ids } => {
                    for id in ids {
                        if let Some(at) = client.open.iter().position(|(own, _)| *own == id) {
                            heard.push(Heard::Forgotten(client.open.swap_remove(at).1));
                        }
                    }
                    continue;
                }
                Message::Other => continue,
            };
            // Two open requests of one id could not be answered apart.
            let twice = client.open.iter().any(|(own, _)| *own == id)
                || heard.iter().any(
                    |h| matches!(h, Heard::Call { client, id: own, .. } if *client == key && *own == id),
                );
            if twice || client.open.len() >= MOST_OPEN {
                break false;
            }
            heard.push(Heard::Call { client: key, id, call });
        };
        input.consume(used);
        understood
    }

    /// A request taken on this connection now has a slot of its own.
    pub fn opened(&mut self, key: Key, id: u32, request: Key) {
        if let Some(client) = self.table.get_mut(key) {
            client.open.push((id, request));
        }
    }

    /// Writes an answer. False: the connection has ended, nobody gets it.
    pub fn answer(&mut self, key: Key, id: u32, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(client) = self.table.get_mut(key) else { return false };
        client.open.retain(|(own, _)| *own != id);
        let before = client.connection.output.len();
        write(client.connection.output.tail());
        self.unsent += client.connection.output.len() - before;
        self.unflushed.push(key);
        true
    }

    /// Writes all that was answered since the last time, and closes what has ended or reads too slowly.
    pub fn flush(&mut self, now: Micros, heard: &mut Vec<Heard>) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        let fair = self.most_unsent / self.table.len().max(1);
        for key in unflushed.drain(..) {
            let Some(client) = self.table.get_mut(key) else { continue };
            let before = client.connection.output.len();
            let result = client.connection.flush();
            let left = client.connection.output.len();
            self.unsent = self.unsent.saturating_sub(before - left);
            client.used_at = now;
            let done = client.closing && client.open.is_empty() && left == 0;
            let hoards = self.unsent > self.most_unsent && left > fair;
            if hoards {
                log::warn!(
                    "a client's connection is closed: {left} bytes of answers wait that it doesn't read"
                );
            }
            if result.is_err() || done || hoards {
                self.close(key, heard);
            }
        }
        self.unflushed = unflushed;
    }

    /// The one place that gives a client's connection back.
    fn close(&mut self, key: Key, heard: &mut Vec<Heard>) {
        let Some(client) = self.table.remove(key) else { return };
        self.unsent = self.unsent.saturating_sub(client.connection.output.len());
        heard.extend(client.open.into_iter().map(|(_, request)| Heard::Left(request)));
    }

    /// Whether all that was answered is written.
    pub fn is_written(&self) -> bool {
        self.table.iter().all(|(_, client)| client.connection.output.is_empty())
    }
}

const EMFILE: i32 = rustix::io::Errno::MFILE.raw_os_error();
const ENFILE: i32 = rustix::io::Errno::NFILE.raw_os_error();
