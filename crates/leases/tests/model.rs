//! Model check of vote, pause, renew, act and fence, with three voters and two candidates, to a
//! stated depth. It runs the cores that ship, each with a clock of its own: owners' stand still
//! while the voters' leases end. All orders of messages and of one voter's flushes and kill are
//! tried.

use std::collections::BTreeMap;

use eideryard_leases::{Config, Core, FencingToken, Message, Output, Task, LEASE};
use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;
const OWNERS: usize = 2;
const TASK: Task = Task { kind: 1, number: 1 };
const BEGIN: u64 = 1_000_000_000;
const JUMPS: u8 = 1;
const ACTS: u8 = 1;
/// The voter that is killed and whose disk takes its time; the others' disks are quick.
const SLOW: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A vote leaves before it is durable.
    HastyVotes,
    /// Work is let in whatever token it carries.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    core: Core,
    now: u64,
    disk: BTreeMap<Task, FencingToken>,
    written: BTreeMap<Task, FencingToken>,
    then: Vec<(Task, FencingToken, Vec<Then>)>,
    /// The greatest token whose work ever counted here, whatever the voter itself remembers.
    counted: FencingToken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Then {
    Tell(usize, Message),
    Apply(FencingToken),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    core: Core,
    now: u64,
    acts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: Vec<Voter>,
    owners: Vec<Owner>,
    /// From an owner to a voter, in order.
    wire: Vec<(usize, usize, Message)>,
    kills: u8,
    jumps: u8,
    /// Work under a lesser token counted after that of a greater one.
    stale: bool,
    fenced: bool,
    owned: u8,
    /// The greatest token that was won, and the voters at which work under a lesser one counted
    /// after that.
    won: FencingToken,
    late: [bool; VOTERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// An owner looks at its clock.
    Look(usize),
    /// The voters' leases end, while the owners stand still.
    Voters,
    Deliver(usize, usize),
    Flush,
    Kill,
    Act(usize),
}

struct World {
    bug: Bug,
}

fn voter(at: usize, disk: &BTreeMap<Task, FencingToken>, now: u64) -> Core {
    let plan = Config {
        keepers: VOTERS,
        own: Some(at),
        owner: 100 + at as u64,
    };
    Core::start(plan, disk.clone().into_iter(), now)
}

impl World {
    fn owner(&self, state: &mut State, owner: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Keeper(voter, message) => state.wire.push((owner, voter, message)),
                Output::Won { token, .. } => {
                    state.owned += 1;
                    state.won = token.max(state.won);
                }
                _ => {}
            }
        }
    }

    fn voter(&self, state: &mut State, voter: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Store { task, token, then } => {
                    state.voters[voter].written.insert(task, token);
                    let mut waits = Vec::new();
                    for output in then {
                        match output {
                            Output::Asker(to, message) if self.bug == Bug::HastyVotes => {
                                self.told(state, voter, to as usize, message);
                            }
                            Output::Asker(to, message) => {
                                waits.push(Then::Tell(to as usize, message));
                            }
                            Output::Apply { token, .. } => waits.push(Then::Apply(token)),
                            _ => {}
                        }
                    }
                    state.voters[voter].then.push((task, token, waits));
                }
                Output::Asker(to, message) => self.told(state, voter, to as usize, message),
                Output::Apply { token, .. } => self.applied(state, voter, token),
                Output::Fenced { .. } => state.fenced = true,
                _ => {}
            }
        }
    }

    fn applied(&self, state: &mut State, voter: usize, token: FencingToken) {
        state.late[voter] |= token < state.won;
        let counted = &mut state.voters[voter].counted;
        state.stale |= token < *counted;
        *counted = token.max(*counted);
    }

    fn flush(&self, state: &mut State, at: usize) {
        let own = &mut state.voters[at];
        own.disk = own.written.clone();
        for (task, token, then) in std::mem::take(&mut own.then) {
            state.voters[at].core.durable(task, token);
            for next in then {
                match next {
                    Then::Tell(to, message) => self.told(state, at, to, message),
                    Then::Apply(token) => self.applied(state, at, token),
                }
            }
        }
    }

    /// A voter's word arrives as it leaves.
    fn told(&self, state: &mut State, voter: usize, owner: usize, message: Message) {
        let own = &mut state.owners[owner];
        let outputs = own.core.hears_keeper(own.now, voter, message);
        self.owner(state, owner, outputs);
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voters = (0..VOTERS).map(|at| Voter {
            core: voter(at, &BTreeMap::new(), BEGIN),
            now: BEGIN,
            disk: BTreeMap::new(),
            written: BTreeMap::new(),
            then: Vec::new(),
            counted: FencingToken::default(),
        });
        let owners = (0..OWNERS).map(|at| {
            let plan = Config {
                keepers: VOTERS,
                own: None,
                owner: at as u64 + 1,
            };
            // The second has heard of the first one's term: it asks for the next.
            let heard = (
                TASK,
                FencingToken {
                    term: at as u64,
                    owner: 0,
                },
            );
            let mut core = Core::start(plan, [heard].into_iter().take(at), BEGIN);
            core.wants(BEGIN, TASK);
            Owner {
                core,
                now: BEGIN + 2_000_000,
                acts: 0,
            }
        });
        vec![State {
            voters: voters.collect(),
            owners: owners.collect(),
            wire: Vec::new(),
            kills: 0,
            jumps: 0,
            stale: false,
            fenced: false,
            owned: 0,
            won: FencingToken::default(),
            late: [false; VOTERS],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (at, own) in state.owners.iter().enumerate() {
            if !own.core.clone().work(own.now, 0, true).is_empty() {
                actions.push(Step::Look(at));
            }
            if own.acts < ACTS && own.core.owns(own.now, TASK).is_some() {
                actions.push(Step::Act(at));
            }
        }
        if state.jumps < JUMPS {
            actions.push(Step::Voters);
        }
        let mut links: Vec<(usize, usize)> = state
            .wire
            .iter()
            .map(|(from, to, _)| (*from, *to))
            .collect();
        links.sort();
        links.dedup();
        actions.extend(links.into_iter().map(|(from, to)| Step::Deliver(from, to)));
        if !state.voters[SLOW].then.is_empty() {
            actions.push(Step::Flush);
        }
        if state.kills < 1 {
            actions.push(Step::Kill);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Look(at) => {
                let own = &mut state.owners[at];
                let outputs = own.core.work(own.now, 0, true);
                self.owner(&mut state, at, outputs);
            }
            Step::Voters => {
                state.jumps += 1;
                state.voters.iter_mut().for_each(|own| own.now += LEASE);
            }
            Step::Deliver(from, to) => {
                let place = state
                    .wire
                    .iter()
                    .position(|(own, voter, _)| (*own, *voter) == (from, to))?;
                let (_, _, message) = state.wire.remove(place);
                let own = &mut state.voters[to];
                let outputs = match (&message, self.bug) {
                    (Message::Work { token, .. }, Bug::NoFence) => {
                        vec![Output::Apply {
                            task: TASK,
                            token: *token,
                            work: Vec::new(),
                        }]
                    }
                    _ => own.core.hears_asker(own.now, from as u64, message, true),
                };
                self.voter(&mut state, to, outputs);
                if to != SLOW {
                    self.flush(&mut state, to);
                }
            }
            Step::Flush => self.flush(&mut state, SLOW),
            Step::Kill => {
                state.kills += 1;
                let own = &mut state.voters[SLOW];
                (own.written, own.then) = (own.disk.clone(), Vec::new());
                own.core = voter(SLOW, &own.disk, own.now);
            }
            Step::Act(at) => {
                let own = &mut state.owners[at];
                own.acts += 1;
                let outputs = own.core.act(own.now, TASK, vec![own.acts]);
                self.owner(&mut state, at, outputs);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no stale work counts", |_, state: &State| !state.stale),
            Property::always("an old owner has no majority", |_, state: &State| {
                state.late.iter().filter(|late| **late).count() <= VOTERS / 2
            }),
            Property::sometimes("a late owner meets the fence", |_, state: &State| {
                state.fenced
            }),
            Property::sometimes("two owners, one after the other", |_, state: &State| {
                state.owned > 1
            }),
        ]
    }
}

const DEPTH: usize = 16;

fn checked(bug: Bug) -> impl Checker<World> {
    World { bug }
        .checker()
        .threads(4)
        .target_max_depth(DEPTH)
        .target_state_count(1_500_000)
        .spawn_bfs()
        .join()
}

#[test]
fn no_order_of_votes_pauses_kills_and_work_lets_stale_work_count() {
    let checker = checked(Bug::None);
    let found = checker
        .discovery("no stale work counts")
        .map(|path| path.into_actions());
    assert_eq!(found, None);
    assert!(
        checker.unique_state_count() > 100_000,
        "{}",
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn planted_bugs_are_found() {
    let hasty = checked(Bug::HastyVotes);
    assert!(
        hasty.discovery("an old owner has no majority").is_some(),
        "hasty votes are not found"
    );
    assert!(
        checked(Bug::NoFence)
            .discovery("no stale work counts")
            .is_some(),
        "no fence is not found"
    );
}
