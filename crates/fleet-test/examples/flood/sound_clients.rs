//! Clients that keep to the protocol, and what they are answered.

use std::collections::HashMap;
use std::fmt;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eideryard_emulators::scripted::{call, read_answer, Answer};

const CLIENTS: u64 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// How long a client waits for an answer, as it tells the gateway.
const WAIT: Duration = Duration::from_millis(1_200);
/// An answer that comes later than this after the wait counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// What all clients together were answered.
#[derive(Clone, Copy, Default)]
pub struct Summary {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    late: u64,
    lost: u64,
    longest: Duration,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent, {} served, {} refused, {} failed, {} answered late, {} lost, longest {} ms",
            self.sent,
            self.served,
            self.refused,
            self.failed,
            self.late,
            self.lost,
            self.longest.as_millis()
        )
    }
}

/// Clients that send requests at a steady rate until [`SoundClients::finish`].
pub struct SoundClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Summary>>,
}

impl SoundClients {
    pub fn start(gateway: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |client| {
            let stop = stop.clone();
            std::thread::spawn(move || run_client(gateway, client, &stop))
        };
        SoundClients {
            threads: (0..CLIENTS).map(start).collect(),
            stop,
        }
    }

    /// Stops the clients once their open requests are answered or lost.
    pub fn finish(self) -> Summary {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Summary::default();
        for thread in self.threads {
            let one = thread.join().expect("no panic");
            all.sent += one.sent;
            all.served += one.served;
            all.refused += one.refused;
            all.failed += one.failed;
            all.late += one.late;
            all.lost += one.lost;
            all.longest = all.longest.max(one.longest);
        }
        all
    }
}

/// The open requests of a connection with the times at which they were sent, and what has been
/// answered.
#[derive(Default)]
struct Progress {
    open: HashMap<u64, Instant>,
    summary: Summary,
}

fn run_client(gateway: SocketAddr, client: u64, stop: &AtomicBool) -> Summary {
    let mut output = TcpStream::connect(gateway).expect("the gateway accepts");
    output.set_nodelay(true).expect("a socket");
    let input = output.try_clone().expect("a second handle");
    let progress = Arc::new(Mutex::new(Progress::default()));
    let read = progress.clone();
    std::thread::spawn(move || read_answers(input, &read));
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{:016x}", client << 32 | number);
        let wait = WAIT.as_millis().to_string();
        let fields = [
            ("i", &*id),
            ("d", &wait),
            ("t", "acme"),
            ("h", "60"),
            ("ram", "20"),
        ];
        let message = call(number, "report", &fields, b"SELECT * FROM sales_17.orders");
        {
            let mut progress = progress.lock().expect("no panic");
            progress.open.insert(number, Instant::now());
            progress.summary.sent += 1;
        }
        if output.write_all(&message).is_err() {
            break;
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    std::thread::sleep(WAIT + LOST_AFTER);
    let progress = progress.lock().expect("no panic");
    let mut summary = progress.summary;
    summary.lost += progress.open.len() as u64;
    summary
}

fn read_answers(input: TcpStream, progress: &Mutex<Progress>) {
    let mut input = BufReader::new(input);
    while let Ok(answer) = read_answer(&mut input) {
        let mut progress = progress.lock().expect("no panic");
        let id = match &answer {
            Answer::Result { id, .. } | Answer::Error { id, .. } => *id,
            _ => continue,
        };
        let Some(sent_at) = progress.open.remove(&id) else {
            continue;
        };
        let took = sent_at.elapsed();
        let summary = &mut progress.summary;
        summary.longest = summary.longest.max(took);
        summary.late += u64::from(took > WAIT);
        summary.lost += u64::from(took > WAIT + LOST_AFTER);
        match answer {
            Answer::Error { word, .. } if word == "TryLater" => summary.refused += 1,
            Answer::Error { .. } => summary.failed += 1,
            _ => summary.served += 1,
        }
    }
}
