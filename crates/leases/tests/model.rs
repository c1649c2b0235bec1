//! Model check of votes, pauses, renewals, work and fences, with three voters and two candidates, to
//! a stated depth. It runs the production cores, each with a clock of its own: the owners' clocks
//! stand still while the voters' leases expire. All orders of messages and of one voter's flushes
//! and kill are tried.

use std::collections::BTreeMap;

use eideryard_leases::{
    Config, FencingToken, LeaseCore, Message, Output, Task, VoterReadiness, LEASE_DURATION,
};
use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;
const OWNERS: usize = 2;
const TASK: Task = Task { kind: 1, number: 1 };
const START_TIME: u64 = 1_000_000_000;
const MAX_CLOCK_JUMPS: u8 = 1;
const MAX_WORK_PER_OWNER: u8 = 1;
/// The voter that is killed and whose disk takes its time; the others' disks are quick.
const SLOW_VOTER: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A vote is sent before it is durable.
    VotesBeforeDurable,
    /// Work is applied whatever token it carries.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    core: LeaseCore,
    now: u64,
    disk: BTreeMap<Task, FencingToken>,
    written: BTreeMap<Task, FencingToken>,
    unflushed: Vec<UnflushedToken>,
    /// The greatest token whose work was ever applied here, whatever the voter itself remembers.
    greatest_applied: FencingToken,
}

/// A token that is written but not durable, and what follows once it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnflushedToken {
    task: Task,
    token: FencingToken,
    then: Vec<OnceDurable>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum OnceDurable {
    Send { owner: usize, message: Message },
    Apply(FencingToken),
}

/// A message from an owner to a voter that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    owner: usize,
    voter: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    core: LeaseCore,
    now: u64,
    work_count: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: Vec<Voter>,
    owners: Vec<Owner>,
    /// In order of sending.
    in_flight: Vec<InFlight>,
    kills: u8,
    clock_jumps: u8,
    /// Work under a lesser token was applied after that of a greater one.
    has_stale_work: bool,
    has_met_fence: bool,
    leases_acquired: u8,
    /// The greatest token under which a lease was acquired, and the voters at which work under a
    /// lesser one was applied after that.
    greatest_acquired: FencingToken,
    has_applied_late_work: [bool; VOTERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// An owner examines its timers.
    OwnerTimer(usize),
    /// The voters' leases expire, while the owners stand still.
    ExpireLeases,
    Deliver {
        owner: usize,
        voter: usize,
    },
    Flush,
    Kill,
    Act(usize),
}

struct World {
    bug: Bug,
}

fn voter_core(voter: usize, disk: &BTreeMap<Task, FencingToken>, now: u64) -> LeaseCore {
    let config = Config {
        voter_count: VOTERS,
        voter_index: Some(voter),
        owner: 100 + voter as u64,
    };
    LeaseCore::new(config, disk.clone().into_iter(), now)
}

fn owner_core(owner: usize) -> LeaseCore {
    let config = Config {
        voter_count: VOTERS,
        voter_index: None,
        owner: owner as u64 + 1,
    };
    // The second one knows of the first one's term: it requests the next.
    let first_term = FencingToken {
        term: owner as u64,
        owner: 0,
    };
    let stored = [(TASK, first_term)].into_iter().take(owner);
    let mut core = LeaseCore::new(config, stored, START_TIME);
    core.add_candidate(START_TIME, TASK);
    core
}

impl World {
    fn perform_owner_outputs(&self, state: &mut State, owner: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::ToVoter { voter, message } => state.in_flight.push(InFlight {
                    owner,
                    voter,
                    message,
                }),
                Output::LeaseAcquired { token, .. } => {
                    state.leases_acquired += 1;
                    state.greatest_acquired = token.max(state.greatest_acquired);
                }
                _ => {}
            }
        }
    }

    fn perform_voter_outputs(&self, state: &mut State, voter: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::StoreToken { task, token, then } => {
                    state.voters[voter].written.insert(task, token);
                    let then = self.defer_until_durable(state, voter, then);
                    state.voters[voter]
                        .unflushed
                        .push(UnflushedToken { task, token, then });
                }
                Output::ToRequester { requester, message } => {
                    self.send_to_owner(state, voter, requester as usize, message);
                }
                Output::Apply { token, .. } => self.apply(state, voter, token),
                Output::Fenced { .. } => state.has_met_fence = true,
                _ => {}
            }
        }
    }

    fn defer_until_durable(
        &self,
        state: &mut State,
        voter: usize,
        then: Vec<Output>,
    ) -> Vec<OnceDurable> {
        let mut deferred = Vec::new();
        for output in then {
            match output {
                Output::ToRequester { requester, message } => {
                    let owner = requester as usize;
                    if self.bug == Bug::VotesBeforeDurable {
                        self.send_to_owner(state, voter, owner, message);
                    } else {
                        deferred.push(OnceDurable::Send { owner, message });
                    }
                }
                Output::Apply { token, .. } => deferred.push(OnceDurable::Apply(token)),
                _ => {}
            }
        }
        deferred
    }

    fn apply(&self, state: &mut State, voter: usize, token: FencingToken) {
        state.has_applied_late_work[voter] |= token < state.greatest_acquired;
        let greatest_applied = &mut state.voters[voter].greatest_applied;
        state.has_stale_work |= token < *greatest_applied;
        *greatest_applied = token.max(*greatest_applied);
    }

    fn flush(&self, state: &mut State, at: usize) {
        let voter = &mut state.voters[at];
        voter.disk = voter.written.clone();
        for unflushed in std::mem::take(&mut voter.unflushed) {
            state.voters[at]
                .core
                .mark_durable(unflushed.task, unflushed.token);
            for next in unflushed.then {
                match next {
                    OnceDurable::Send { owner, message } => {
                        self.send_to_owner(state, at, owner, message);
                    }
                    OnceDurable::Apply(token) => self.apply(state, at, token),
                }
            }
        }
    }

    /// A voter's message arrives as soon as it is sent.
    fn send_to_owner(&self, state: &mut State, voter: usize, owner: usize, message: Message) {
        let receiver = &mut state.owners[owner];
        let outputs = receiver.core.on_voter_message(receiver.now, voter, message);
        self.perform_owner_outputs(state, owner, outputs);
    }

    fn deliver(&self, state: &mut State, owner: usize, voter: usize) -> Option<()> {
        let position = state
            .in_flight
            .iter()
            .position(|sent| (sent.owner, sent.voter) == (owner, voter))?;
        let message = state.in_flight.remove(position).message;
        let receiver = &mut state.voters[voter];
        let outputs = match (&message, self.bug) {
            (Message::Work { token, .. }, Bug::NoFence) => vec![Output::Apply {
                task: TASK,
                token: *token,
                payload: Vec::new(),
            }],
            _ => receiver.core.on_requester_message(
                receiver.now,
                owner as u64,
                message,
                VoterReadiness::Ready,
            ),
        };
        self.perform_voter_outputs(state, voter, outputs);
        if voter != SLOW_VOTER {
            self.flush(state, voter);
        }
        Some(())
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voters = (0..VOTERS).map(|voter| Voter {
            core: voter_core(voter, &BTreeMap::new(), START_TIME),
            now: START_TIME,
            disk: BTreeMap::new(),
            written: BTreeMap::new(),
            unflushed: Vec::new(),
            greatest_applied: FencingToken::default(),
        });
        let owners = (0..OWNERS).map(|owner| Owner {
            core: owner_core(owner),
            now: START_TIME + 2_000_000,
            work_count: 0,
        });
        vec![State {
            voters: voters.collect(),
            owners: owners.collect(),
            in_flight: Vec::new(),
            kills: 0,
            clock_jumps: 0,
            has_stale_work: false,
            has_met_fence: false,
            leases_acquired: 0,
            greatest_acquired: FencingToken::default(),
            has_applied_late_work: [false; VOTERS],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (at, owner) in state.owners.iter().enumerate() {
            let mut core = owner.core.clone();
            if !core
                .on_timer(owner.now, 0, VoterReadiness::Ready)
                .is_empty()
            {
                actions.push(Step::OwnerTimer(at));
            }
            let is_owning = owner.core.held_token(owner.now, TASK).is_some();
            if owner.work_count < MAX_WORK_PER_OWNER && is_owning {
                actions.push(Step::Act(at));
            }
        }
        if state.clock_jumps < MAX_CLOCK_JUMPS {
            actions.push(Step::ExpireLeases);
        }
        let mut links: Vec<(usize, usize)> = state
            .in_flight
            .iter()
            .map(|sent| (sent.owner, sent.voter))
            .collect();
        links.sort();
        links.dedup();
        for (owner, voter) in links {
            actions.push(Step::Deliver { owner, voter });
        }
        if !state.voters[SLOW_VOTER].unflushed.is_empty() {
            actions.push(Step::Flush);
        }
        if state.kills < 1 {
            actions.push(Step::Kill);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::OwnerTimer(at) => {
                let owner = &mut state.owners[at];
                let outputs = owner.core.on_timer(owner.now, 0, VoterReadiness::Ready);
                self.perform_owner_outputs(&mut state, at, outputs);
            }
            Step::ExpireLeases => {
                state.clock_jumps += 1;
                for voter in &mut state.voters {
                    voter.now += LEASE_DURATION;
                }
            }
            Step::Deliver { owner, voter } => self.deliver(&mut state, owner, voter)?,
            Step::Flush => self.flush(&mut state, SLOW_VOTER),
            Step::Kill => {
                state.kills += 1;
                let voter = &mut state.voters[SLOW_VOTER];
                voter.written = voter.disk.clone();
                voter.unflushed = Vec::new();
                voter.core = voter_core(SLOW_VOTER, &voter.disk, voter.now);
            }
            Step::Act(at) => {
                let owner = &mut state.owners[at];
                owner.work_count += 1;
                let outputs = owner.core.act(owner.now, TASK, vec![owner.work_count]);
                self.perform_owner_outputs(&mut state, at, outputs);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no stale work is applied", |_, state: &State| {
                !state.has_stale_work
            }),
            Property::always("an old owner has no majority", |_, state: &State| {
                state
                    .has_applied_late_work
                    .iter()
                    .filter(|is_late| **is_late)
                    .count()
                    <= VOTERS / 2
            }),
            Property::sometimes("a late owner meets the fence", |_, state: &State| {
                state.has_met_fence
            }),
            Property::sometimes("two owners, one after the other", |_, state: &State| {
                state.leases_acquired > 1
            }),
        ]
    }
}

const MAX_DEPTH: usize = 16;

fn check_model(bug: Bug) -> impl Checker<World> {
    World { bug }
        .checker()
        .threads(4)
        .target_max_depth(MAX_DEPTH)
        .target_state_count(1_500_000)
        .spawn_bfs()
        .join()
}

#[test]
fn no_order_of_votes_pauses_kills_and_work_applies_stale_work() {
    let checker = check_model(Bug::None);
    let counterexample = checker
        .discovery("no stale work is applied")
        .map(|path| path.into_actions());
    assert_eq!(counterexample, None);
    assert!(
        checker.unique_state_count() > 100_000,
        "{}",
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn planted_bugs_are_found() {
    let early_votes = check_model(Bug::VotesBeforeDurable);
    assert!(
        early_votes
            .discovery("an old owner has no majority")
            .is_some(),
        "votes before they are durable are not found"
    );
    assert!(
        check_model(Bug::NoFence)
            .discovery("no stale work is applied")
            .is_some(),
        "the missing fence is not found"
    );
}
