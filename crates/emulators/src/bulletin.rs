//! The bulletin (service discovery) on a socket: sends the numbered events of the endpoint list to
//! each gateway that watches it, beginning after the last event that the gateway has received.

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

/// How service discovery responds to gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Connections are accepted and events are sent.
    Up,
    /// Connections are refused, and open ones are closed.
    Down,
    /// Connections are accepted but nothing is sent.
    Silent,
}

/// Service discovery: sends the endpoint list to gateways and stores all events of the list.
pub struct Bulletin {
    /// The address at which service discovery listens.
    pub address: SocketAddr,
    reserved_address: ReservedAddress,
    /// The gateway that watches this bulletin, and the ledger in which the events sent to the
    /// gateway are recorded; `None` if these events aren't recorded.
    reader: Option<(SharedName, ledger::SharedLedger)>,
    events: RefCell<Vec<Value>>,
    /// Number of events that existed when the bulletin was last reachable.
    reachable_events: Cell<usize>,
    event_count: watch::Sender<usize>,
    availability: Cell<Availability>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Bulletin {
    /// Listens at the requested address, or at a port that the system chooses. `reader` is the
    /// gateway that watches this bulletin and the ledger for the events sent to the gateway; `None`
    /// if these events aren't recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(
        requested: Option<SocketAddr>,
        reader: Option<(SharedName, ledger::SharedLedger)>,
    ) -> io::Result<Rc<Self>> {
        let reserved_address = ReservedAddress::reserve(requested)?;
        let listener = reserved_address.listen()?;
        let bulletin = Rc::new(Bulletin {
            address: reserved_address.address,
            reserved_address,
            reader,
            events: RefCell::new(Vec::new()),
            reachable_events: Cell::new(0),
            event_count: watch::Sender::new(0),
            availability: Cell::new(Availability::Up),
            tasks: RefCell::new(Vec::new()),
        });
        bulletin.clone().serve(listener);
        Ok(bulletin)
    }

    fn serve(self: Rc<Self>, listener: TcpListener) {
        let bulletin = self.clone();
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = spawn_local(bulletin.clone().serve_watch(stream));
                bulletin.tasks.borrow_mut().push(task);
            }
        });
        self.tasks.borrow_mut().push(task);
    }

    /// Appends an event to the list and returns its number. `whole` means that the event contains
    /// the whole list, not only changes.
    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    pub fn publish(&self, whole: bool, hosts: Vec<Value>) -> usize {
        let mut events = self.events.borrow_mut();
        let number = events.len() + 1;
        events
            .push(json!({"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}}));
        if self.availability.get() != Availability::Down {
            self.reachable_events.set(number);
        }
        self.event_count.send_replace(number);
        number
    }

    /// Returns the events that a gateway that starts now has in its configuration: those that
    /// existed when the bulletin was last reachable.
    pub fn snapshot(&self) -> Value {
        let events = self.events.borrow();
        let reachable_events = self.reachable_events.get();
        self.record_announced(&events[..reachable_events]);
        json!({"no": reachable_events, "items": events[..reachable_events]})
    }

    fn record_announced(&self, events: &[Value]) {
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

    async fn serve_watch(self: Rc<Self>, stream: TcpStream) {
        // An error means that the gateway has closed the connection.
        let _ = self.stream_events(stream).await;
    }

    async fn stream_events(&self, stream: TcpStream) -> io::Result<()> {
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
        let mut updates = self.event_count.subscribe();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            .await?;
        loop {
            if self.availability.get() == Availability::Up {
                let text: String = {
                    let events = self.events.borrow();
                    self.record_announced(&events[after.min(events.len())..]);
                    let new_events = events.iter().enumerate().skip(after);
                    new_events
                        .map(|(at, event)| format!("id: {}\ndata: {event}\n\n", at + 1))
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
            // Without new events a comment is sent each second, which keeps the stream alive.
            let _ = timeout(Duration::from_secs(1), updates.changed()).await;
        }
    }

    /// Changes how service discovery responds.
    ///
    /// # Errors
    ///
    /// Returns an error if service discovery can't listen at its address again.
    pub async fn set_availability(self: &Rc<Self>, availability: Availability) -> io::Result<()> {
        let before = self.availability.replace(availability);
        if availability == Availability::Down {
            self.tasks
                .borrow_mut()
                .drain(..)
                .for_each(|task| task.abort());
        } else if before == Availability::Down {
            tokio::task::yield_now().await;
            self.clone().serve(self.reserved_address.listen()?);
        }
        if availability != Availability::Down {
            self.reachable_events.set(self.events.borrow().len());
        }
        Ok(())
    }
}
