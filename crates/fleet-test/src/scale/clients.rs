//! Clients of real gateways: each sends requests at a rate and waits for every answer.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eideryard_emulators::ledger::Answers;
use eideryard_emulators::scripted::{Answer, Client};

const QUERY: &[u8] = b"SELECT * FROM sales_17.orders";
/// Number of clients of one gateway. An answer takes some milliseconds, for which a client waits.
pub const CLIENTS_A_GATEWAY: usize = 5;
/// Bits of a request number that count the requests of one client; the client's number is above
/// them. No two requests of a run have the same id or key.
const REQUEST_BITS: u32 = 32;
static NEXT_CLIENT: AtomicU64 = AtomicU64::new(1);

/// Kind of the requests that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A report, which may be repeated.
    Safe,
    /// A booking, each with its own idempotency key.
    Keyed,
}

impl RequestKind {
    fn class(self) -> &'static str {
        match self {
            RequestKind::Safe => "report",
            RequestKind::Keyed => "booking",
        }
    }
}

/// One client that sends requests at a rate and waits for each answer.
pub struct Driver {
    client: Client,
    kind: RequestKind,
    next_number: u64,
    /// Answers received so far, counted by kind.
    pub answers: Answers,
}

impl Driver {
    /// Connects [`CLIENTS_A_GATEWAY`] clients to one gateway.
    pub fn connect(address: SocketAddr, kind: RequestKind) -> io::Result<Vec<Self>> {
        let connect = |_| {
            let next_number = NEXT_CLIENT.fetch_add(1, Ordering::Relaxed) << REQUEST_BITS;
            Ok(Driver {
                client: Client::connect(address)?,
                kind,
                next_number,
                answers: Answers::default(),
            })
        };
        (0..CLIENTS_A_GATEWAY).map(connect).collect()
    }

    /// Lets each client send `count` requests, all clients of a gateway together at `rate` requests
    /// per second.
    pub fn drive(drivers: Vec<Driver>, count: usize, rate: f64) -> io::Result<Vec<Driver>> {
        let client_rate = rate / CLIENTS_A_GATEWAY as f64;
        let start = |driver: Driver| std::thread::spawn(move || driver.run(count, client_rate));
        let threads: Vec<JoinHandle<Driver>> = drivers.into_iter().map(start).collect();
        let join = |thread: JoinHandle<Driver>| {
            thread
                .join()
                .map_err(|_| io::Error::other("a client panicked"))
        };
        threads.into_iter().map(join).collect()
    }

    fn run(mut self, count: usize, rate: f64) -> Self {
        let mut at = Instant::now();
        for _ in 0..count {
            at += Duration::from_secs_f64(1.0 / rate);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.answers.asked += 1;
            match self.send_request() {
                Ok(Answer::Result { .. } | Answer::Part { .. }) => self.answers.served += 1,
                Ok(_) => self.answers.refused += 1,
                Err(_) => self.answers.lost += 1,
            }
        }
        self
    }

    fn send_request(&mut self) -> io::Result<Answer> {
        self.next_number += 1;
        let id = format!("{:016x}", self.next_number);
        let key = format!("{:032x}", self.next_number);
        let mut fields = vec![
            ("i", id.as_str()),
            ("d", "4000"),
            ("t", "acme"),
            ("h", "1.0"),
            ("ram", "1"),
        ];
        if self.kind == RequestKind::Keyed {
            fields.push(("k", key.as_str()));
        }
        self.client.call(
            self.next_number & u64::from(u32::MAX),
            self.kind.class(),
            &fields,
            QUERY,
        )?;
        self.client.answer()
    }
}
