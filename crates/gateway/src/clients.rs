//! Connections of clients: accepts them, reads what they ask, writes what they are answered. Each connection
//! lives in a slot of the table; [`Clients::close`] is the one place where it is given back.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};

use eideryard::interface::Micros;
use eideryard_msgpack_rpc::{decode, write_health, Message};
use eideryard_record::Why;

use crate::connection::{is_shortage, listen, Connection, Filled, Loop, Wake, Watched, MOST_READS};
use crate::counters::Counters;
use crate::deadlines::{DeadlineKey, Deadlines, Due};
use crate::requests::{Call, Names};
use crate::table::{Key, Table};

/// Open requests on one connection, as the protocol allows.
const MOST_OPEN: usize = 32;
/// Time for the first request of a connection to come, and for the rest of a message that has begun. Clients
/// are owed a word or a close within 3 s of connecting. This guards against connections that say nothing or
/// stop half way; whoever has asked may stay for good.
const MOST_SILENCE: Micros = 2_000_000;
/// Usual clients ask within this time of connecting.
const FIRST_WORD: Micros = 200_000;
/// How long a connection that gets no more from here is still read, so that its end doesn't overtake the last
/// answers.
const LINGER: Micros = 500_000;

struct Client {
    connection: Connection,
    address: IpAddr,
    /// Requests without an answer yet: the client's number of each, and its slot once it has one.
    open: Vec<(u32, Option<Key>)>,
    /// It has asked for something that is owed an answer.
    asked: bool,
    /// What it says is passed over; it closes once all is written and its other end has closed.
    closing: bool,
    used_at: Micros,
    /// Until it must have asked, finished its message, or closed.
    deadline: Option<DeadlineKey>,
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
    Ends(Why),
    Gone,
}

impl Heard {
    fn is_call(&self, of: Key, number: u32) -> bool {
        matches!(self, Heard::Call { client, id, .. } if (*client, *id) == (of, number))
    }
}

pub struct Clients {
    events: Loop,
    listener: Watched<TcpListener>,
    table: Table<Client>,
    unflushed: Vec<Key>,
    /// Connections at once, and bytes that may wait on all of them: to be written, and of messages that are
    /// not whole.
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
            listener: listen(events, address)?,
            table: Table::new(),
            unflushed: Vec::new(),
            // Clients are promised to hold a third of the descriptors at most; the rest is room for a burst.
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
        self.listener.file.local_addr()
    }

    /// Takes in all that wait to connect. False: descriptors ran out, so that some still wait.
    pub fn accept(&mut self, now: Micros, due: &mut Deadlines, counters: &mut Counters) -> bool {
        loop {
            // One more than may be has come in: an idle one goes, or nothing more is taken in for now.
            if self.table.len() > self.most_connections && !self.close_idlest(now, due, counters) {
                return false;
            }
            match self.listener.file.accept() {
                Ok((stream, from)) => {
                    let key = self.table.next_key();
                    match Connection::accepted(&self.events, stream, Wake::Client(key)) {
                        Ok(connection) => {
                            self.table.insert(Client {
                                connection,
                                address: from.ip(),
                                open: Vec::new(),
                                asked: false,
                                closing: false,
                                used_at: now,
                                deadline: Some(due.set(now + MOST_SILENCE, Due::Client(key))),
                            });
                            counters.connections += 1;
                            self.tell(key, Change::Came(from.ip()));
                        }
                        Err(e) => tracing::warn!("a client's connection is of no use: {e}"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if is_shortage(&e) => {
                    if !self.close_idlest(now, due, counters) {
                        return false;
                    }
                }
                // Of a connection that ended before it was accepted.
                Err(e) => tracing::debug!("accept: {e}"),
            }
        }
    }

    /// Room for another connection, at the cost of the one that asked for nothing for the longest time; first
    /// go those that never asked though they had the time to.
    fn close_idlest(&mut self, now: Micros, due: &mut Deadlines, counters: &mut Counters) -> bool {
        let idle = self.table.iter().filter(|(_, c)| c.open.is_empty() && c.connection.output.is_empty());
        let order = |c: &Client| (c.asked || now - c.used_at < FIRST_WORD, c.used_at);
        let Some((key, _)) = idle.min_by_key(|(_, client)| order(client)) else { return false };
        counters.ended.evicted += 1;
        self.tell(key, Change::Ends(Why::Evicted));
        self.close(key, due, &mut Vec::new());
        true
    }

    /// It was silent for too long, or has had the time to take its last answers.
    pub fn client_due(
        &mut self,
        key: Key,
        now: Micros,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) {
        let Some(client) = self.table.get_mut(key) else { return };
        client.deadline = None;
        if client.closing {
            self.close(key, due, heard);
        } else {
            counters.ended.silent += 1;
            self.tell(key, Change::Ends(Why::Silent));
            self.spoil(key, now, due, heard);
        }
    }

    /// Nothing more is taken from a connection: what is open on it ends now, and what it says is passed over.
    fn spoil(&mut self, key: Key, now: Micros, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let Some(client) = self.table.get_mut(key) else { return };
        client.closing = true;
        self.unread -= client.connection.input.len();
        client.connection.input.clear();
        due.renew(&mut client.deadline, now + LINGER, Due::Client(key));
        // What has no slot yet gets an error anyway, as it is no more taken from here.
        heard.extend(client.open.iter().filter_map(|(_, request)| request.map(Heard::Spoilt)));
        self.unflushed.push(key);
    }

    /// Reads what has come. True: there may be more, others first.
    pub fn read(
        &mut self,
        key: Key,
        now: Micros,
        names: &Names,
        due: &mut Deadlines,
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
                    let came = client.connection.input.len();
                    let understood =
                        Self::understand(key, client, (self.well, self.pages), names, counters, heard);
                    let left = client.connection.input.len();
                    // Each message has its own time, from when it begins; the first request has it from the
                    // start of the connection.
                    if client.asked && left < came {
                        due.take_back(client.deadline.take());
                    }
                    if client.deadline.is_none() && left > 0 {
                        client.deadline = Some(due.set(now + MOST_SILENCE, Due::Client(key)));
                    }
                    self.unread = self.unread + left - before;
                    let hoards = self.unread > self.most_unread && left > self.most_unread / self.table.len();
                    if !understood || hoards {
                        counters.ended.malformed += !understood as u64;
                        counters.ended.hoarding += (understood && hoards) as u64;
                        self.tell(key, Change::Ends(if understood { Why::Hoarding } else { Why::Malformed }));
                        self.spoil(key, now, due, heard);
                    }
                    self.unflushed.push(key);
                }
                Ok(Filled::Blocked) => {
                    self.unflushed.push(key);
                    return false;
                }
                Ok(Filled::Ended) | Err(_) => {
                    self.close(key, due, heard);
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
        (well, pages): (bool, bool),
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
                    client.asked = true;
                    write_health(output.tail(), id, well);
                    continue;
                }
                Message::Ask { id, method: method @ ("page" | "again" | "release"), fields } if pages => {
                    let field = |name| {
                        fields.iter().find(|(own, _)| *own == name).map(|(_, value)| value.to_string())
                    };
                    client.asked = true;
                    if client.open.iter().any(|(own, _)| *own == id) || client.open.len() >= MOST_OPEN {
                        break false;
                    }
                    let (token, name) = (field("token").unwrap_or_default(), field("i").unwrap_or_default());
                    let what = match method {
                        "page" => Asked::Page { token, id: name },
                        "again" => Asked::Again { id: name },
                        _ => Asked::Release { token, id: name },
                    };
                    client.open.push((id, None));
                    heard.push(Heard::Asked { client: key, id, what });
                    continue;
                }
                Message::Ask { id, .. } | Message::Unusable { id } => (id, Err("parameters")),
                Message::Forget { ids } => {
                    for id in ids {
                        let Some(at) = client.open.iter().position(|(own, _)| *own == id) else { continue };
                        match client.open.swap_remove(at).1 {
                            Some(request) => heard.push(Heard::Forgotten(request)),
                            // It has only just come, so it isn't taken at all.
                            None => heard.retain(|h| !h.is_call(key, id)),
                        }
                    }
                    continue;
                }
                Message::Other => continue,
            };
            client.asked = true;
            // Two open requests of one number could not be answered apart.
            if client.open.iter().any(|(own, _)| *own == id) {
                break false;
            }
            let call = if client.open.len() < MOST_OPEN { call } else { Err("one of too many") };
            client.open.push((id, None));
            heard.push(Heard::Call { client: key, id, call });
        };
        input.consume(used);
        understood
    }

    /// A request taken on this connection now has a slot of its own.
    pub fn opened(&mut self, key: Key, id: u32, request: Key) {
        if let Some(client) = self.table.get_mut(key) {
            let open = client.open.iter_mut().find(|(own, _)| *own == id);
            open.into_iter().for_each(|open| open.1 = Some(request));
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

    /// Whether a connection still takes requests; nothing where it has ended.
    pub fn takes(&self, key: Key) -> Option<bool> {
        self.table.get(key).map(|client| !client.closing)
    }

    /// Writes all that was answered since the last time, and closes what has ended or reads too slowly.
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
            let Some(client) = self.table.get_mut(key) else { continue };
            let before = client.connection.output.len();
            let result = client.connection.flush();
            let left = client.connection.output.len();
            self.unsent = self.unsent.saturating_sub(before - left);
            client.used_at = now;
            if client.closing && client.open.is_empty() && left == 0 {
                client.connection.end_output();
            }
            let deaf = self.unsent > self.most_unsent && left > fair;
            counters.ended.deaf += deaf as u64;
            if deaf {
                self.tell(key, Change::Ends(Why::Deaf));
            }
            if result.is_err() || deaf {
                self.close(key, due, heard);
            }
        }
        self.unflushed = unflushed;
    }

    /// The one place that gives a client's connection back.
    fn close(&mut self, key: Key, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let Some(client) = self.table.remove(key) else { return };
        self.tell(key, Change::Gone);
        due.take_back(client.deadline);
        self.unsent = self.unsent.saturating_sub(client.connection.output.len());
        self.unread -= client.connection.input.len();
        heard.extend(client.open.into_iter().filter_map(|(_, request)| request.map(Heard::Left)));
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

    /// Whether all that was answered is written.
    pub fn is_written(&self) -> bool {
        self.table.iter().all(|(_, client)| client.connection.output.is_empty())
    }
}
