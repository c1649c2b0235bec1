//! The floods: what bad clients send, on how many connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use eideryard_emulators::scripted::{call, forget};

use crate::departures::Departures;

const STATEMENT: &[u8] = b"SELECT * FROM sales_17.orders";
/// Messages that are written at once by clients that send at full speed.
const MESSAGES_PER_WRITE: u64 = 512;
const FULL_SPEED_CONNECTIONS: u64 = 8;
const SLOW_CONNECTIONS: u64 = 300;
/// Pause between the bytes or pieces of a slow client.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of a large request that are written before the client stops.
const HALF_REQUEST_BYTES: usize = 500 << 10;
/// Number of short fields in the head of a request.
const SHORT_FIELDS: usize = 1_900;
/// The names of bad clients have this bit, those of sound clients have not.
const BAD_NAMES: u64 = 1 << 60;
/// Number of batches of a client that sends much and leaves.
const LARGE_BATCHES: u64 = 40;
/// Pause of a client before it connects again after the gateway has closed its connection.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);

/// A kind of flood.
pub struct Flood {
    pub name: &'static str,
    connections: u64,
    send: fn(&mut BadClient) -> std::io::Result<()>,
}

/// All kinds of floods.
pub const FLOODS: [Flood; 12] = [
    Flood::new("none", 0, BadClient::send_without_id),
    Flood::new("no-id", FULL_SPEED_CONNECTIONS, BadClient::send_without_id),
    Flood::new("one-no-id", 1, BadClient::send_without_id),
    Flood::new(
        "taken-back",
        FULL_SPEED_CONNECTIONS,
        BadClient::send_and_take_back,
    ),
    Flood::new(
        "new-classes",
        FULL_SPEED_CONNECTIONS,
        BadClient::send_new_class,
    ),
    Flood::new(
        "taken-back-later",
        FULL_SPEED_CONNECTIONS,
        BadClient::send_and_take_back_later,
    ),
    Flood::new(
        "leave",
        FULL_SPEED_CONNECTIONS,
        BadClient::send_some_and_leave,
    ),
    Flood::new(
        "leave-much",
        FULL_SPEED_CONNECTIONS,
        BadClient::send_much_and_leave,
    ),
    Flood::new("come-again", FULL_SPEED_CONNECTIONS, BadClient::come_again),
    Flood::new("slow", SLOW_CONNECTIONS, BadClient::send_slowly),
    Flood::new("half", SLOW_CONNECTIONS, BadClient::send_half),
    Flood::new("many-fields", SLOW_CONNECTIONS, BadClient::send_many_fields),
];

/// The clients of a flood.
pub struct BadClients {
    messages: Arc<AtomicU64>,
}

impl Drop for BadClient {
    fn drop(&mut self) {
        // The thread that reads has a handle of its own, which would keep the connection open.
        let _ = self.output.shutdown(Shutdown::Both);
    }
}

impl BadClients {
    /// Returns the number of messages that were written so far.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }
}

impl Flood {
    const fn new(
        name: &'static str,
        connections: u64,
        send: fn(&mut BadClient) -> std::io::Result<()>,
    ) -> Self {
        Flood {
            name,
            connections,
            send,
        }
    }

    /// Starts the clients of this flood. They end once `stop` is set.
    pub fn start(&self, gateway: SocketAddr, stop: &Arc<AtomicBool>) -> BadClients {
        let messages = Arc::new(AtomicU64::new(0));
        for number in 0..self.connections {
            let send = self.send;
            let stop = stop.clone();
            let messages = messages.clone();
            std::thread::spawn(move || {
                let mut name = BAD_NAMES | number << 40;
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(mut client) = BadClient::connect(gateway, name, &messages) {
                        while !stop.load(Ordering::Relaxed) && send(&mut client).is_ok() {}
                        name = client.next_name;
                    }
                    std::thread::sleep(RECONNECT_INTERVAL);
                }
            });
        }
        BadClients { messages }
    }
}

/// One connection of a bad client. Everything that it is answered is read and dropped.
pub struct BadClient {
    output: TcpStream,
    /// The next message ID, and part of the next name.
    next_id: u64,
    next_name: u64,
    messages: Arc<AtomicU64>,
}

impl BadClient {
    fn connect(
        gateway: SocketAddr,
        next_name: u64,
        messages: &Arc<AtomicU64>,
    ) -> std::io::Result<Self> {
        let output = TcpStream::connect(gateway)?;
        output.set_nodelay(true)?;
        let mut input = output.try_clone()?;
        std::thread::spawn(move || {
            let mut dropped = [0; 1 << 16];
            while input.read(&mut dropped).is_ok_and(|length| length > 0) {}
        });
        Ok(BadClient {
            output,
            next_id: 0,
            next_name,
            messages: messages.clone(),
        })
    }

    /// Writes many messages at once; `message` appends one with this ID and name.
    fn send_batch(&mut self, message: impl Fn(u64, u64) -> Vec<u8>) -> std::io::Result<()> {
        let mut batch = Vec::new();
        for _ in 0..MESSAGES_PER_WRITE {
            self.next_id = (self.next_id + 1) % u64::from(u32::MAX);
            self.next_name += 1;
            batch.extend(message(self.next_id, self.next_name));
        }
        self.output.write_all(&batch)?;
        self.messages
            .fetch_add(MESSAGES_PER_WRITE, Ordering::Relaxed);
        Ok(())
    }

    fn send_without_id(&mut self) -> std::io::Result<()> {
        self.send_batch(|id, _| call(id, "report", &[], b"x"))
    }

    fn send_and_take_back(&mut self) -> std::io::Result<()> {
        self.send_batch(|id, name| [valid_request(id, name), forget(id)].concat())
    }

    fn send_and_take_back_later(&mut self) -> std::io::Result<()> {
        let first = self.next_id + 1;
        self.send_batch(valid_request)?;
        let forgets = (first..=self.next_id).flat_map(forget).collect::<Vec<u8>>();
        self.output.write_all(&forgets)
    }

    fn send_some_and_leave(&mut self) -> std::io::Result<()> {
        self.send_and_leave(1)
    }

    fn send_much_and_leave(&mut self) -> std::io::Result<()> {
        self.send_and_leave(LARGE_BATCHES)
    }

    /// Writes valid requests and closes the connection without reading an answer.
    fn send_and_leave(&mut self, batches: u64) -> std::io::Result<()> {
        let first = self.next_name + 1;
        for _ in 0..batches {
            self.send_batch(valid_request)?;
        }
        self.output.shutdown(Shutdown::Both)?;
        Departures::lock().record_departure(first..=self.next_name);
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }

    /// Writes one request, leaves, and comes again with the same request.
    fn come_again(&mut self) -> std::io::Result<()> {
        self.next_name += 1;
        let request = valid_request(1, self.next_name);
        self.output.write_all(&request)?;
        std::thread::sleep(RECONNECT_INTERVAL);
        let mut again = TcpStream::connect(self.output.peer_addr()?)?;
        self.output.shutdown(Shutdown::Both)?;
        again.write_all(&request)?;
        std::thread::sleep(SLOW_INTERVAL);
        self.messages.fetch_add(2, Ordering::Relaxed);
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }

    fn send_new_class(&mut self) -> std::io::Result<()> {
        self.send_batch(|id, name| {
            let class = format!("class-{name:x}");
            let name = format!("{name:016x}");
            let fields = [("i", &*name), ("d", "1000"), ("t", "acme")];
            call(id, &class, &fields, b"x")
        })
    }

    /// Writes a large request byte by byte.
    fn send_slowly(&mut self) -> std::io::Result<()> {
        for byte in large_request(self.next_name) {
            self.output.write_all(&[byte])?;
            std::thread::sleep(SLOW_INTERVAL);
        }
        Ok(())
    }

    /// Writes a part of a large request and waits until the gateway ends the connection.
    fn send_half(&mut self) -> std::io::Result<()> {
        self.next_name += 1;
        let request = large_request(self.next_name);
        self.output.write_all(&request[..HALF_REQUEST_BYTES])?;
        self.messages.fetch_add(1, Ordering::Relaxed);
        loop {
            std::thread::sleep(SLOW_INTERVAL);
            if self.output.write_all(b" ").is_err() {
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
        }
    }

    /// Writes the head of a request with very many short fields, without its end, and a byte now
    /// and then.
    fn send_many_fields(&mut self) -> std::io::Result<()> {
        let names: Vec<String> = (0..SHORT_FIELDS).map(|name| format!("{name:x}")).collect();
        let fields: Vec<(&str, &str)> = names.iter().map(|name| (&**name, "")).collect();
        let mut request = call(1, "report", &fields, &vec![b' '; 4_000]);
        request.truncate(request.len() - 4_000);
        self.output.write_all(&request)?;
        self.messages.fetch_add(1, Ordering::Relaxed);
        for _ in 0..2_000 {
            std::thread::sleep(SLOW_INTERVAL);
            self.output.write_all(b" ")?;
        }
        Ok(())
    }
}

fn valid_request(id: u64, name: u64) -> Vec<u8> {
    let name = format!("{name:016x}");
    let fields = [("i", &*name), ("d", "1000"), ("t", "acme"), ("h", "60")];
    call(id, "report", &fields, STATEMENT)
}

fn large_request(name: u64) -> Vec<u8> {
    let name = format!("{name:016x}");
    let fields = [("i", &*name), ("d", "1000"), ("t", "acme")];
    call(1, "report", &fields, &vec![b' '; 1_000_000])
}
