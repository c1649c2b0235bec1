//! The bulletin on a socket: numbered events of the list, to whoever reads, from the event on that
//! it knows.

use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::history::{Event, SharedName};
use crate::ledger;
use crate::reserved_address::ReservedAddress;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// How service discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It answers.
    Up,
    /// Connections are refused, those that are open end.
    Down,
    /// Connections come up and nothing is said on them.
    Silent,
}

/// Service discovery: tells gateways of engines, and remembers all that it told.
pub struct Bulletin {
    /// Where it listens.
    pub address: SocketAddr,
    place: ReservedAddress,
    /// The gateway that reads here, and where it is noted what it was told.
    reader: Option<(SharedName, ledger::SharedLedger)>,
    events: RefCell<Vec<Value>>,
    /// Events that were there when it could be reached last.
    reachable: Cell<usize>,
    told: watch::Sender<usize>,
    mood: Cell<Availability>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Bulletin {
    /// Listens at an address, or one of the system's choice; `reader` is who reads it, where that
    /// is kept.
    pub fn start(
        wanted: Option<SocketAddr>,
        reader: Option<(SharedName, ledger::SharedLedger)>,
    ) -> io::Result<Rc<Self>> {
        let place = ReservedAddress::reserve(wanted)?;
        let listener = place.listen()?;
        let bulletin = Rc::new(Bulletin {
            address: place.address,
            place,
            reader,
            events: RefCell::new(Vec::new()),
            reachable: Cell::new(0),
            told: watch::Sender::new(0),
            mood: Cell::new(Availability::Up),
            tasks: RefCell::new(Vec::new()),
        });
        bulletin.clone().serve(listener);
        Ok(bulletin)
    }

    fn serve(self: Rc<Self>, listener: TcpListener) {
        let own = self.clone();
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = spawn_local(own.clone().reader(stream));
                own.tasks.borrow_mut().push(task);
            }
        });
        self.tasks.borrow_mut().push(task);
    }

    /// The next event of the list; gives its number.
    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    pub fn publish(&self, whole: bool, hosts: Vec<Value>) -> usize {
        let mut events = self.events.borrow_mut();
        let number = events.len() + 1;
        events
            .push(json!({"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}}));
        if self.mood.get() != Availability::Down {
            self.reachable.set(number);
        }
        self.told.send_replace(number);
        number
    }

    /// What a gateway that starts now is told of the past: the list as it was when the bulletin
    /// could be reached last.
    pub fn snapshot(&self) -> Value {
        let events = self.events.borrow();
        let reachable = self.reachable.get();
        self.note(&events[..reachable]);
        json!({"no": reachable, "items": events[..reachable]})
    }

    fn note(&self, events: &[Value]) {
        let Some((reader, ledger)) = &self.reader else {
            return;
        };
        for host in events
            .iter()
            .filter_map(|event| event["roster"]["hosts"].as_array())
            .flatten()
        {
            let engine: SharedName = host["host"].as_str().unwrap_or_default().into();
            let health = match host["health"].as_str() {
                Some("up") => "up",
                Some("draining") => "draining",
                _ => "removed",
            };
            let gateway = reader.clone();
            ledger.borrow_mut().record_event(|| Event::EngineAnnounced {
                gateway,
                engine,
                health,
            });
        }
    }

    async fn reader(self: Rc<Self>, stream: TcpStream) {
        // It ends when the other side has gone.
        let _ = self.read(stream).await;
    }

    async fn read(&self, stream: TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream);
        let mut after = 0usize;
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).await? <= 2 {
                break;
            }
            if let Some(("Last-Event-ID", number)) = line.trim_end().split_once(": ") {
                after = number.parse().map_err(io::Error::other)?;
            }
        }
        let mut stream = lines.into_inner();
        let mut news = self.told.subscribe();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            .await?;
        loop {
            if self.mood.get() == Availability::Up {
                let text: String = {
                    let events = self.events.borrow();
                    self.note(&events[after.min(events.len())..]);
                    let news = events.iter().enumerate().skip(after);
                    news.map(|(at, event)| format!("id: {}\ndata: {event}\n\n", at + 1))
                        .collect()
                };
                after = self.events.borrow().len();
                stream
                    .write_all(if text.is_empty() {
                        b": still here\n\n"
                    } else {
                        text.as_bytes()
                    })
                    .await?;
            }
            // A comment comes each second.
            let _ = timeout(Duration::from_secs(1), news.changed()).await;
        }
    }

    /// Changes how it answers.
    pub async fn set_availability(self: &Rc<Self>, mood: Availability) -> io::Result<()> {
        let before = self.mood.replace(mood);
        if mood == Availability::Down {
            self.tasks
                .borrow_mut()
                .drain(..)
                .for_each(|task| task.abort());
        } else if before == Availability::Down {
            tokio::task::yield_now().await;
            self.clone().serve(self.place.listen()?);
        }
        if mood != Availability::Down {
            self.reachable.set(self.events.borrow().len());
        }
        Ok(())
    }
}
