//! The bulletin: server-sent events with a comment each second.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A bulletin, to which events can be added while it runs.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Bulletin {
    pub fn start() -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let events: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
        let shared = events.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = shared.clone();
                std::thread::spawn(move || {
                    let _ = serve(stream, &events);
                });
            }
        });
        Ok(Bulletin { address, events })
    }

    /// Adds an event.
    pub fn publish(&self, number: u64, data: &str) {
        self.events.lock().unwrap().push((number, data.into()));
    }
}

fn serve(mut stream: TcpStream, events: &Mutex<Vec<(u64, String)>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(());
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let known = head
        .lines()
        .find_map(|line| line.strip_prefix("last-event-id:"));
    let mut last: u64 = known.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")?;
    let mut comment_at = Instant::now() + Duration::from_secs(1);
    loop {
        let news: Vec<(u64, String)> = events
            .lock()
            .unwrap()
            .iter()
            .filter(|(number, _)| *number > last)
            .cloned()
            .collect();
        for (number, data) in news {
            stream.write_all(format!("id: {number}\ndata: {data}\n\n").as_bytes())?;
            last = number;
        }
        if Instant::now() >= comment_at {
            stream.write_all(b": still here\n\n")?;
            comment_at += Duration::from_secs(1);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
