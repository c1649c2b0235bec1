//! Shared state among gateways: what claims of keyed requests, leases of tasks and heartbeats cost, in the
//! simulated fleets of the cores that ship.

use std::time::{Duration, Instant};

use eideryard_peers::detector::{Detector, BEAT};
use eideryard_peers::frame::{self, Carried};

use crate::{owned, simulated};

/// Bytes that TCP and IPv4 add to a segment without options.
pub const HEADERS: u64 = 40;

/// What the keyed requests of a fleet cost its keepers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claims {
    /// Messages for a keyed request, in all directions.
    pub messages_a_request: f64,
    /// Bytes for a keyed request, in all directions.
    pub bytes_a_request: f64,
    /// Entries at the keeper that held most, for each request a second.
    pub held_a_rate: f64,
    /// Requests without an end.
    pub unanswered: u64,
    /// Keys that took effect twice.
    pub effects_twice: u64,
    /// Keys whose replicas differ at the end.
    pub differ: u64,
}

/// So many keyed requests within [`simulated::ASKS`], beside what the fleet sends without any.
pub fn claims(gateways: usize, keepers: usize, requests: usize, seed: u64) -> Claims {
    let fleet = |requests| {
        let size = simulated::Size { gateways, keepers, requests, faults: 0 };
        simulated::Fleet::new(size, seed, simulated::Without::Nothing).run()
    };
    let (idle, busy) = (fleet(0), fleet(requests));
    let each = |busy: u64, idle: u64| busy.saturating_sub(idle) as f64 / requests.max(1) as f64;
    let rate = requests as f64 / (simulated::ASKS as f64 / 1e6);
    Claims {
        messages_a_request: each(busy.messages, idle.messages),
        bytes_a_request: each(busy.bytes, idle.bytes),
        held_a_rate: busy.most_held as f64 / rate,
        unanswered: busy.unanswered,
        effects_twice: busy.effects_twice,
        differ: busy.differ,
    }
}

/// What the leases of a fleet's tasks cost, and how long tasks go without an owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leases {
    /// Messages of the whole fleet.
    pub messages_a_second: f64,
    /// From the loss of owners to the last task with a new one.
    pub owned_again_ms: u64,
    /// Work of a late owner that counted.
    pub stale_applied: u64,
    /// Terms with two owners.
    pub two_owners: u64,
}

/// One of `goes` gateways is lost half way.
pub fn leases(gateways: usize, keepers: usize, tasks: u32, goes: usize, seed: u64) -> Leases {
    let figures = owned::Fleet::new(owned::Size { gateways, keepers, tasks, faults: 0, goes }, seed).run();
    Leases {
        messages_a_second: figures.messages as f64 / (owned::LASTS as f64 / 1e6),
        owned_again_ms: figures.again_after_ms,
        stale_applied: figures.stale_applied,
        two_owners: figures.two_owners,
    }
}

/// What heartbeats of one link cost one of its ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heartbeats {
    /// Sent by this end, headers included.
    pub bytes_a_second: f64,
    /// Sent by this end.
    pub messages_a_second: f64,
    /// Processor time of the detector and the frames for a second of one link.
    pub time_a_second: Duration,
}

/// So many links for so many heartbeats of each.
pub fn heartbeats(links: usize, beats: u64) -> Heartbeats {
    let mut detectors = vec![Detector::new(0); links];
    let (mut bytes, mut messages) = (0u64, 0u64);
    let began = Instant::now();
    for number in 1..=beats {
        let now = number * BEAT;
        for detector in &mut detectors {
            let Some(beat) = detector.beats(now) else { continue };
            // Its own heartbeat, and the answer to that of the other end.
            for carried in [Carried::<u32>::Beat(beat), Carried::Back(beat)] {
                let mut out = Vec::new();
                frame::write(&mut out, &carried);
                let read = frame::read::<u32>(&out);
                messages += u64::from(matches!(read, Ok(Some(_))));
                bytes += out.len() as u64 + HEADERS;
            }
            detector.heard(now);
            detector.answered(now, beat);
            detector.state(now);
        }
    }
    let seconds = (beats * BEAT) as f64 / 1e6 * links as f64;
    Heartbeats {
        bytes_a_second: bytes as f64 / seconds,
        messages_a_second: messages as f64 / seconds,
        time_a_second: began.elapsed().div_f64(seconds),
    }
}
