//! Model check against a request that takes effect twice when its client retries at another gateway
//! while voters crash or lose their disks. Runs real cores, two gateways and three voters, through
//! all orders of steps up to `DEPTH`. A reply arrives when it is sent, or is lost with its voter.

use std::collections::BTreeMap;

use eideryard_intent_log::Location;
use eideryard_replication::core::ClaimRequest;
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{Config, Core, Message, Origin, Output, Peer, ReplicaRecord, Verdict};
use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;
const SENDERS: usize = 2;
const KEY: &[u8] = b"\0\0key";
/// Time of all steps. It does not advance, so no claim times out and no record expires.
const NOW: u64 = 1_000_000_000;
const MAX_RETENTION: u64 = 20_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A voter acknowledges a claim before it is flushed.
    EarlyAcknowledgement,
    /// A gateway sends its request after a single vote.
    SingleVote,
    /// A voter that has lost its disk votes immediately.
    WipedVotes,
}

/// The link from a gateway to a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Link {
    sender: usize,
    voter: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    core: Core,
    /// Durable replica records.
    disk: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// Written replica records, flushed or not.
    written: BTreeMap<Vec<u8>, ReplicaRecord>,
    /// Replies that are waiting for the flush, with the gateway that receives them.
    waiting_for_flush: Vec<(usize, Message)>,
    start_count: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sender {
    core: Core,
    /// State of the client's request at this gateway.
    stage: Stage,
    is_up: bool,
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
    /// Number of times that an engine has run the request.
    effects: u8,
    kills: u8,
    wipes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The client sends its request to a gateway.
    Request(usize),
    /// The first message on a link arrives.
    Deliver(Link),
    Flush(usize),
    /// The process of a voter is killed and restarts with its disk.
    Kill(usize),
    /// The process of a voter is killed and restarts without its disk.
    Wipe(usize),
    /// A gateway that has sent the request stops permanently.
    Stop(usize),
}

/// Whether a restarted voter still has its disk.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disk {
    Kept,
    Lost,
}

struct ReplicationModel {
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

impl ReplicationModel {
    fn voter_core(
        &self,
        index: usize,
        start_count: u64,
        has_all_records: bool,
        disk: &BTreeMap<Vec<u8>, ReplicaRecord>,
    ) -> Core {
        let origin = Origin {
            identity: 100 + index as u64,
            start: start_count,
        };
        let has_all_records = has_all_records || self.bug == Bug::WipedVotes;
        let stored = disk.clone().into_iter();
        Core::start(config(Some(index)), origin, has_all_records, stored, NOW)
    }

    /// Performs the outputs of a sender's core.
    fn perform_sender_outputs(&self, state: &mut State, sender: usize, outputs: Vec<Output>) {
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
                // An engine runs the request. Each gateway sends to a different cell, so no engine
                // drops the second request as a duplicate.
                state.effects += 1;
                Stage::Sent
            }
            // If there may be a run in another cell, the balancer does not send the request.
            _ => Stage::Refused,
        };
    }

    /// Performs the outputs of a voter's core.
    fn perform_voter_outputs(&self, state: &mut State, voter: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // State requests between voters get no reply in this model, so a wiped voter does
                // not catch up.
                Output::Send(Peer::Requester(sender), message) => {
                    self.on_reply(state, voter, sender as usize, message);
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
                                self.on_reply(state, voter, sender as usize, message);
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

    /// Delivers a voter's reply to a gateway.
    fn on_reply(&self, state: &mut State, voter: usize, sender: usize, message: Message) {
        if !state.senders[sender].is_up {
            return;
        }
        let reports_no_runs = matches!(
            &message,
            Message::ClaimAccepted { reported_runs, .. } if reported_runs.is_empty()
        );
        let outputs = state.senders[sender]
            .core
            .on_message(NOW, Peer::Voter(voter), message);
        if self.bug == Bug::SingleVote && reports_no_runs {
            self.on_verdict(state, sender, &Verdict::Granted);
        } else {
            self.perform_sender_outputs(state, sender, outputs);
        }
    }

    fn restart(&self, state: &mut State, index: usize, disk: Disk) {
        let voter = &mut state.voters[index];
        voter.start_count += 1;
        if disk == Disk::Lost {
            voter.disk.clear();
        }
        voter.written = voter.disk.clone();
        voter.waiting_for_flush.clear();
        let has_all_records = voter.core.is_voting() && disk == Disk::Kept;
        voter.core = self.voter_core(index, voter.start_count, has_all_records, &voter.disk);
        // The links of the voter are closed. Senders claim only once, so messages in flight are
        // lost.
        state.messages.retain(|(link, _)| link.voter != index);
    }
}

impl Model for ReplicationModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let sender = |index: usize| {
            let origin = Origin {
                identity: index as u64 + 1,
                start: 1,
            };
            let mut core = Core::start(config(None), origin, true, std::iter::empty(), NOW);
            for voter in 0..VOTERS {
                core.on_link(NOW, Peer::Voter(voter), true);
            }
            Sender {
                core,
                stage: Stage::Idle,
                is_up: true,
            }
        };
        let voter = |index: usize| Voter {
            core: Core::start(
                config(Some(index)),
                Origin {
                    identity: 100 + index as u64,
                    start: 1,
                },
                true,
                std::iter::empty(),
                NOW,
            ),
            disk: BTreeMap::new(),
            written: BTreeMap::new(),
            waiting_for_flush: Vec::new(),
            start_count: 1,
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
        for (index, sender) in state.senders.iter().enumerate() {
            // The client sends to the first gateway, then to the second, with or without a reply.
            if sender.is_up
                && sender.stage == Stage::Idle
                && (index == 0 || state.senders[0].stage != Stage::Idle)
            {
                actions.push(Step::Request(index));
            }
            if sender.is_up && sender.stage == Stage::Sent && index == 0 {
                actions.push(Step::Stop(index));
            }
        }
        let mut links: Vec<Link> = state.messages.iter().map(|(link, _)| *link).collect();
        links.sort();
        links.dedup();
        actions.extend(links.into_iter().map(Step::Deliver));
        for (index, voter) in state.voters.iter().enumerate() {
            if voter.written != voter.disk || !voter.waiting_for_flush.is_empty() {
                actions.push(Step::Flush(index));
            }
            if state.kills < 1 {
                actions.push(Step::Kill(index));
            }
            if state.wipes < 1 {
                actions.push(Step::Wipe(index));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Request(index) => {
                let sender = &mut state.senders[index];
                sender.stage = Stage::Claimed;
                let location = Some(Location {
                    zone: 0,
                    cell: index as u32,
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
                self.perform_sender_outputs(&mut state, index, outputs);
            }
            Step::Deliver(link) => {
                let first = state
                    .messages
                    .iter()
                    .position(|(message_link, _)| *message_link == link)?;
                let (_, message) = state.messages.remove(first);
                let from = Peer::Requester(link.sender as u64);
                let voter = &mut state.voters[link.voter];
                let outputs = voter.core.on_message(NOW, from, message);
                self.perform_voter_outputs(&mut state, link.voter, outputs);
            }
            Step::Flush(index) => {
                let voter = &mut state.voters[index];
                voter.disk = voter.written.clone();
                for (sender, message) in std::mem::take(&mut voter.waiting_for_flush) {
                    self.on_reply(&mut state, index, sender, message);
                }
            }
            Step::Kill(index) => {
                state.kills += 1;
                self.restart(&mut state, index, Disk::Kept);
            }
            Step::Wipe(index) => {
                state.wipes += 1;
                self.restart(&mut state, index, Disk::Lost);
            }
            Step::Stop(index) => state.senders[index].is_up = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no repeated effect", |_, state: &State| state.effects < 2),
            Property::sometimes("a request takes effect after a wipe", |_, state: &State| {
                state.wipes > 0 && state.effects == 1
            }),
            Property::sometimes(
                "a retry is refused because of the first attempt",
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
    let checker = ReplicationModel { bug: Bug::None }
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
fn the_model_check_finds_each_injected_bug() {
    for bug in [Bug::EarlyAcknowledgement, Bug::SingleVote, Bug::WipedVotes] {
        let checker = ReplicationModel { bug }
            .checker()
            .target_max_depth(DEPTH)
            .threads(4)
            .spawn_bfs()
            .join();
        assert!(
            checker.discovery("no repeated effect").is_some(),
            "the model check does not find {bug:?}"
        );
    }
}
