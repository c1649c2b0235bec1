//! Model check of write, acknowledge, crash, lost disk and retry at another gateway, to a stated
//! depth. The world runs the cores that ship: two gateways that send, three keepers, one client
//! that asks its key at one and then at the other. All orders of claims, flushes and faults are
//! tried; an answer arrives as it leaves, or is lost with its keeper. With the cores as they ship
//! nothing takes effect twice; each of three planted bugs is found.

use std::collections::BTreeMap;

use eideryard_intent_log::Place;
use eideryard_replication::replica_set::Limits;
use eideryard_replication::{Config, Core, Message, Origin, Output, Peer, ReplicaRecord, Verdict};
use stateright::{Checker, Model, Property};

const KEEPERS: usize = 3;
const SENDERS: usize = 2;
const KEY: &[u8] = b"\0\0key";
/// One moment: all that happens fits well into every window.
const NOW: u64 = 1_000_000_000;
const LONGEST: u64 = 20_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A keeper acknowledges before its flush.
    EarlyAcknowledgement,
    /// A gateway sends with the word of one keeper.
    OneIsEnough,
    /// A keeper that lost its disk votes at once.
    WipedVotes,
}

/// The link of a gateway to a keeper.
type Way = (usize, usize);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Keeper {
    core: Core,
    /// Copies that are durable, those that are written, and what waits for the flush.
    disk: BTreeMap<Vec<u8>, ReplicaRecord>,
    written: BTreeMap<Vec<u8>, ReplicaRecord>,
    then: Vec<(usize, Message)>,
    starts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sender {
    core: Core,
    /// The client's request is here: not asked, claimed, sent or refused.
    stage: Stage,
    up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Claims,
    Sent,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    senders: Vec<Sender>,
    keepers: Vec<Keeper>,
    wire: Vec<(Way, Message)>,
    effects: u8,
    kills: u8,
    wipes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The client asks at a gateway.
    Ask(usize),
    /// The first message of a link arrives.
    Deliver(Way),
    Flush(usize),
    /// The process of a keeper is killed and starts again, with its disk or without.
    Kill(usize),
    Wipe(usize),
    /// A gateway that has sent dies for good; its client comes again elsewhere.
    Die(usize),
}

struct World {
    bug: Bug,
}

fn plan(own: Option<usize>) -> Config {
    Config {
        keepers: KEEPERS,
        own,
        longest: LONGEST,
        limits: Limits { entries: 9 },
        bytes_per_s: 1 << 20,
        send_without: false,
    }
}

impl World {
    fn keeper(
        &self,
        at: usize,
        starts: u64,
        whole: bool,
        disk: &BTreeMap<Vec<u8>, ReplicaRecord>,
    ) -> Core {
        let origin = Origin {
            identity: 100 + at as u64,
            start: starts,
        };
        let whole = whole || self.bug == Bug::WipedVotes;
        Core::start(plan(Some(at)), origin, whole, disk.clone().into_iter(), NOW)
    }

    /// Carries out what a sender's core put out.
    fn sends(&self, state: &mut State, sender: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(Peer::Voter(keeper), message) => {
                    state.wire.push(((sender, keeper), message));
                }
                Output::Verdict(_, verdict) => self.decided(state, sender, verdict),
                _ => {}
            }
        }
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    fn decided(&self, state: &mut State, sender: usize, verdict: Verdict) {
        if state.senders[sender].stage != Stage::Claims {
            return;
        }
        state.senders[sender].stage = match verdict {
            Verdict::Granted => {
                // The engine runs it: another cell for each gateway, so no engine knows the
                // other's.
                state.effects += 1;
                Stage::Sent
            }
            // Told of another run in another cell, the module sends nothing.
            _ => Stage::Over,
        };
    }

    /// Carries out what a keeper's core put out.
    fn keeps(&self, state: &mut State, keeper: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // Asks among keepers are not answered here: a wiped one stays silent.
                Output::Send(Peer::Requester(sender), message) => {
                    self.answered(state, keeper, sender as usize, message);
                }
                Output::Store {
                    key,
                    copy: Some(copy),
                    then,
                } => {
                    state.keepers[keeper].written.insert(key, copy);
                    for output in then {
                        if let Output::Send(Peer::Requester(sender), message) = output {
                            if self.bug == Bug::EarlyAcknowledgement {
                                self.answered(state, keeper, sender as usize, message);
                            } else {
                                state.keepers[keeper].then.push((sender as usize, message));
                            }
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// A keeper's answer arrives.
    fn answered(&self, state: &mut State, keeper: usize, sender: usize, message: Message) {
        if !state.senders[sender].up {
            return;
        }
        let unseen = matches!(&message, Message::Claimed { seen, .. } if seen.is_empty());
        let outputs = state.senders[sender]
            .core
            .hears(NOW, Peer::Voter(keeper), message);
        if self.bug == Bug::OneIsEnough && unseen {
            self.decided(state, sender, Verdict::Granted);
        } else {
            self.sends(state, sender, outputs);
        }
    }

    fn restart(&self, state: &mut State, keeper: usize, wiped: bool) {
        let own = &mut state.keepers[keeper];
        own.starts += 1;
        if wiped {
            own.disk.clear();
        }
        (own.written, own.then) = (own.disk.clone(), Vec::new());
        let voted = own.core.standing.votes();
        own.core = self.keeper(keeper, own.starts, voted && !wiped, &own.disk);
        // Its links went with it; senders claim once, so what was under way is lost.
        state.wire.retain(|((_, to), _)| *to != keeper);
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
            let mut core = Core::start(plan(None), origin, true, std::iter::empty(), NOW);
            (0..KEEPERS).for_each(|keeper| _ = core.link(NOW, Peer::Voter(keeper), true));
            Sender {
                core,
                stage: Stage::Idle,
                up: true,
            }
        };
        let keeper = |at: usize| Keeper {
            core: Core::start(
                plan(Some(at)),
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
            then: Vec::new(),
            starts: 1,
        };
        let senders = (0..SENDERS).map(sender).collect();
        let keepers = (0..KEEPERS).map(keeper).collect();
        vec![State {
            senders,
            keepers,
            wire: Vec::new(),
            effects: 0,
            kills: 0,
            wipes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (at, sender) in state.senders.iter().enumerate() {
            // First at one; at the other once that has not answered, or at the same time.
            if sender.up
                && sender.stage == Stage::Idle
                && (at == 0 || state.senders[0].stage != Stage::Idle)
            {
                actions.push(Step::Ask(at));
            }
            if sender.up && sender.stage == Stage::Sent && at == 0 {
                actions.push(Step::Die(at));
            }
        }
        let mut ways: Vec<&Way> = state.wire.iter().map(|(way, _)| way).collect();
        ways.sort();
        ways.dedup();
        actions.extend(ways.into_iter().copied().map(Step::Deliver));
        for (at, keeper) in state.keepers.iter().enumerate() {
            if keeper.written != keeper.disk || !keeper.then.is_empty() {
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
            Step::Ask(at) => {
                let sender = &mut state.senders[at];
                sender.stage = Stage::Claims;
                let place = Some(Place {
                    zone: 0,
                    cell: at as u32,
                });
                let outputs = sender
                    .core
                    .claim(NOW, 1, KEY, place, NOW, LONGEST, Vec::new());
                self.sends(&mut state, at, outputs);
            }
            Step::Deliver(way) => {
                let place = state.wire.iter().position(|(own, _)| *own == way)?;
                let ((sender, keeper), message) = state.wire.remove(place);
                let from = Peer::Requester(sender as u64);
                let outputs = state.keepers[keeper].core.hears(NOW, from, message);
                self.keeps(&mut state, keeper, outputs);
            }
            Step::Flush(at) => {
                let keeper = &mut state.keepers[at];
                keeper.disk = keeper.written.clone();
                for (sender, message) in std::mem::take(&mut keeper.then) {
                    self.answered(&mut state, at, sender, message);
                }
            }
            Step::Kill(at) => {
                state.kills += 1;
                self.restart(&mut state, at, false);
            }
            Step::Wipe(at) => {
                state.wipes += 1;
                self.restart(&mut state, at, true);
            }
            Step::Die(at) => state.senders[at].up = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect twice", |_, state: &State| state.effects < 2),
            Property::sometimes("an effect after a wipe", |_, state: &State| {
                state.wipes > 0 && state.effects == 1
            }),
            Property::sometimes("a retry that is told of the first", |_, state: &State| {
                state.senders[0].stage == Stage::Sent && state.senders[1].stage == Stage::Over
            }),
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
fn planted_bugs_are_found() {
    for bug in [Bug::EarlyAcknowledgement, Bug::OneIsEnough, Bug::WipedVotes] {
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
