//! Clients of real gateways: each asks at a rate and waits for every answer.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eideryard_emulators::ledger::Answers;
use eideryard_emulators::scripted::{Answer, Client};

const QUERY: &[u8] = b"SELECT * FROM sales_17.orders";
/// Clients that ask one gateway: an answer takes some milliseconds, and each client waits for it.
pub const CLIENTS_A_GATEWAY: usize = 5;
/// Requests of one client are numbered in so many bits below the client's own number, so that no
/// two requests of a run have one name or key.
const REQUEST_BITS: u32 = 32;
static NEXT_CLIENT: AtomicU64 = AtomicU64::new(1);

/// What requests ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asks {
    /// A report, which may be repeated.
    Safe,
    /// A booking with a key of its own.
    Keyed,
}

impl Asks {
    fn class(self) -> &'static str {
        match self {
            Asks::Safe => "report",
            Asks::Keyed => "booking",
        }
    }
}

/// One client that asks at a rate and waits for each answer.
pub struct Driver {
    client: Client,
    asks: Asks,
    next: u64,
    /// What it was answered so far.
    pub answers: Answers,
}

impl Driver {
    /// Connects the clients of one gateway.
    pub fn connect(address: SocketAddr, asks: Asks) -> io::Result<Vec<Self>> {
        let one = |_| {
            let next = NEXT_CLIENT.fetch_add(1, Ordering::Relaxed) << REQUEST_BITS;
            Ok(Driver {
                client: Client::connect(address)?,
                asks,
                next,
                answers: Answers::default(),
            })
        };
        (0..CLIENTS_A_GATEWAY).map(one).collect()
    }

    /// Each client asks so often, all of a gateway together at the rate.
    pub fn drive(drivers: Vec<Driver>, count: usize, rate: f64) -> io::Result<Vec<Driver>> {
        let own_rate = rate / CLIENTS_A_GATEWAY as f64;
        let start = |driver: Driver| std::thread::spawn(move || driver.run(count, own_rate));
        let threads: Vec<JoinHandle<Driver>> = drivers.into_iter().map(start).collect();
        let ended = |thread: JoinHandle<Driver>| {
            thread
                .join()
                .map_err(|_| io::Error::other("a client panicked"))
        };
        threads.into_iter().map(ended).collect()
    }

    fn run(mut self, count: usize, rate: f64) -> Self {
        let mut at = Instant::now();
        for _ in 0..count {
            at += Duration::from_secs_f64(1.0 / rate);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.answers.asked += 1;
            match self.ask() {
                Ok(Answer::Result { .. } | Answer::Part { .. }) => self.answers.served += 1,
                Ok(_) => self.answers.refused += 1,
                Err(_) => self.answers.lost += 1,
            }
        }
        self
    }

    fn ask(&mut self) -> io::Result<Answer> {
        self.next += 1;
        let id = format!("{:016x}", self.next);
        let key = format!("{:032x}", self.next);
        let mut fields = vec![
            ("i", id.as_str()),
            ("d", "4000"),
            ("t", "acme"),
            ("h", "1.0"),
            ("ram", "1"),
        ];
        if self.asks == Asks::Keyed {
            fields.push(("k", key.as_str()));
        }
        self.client.call(
            self.next & u64::from(u32::MAX),
            self.asks.class(),
            &fields,
            QUERY,
        )?;
        self.client.answer()
    }
}
