//! Shared state among gateways: what claims of keyed requests, leases of tasks and heartbeats cost,
//! in the simulated fleets of the cores that ship.

use std::time::Duration;

use eideryard_leases::{
    self as lease_protocol, FencingToken, Output as LeaseOutput, Task, VoterReadiness,
};
use eideryard_peer_transport::frame::{self, ReadFrame};
use eideryard_peer_transport::limits::HEARTBEAT_INTERVAL;
use eideryard_peer_transport::{FailureDetector, Frame};
use eideryard_replication::entry::{Origin, Phase, WireRecord};
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{Config, Core, Message, Micros, Output, Peer};
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
        let size = simulated::Size {
            gateways,
            keepers,
            requests,
            faults: 0,
        };
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
/// How long the timed core keeps entries, and its catch-up in bytes a second: nothing runs out
/// meanwhile.
const KEPT: Micros = 60_000_000;
const CATCH_UP: u64 = 2 << 20;

/// Processor time of a keeper's core, its frames included, for a claim of another gateway, with so
/// many entries held.
pub fn micros_a_vote(entries: u64) -> f64 {
    let mut core = voter_core(0, true, entries);
    let asker = Peer::Requester(1);
    core.on_link(0, asker, true);
    for number in 0..entries {
        core.on_message(number, asker, claim(number));
    }
    let before = thread_time();
    for number in entries..entries + TIMED_CLAIMS {
        let mut frame = Vec::new();
        frame::write(&mut frame, &Frame::Message(claim(number))).expect("short enough for a frame");
        let Ok(Some(ReadFrame {
            frame: Frame::Message(message),
            ..
        })) = frame::read::<Message>(&frame)
        else {
            continue;
        };
        for answer in sent(core.on_message(number, asker, message)) {
            frame::write(&mut frame, &Frame::Message(answer)).expect("short enough for a frame");
        }
    }
    (thread_time() - before).as_secs_f64() * 1e6 / TIMED_CLAIMS as f64
}

fn claim(number: u64) -> Message {
    let record = WireRecord {
        version: 1,
        phase: Phase::InFlight,
        location: None,
        age: 0,
        remaining: KEPT,
        origin_expiry_ms: KEPT / 1_000,
    };
    // Keys as the ledger makes them, of an even spread.
    let key = number
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .to_be_bytes()
        .repeat(2);
    Message::Claim {
        number,
        key,
        origin: Origin {
            identity: 2,
            start: 1,
        },
        record,
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
    /// From the loss of owners until work on the last of their tasks counted again.
    pub lost_for_ms: u64,
    /// Of that until its later owner asked for votes, at the longest.
    pub noticed_ms: u64,
    /// Until it had them.
    pub vote_ms: u64,
    /// Until its work counted.
    pub first_work_ms: u64,
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
    let figures = owned::Fleet::new(
        owned::Size {
            gateways,
            voters: keepers,
            tasks,
            faults: 0,
            lost_one_in: goes,
        },
        seed,
    )
    .run();
    Leases {
        messages_a_second: figures.messages as f64 / (owned::DURATION as f64 / 1e6),
        lost_for_ms: figures.lost_for_ms,
        noticed_ms: figures.noticed_ms,
        vote_ms: figures.vote_ms,
        first_work_ms: figures.first_work_ms,
        lapsed_rate: figures.lapsed as f64 * 100.0
            / f64::from(tasks)
            / (owned::DURATION as f64 / 1e6),
        voted_again_share: figures.voted_again as f64 / figures.tasks_lost.max(1) as f64,
        owned_late: figures.owned_late,
        stale_applied: figures.stale_applied,
        two_owners: figures.two_owners,
    }
}

/// Votes and iterations that are timed at a core of leases.
const TIMED: u32 = 2_000;

/// What a gateway's core of leases takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCore {
    /// Processor time of a voter for a renewal, its frames included.
    pub micros_a_renewal: f64,
    /// Processor time of a look at all tasks of which none is due: once an iteration of the
    /// gateway's loop.
    pub micros_a_look: f64,
}

/// The core of a voter that may own so many tasks, all of which another gateway owns.
pub fn lease_core(tasks: u32) -> LeaseCore {
    let config = lease_protocol::Config {
        voter_count: 3,
        voter_index: Some(0),
        owner: 1,
    };
    let mut core = lease_protocol::LeaseCore::new(config, std::iter::empty(), 0);
    let task = |number| Task {
        kind: 1,
        number: number % tasks,
    };
    let token = FencingToken { term: 1, owner: 2 };
    for number in 0..tasks {
        core.add_candidate(0, task(number));
    }
    let vote_request = |number| lease_protocol::Message::VoteRequest {
        task: task(number),
        token,
    };
    for number in 0..tasks {
        core.on_requester_message(0, 1, vote_request(number), VoterReadiness::Ready);
        core.mark_durable(task(number), token);
    }
    let before = thread_time();
    for number in 0..TIMED {
        let mut bytes = Vec::new();
        frame::write(&mut bytes, &Frame::Message(vote_request(number)))
            .expect("short enough for a frame");
        let Ok(Some(ReadFrame {
            frame: Frame::Message(message),
            ..
        })) = frame::read::<lease_protocol::Message>(&bytes)
        else {
            continue;
        };
        for output in core.on_requester_message(1, 1, message, VoterReadiness::Ready) {
            if let LeaseOutput::ToRequester { message, .. } = output {
                frame::write(&mut bytes, &Frame::Message(message))
                    .expect("short enough for a frame");
            }
        }
    }
    let renewed = thread_time();
    let outputs: usize = (0..TIMED)
        .map(|_| core.on_timer(1, 0, VoterReadiness::Ready).len())
        .sum();
    let looked = thread_time();
    assert_eq!(outputs, 0, "nothing is due");
    let each = |spent: Duration| spent.as_secs_f64() * 1e6 / f64::from(TIMED);
    LeaseCore {
        micros_a_renewal: each(renewed - before),
        micros_a_look: each(looked - renewed),
    }
}

/// What one that lost its entries takes to get them from another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transfer {
    /// Bytes of all frames.
    pub bytes: u64,
    /// Virtual time, which the budget of bytes a second decides.
    pub lasts: Micros,
    /// Processor time of both ends.
    pub time: Duration,
    /// Entries that arrived.
    pub entries: u64,
}

/// Time between two looks of either end, and the time after which a transfer counts as hung.
const TRANSFER_LOOK: Micros = 10_000;
const TRANSFER_HANGS: Micros = KEPT / 2;

/// A voter whose store is empty gets so many entries from one that has them.
pub fn transfer(entries: u64) -> Transfer {
    let mut giver = voter_core(0, true, entries);
    let mut taker = voter_core(1, false, entries);
    giver.on_link(0, Peer::Requester(1), true);
    for number in 0..entries {
        giver.on_message(0, Peer::Requester(1), claim(number));
    }
    let (mut now, mut bytes, mut over) = (0, 0, false);
    let before = thread_time();
    taker.on_link(now, Peer::Voter(0), true);
    while !over && now < TRANSFER_HANGS {
        now += TRANSFER_LOOK;
        let mut to_giver = sent(taker.poll(now));
        let mut to_taker = sent(giver.poll(now));
        while let Some(message) = to_giver.pop() {
            bytes += frame_bytes(&message);
            to_taker.extend(sent(giver.on_message(now, Peer::Requester(1), message)));
        }
        for message in to_taker {
            bytes += frame_bytes(&message);
            over |= matches!(message, Message::StatePart { is_last: true, .. });
            taker.on_message(now, Peer::Voter(0), message);
        }
    }
    Transfer {
        bytes,
        lasts: now,
        time: thread_time() - before,
        entries: taker.replicas().len() as u64,
    }
}

fn voter_core(own: usize, whole: bool, entries: u64) -> Core {
    let plan = Config {
        voters: 3,
        voter_index: Some(own),
        max_retention: KEPT,
        limits: Limits {
            max_keys: (entries + TIMED_CLAIMS) as usize,
        },
        transfer_bytes_per_s: CATCH_UP,
        send_without_majority: false,
    };
    Core::start(
        plan,
        Origin {
            identity: own as u64 + 1,
            start: 1,
        },
        whole,
        std::iter::empty(),
        0,
    )
}

/// Messages among outputs, also those that wait for an entry to be durable, which takes no time
/// here.
fn sent(outputs: Vec<Output>) -> Vec<Message> {
    let mut messages = Vec::new();
    for output in outputs {
        match output {
            Output::Send(_, message) => messages.push(message),
            Output::Store { after_durable, .. } => messages.extend(sent(after_durable)),
            _ => {}
        }
    }
    messages
}

fn frame_bytes(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    frame::write(&mut bytes, &Frame::Message(message.clone())).expect("short enough for a frame");
    bytes.len() as u64
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
    let mut detectors = vec![FailureDetector::new(0); links];
    let (mut bytes, mut messages) = (0u64, 0u64);
    let before = thread_time();
    for number in 1..=beats {
        let now = number * HEARTBEAT_INTERVAL;
        for detector in &mut detectors {
            let Some(heartbeat) = detector.take_due_heartbeat(now) else {
                continue;
            };
            // Its own heartbeat, and the answer to that of the other end.
            for carried in [
                Frame::<u32>::Heartbeat(heartbeat),
                Frame::HeartbeatReply(heartbeat),
            ] {
                let mut out = Vec::new();
                frame::write(&mut out, &carried).expect("short enough for a frame");
                let read = frame::read::<u32>(&out);
                messages += u64::from(matches!(read, Ok(Some(_))));
                bytes += out.len() as u64 + HEADERS;
            }
            detector.on_frame(now);
            detector.on_heartbeat_reply(now, heartbeat);
            detector.state(now);
        }
    }
    let seconds = (beats * HEARTBEAT_INTERVAL) as f64 / 1e6 * links as f64;
    Heartbeats {
        bytes_a_second: bytes as f64 / seconds,
        messages_a_second: messages as f64 / seconds,
        time_a_second: (thread_time() - before).div_f64(seconds),
    }
}
