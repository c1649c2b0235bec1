//! Random entries from a seed, and disks that fail.
#![allow(dead_code)]

use eideryard::interface::{
    Action, AttemptEnded, Event, LoadReport, Micros, Outcome, Phase, Probed, Progress, Request,
    RequestId, ResourceUsage,
};
use eideryard_event_log::disk::{Directory, Disk, Segment};
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::*;
use fastrand::Rng;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;

pub const START: Micros = 1_796_147_675_000_000;

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
                bad: real(rng),
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
            complete: rng.bool(),
            already_reported: rng.bool(),
            usage: rng.bool().then(|| ResourceUsage {
                work: real(rng),
                memory_mb: real(rng),
            }),
            report: report(rng),
        })),
        13 => Entry::Event(Event::Probed(Probed {
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

pub fn plan(name: &str, segment: u64) -> Config {
    Config {
        name: name.into(),
        epoch: START,
        max_total_bytes: 64 << 20,
        max_segment_bytes: segment,
        max_segment_age: 600_000_000,
        retry_delay: std::time::Duration::from_millis(20),
        classes: 4,
        tenants: 3,
    }
}

/// Begins a segment where one is due, as a gateway does.
pub fn state(recorder: &mut Recorder, at: Micros) {
    if recorder.needs_segment(at) && recorder.start_segment(at) {
        recorder.record_state(
            at,
            &HostEvent::Names(Names {
                classes: vec!["report".into()],
                ..Names::default()
            }),
        );
        recorder.record_state(
            at,
            &HostEvent::Connected {
                connection: 1 << 32,
                address: [127, 0, 0, 1].into(),
            },
        );
        recorder.finish_state(at);
    }
}

/// Records so many random entries, a millisecond apart; gives what was counted.
pub fn fill(recorder: &mut Recorder, seed: u64, count: u64) -> Tally {
    let mut rng = Rng::with_seed(seed);
    for number in 0..count {
        let at = START + number * 1000;
        state(recorder, at);
        recorder.record(at, entry(&mut rng, at).as_ref());
        recorder.flush(at);
    }
    recorder.tally().clone()
}

/// A real directory in which the calls fail that a countdown says: from the n-th on, so many.
pub struct Failing {
    pub inner: Directory,
    pub until_failure: Arc<AtomicI64>,
    pub failures: i64,
    /// A failed append leaves half of its bytes behind.
    pub tears: bool,
}

impl Failing {
    pub fn new(directory: &Path, first: i64, failures: i64, tears: bool) -> Self {
        let until_failure = Arc::new(AtomicI64::new(first));
        Failing {
            inner: Directory(directory.into()),
            until_failure,
            failures,
            tears,
        }
    }

    fn call(counter: &AtomicI64, failures: i64) -> io::Result<()> {
        let left = counter.fetch_sub(1, Ordering::Relaxed);
        if left <= 0 && left > -failures {
            Err(io::Error::other("the disk is full"))
        } else {
            Ok(())
        }
    }
}

struct FailingSegment {
    inner: Box<dyn Segment>,
    until_failure: Arc<AtomicI64>,
    failures: i64,
    tears: bool,
}

impl Disk for Failing {
    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        Self::call(&self.until_failure, self.failures)?;
        self.inner.list()
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        Self::call(&self.until_failure, self.failures)?;
        let (inner, until_failure) = (self.inner.create(name)?, self.until_failure.clone());
        Ok(Box::new(FailingSegment {
            inner,
            until_failure,
            failures: self.failures,
            tears: self.tears,
        }))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        Self::call(&self.until_failure, self.failures)?;
        self.inner.remove(name)
    }
}

impl Segment for FailingSegment {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let called = Failing::call(&self.until_failure, self.failures);
        if called.is_err() && self.tears {
            self.inner.append(&bytes[..bytes.len() / 2])?;
        }
        called?;
        self.inner.append(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        Failing::call(&self.until_failure, self.failures)?;
        self.inner.truncate(length)
    }
}

/// What a record tells: its entries, what they count, and what was wrong.
pub struct Read {
    pub entries: Vec<(Micros, Entry)>,
    pub counted: Tally,
    pub gaps: Vec<(u64, Tally)>,
    pub damages: usize,
    pub problems: Vec<Problem>,
    /// The tally before each gap, by folding alone.
    pub before_gaps: Vec<Tally>,
}

pub fn read(directory: &Path) -> Result<Read, eideryard_event_log::reader::ReadError> {
    let mut merged = MergedReader::open(&[directory.to_path_buf()])?;
    let mut counted = eideryard_event_log::tally::RunningTally::default();
    let (mut entries, mut gaps, mut damages, mut before_gaps) =
        (Vec::new(), Vec::new(), 0, Vec::new());
    let mut folded = Tally::default();
    while let Some(told) = merged.next_entry()? {
        match told.content {
            reader::ReadContent::Damaged => damages += 1,
            reader::ReadContent::Entry(entry) => {
                if matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. })) {
                    folded = counted.tally.clone();
                }
                counted.add(entry.as_ref());
                if let EntryRef::Host(HostEvent::Gap {
                    entries, counted, ..
                }) = entry.as_ref()
                {
                    gaps.push((*entries, (**counted).clone()));
                    before_gaps.push(folded.clone());
                }
                entries.push((told.at, entry));
            }
        }
    }
    let problems = merged
        .problems()
        .map(|(_, problem)| problem.clone())
        .collect();
    Ok(Read {
        entries,
        counted: counted.tally,
        gaps,
        damages,
        problems,
        before_gaps,
    })
}

/// What a gateway records of one request that is served at its first attempt, with two beats of the
/// module.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
pub fn served(number: u64) -> Vec<(Micros, Entry)> {
    let (id, begin) = ((number << 32) | (number % 300), START + number * 2000);
    let engine = 0x9e37_0000 + (number % 12) as u32;
    let offer = ClientRequest {
        request: id,
        id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        connection: (77 << 32) | 3,
    };
    let arrived = Request {
        id,
        class: (number % 3) as usize,
        tenant: (number % 3) as usize,
        key: None,
        deadline: begin + 1_500_000,
        work: Some(812_000.0 + number as f64 * 100.0),
        prior_attempts: Vec::new(),
        memory_mb: Some(96.0),
        group: 17,
    };
    let report = LoadReport {
        in_flight: Some(7.0),
        cores_busy: Some(0.61),
        ..LoadReport::default()
    };
    let ended = AttemptEnded {
        request: id,
        attempt: 0,
        outcome: Outcome::Answered,
        spent: 93_411,
        complete: true,
        already_reported: false,
        usage: Some(ResourceUsage {
            work: 791_300.0,
            memory_mb: 88.4,
        }),
        report: Some(report),
    };
    // Of one that came forty before it.
    let before = id - (40 << 32);
    let answered = HostEvent::Answered {
        request: before,
        class: arrived.class,
        tenant: arrived.tenant,
        kind: AnswerKind::Served,
        is_late: false,
    };
    let beat = |at| {
        [
            (at, Entry::Event(Event::Timer { tag: 0 })),
            (
                at,
                Entry::Action(Action::SetTimer {
                    after: 10_000,
                    tag: 0,
                }),
            ),
        ]
    };
    let mut entries = vec![
        (begin, Entry::Host(HostEvent::RequestReceived(offer))),
        (begin + 14, Entry::Event(Event::Arrived(arrived))),
        (
            begin + 14,
            Entry::Action(Action::SetTimer {
                after: 1_349_900,
                tag: id + 1,
            }),
        ),
        (
            begin + 14,
            Entry::Action(Action::Grant {
                request: id,
                grant_mb: 120.0,
                rank: 2,
            }),
        ),
        (
            begin + 14,
            Entry::Action(Action::Send {
                request: id,
                engine,
                attempt_deadline: begin + 1_490_000,
            }),
        ),
        (begin + 900, Entry::Host(answered)),
        (
            begin + 950,
            Entry::Event(Event::AttemptEnded(AttemptEnded {
                request: before,
                ..ended
            })),
        ),
    ];
    entries.extend(beat(begin + 1000));
    entries.extend(beat(begin + 1500));
    entries
}
