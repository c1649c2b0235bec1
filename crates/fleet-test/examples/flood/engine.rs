//! An engine that answers each query after a fixed time, many at once, and forgets cancelled ones.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::departures::Departures;

const WORK_TIME: Duration = Duration::from_millis(60);
const ANSWER_INTERVAL: Duration = Duration::from_millis(1);
const PAGE: &str = "a\tb\tc\n";

/// The queries that run on one connection, each with the time at which it ends.
type Running = Arc<Mutex<BTreeMap<String, Instant>>>;

/// A listening engine; its threads end with the process.
pub struct Engine {
    address: SocketAddr,
}

impl Engine {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(stream);
            }
        });
        Engine { address }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn serve(stream: TcpStream) {
    let running = Running::default();
    let output = stream.try_clone().expect("a second handle");
    let _ = output.set_nodelay(true);
    let answered = running.clone();
    std::thread::spawn(move || answer_ended(output, &answered));
    std::thread::spawn(move || read_commands(stream, &running));
}

fn read_commands(stream: TcpStream, running: &Running) {
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    while input.read_line(&mut line).is_ok_and(|length| length > 0) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["serve", id, _, length] => {
                let length: usize = length.parse().expect("a length");
                let mut statement = vec![0; length + 2];
                if input.read_exact(&mut statement).is_err() {
                    break;
                }
                Departures::lock().record_send(id);
                let ends_at = Instant::now() + WORK_TIME;
                running.lock().expect("no panic").insert(id.into(), ends_at);
            }
            ["cancel", id] => {
                running.lock().expect("no panic").remove(id);
            }
            _ => {}
        }
        line.clear();
    }
}

fn answer_ended(mut output: TcpStream, running: &Running) {
    loop {
        std::thread::sleep(ANSWER_INTERVAL);
        let now = Instant::now();
        let mut text = String::new();
        running.lock().expect("no panic").retain(|id, ends_at| {
            let has_ended = *ends_at <= now;
            if has_ended {
                text += &format!(
                    "{id} OK count=1,ticks=60,footprint=20 {}\r\n{PAGE}\r\n",
                    PAGE.len()
                );
            }
            !has_ended
        });
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
