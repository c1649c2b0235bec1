//! An engine: runs each request for a time that the case chooses, and answers as on the protocol
//! page. It notes what came, what ran and what was given up.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// A request as it came whole.
#[derive(Clone, Debug)]
pub struct Serve {
    pub engine: String,
    pub id: String,
    pub class: String,
    pub fields: Vec<(String, String)>,
    /// When its last byte had come, since the start of the run.
    pub at: Duration,
}

impl Serve {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What the engine does with a request.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Runs for this time, then answers with these pages.
    Run(Duration, Vec<String>),
    /// The same, with these fields in place of the usual ones.
    Spoilt(Duration, &'static str, Vec<String>),
    /// Runs for this time; in place of its answer the connection is reset.
    Lost(Duration),
}

type Chooser = dyn Fn(&Serve) -> Plan + Send + Sync;

/// The keys of writes that took effect, by the group of engines that drops repeats: when the first
/// of them was sent. They stand beside the data, so they outlive connections.
pub type Keys = Arc<Mutex<HashMap<(String, String), Duration>>>;

/// The engine's part in a group that drops repeats.
#[derive(Clone)]
pub struct Group {
    pub name: String,
    pub keys: Keys,
    /// How long a key is remembered, from when its first attempt was sent.
    pub window: Duration,
}

pub struct Settings {
    /// Whether a run goes on when its request is cancelled or its connection has ended.
    pub runs_on: bool,
    /// Interval of progress notes; zero: none.
    pub notes: Duration,
    /// `None`: no repeats are dropped.
    pub group: Option<Group>,
}

pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    record: Record,
    settings: Settings,
    choose: Box<Chooser>,
    served: Mutex<Vec<Serve>>,
    effects: Mutex<Vec<Serve>>,
}

impl Engine {
    pub fn start(
        name: &str,
        record: &Record,
        settings: Settings,
        choose: impl Fn(&Serve) -> Plan + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: name.to_string(),
            record: record.clone(),
            settings,
            choose: Box::new(choose),
            served: Mutex::new(Vec::new()),
            effects: Mutex::new(Vec::new()),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Engine {
            name: name.to_string(),
            address,
            shared,
        })
    }

    /// All requests that came whole, in their order.
    pub fn served(&self) -> Vec<Serve> {
        self.shared.served.lock().unwrap().clone()
    }

    /// All runs that ended well, in their order.
    pub fn effects(&self) -> Vec<Serve> {
        self.shared.effects.lock().unwrap().clone()
    }
}

/// State of one connection: which requests are open, and which results can be read.
#[derive(Default)]
struct Open {
    is_closed: bool,
    running: HashMap<String, bool>,
    pages: HashMap<String, Vec<String>>,
}

impl Shared {
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        let open = Arc::new(Mutex::new(Open::default()));
        let mut reader = BufReader::new(stream);
        while self.command(&mut reader, &writer, &open).is_some() {}
        let mut open = open.lock().unwrap();
        open.is_closed = true;
        for (id, is_open) in &mut open.running {
            if std::mem::take(is_open) {
                self.record.line(&format!(
                    "{} request {id}: its connection has ended",
                    self.name
                ));
            }
        }
    }

    fn command(
        self: &Arc<Self>,
        reader: &mut BufReader<TcpStream>,
        writer: &Arc<Mutex<TcpStream>>,
        open: &Arc<Mutex<Open>>,
    ) -> Option<()> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let id = words.get(1)?.to_string();
        match words[0] {
            "serve" => {
                let length: usize = words.get(3)?.parse().ok()?;
                let mut body = vec![0; length + 2];
                reader.read_exact(&mut body).ok()?;
                let serve = self.read_serve(&id, words[2]);
                self.begin(serve, writer, open);
            }
            "cancel" => {
                let mut open = open.lock().unwrap();
                if let Some(is_open) = open.running.get_mut(&id) {
                    if std::mem::take(is_open) {
                        self.record
                            .line(&format!("{} request {id}: cancelled", self.name));
                    }
                }
            }
            "read" => {
                let page: usize = words.get(2)?.parse().ok()?;
                let rows = open.lock().unwrap().pages.get(&id)?.get(page).cloned();
                match rows {
                    Some(rows) => send(writer, &id, "ROWS", &format!("pos={page}"), &rows),
                    None => send(writer, &id, "ERR", "-", ""),
                }
            }
            "release" => {
                open.lock().unwrap().pages.remove(&id);
            }
            "health" | "gauges" => send(writer, &id, "UP", "report=inflight:0;util:0.1", ""),
            _ => {}
        }
        Some(())
    }

    fn read_serve(&self, id: &str, fields: &str) -> Serve {
        let fields: Vec<(String, String)> = fields
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let class = fields.iter().find(|(name, _)| name == "profile");
        Serve {
            engine: self.name.clone(),
            id: id.to_string(),
            class: class.map(|(_, value)| value.clone()).unwrap_or_default(),
            fields,
            at: self.record.now(),
        }
    }

    fn begin(
        self: &Arc<Self>,
        serve: Serve,
        writer: &Arc<Mutex<TcpStream>>,
        open: &Arc<Mutex<Open>>,
    ) {
        self.served.lock().unwrap().push(serve.clone());
        open.lock().unwrap().running.insert(serve.id.clone(), true);
        let plan = (self.choose)(&serve);
        let shown: Vec<String> = serve
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        self.record.line(&format!(
            "{} got request {} {}",
            self.name,
            serve.id,
            shown.join(",")
        ));
        let (shared, writer, open) = (self.clone(), writer.clone(), open.clone());
        thread::spawn(move || shared.run(&serve, &plan, &writer, &open));
    }

    fn run(
        &self,
        serve: &Serve,
        plan: &Plan,
        writer: &Arc<Mutex<TcpStream>>,
        open: &Arc<Mutex<Open>>,
    ) {
        let (time, pages) = match plan {
            Plan::Run(time, pages) | Plan::Spoilt(time, _, pages) => (*time, Some(pages)),
            Plan::Lost(time) => (*time, None),
        };
        let id = &serve.id;
        let until = self.record.now() + time;
        loop {
            let left = until.saturating_sub(self.record.now());
            if left.is_zero() {
                break;
            }
            let notes = self.settings.notes;
            thread::sleep(if notes.is_zero() {
                left
            } else {
                left.min(notes)
            });
            let is_open = open.lock().unwrap().running.get(id) == Some(&true);
            if !is_open && !self.settings.runs_on {
                return;
            }
            let left = until.saturating_sub(self.record.now());
            if is_open && !notes.is_zero() && !left.is_zero() {
                let share = 1.0 - left.as_secs_f64() / time.as_secs_f64();
                let fields = format!("remark=share,reading={share:.3}");
                send(writer, id, "NOTE", &fields, "");
            }
        }
        let mut open = open.lock().unwrap();
        let was_open = open.running.insert(id.clone(), false) == Some(true);
        if !was_open && !self.settings.runs_on {
            return;
        }
        self.take_effect(serve);
        let Some(pages) = pages else {
            self.record.line(&format!(
                "{}: the answer to {id} is lost, its connection ends",
                self.name
            ));
            let _ = writer.lock().unwrap().shutdown(std::net::Shutdown::Both);
            return;
        };
        if was_open && !open.is_closed {
            let work = (time.as_secs_f64() * 1e3).max(1.0);
            let usual = format!("count={},ticks={work:.0},footprint=64", pages.len());
            let fields = match plan {
                Plan::Spoilt(_, fields, _) => {
                    self.record
                        .line(&format!("{} answers {id} with fields {fields}", self.name));
                    fields
                }
                _ => usual.as_str(),
            };
            open.pages.insert(id.clone(), pages.clone());
            send(writer, id, "OK", fields, &pages[0]);
        }
    }

    /// Notes the end of a run, and its effect unless it is a repeat that the engine's group drops.
    fn take_effect(&self, serve: &Serve) {
        let id = &serve.id;
        if let (Some(group), Some(key)) = (&self.settings.group, serve.field("replay")) {
            let name = (group.name.clone(), key.to_string());
            let mut keys = group.keys.lock().unwrap();
            if let Some(first) = keys.get(&name) {
                if serve.at < *first + group.window {
                    self.record.line(&format!(
                        "{} drops request {id}: a repeat of key {key}",
                        self.name
                    ));
                    return;
                }
            }
            keys.insert(name, serve.at);
        }
        self.record
            .line(&format!("{} has run request {id} to its end", self.name));
        self.effects.lock().unwrap().push(serve.clone());
    }
}

fn send(writer: &Arc<Mutex<TcpStream>>, id: &str, word: &str, fields: &str, payload: &str) {
    let text = format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len());
    let _ = writer.lock().unwrap().write_all(text.as_bytes());
}

/// One page with one row that names its request.
pub fn one_row(id: &str) -> Vec<String> {
    vec![format!("{id}\t1\tok\n")]
}
