//! Hollow watches: what the list of engines costs a gateway, whole and by changes, in bytes and time.
//!
//! The codec of the watch and the decision module are those that ship. Left out: the socket, and the names of
//! engines that the process keeps; the real gateways have them.

use std::time::{Duration, Instant};

use eideryard::decide::Gateway;
use eideryard::interface::{Entry, Event, Micros, Phase};
use eideryard_bulletin::{Heard, Item, Reader, State};
use serde_json::{json, Value};

use super::decisions::{self, Fleet};

/// When the list is handled: nothing of it depends on this.
const NOW: Micros = 1_000_000_000;

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
    json!({"host": format!("engine-{number:05}"), "dial": address, "site": format!("zone-{}", number % 7),
           "class": "std", "block": 0, "health": health, "share": 1, "born_ms": 0})
}

/// An event of the list as it goes over a watch.
pub fn event(number: u64, whole: bool, hosts: &[Value]) -> String {
    let item = json!({"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}});
    format!("id: {number}\ndata: {item}\n\n")
}

/// The whole list of so many engines, and then the mean of so many changes of one engine each.
pub fn play(fleet: Fleet, changes: usize) -> (Cost, Cost) {
    let hosts: Vec<Value> =
        (0..fleet.engines).map(|number| host(number, "10.11.12.13:45678", "up")).collect();
    let mut module = decisions::module(&fleet);
    let mut reader = Reader::default();
    let mut heard = Vec::new();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    reader.take(head.as_bytes(), &mut heard).expect("a good head");
    let whole = handle(&mut module, &mut reader, &event(1, true, &hosts), true);
    let mut sum = Cost::default();
    for change in 0..changes {
        let health = if change % 2 == 0 { "draining" } else { "up" };
        let engine = host(change / 2 * 7919 % fleet.engines, "10.11.12.13:45678", health);
        let cost = handle(&mut module, &mut reader, &event(change as u64 + 2, false, &[engine]), false);
        sum.bytes += cost.bytes;
        sum.read += cost.read;
        sum.handled += cost.handled;
    }
    let count = changes.max(1) as u32;
    (
        whole,
        Cost { bytes: sum.bytes / u64::from(count), read: sum.read / count, handled: sum.handled / count },
    )
}

fn handle(module: &mut Gateway, reader: &mut Reader, text: &str, whole: bool) -> Cost {
    let mut heard = Vec::new();
    let began = Instant::now();
    reader.take(text.as_bytes(), &mut heard).expect("a good event");
    let items: Vec<Item> = heard.iter().filter_map(item).collect();
    let read = began.elapsed();
    let entries: Vec<Entry> = items.iter().flat_map(entries).collect();
    let event = if whole { Event::FullList(entries) } else { Event::ListChanges(entries) };
    let began = Instant::now();
    module.handle(NOW, event, &mut Vec::new());
    Cost { bytes: text.len() as u64, read, handled: began.elapsed() }
}

fn item(heard: &Heard) -> Option<Item> {
    match heard {
        Heard::Event { data, .. } => Item::read(data).ok(),
        _ => None,
    }
}

fn entries(item: &Item) -> Vec<Entry> {
    let hosts = item.roster.iter().flat_map(|roster| &roster.hosts);
    let phase = |health: State| if health == State::Up { Phase::Ready } else { Phase::Draining };
    let entry = |host: &eideryard_bulletin::Listed| Entry {
        engine: decisions::number(host.host.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0)),
        phase: phase(host.health),
        ..Entry::default()
    };
    hosts.map(entry).collect()
}
