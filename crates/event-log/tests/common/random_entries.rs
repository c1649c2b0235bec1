//! Generates random entries from a seed.

use eideryard::interface::{
    Action, AttemptEnded, Event, LoadReport, Micros, Outcome, Phase, ProbeEnded, Progress, Request,
    RequestId, ResourceUsage,
};
use eideryard_event_log::*;
use fastrand::Rng;

use super::START;

fn random_float(rng: &mut Rng) -> f64 {
    match rng.u8(0..5) {
        0 => rng.u32(..) as f64,
        1 => rng.u32(..) as f64 / 1000.0,
        2 => rng.f64(),
        3 => -rng.f64() * 1e9,
        _ => f64::MAX,
    }
}

fn random_outcome(rng: &mut Rng) -> Outcome {
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

fn random_load_report(rng: &mut Rng) -> Option<LoadReport> {
    let mut value_if = |is_present: bool| is_present.then(|| random_float(rng));
    let [in_flight, waiting_for_memory, cores_busy] =
        [value_if(true), value_if(false), value_if(true)];
    rng.bool().then_some(LoadReport {
        in_flight,
        waiting_for_memory,
        cores_busy,
        ..LoadReport::default()
    })
}

fn random_phase(rng: &mut Rng) -> Phase {
    *rng.choice(&[Phase::Ready, Phase::Draining, Phase::Removed])
        .unwrap()
}

fn random_endpoints(rng: &mut Rng) -> Vec<eideryard::interface::Endpoint> {
    let random_endpoint = |rng: &mut Rng| eideryard::interface::Endpoint {
        engine: rng.u32(..),
        zone: rng.u32(0..9),
        kind: rng.u32(..),
        cell: rng.u32(0..300),
        phase: random_phase(rng),
        booted_at: rng.u64(..),
    };
    (0..rng.usize(0..20))
        .map(|_| random_endpoint(rng))
        .collect()
}

pub fn random_request_id(rng: &mut Rng) -> RequestId {
    (rng.u64(1..1 << 20) << 32) | rng.u64(0..200)
}

/// Generates any kind of entry that a gateway may record after the state of a segment.
#[expect(
    clippy::too_many_lines,
    reason = "one match arm for each kind of entry"
)]
pub fn random_entry(rng: &mut Rng, at: Micros) -> Entry {
    let id = random_request_id(rng);
    let class = rng.usize(0..4);
    let tenant = rng.usize(0..3);
    let client_request = ClientRequest {
        request: id,
        id: rng.u64(..),
        connection: random_request_id(rng),
    };
    match rng.u8(0..36) {
        0 => Entry::Event(Event::EndpointSnapshot(random_endpoints(rng))),
        1 => Entry::Event(Event::EndpointChanges(random_endpoints(rng))),
        2 if rng.bool() => Entry::Event(Event::DiscoveryFailed),
        2 => {
            let random_class = |rng: &mut Rng| eideryard::interface::ClassEstimates {
                work_ratio: random_float(rng),
                memory_ratio: random_float(rng),
                work: random_float(rng),
                memory_mb: rng.bool().then(|| random_float(rng)),
            };
            let random_engine = |rng: &mut Rng| eideryard::interface::EngineEstimates {
                engine: rng.u32(..),
                booted_at: rng.u64(..),
                slowdown: random_float(rng),
                best_slowdown: random_float(rng),
                bad_outcome_share: random_float(rng),
                foreign_load: random_float(rng),
            };
            let (classes, engines) = (
                (0..rng.usize(0..4)).map(|_| random_class(rng)).collect(),
                vec![random_engine(rng)],
            );
            let learned = eideryard::interface::LearnedState {
                classes,
                engines,
                baseline_load: random_float(rng),
            };
            Entry::Event(Event::CheckpointRestored {
                learned,
                age: rng.u64(..),
            })
        }
        3..=6 => Entry::Event(Event::Arrived(Request {
            id,
            class,
            tenant,
            key: rng.bool().then(|| format!("{:032x}", rng.u128(..))),
            deadline: at + rng.u64(0..10_000_000),
            work: rng.bool().then(|| random_float(rng)),
            memory_mb: rng.bool().then(|| random_float(rng)),
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
            let reports = [
                Progress::Share(random_float(rng)),
                Progress::Spilling(random_float(rng)),
                Progress::WaitsForMemory,
                Progress::WaitsForLoad,
            ];
            Entry::Event(Event::ProgressReported {
                request: id,
                attempt: rng.usize(0..9),
                progress: *rng.choice(&reports).unwrap(),
            })
        }
        9..=12 => Entry::Event(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt: rng.usize(0..9),
            outcome: random_outcome(rng),
            spent: rng.u64(0..9_000_000),
            is_request_complete: rng.bool(),
            is_already_reported: rng.bool(),
            usage: rng.bool().then(|| ResourceUsage {
                work: random_float(rng),
                memory_mb: random_float(rng),
            }),
            report: random_load_report(rng),
        })),
        13 => Entry::Event(Event::ProbeEnded(ProbeEnded {
            engine: rng.u32(..),
            outcome: random_outcome(rng),
            report: random_load_report(rng),
        })),
        14 => Entry::Event(Event::ClientLeft { request: id }),
        15 => Entry::Event(Event::Timer {
            tag: *rng.choice(&[0, id + 1]).unwrap(),
        }),
        16 => Entry::Action(Action::Grant {
            request: id,
            grant_mb: random_float(rng),
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
        27 => Entry::Host(HostEvent::RequestReceived(client_request)),
        28 => {
            let reason = *rng.choice(&RejectReason::ALL).unwrap();
            Entry::Host(HostEvent::RequestRejected {
                reason,
                class: rng.bool().then_some(class),
                tenant: rng.bool().then_some(tenant),
            })
        }
        29 | 30 => {
            let kind = *rng.choice(&AnswerKind::ALL).unwrap();
            Entry::Host(HostEvent::Answered {
                request: id,
                class,
                tenant,
                kind,
                is_late: rng.bool(),
            })
        }
        _ => Entry::Host(HostEvent::DiscoveryEvent {
            number: rng.u64(0..999),
        }),
    }
}
