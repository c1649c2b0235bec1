//! Model check of votes, pauses, renewals, work and fences with three voters and two candidates, to
//! a depth of [`MAX_DEPTH`] steps. It runs the production [`eideryard_leases::LeaseCore`]s, each
//! with a separate clock: the owners' clocks stop while the leases expire at the voters. All orders
//! of messages and of the flushes and the kill of one voter are explored.

use std::collections::BTreeMap;

use eideryard_leases::{FencingToken, VoterReadiness, LEASE_DURATION};
use stateright::{Checker, Model, Property};

mod state;
mod world;

use state::{
    Bug, Owner, State, Step, Voter, World, MAX_CLOCK_JUMPS, MAX_WORK_PER_OWNER, OWNERS, SLOW_VOTER,
    START_TIME, TASK, VOTERS,
};
use world::{owner_core, voter_core};

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
            has_rejected_work: false,
            leases_acquired: 0,
            greatest_acquired: FencingToken::default(),
            has_applied_late_work: [false; VOTERS],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (index, owner) in state.owners.iter().enumerate() {
            let mut core = owner.core.clone();
            if !core
                .on_timer(owner.now, 0, VoterReadiness::Ready)
                .is_empty()
            {
                actions.push(Step::OwnerTimer(index));
            }
            let is_owning = owner.core.held_token(owner.now, TASK).is_some();
            if owner.work_count < MAX_WORK_PER_OWNER && is_owning {
                actions.push(Step::SubmitWork(index));
            }
        }
        if state.clock_jumps < MAX_CLOCK_JUMPS {
            actions.push(Step::ExpireLeases);
        }
        let mut links: Vec<(usize, usize)> = state
            .in_flight
            .iter()
            .map(|message| (message.owner, message.voter))
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

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        match step {
            Step::OwnerTimer(index) => {
                let owner = &mut state.owners[index];
                let outputs = owner.core.on_timer(owner.now, 0, VoterReadiness::Ready);
                self.perform_owner_outputs(&mut state, index, outputs);
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
            Step::SubmitWork(index) => {
                let owner = &mut state.owners[index];
                owner.work_count += 1;
                let outputs = owner
                    .core
                    .submit_work(owner.now, TASK, vec![owner.work_count]);
                self.perform_owner_outputs(&mut state, index, outputs);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no stale work is applied", |_, state: &State| {
                !state.has_stale_work
            }),
            Property::always(
                "no majority applies work of a former owner",
                |_, state: &State| {
                    state
                        .has_applied_late_work
                        .iter()
                        .filter(|has_applied| **has_applied)
                        .count()
                        <= VOTERS / 2
                },
            ),
            Property::sometimes(
                "the fence rejects work of a former owner",
                |_, state: &State| state.has_rejected_work,
            ),
            Property::sometimes(
                "two owners acquire the lease in turn",
                |_, state: &State| state.leases_acquired > 1,
            ),
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
fn injected_bugs_are_found() {
    let votes_before_durable = check_model(Bug::VotesBeforeDurable);
    assert!(
        votes_before_durable
            .discovery("no majority applies work of a former owner")
            .is_some(),
        "votes that are sent before they are durable are not found"
    );
    assert!(
        check_model(Bug::NoFence)
            .discovery("no stale work is applied")
            .is_some(),
        "the missing fence is not found"
    );
}
