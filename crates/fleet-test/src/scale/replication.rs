//! Cost of the state that gateways share: claims of keyed requests, leases of tasks, heartbeats and
//! state transfers, measured with the production protocol code in simulated fleets or on a single
//! instance.

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

/// Bytes of the TCP and IPv4 headers of a segment without options.
pub const HEADERS: u64 = 40;

/// Cost of a fleet's keyed requests. The field names are printed with a violation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claims {
    /// Messages per keyed request, in all directions.
    pub messages_a_request: f64,
    /// Bytes per keyed request, in all directions.
    pub bytes_a_request: f64,
    /// Entries at the voter with the most, divided by the rate of keyed requests per second.
    pub held_a_rate: f64,
    /// Requests without a final answer.
    pub unanswered: u64,
    /// Keys whose effect was applied twice.
    pub effects_twice: u64,
    /// Keys whose replicas differ at the end of the simulation.
    pub differ: u64,
}

/// Simulates `requests` keyed requests within [`simulated::ASKS`] and returns their cost, without
/// the messages that the same fleet sends when it has no requests.
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
    let per_request =
        |busy: u64, idle: u64| busy.saturating_sub(idle) as f64 / requests.max(1) as f64;
    let rate = requests as f64 / (simulated::ASKS as f64 / 1e6);
    Claims {
        messages_a_request: per_request(busy.messages, idle.messages),
        bytes_a_request: per_request(busy.bytes, idle.bytes),
        held_a_rate: busy.most_held as f64 / rate,
        unanswered: busy.unanswered,
        effects_twice: busy.effects_twice,
        differ: busy.differ,
    }
}

/// Number of claims over which a voter's processor time is measured.
const TIMED_CLAIMS: u64 = 2_000;
/// How long the measured voter keeps entries: longer than a measurement, so none expires.
const RETENTION: Micros = 60_000_000;
/// Budget of the measured voter for state transfers, in bytes per second.
const CATCH_UP: u64 = 2 << 20;

/// Measures a voter's processor time for a claim of another gateway, in microseconds, with
/// `entries` entries stored. Encoding and decoding of frames is included.
pub fn micros_per_vote(entries: u64) -> f64 {
    let mut core = voter_core(0, true, entries);
    let requester = Peer::Requester(1);
    core.on_link(0, requester, true);
    for number in 0..entries {
        core.on_message(number, requester, claim(number));
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
        for answer in messages_of(core.on_message(number, requester, message)) {
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
        remaining: RETENTION,
        origin_expiry_ms: RETENTION / 1_000,
    };
    // Evenly distributed keys, like those of the ledger.
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

/// Processor time that this thread has used.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Cost of the leases of a fleet's tasks, and how long tasks have no owner. The field names are
/// printed with a violation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leases {
    /// Messages per second of the whole fleet.
    pub messages_a_second: f64,
    /// Milliseconds from the loss of owners until work was applied again for the last of their
    /// tasks.
    pub lost_for_ms: u64,
    /// First phase, the maximum over the tasks: milliseconds until the new owner asked for votes.
    pub noticed_ms: u64,
    /// Second phase: milliseconds until it had a majority.
    pub vote_ms: u64,
    /// Third phase: milliseconds until its first work was applied.
    pub first_work_ms: u64,
    /// Leases that owners lost while they ran, per hundred tasks and second.
    pub lapsed_rate: f64,
    /// Fraction (0 to 1) of the lost tasks that needed more than one vote.
    pub voted_again_share: f64,
    /// Lost tasks for which no work was applied within [`owned::NEW_OWNER_WITHIN`].
    pub owned_late: u64,
    /// Units of work of a former owner that were applied; must be 0.
    pub stale_applied: u64,
    /// Terms with two owners; must be 0.
    pub two_owners: u64,
}

/// Simulates the leases of a fleet in which one in `lost_one_in` gateways is lost half way.
pub fn leases(gateways: usize, voters: usize, tasks: u32, lost_one_in: usize, seed: u64) -> Leases {
    let figures = owned::Fleet::new(
        owned::Size {
            gateways,
            voters,
            tasks,
            faults: 0,
            lost_one_in,
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

/// Number of renewals and of timer calls over which processor time is measured.
const TIMED: u32 = 2_000;

/// Processor time that a gateway takes for leases.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCoreCost {
    /// Processor time of a voter for a renewal, including encoding and decoding of frames, in
    /// microseconds.
    pub micros_per_renewal: f64,
    /// Processor time of a timer call for which no task is due, in microseconds. The gateway makes
    /// one in each iteration of its event loop.
    pub micros_per_timer_call: f64,
}

/// Measures a voter that is a candidate for `tasks` tasks, all of which another gateway owns.
pub fn measure_lease_core(tasks: u32) -> LeaseCoreCost {
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
    let after_renewals = thread_time();
    let outputs: usize = (0..TIMED)
        .map(|_| core.on_timer(1, 0, VoterReadiness::Ready).len())
        .sum();
    let after_timer_calls = thread_time();
    assert_eq!(
        outputs, 0,
        "no task is due, so the timer must have no outputs"
    );
    let micros_each = |spent: Duration| spent.as_secs_f64() * 1e6 / f64::from(TIMED);
    LeaseCoreCost {
        micros_per_renewal: micros_each(after_renewals - before),
        micros_per_timer_call: micros_each(after_timer_calls - after_renewals),
    }
}

/// Cost of the transfer of all entries to a voter that lost them. The field names are printed with
/// a violation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transfer {
    /// Bytes of all frames.
    pub bytes: u64,
    /// Virtual time of the transfer, in microseconds. The budget in bytes per second determines it.
    pub lasts: Micros,
    /// Processor time of both voters.
    pub time: Duration,
    /// Entries that arrived.
    pub entries: u64,
}

/// Interval at which each voter is polled, and the virtual time after which a transfer is given up.
const TRANSFER_POLL_INTERVAL: Micros = 10_000;
const TRANSFER_TIMEOUT: Micros = RETENTION / 2;

/// Transfers `entries` entries from a voter that has them to one whose store is empty.
pub fn transfer(entries: u64) -> Transfer {
    let mut source = voter_core(0, true, entries);
    let mut target = voter_core(1, false, entries);
    source.on_link(0, Peer::Requester(1), true);
    for number in 0..entries {
        source.on_message(0, Peer::Requester(1), claim(number));
    }
    let (mut now, mut bytes, mut is_complete) = (0, 0, false);
    let before = thread_time();
    target.on_link(now, Peer::Voter(0), true);
    while !is_complete && now < TRANSFER_TIMEOUT {
        now += TRANSFER_POLL_INTERVAL;
        let mut to_source = messages_of(target.poll(now));
        let mut to_target = messages_of(source.poll(now));
        while let Some(message) = to_source.pop() {
            bytes += frame_bytes(&message);
            to_target.extend(messages_of(source.on_message(
                now,
                Peer::Requester(1),
                message,
            )));
        }
        for message in to_target {
            bytes += frame_bytes(&message);
            is_complete |= matches!(message, Message::StatePart { is_last: true, .. });
            target.on_message(now, Peer::Voter(0), message);
        }
    }
    Transfer {
        bytes,
        lasts: now,
        time: thread_time() - before,
        entries: target.replicas().len() as u64,
    }
}

fn voter_core(index: usize, has_state: bool, entries: u64) -> Core {
    let config = Config {
        voters: 3,
        voter_index: Some(index),
        max_retention: RETENTION,
        limits: Limits {
            max_keys: (entries + TIMED_CLAIMS) as usize,
        },
        transfer_bytes_per_s: CATCH_UP,
        send_without_majority: false,
    };
    Core::start(
        config,
        Origin {
            identity: index as u64 + 1,
            start: 1,
        },
        has_state,
        std::iter::empty(),
        0,
    )
}

/// Extracts the messages from `outputs`, also those that wait until an entry is durable: storing
/// takes no time here.
fn messages_of(outputs: Vec<Output>) -> Vec<Message> {
    let mut messages = Vec::new();
    for output in outputs {
        match output {
            Output::Send(_, message) => messages.push(message),
            Output::Store { after_durable, .. } => messages.extend(messages_of(after_durable)),
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

/// Cost of the heartbeats of one link at one of its ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heartbeats {
    /// Bytes per second that this end sends, TCP and IPv4 headers included.
    pub bytes_per_second: f64,
    /// Messages per second that this end sends.
    pub messages_per_second: f64,
    /// Processor time per second of the failure detector and the frames.
    pub time_per_second: Duration,
}

/// Measures `links` links for `beats` heartbeat intervals each.
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
            // This end's heartbeat, and its reply to the heartbeat of the other end.
            for sent in [
                Frame::<u32>::Heartbeat(heartbeat),
                Frame::HeartbeatReply(heartbeat),
            ] {
                let mut out = Vec::new();
                frame::write(&mut out, &sent).expect("short enough for a frame");
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
        bytes_per_second: bytes as f64 / seconds,
        messages_per_second: messages as f64 / seconds,
        time_per_second: (thread_time() - before).div_f64(seconds),
    }
}
