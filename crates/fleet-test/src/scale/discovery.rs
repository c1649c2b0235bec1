//! Hollow watches: what the list of engines costs a gateway, whole and by changes, in bytes and
//! time.
//!
//! The codec of the watch and the decision module are those that ship. Left out: the socket, and
//! the names of engines that the process keeps; the real gateways have them.

use std::time::{Duration, Instant};

use eideryard::balancer::Balancer;
use eideryard::interface::{Endpoint, Event, Micros, Phase};
use eideryard_discovery::{
    DiscoveredEngine, DiscoveryEvent, EndpointUpdate, EngineHealth, Reader, StreamEvent,
};
use serde_json::{json, Value};

use super::decisions::{self, Fleet};
use crate::config::ListedEngine;

/// When the list is handled: nothing of it depends on this.
const NOW: Micros = 1_000_000_000;
/// Of usual length.
const ADDRESS: &str = "10.11.12.13:45678";
/// Changes in a row are of engines so far apart in the list.
const STRIDE: usize = 7_919;

/// What one list event took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes on the watch.
    pub bytes: u64,
    /// To read the event from the stream.
    pub read: Duration,
    /// To bring the module's table and index up to date.
    pub handled: Duration,
}

/// An engine as service discovery lists it, with names and addresses of usual length.
pub fn host(number: usize, address: &str, health: &str) -> Value {
    let (name, zone) = (
        format!("engine-{number:05}"),
        format!("zone-{}", number % decisions::ZONES as usize),
    );
    let (name, zone, kind) = (name.as_str(), zone.as_str(), "std");
    ListedEngine {
        name,
        address,
        zone,
        kind,
        cell: 0,
        health,
        born_ms: 0,
    }
    .item()
}

/// An event of the list as it goes over a watch.
pub fn event(number: u64, whole: bool, hosts: &[Value]) -> String {
    let item = json!({"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}});
    format!("id: {number}\ndata: {item}\n\n")
}

/// Engines that an event of the list names, as the module takes them.
pub struct ListUpdate {
    /// Whether these are all engines there are.
    pub whole: bool,
    /// The engines.
    pub entries: Vec<Endpoint>,
}

impl ListUpdate {
    /// What the module is handed of it.
    pub fn event(self) -> Event {
        if self.whole {
            Event::EndpointSnapshot(self.entries)
        } else {
            Event::EndpointChanges(self.entries)
        }
    }
}

/// A watch without a socket: reads events as the program's own does.
pub struct Watch {
    reader: Reader,
}

impl Watch {
    /// One whose answer has begun.
    pub fn begun() -> Self {
        let mut reader = Reader::default();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        reader
            .read(head.as_bytes(), &mut Vec::new())
            .expect("a good head");
        Watch { reader }
    }

    /// What so many bytes of the stream say.
    pub fn take(&mut self, text: &str) -> Vec<ListUpdate> {
        let mut heard = Vec::new();
        self.reader
            .read(text.as_bytes(), &mut heard)
            .expect("a good event");
        let items = heard.iter().filter_map(item);
        items
            .filter_map(|item| item.update.as_ref().map(update))
            .collect()
    }
}

/// The whole list of so many engines, and then the mean of so many changes of one engine each.
pub fn play(fleet: Fleet, changes: usize) -> (Cost, Cost) {
    let hosts = hosts(fleet.engines);
    let (mut module, mut watch) = (decisions::module(&fleet), Watch::begun());
    let whole = handle(&mut module, &mut watch, &event(1, true, &hosts));
    let mut sum = Cost::default();
    for change in 0..changes {
        let health = if change % 2 == 0 { "draining" } else { "up" };
        let engine = host(change / 2 * STRIDE % fleet.engines, ADDRESS, health);
        let cost = handle(
            &mut module,
            &mut watch,
            &event(change as u64 + 2, false, &[engine]),
        );
        sum.bytes += cost.bytes;
        sum.read += cost.read;
        sum.handled += cost.handled;
    }
    let count = changes.max(1) as u32;
    let change = Cost {
        bytes: sum.bytes / u64::from(count),
        read: sum.read / count,
        handled: sum.handled / count,
    };
    (whole, change)
}

/// All engines of a fleet as service discovery lists them.
pub fn hosts(engines: usize) -> Vec<Value> {
    (0..engines)
        .map(|number| host(number, ADDRESS, "up"))
        .collect()
}

fn handle(module: &mut Balancer, watch: &mut Watch, text: &str) -> Cost {
    let began = Instant::now();
    let updates = watch.take(text);
    let read = began.elapsed();
    let began = Instant::now();
    for update in updates {
        module.handle(NOW, update.event(), &mut Vec::new());
    }
    Cost {
        bytes: text.len() as u64,
        read,
        handled: began.elapsed(),
    }
}

fn item(heard: &StreamEvent) -> Option<DiscoveryEvent> {
    match heard {
        StreamEvent::Event { data, .. } => DiscoveryEvent::read(data).ok(),
        _ => None,
    }
}

fn update(roster: &EndpointUpdate) -> ListUpdate {
    ListUpdate {
        whole: roster.is_snapshot,
        entries: roster.engines.iter().map(entry).collect(),
    }
}

/// Zones are those of [`decisions::list`]: a hollow gateway has one order of engines whoever listed
/// them.
fn entry(listed: &DiscoveredEngine) -> Endpoint {
    let number = listed
        .name
        .rsplit('-')
        .next()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0);
    let phase = match listed.health {
        EngineHealth::Up => Phase::Ready,
        EngineHealth::Draining => Phase::Draining,
        EngineHealth::Removed => Phase::Removed,
    };
    Endpoint {
        phase,
        ..decisions::entry(number)
    }
}
