//! Model check of write, acknowledge, crash, lost disk and retry at another gateway, to a stated
//! depth. The model runs the real cores: two gateways that send, three voters, one client that
//! sends its key to one gateway and then to the other. All orders of claims, flushes and faults are
//! tried; an answer arrives when it is sent, or is lost with its voter. The cores never let the
//! request take effect twice; each of three injected bugs is found.

use std::collections::BTreeMap;

use eideryard_intent_log::Location;
use eideryard_replication::core::ClaimRequest;
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{Config, Core, Message, Origin, Output, Peer, ReplicaRecord, Verdict};
use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;
const SENDERS: usize = 2;
const KEY: &[u8] = b"\0\0key";
/// Time does not advance: the whole run fits into every window.
const NOW: u64 = 1_000_000_000;
const MAX_RETENTION: u64 = 20_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A voter acknowledges before its flush.
    EarlyAcknowledgement,
    /// A gateway sends with one vote.
    SingleVote,
    /// A voter that lost its disk votes at once.
    WipedVotes,
}

/// The link of a gateway to a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Link {
    sender: usize,
    voter: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    core: Core,
    /// Replica records that are durable.
    disk: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// Replica records that are written, flushed or not.
    written: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// Answers that wait for the flush, by their receiver.
    waiting_for_flush: Vec<(usize, Message)>,
    starts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sender {
    core: Core,
    /// State of the client's request at this gateway.
    stage: Stage,
    up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Claimed,
    Sent,
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    senders: Vec<Sender>,
    voters: Vec<Voter>,
    messages: Vec<(Link, Message)>,
    effects: u8,
    kills: u8,
    wipes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The client sends its request to a gateway.
    Request(usize),
    /// The first message of a link arrives.
    Deliver(Link),
    Flush(usize),
    /// The process of a voter is killed and restarts with its disk.
    Kill(usize),
    /// The process of a voter is killed and restarts without its disk.
    Wipe(usize),
    /// A gateway that has sent stops for good; its client retries elsewhere.
    Stop(usize),
}

/// What a restarted voter finds.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disk {
    Kept,
    Lost,
}

struct World {
    bug: Bug,
}

fn config(voter_index: Option<usize>) -> Config {
    Config {
        voters: VOTERS,
        voter_index,
        max_retention: MAX_RETENTION,
        limits: Limits { max_keys: 9 },
        transfer_bytes_per_s: 1 << 20,
        send_without_majority: false,
    }
}

impl World {
    fn voter_core(
        &self,
        index: usize,
        starts: u64,
        is_complete: bool,
        disk: &BTreeMap<Vec<u8>, ReplicaRecord>,
    ) -> Core {
        let origin = Origin {
            identity: 100 + index as u64,
            start: starts,
        };
        let is_complete = is_complete || self.bug == Bug::WipedVotes;
        let stored = disk.clone().into_iter();
        Core::start(config(Some(index)), origin, is_complete, stored, NOW)
    }

    /// Carries out the outputs of a sender's core.
    fn perform_sender(&self, state: &mut State, sender: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(Peer::Voter(voter), message) => {
                    state.messages.push((Link { sender, voter }, message));
                }
                Output::Verdict(_, verdict) => self.on_verdict(state, sender, &verdict),
                _ => {}
            }
        }
    }

    fn on_verdict(&self, state: &mut State, sender: usize, verdict: &Verdict) {
        if state.senders[sender].stage != Stage::Claimed {
            return;
        }
        state.senders[sender].stage = match verdict {
            Verdict::Granted => {
                // The engine runs it. Each gateway sends to its own cell, so no engine drops the
                // other's request as a repeat.
                state.effects += 1;
                Stage::Sent
            }
            // With a run known in another cell the balancer sends nothing.
            _ => Stage::Refused,
        };
    }

    /// Carries out the outputs of a voter's core.
    fn perform_voter(&self, state: &mut State, voter: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // State requests between voters are not answered here: a wiped voter does not catch
                // up.
                Output::Send(Peer::Requester(sender), message) => {
                    self.on_answer(state, voter, sender as usize, message);
                }
                Output::Store {
                    key,
                    replica: Some(replica),
                    after_durable,
                } => {
                    state.voters[voter].written.insert(key, replica);
                    for output in after_durable {
                        if let Output::Send(Peer::Requester(sender), message) = output {
                            if self.bug == Bug::EarlyAcknowledgement {
                                self.on_answer(state, voter, sender as usize, message);
                            } else {
                                let waiting = &mut state.voters[voter].waiting_for_flush;
                                waiting.push((sender as usize, message));
                            }
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// A voter's answer arrives.
    fn on_answer(&self, state: &mut State, voter: usize, sender: usize, message: Message) {
        if !state.senders[sender].up {
            return;
        }
        let is_unopposed = matches!(&message, Message::ClaimAccepted { reported_runs, .. } if reported_runs.is_empty());
        let outputs = state.senders[sender]
            .core
            .on_message(NOW, Peer::Voter(voter), message);
        if self.bug == Bug::SingleVote && is_unopposed {
            self.on_verdict(state, sender, &Verdict::Granted);
        } else {
            self.perform_sender(state, sender, outputs);
        }
    }

    fn restart(&self, state: &mut State, index: usize, disk: Disk) {
        let voter = &mut state.voters[index];
        voter.starts += 1;
        if disk == Disk::Lost {
            voter.disk.clear();
        }
        voter.written = voter.disk.clone();
        voter.waiting_for_flush.clear();
        let is_complete = voter.core.is_voting() && disk == Disk::Kept;
        voter.core = self.voter_core(index, voter.starts, is_complete, &voter.disk);
        // Its links are closed; senders claim once, so messages in flight are lost.
        state.messages.retain(|(link, _)| link.voter != index);
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let sender = |at: usize| {
            let origin = Origin {
                identity: at as u64 + 1,
                start: 1,
            };
            let mut core = Core::start(config(None), origin, true, std::iter::empty(), NOW);
            for voter in 0..VOTERS {
                core.on_link(NOW, Peer::Voter(voter), true);
            }
            Sender {
                core,
                stage: Stage::Idle,
                up: true,
            }
        };
        let voter = |at: usize| Voter {
            core: Core::start(
                config(Some(at)),
                Origin {
                    identity: 100 + at as u64,
                    start: 1,
                },
                true,
                std::iter::empty(),
                NOW,
            ),
            disk: BTreeMap::new(),
            written: BTreeMap::new(),
            waiting_for_flush: Vec::new(),
            starts: 1,
        };
        let senders = (0..SENDERS).map(sender).collect();
        let voters = (0..VOTERS).map(voter).collect();
        vec![State {
            senders,
            voters,
            messages: Vec::new(),
            effects: 0,
            kills: 0,
            wipes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (at, sender) in state.senders.iter().enumerate() {
            // First at one gateway, then at the other, answered or not.
            if sender.up
                && sender.stage == Stage::Idle
                && (at == 0 || state.senders[0].stage != Stage::Idle)
            {
                actions.push(Step::Request(at));
            }
            if sender.up && sender.stage == Stage::Sent && at == 0 {
                actions.push(Step::Stop(at));
            }
        }
        let mut links: Vec<Link> = state.messages.iter().map(|(link, _)| *link).collect();
        links.sort();
        links.dedup();
        actions.extend(links.into_iter().map(Step::Deliver));
        for (at, voter) in state.voters.iter().enumerate() {
            if voter.written != voter.disk || !voter.waiting_for_flush.is_empty() {
                actions.push(Step::Flush(at));
            }
            if state.kills < 1 {
                actions.push(Step::Kill(at));
            }
            if state.wipes < 1 {
                actions.push(Step::Wipe(at));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Request(at) => {
                let sender = &mut state.senders[at];
                sender.stage = Stage::Claimed;
                let location = Some(Location {
                    zone: 0,
                    cell: at as u32,
                });
                let claim = ClaimRequest {
                    number: 1,
                    key: KEY,
                    location,
                    since: NOW,
                    retention: MAX_RETENTION,
                    known_runs: Vec::new(),
                };
                let outputs = sender.core.claim(NOW, claim);
                self.perform_sender(&mut state, at, outputs);
            }
            Step::Deliver(link) => {
                let first = state.messages.iter().position(|(of, _)| *of == link)?;
                let (_, message) = state.messages.remove(first);
                let from = Peer::Requester(link.sender as u64);
                let voter = &mut state.voters[link.voter];
                let outputs = voter.core.on_message(NOW, from, message);
                self.perform_voter(&mut state, link.voter, outputs);
            }
            Step::Flush(at) => {
                let voter = &mut state.voters[at];
                voter.disk = voter.written.clone();
                for (sender, message) in std::mem::take(&mut voter.waiting_for_flush) {
                    self.on_answer(&mut state, at, sender, message);
                }
            }
            Step::Kill(at) => {
                state.kills += 1;
                self.restart(&mut state, at, Disk::Kept);
            }
            Step::Wipe(at) => {
                state.wipes += 1;
                self.restart(&mut state, at, Disk::Lost);
            }
            Step::Stop(at) => state.senders[at].up = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect twice", |_, state: &State| state.effects < 2),
            Property::sometimes("an effect after a wipe", |_, state: &State| {
                state.wipes > 0 && state.effects == 1
            }),
            Property::sometimes(
                "a retry that learns of the first attempt",
                |_, state: &State| {
                    state.senders[0].stage == Stage::Sent
                        && state.senders[1].stage == Stage::Refused
                },
            ),
        ]
    }
}

const DEPTH: usize = 13;

#[test]
fn no_order_of_messages_flushes_kills_and_wipes_takes_effect_twice() {
    let checker = World { bug: Bug::None }
        .checker()
        .target_max_depth(DEPTH)
        .threads(4)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{}",
        checker.unique_state_count()
    );
}

#[test]
fn injected_bugs_are_found() {
    for bug in [Bug::EarlyAcknowledgement, Bug::SingleVote, Bug::WipedVotes] {
        let checker = World { bug }
            .checker()
            .target_max_depth(DEPTH)
            .threads(4)
            .spawn_bfs()
            .join();
        assert!(
            checker.discovery("no effect twice").is_some(),
            "{bug:?} is not found"
        );
    }
}
