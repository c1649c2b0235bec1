//! Random entries from a seed.

use eideryard::interface::{
    Action, AttemptEnded, Event, LoadReport, Micros, Outcome, Phase, ProbeEnded, Progress, Request,
    RequestId, ResourceUsage,
};
use eideryard_event_log::*;
use fastrand::Rng;

use super::START;

fn real(rng: &mut Rng) -> f64 {
    match rng.u8(0..5) {
        0 => rng.u32(..) as f64,
        1 => rng.u32(..) as f64 / 1000.0,
        2 => rng.f64(),
        3 => -rng.f64() * 1e9,
        _ => f64::MAX,
    }
}

fn outcome(rng: &mut Rng) -> Outcome {
    use Outcome::*;
    *rng.choice(&[
        Answered,
        Error,
        AtCapacity,
        TimedOut,
        NoConnection,
        Broken,
        Cancelled,
        NotSent,
    ])
    .unwrap()
}

fn report(rng: &mut Rng) -> Option<LoadReport> {
    let mut some = |chance: bool| chance.then(|| real(rng));
    let [a, b, c] = [some(true), some(false), some(true)];
    rng.bool().then_some(LoadReport {
        in_flight: a,
        waiting_for_memory: b,
        cores_busy: c,
        ..LoadReport::default()
    })
}

fn phase(rng: &mut Rng) -> Phase {
    *rng.choice(&[Phase::Ready, Phase::Draining, Phase::Removed])
        .unwrap()
}

fn listed(rng: &mut Rng) -> Vec<eideryard::interface::Endpoint> {
    let entry = |rng: &mut Rng| eideryard::interface::Endpoint {
        engine: rng.u32(..),
        zone: rng.u32(0..9),
        kind: rng.u32(..),
        cell: rng.u32(0..300),
        phase: phase(rng),
        booted_at: rng.u64(..),
    };
    (0..rng.usize(0..20)).map(|_| entry(rng)).collect()
}

pub fn request(rng: &mut Rng) -> RequestId {
    (rng.u64(1..1 << 20) << 32) | rng.u64(0..200)
}

/// Any entry that a gateway may record after a segment's state.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
pub fn entry(rng: &mut Rng, at: Micros) -> Entry {
    let id = request(rng);
    let class = rng.usize(0..4);
    let tenant = rng.usize(0..3);
    let offer = ClientRequest {
        request: id,
        id: rng.u64(..),
        connection: request(rng),
    };
    match rng.u8(0..36) {
        0 => Entry::Event(Event::EndpointSnapshot(listed(rng))),
        1 => Entry::Event(Event::EndpointChanges(listed(rng))),
        2 if rng.bool() => Entry::Event(Event::DiscoveryFailed),
        2 => {
            let class = |rng: &mut Rng| eideryard::interface::ClassEstimates {
                work_ratio: real(rng),
                memory_ratio: real(rng),
                work: real(rng),
                memory_mb: rng.bool().then(|| real(rng)),
            };
            let engine = |rng: &mut Rng| eideryard::interface::EngineEstimates {
                engine: rng.u32(..),
                booted_at: rng.u64(..),
                slowdown: real(rng),
                best_slowdown: real(rng),
                bad_outcome_share: real(rng),
                foreign_load: real(rng),
            };
            let (classes, engines) = (
                (0..rng.usize(0..4)).map(|_| class(rng)).collect(),
                vec![engine(rng)],
            );
            let lessons = eideryard::interface::LearnedState {
                classes,
                engines,
                baseline_load: real(rng),
            };
            Entry::Event(Event::CheckpointRestored {
                learned: lessons,
                age: rng.u64(..),
            })
        }
        3..=6 => Entry::Event(Event::Arrived(Request {
            id,
            class,
            tenant,
            key: rng.bool().then(|| format!("{:032x}", rng.u128(..))),
            deadline: at + rng.u64(0..10_000_000),
            work: rng.bool().then(|| real(rng)),
            memory_mb: rng.bool().then(|| real(rng)),
            group: rng.u64(0..500),
            prior_attempts: (0..rng.usize(0..3))
                .map(|_| eideryard::interface::PriorAttempt {
                    zone: rng.u32(0..9),
                    cell: rng.u32(..),
                    since: rng.u64(..),
                })
                .collect(),
        })),
        7 => Entry::Event(Event::StreamBegan { request: id }),
        34 => match rng.u8(0..6) {
            4 => Entry::Host(HostEvent::Fleet(FleetEvent::LeaseChanged {
                task: rng.u32(..),
                term: rng.u64(..),
                is_held: true,
            })),
            5 => Entry::Host(HostEvent::Fleet(FleetEvent::WorkReceived {
                task: rng.u32(..),
                term: rng.u64(..),
                owner: rng.u64(..),
                is_accepted: rng.bool(),
            })),
            0 => Entry::Host(HostEvent::Fleet(FleetEvent::PeerState {
                name: "g1".into(),
                state: "slow".into(),
            })),
            1 => Entry::Host(HostEvent::Fleet(FleetEvent::PeerRejected {
                name: "g2".into(),
                reason: "another".into(),
            })),
            2 => Entry::Host(HostEvent::Fleet(FleetEvent::VotingChanged {
                is_voter: rng.bool(),
            })),
            _ => Entry::Host(HostEvent::Fleet(FleetEvent::MajorityChanged {
                is_reachable: rng.bool(),
            })),
        },
        35 if rng.bool() => Entry::Event(Event::PriorAttempts {
            request: id,
            prior_attempts: vec![eideryard::interface::PriorAttempt {
                zone: 1,
                cell: 2,
                since: rng.u64(..),
            }],
        }),
        35 => Entry::Host(HostEvent::RefusalExplained {
            request: id,
            reason: *rng.choice(&RejectReason::ALL).unwrap(),
        }),
        8 => {
            let notes = [
                Progress::Share(real(rng)),
                Progress::Spilling(real(rng)),
                Progress::WaitsForMemory,
                Progress::WaitsForLoad,
            ];
            Entry::Event(Event::ProgressReported {
                request: id,
                attempt: rng.usize(0..9),
                progress: *rng.choice(&notes).unwrap(),
            })
        }
        9..=12 => Entry::Event(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt: rng.usize(0..9),
            outcome: outcome(rng),
            spent: rng.u64(0..9_000_000),
            is_request_complete: rng.bool(),
            is_already_reported: rng.bool(),
            usage: rng.bool().then(|| ResourceUsage {
                work: real(rng),
                memory_mb: real(rng),
            }),
            report: report(rng),
        })),
        13 => Entry::Event(Event::ProbeEnded(ProbeEnded {
            engine: rng.u32(..),
            outcome: outcome(rng),
            report: report(rng),
        })),
        14 => Entry::Event(Event::ClientLeft { request: id }),
        15 => Entry::Event(Event::Timer {
            tag: *rng.choice(&[0, id + 1]).unwrap(),
        }),
        16 => Entry::Action(Action::Grant {
            request: id,
            grant_mb: real(rng),
            rank: rng.u8(0..4),
        }),
        17 | 18 => Entry::Action(Action::Send {
            request: id,
            engine: rng.u32(..),
            attempt_deadline: at + rng.u64(0..99_999),
        }),
        19 => Entry::Action(Action::Probe {
            engine: rng.u32(..),
        }),
        20 => Entry::Action(Action::Cancel {
            request: id,
            attempt: rng.usize(0..9),
        }),
        21 => Entry::Action(Action::Refuse {
            request: id,
            retry_after: rng.u64(0..9_000_000),
        }),
        22 => Entry::Action(Action::Fail { request: id }),
        23 => Entry::Action(Action::SetTimer {
            after: rng.u64(0..9_000_000),
            tag: *rng.choice(&[0, id + 1]).unwrap(),
        }),
        24 => Entry::Action(Action::Log("engine 17 quarantined: silent".into())),
        25 => Entry::Host(HostEvent::Connected {
            connection: id,
            address: [127, 0, 0, rng.u8(..)].into(),
        }),
        31 => Entry::Host(HostEvent::ConnectionClosing {
            connection: id,
            reason: *rng.choice(&CloseReason::ALL).unwrap(),
        }),
        32 => Entry::Host(HostEvent::RetryAttached { class, tenant }),
        26 => Entry::Host(HostEvent::Disconnected { connection: id }),
        27 => Entry::Host(HostEvent::RequestReceived(offer)),
        28 => {
            let how = *rng.choice(&RejectReason::ALL).unwrap();
            Entry::Host(HostEvent::RequestRejected {
                reason: how,
                class: rng.bool().then_some(class),
                tenant: rng.bool().then_some(tenant),
            })
        }
        29 | 30 => {
            let how = *rng.choice(&AnswerKind::ALL).unwrap();
            Entry::Host(HostEvent::Answered {
                request: id,
                class,
                tenant,
                kind: how,
                is_late: rng.bool(),
            })
        }
        _ => Entry::Host(HostEvent::DiscoveryEvent {
            number: rng.u64(0..999),
        }),
    }
}
