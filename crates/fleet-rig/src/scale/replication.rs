//! Shared state among gateways: what claims of keyed requests, leases of tasks and heartbeats cost, in the
//! simulated fleets of the cores that ship.

use std::time::Duration;

use eideryard_peers::detector::{Detector, BEAT};
use eideryard_peers::frame::{self, Carried};
use eideryard_replica::copies::Limits;
use eideryard_replica::entry::{Origin, Phase, Travelling};
use eideryard_replica::{Core, Message, Micros, Output, Peer, Plan};
use rustix::time::{clock_gettime, ClockId};

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

/// Claims that are timed at a keeper's core.
const TIMED_CLAIMS: u64 = 2_000;
/// How long the timed core keeps entries, and its catch-up in bytes a second: nothing runs out meanwhile.
const KEPT: Micros = 60_000_000;
const CATCH_UP: u64 = 2 << 20;

/// Processor time of a keeper's core, its frames included, for a claim of another gateway, with so many
/// entries held.
pub fn micros_a_vote(entries: u64) -> f64 {
    let plan = Plan {
        keepers: 3,
        own: Some(0),
        longest: KEPT,
        limits: Limits { entries: (entries + TIMED_CLAIMS) as usize },
        bytes_per_s: CATCH_UP,
        send_without: false,
    };
    let origin = Origin { identity: 1, start: 1 };
    let mut core = Core::start(plan, origin, true, std::iter::empty(), 0);
    let asker = Peer::Asker(1);
    core.link(0, asker, true);
    for number in 0..entries {
        core.hears(number, asker, claim(number));
    }
    let before = thread_time();
    for number in entries..entries + TIMED_CLAIMS {
        let mut frame = Vec::new();
        frame::write(&mut frame, &Carried::Told(claim(number)));
        let Ok(Some((Carried::Told(message), _))) = frame::read::<Message>(&frame) else { continue };
        for output in core.hears(number, asker, message) {
            write_votes(output, &mut frame);
        }
    }
    (thread_time() - before).as_secs_f64() * 1e6 / TIMED_CLAIMS as f64
}

fn claim(number: u64) -> Message {
    let record = Travelling {
        version: 1,
        phase: Phase::Out,
        place: None,
        age: 0,
        left: KEPT,
        nominal_ms: KEPT / 1_000,
    };
    // Keys as the ledger makes them, of an even spread.
    let key = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes().repeat(2);
    Message::Claim { number, key, origin: Origin { identity: 2, start: 1 }, record }
}

/// As the host does, each message is written once its entry is durable.
fn write_votes(output: Output, frame: &mut Vec<u8>) {
    match output {
        Output::Send(_, message) => _ = frame::write(frame, &Carried::Told(message)),
        Output::Store { then, .. } => then.into_iter().for_each(|output| write_votes(output, frame)),
        _ => {}
    }
}

/// Processor time of this thread.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What the leases of a fleet's tasks cost, and how long tasks go without an owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leases {
    /// Messages of the whole fleet.
    pub messages_a_second: f64,
    /// From the loss of owners until the last of their tasks had a new one.
    pub lost_for_ms: u64,
    /// Leases that lapsed though their owners ran, of a hundred tasks in a second.
    pub lapsed_rate: f64,
    /// Part of the lost tasks that needed more than one vote.
    pub voted_again_share: f64,
    /// Lost tasks without a new owner within [`owned::NEW_OWNER_WITHIN`].
    pub owned_late: u64,
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
        lost_for_ms: figures.lost_for_ms,
        lapsed_rate: figures.lapsed as f64 * 100.0 / f64::from(tasks) / (owned::LASTS as f64 / 1e6),
        voted_again_share: figures.voted_again as f64 / figures.tasks_lost.max(1) as f64,
        owned_late: figures.owned_late,
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
    let before = thread_time();
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
        time_a_second: (thread_time() - before).div_f64(seconds),
    }
}
