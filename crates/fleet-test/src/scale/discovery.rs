//! Cost of the endpoint list for a hollow gateway, in bytes and time: for the whole list and for
//! changes.
//!
//! The codec and the balancer are the production ones. The socket and the process's table of engine
//! names are left out; they are part of the measurements of real gateways.

use std::time::{Duration, Instant};

use eideryard::balancer::Balancer;
use eideryard::interface::{Endpoint, Event, Micros, Phase};
use eideryard_discovery::{
    DiscoveredEngine, DiscoveryEvent, EndpointUpdate, EngineHealth, Reader, StreamEvent,
};
use serde_json::{json, Value};

use super::decisions::{self, Fleet};
use crate::config::ListedEngine;

/// Virtual time at which list events are handled. Its value doesn't affect the result.
const NOW: Micros = 1_000_000_000;
/// An engine address of typical length.
const ADDRESS: &str = "10.11.12.13:45678";
/// Distance in the list between the engines of consecutive changes.
const STRIDE: usize = 7_919;

/// Cost of one list event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes of the event on the stream from service discovery.
    pub bytes: u64,
    /// Time to decode the event.
    pub read: Duration,
    /// Time for the balancer to update its table and index of engines.
    pub handled: Duration,
}

/// Encodes an engine as service discovery lists it, with a name and zone of typical length.
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

/// Encodes a list event as service discovery sends it.
pub fn event(number: u64, is_whole: bool, hosts: &[Value]) -> String {
    let item = json!({"no": number, "roster": {"seq": number, "whole": is_whole, "hosts": hosts}});
    format!("id: {number}\ndata: {item}\n\n")
}

/// A decoded list event, in the form that the balancer handles.
pub struct ListUpdate {
    /// Whether the entries are the whole list; otherwise they are changes.
    pub is_whole: bool,
    /// The engines that the event names.
    pub entries: Vec<Endpoint>,
}

impl ListUpdate {
    /// Converts it into the event for the balancer.
    pub fn event(self) -> Event {
        if self.is_whole {
            Event::EndpointSnapshot(self.entries)
        } else {
            Event::EndpointChanges(self.entries)
        }
    }
}

/// A stream from service discovery without a socket. Decodes events with the production codec.
pub struct Watch {
    reader: Reader,
}

impl Watch {
    /// Creates a stream that has received the head of the HTTP response.
    pub fn connected() -> Self {
        let mut reader = Reader::default();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        reader
            .read(head.as_bytes(), &mut Vec::new())
            .expect("the response head must be valid");
        Watch { reader }
    }

    /// Decodes the list events in `text`, the next part of the stream.
    pub fn read(&mut self, text: &str) -> Vec<ListUpdate> {
        let mut stream_events = Vec::new();
        self.reader
            .read(text.as_bytes(), &mut stream_events)
            .expect("the list event must be valid");
        let items = stream_events.iter().filter_map(item);
        items
            .filter_map(|item| item.update.as_ref().map(update))
            .collect()
    }
}

/// Measures the event with the whole list of a fleet's engines, and then `changes` events with one
/// changed engine each. Returns the cost of the first, and the mean cost of the others.
pub fn measure(fleet: Fleet, changes: usize) -> (Cost, Cost) {
    let hosts = hosts(fleet.engines);
    let (mut balancer, mut watch) = (decisions::new_balancer(&fleet), Watch::connected());
    let whole = handle(&mut balancer, &mut watch, &event(1, true, &hosts));
    let mut sum = Cost::default();
    for change in 0..changes {
        let health = if change % 2 == 0 { "draining" } else { "up" };
        let engine = host(change / 2 * STRIDE % fleet.engines, ADDRESS, health);
        let cost = handle(
            &mut balancer,
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

/// Encodes all engines of a fleet as service discovery lists them.
pub fn hosts(engines: usize) -> Vec<Value> {
    (0..engines)
        .map(|number| host(number, ADDRESS, "up"))
        .collect()
}

fn handle(balancer: &mut Balancer, watch: &mut Watch, text: &str) -> Cost {
    let began = Instant::now();
    let updates = watch.read(text);
    let read = began.elapsed();
    let began = Instant::now();
    for update in updates {
        balancer.handle(NOW, update.event(), &mut Vec::new());
    }
    Cost {
        bytes: text.len() as u64,
        read,
        handled: began.elapsed(),
    }
}

fn item(event: &StreamEvent) -> Option<DiscoveryEvent> {
    match event {
        StreamEvent::Event { data, .. } => DiscoveryEvent::read(data).ok(),
        _ => None,
    }
}

fn update(roster: &EndpointUpdate) -> ListUpdate {
    ListUpdate {
        is_whole: roster.is_snapshot,
        entries: roster.engines.iter().map(endpoint).collect(),
    }
}

/// Uses the engine ids and zones of [`decisions::endpoint_list`], so that a hollow gateway has the
/// same order of engines whichever of the two sources listed them.
fn endpoint(listed: &DiscoveredEngine) -> Endpoint {
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
        ..decisions::endpoint(number)
    }
}
