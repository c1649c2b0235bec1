//! An engine: reads commands and passes each `serve` to the case's own handler in a thread.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::record::Record;

/// A request that came whole.
#[derive(Clone, Debug)]
pub struct Serve {
    pub id: String,
    pub fields: Vec<(String, String)>,
    pub statement: String,
}

impl Serve {
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(other, _)| other == name);
        field.map(|(_, value)| value.as_str())
    }
}

/// The connection on which a request came.
#[derive(Clone)]
pub struct Reply {
    stream: Arc<Mutex<TcpStream>>,
    cancelled: Arc<Mutex<HashSet<String>>>,
    is_closed: Arc<AtomicBool>,
    id: String,
    engine: Engine,
}

impl Reply {
    /// Writes an answer under the request's id. Returns whether it was written.
    pub fn answer(&self, word: &str, fields: &str, payload: &str) -> bool {
        let id = &self.id;
        let text = format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len());
        self.stream
            .lock()
            .unwrap()
            .write_all(text.as_bytes())
            .is_ok()
    }

    /// Whether the gateway has given the request up, by `cancel` or by closing the connection.
    pub fn is_given_up(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst) || self.cancelled.lock().unwrap().contains(&self.id)
    }

    /// Ends the connection.
    pub fn break_off(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }

    pub fn engine(&self) -> &Engine {
        &self.engine
    }
}

/// The handler of requests.
pub type Handler = Arc<dyn Fn(Serve, Reply) + Send + Sync>;

/// An engine. Clones are the same engine.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub block: u32,
    pub address: SocketAddr,
    is_dead: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    pub fn start(
        name: &str,
        zone: &str,
        kind: &str,
        block: u32,
        record: &Record,
        handler: Handler,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let engine = Engine {
            name: name.into(),
            zone: zone.into(),
            kind: kind.into(),
            block,
            address: listener.local_addr().map_err(|e| e.to_string())?,
            is_dead: Arc::default(),
            streams: Arc::default(),
        };
        let (accepting, record) = (engine.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_dead.load(Ordering::SeqCst) {
                    // The process is gone: its port refuses connections from now on.
                    return;
                }
                let (engine, handler, record) =
                    (accepting.clone(), handler.clone(), record.clone());
                std::thread::spawn(move || read_commands(stream, &engine, &handler, &record));
            }
        });
        Ok(engine)
    }

    /// The entry in the list of engines.
    pub fn host(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{health}","share":1,"born_ms":0}}"#,
            self.name, self.address, self.zone, self.kind, self.block
        )
    }

    /// The process dies: its connections end, and new ones are refused.
    pub fn die(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }
}

fn read_commands(stream: TcpStream, engine: &Engine, handler: &Handler, record: &Record) {
    let _ = stream.set_nodelay(true);
    if let Ok(copy) = stream.try_clone() {
        engine.streams.lock().unwrap().push(copy);
    }
    let Ok(input) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(input);
    let stream = Arc::new(Mutex::new(stream));
    let cancelled: Arc<Mutex<HashSet<String>>> = Arc::default();
    let is_closed: Arc<AtomicBool> = Arc::default();
    let mut line = String::new();
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Ok(1..) => {}
            _ => break,
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words.as_slice() {
            ["serve", id, fields, length] => {
                let Ok(length) = length.parse::<usize>() else {
                    break;
                };
                let mut body = vec![0; length + 2];
                if input.read_exact(&mut body).is_err() {
                    break;
                }
                body.truncate(length);
                let serve = Serve {
                    id: id.to_string(),
                    fields: fields
                        .split(',')
                        .filter_map(|field| field.split_once('='))
                        .map(|(name, value)| (name.into(), value.into()))
                        .collect(),
                    statement: String::from_utf8_lossy(&body).into_owned(),
                };
                record.line(&format!("{} receives serve {id} {fields}", engine.name));
                let reply = Reply {
                    stream: stream.clone(),
                    cancelled: cancelled.clone(),
                    is_closed: is_closed.clone(),
                    id: id.to_string(),
                    engine: engine.clone(),
                };
                let handler = handler.clone();
                std::thread::spawn(move || handler(serve, reply));
            }
            ["cancel", id] => {
                record.line(&format!("{} receives cancel {id}", engine.name));
                cancelled.lock().unwrap().insert(id.to_string());
            }
            ["health" | "gauges", tag] => {
                let text = format!("{tag} UP report=inflight:1;queue:0;x1:0.1 0\r\n\r\n");
                let _ = stream.lock().unwrap().write_all(text.as_bytes());
            }
            _ => {}
        }
    }
    is_closed.store(true, Ordering::SeqCst);
}
