//! Model check of intents, sends, crashes, restarts and retries, to a depth of [`DEPTH`] steps.
//! With the production intent log, no key takes effect twice. With an injected bug, in which a send
//! does not wait for the disk, the check must find a key that takes effect twice.
//!
//! The model has one gateway with its store, two engines in different cells that each drop repeats
//! of a key, and one client that retries its key. All orders of their steps are explored.

use std::collections::BTreeMap;

use eideryard::interface::{Class, Effect, PriorAttempt, Scope};
use eideryard_intent_log::state::{IncomingRequest, NextAttempt};
use eideryard_intent_log::{Intent, IntentLog, Limits, Location, SendDecision};
use stateright::{Checker, Model, Property};

const WINDOW: u64 = 15_000_000;
const KEY: &str = "00000000000000000000000000000abc";
const MAX_TRIES: u8 = 3;
const MAX_CRASHES: u8 = 2;

fn class(effect: Effect) -> Class {
    Class {
        latency_objective: 0,
        latency_objective_per_work: 0.0,
        priority_weight: 1.0,
        effect,
        scope: Scope::Cell,
        window: WINDOW,
        is_ordered: false,
        zones_only: None,
        kinds_only: None,
        threads: 1.0,
        is_load: false,
        waits_for_load: false,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The client sends its request, for the first time or as a retry.
    Request,
    /// The gateway sends the request to the engine of this cell, if the balancer's rule allows it.
    Send(u32),
    /// The disk makes all writes durable.
    Flush,
    /// A command arrives at the engine of this cell, which runs it unless it is a repeat.
    Run(u32),
    /// The client stops waiting.
    GiveUp,
    /// The gateway's process is killed and restarts; writes that were not flushed are lost.
    Crash,
}

/// State of the model. The intent log has no state besides its entries, so each step rebuilds it
/// from them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// Durable intents.
    disk: BTreeMap<Vec<u8>, Intent>,
    /// All written intents, durable or not.
    written: BTreeMap<Vec<u8>, Intent>,
    /// Prior attempts of the request at the gateway; `None` if the gateway has no request.
    request: Option<Vec<PriorRun>>,
    /// Cells to which the request at the gateway was sent.
    sent_cells: Vec<u32>,
    /// Cell of the send that is waiting until its intent is durable.
    waiting_cell: Option<u32>,
    /// Cells of the commands in flight.
    commands: Vec<u32>,
    /// Cells whose engine has run a command with the key.
    ran_cells: Vec<u32>,
    effects: u8,
    tries: u8,
    crashes: u8,
}

/// A prior attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PriorRun {
    cell: u32,
    since: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A send does not wait until its write is durable.
    SendBeforeWrite,
}

struct World {
    effect: Effect,
    bug: Bug,
}

impl World {
    fn intent_log(&self, state: &State) -> IntentLog {
        let stored = state.written.clone().into_iter();
        IntentLog::restore(
            Limits { entries: 100 },
            vec![class(self.effect)],
            stored,
            0,
            state.now,
        )
    }

    /// Applies the balancer's rule for a retry: only to the scope in which prior attempts may have
    /// run, and only within their window.
    fn may_send(&self, state: &State, cell: u32) -> bool {
        let Some(prior) = &state.request else {
            return false;
        };
        let is_only_prior_cell = prior
            .iter()
            .all(|run| run.cell == cell && state.now < run.since + WINDOW);
        let is_only_sent_cell = state.sent_cells.iter().all(|sent| *sent == cell);
        match self.effect {
            Effect::NonIdempotent => prior.is_empty() && state.sent_cells.is_empty(),
            _ => is_only_prior_cell && is_only_sent_cell,
        }
    }

    fn request(&self, previous: &State, state: &mut State) -> Option<()> {
        let request = IncomingRequest {
            class: 0,
            key: Some(KEY),
            is_retry: previous.tries > 0,
            is_store_failing: false,
        };
        let prior = self
            .intent_log(previous)
            .on_request(state.now, request)
            .ok()?;
        let prior = prior.iter().map(|attempt| PriorRun {
            cell: attempt.cell,
            since: attempt.since,
        });
        state.request = Some(prior.collect());
        state.sent_cells.clear();
        state.tries += 1;
        Some(())
    }

    fn send(&self, previous: &State, state: &mut State, cell: u32) -> Option<()> {
        let prior = previous.request.iter().flatten().copied();
        let sent = previous.sent_cells.iter().map(|cell| PriorRun {
            cell: *cell,
            since: 0,
        });
        let known: Vec<PriorAttempt> = prior
            .chain(sent)
            .map(|run| PriorAttempt {
                zone: 0,
                cell: run.cell,
                since: run.since,
            })
            .collect();
        let attempt = NextAttempt {
            class: 0,
            key: Some(KEY),
            location: Location { zone: 0, cell },
            known_attempts: &known,
        };
        let decision = self.intent_log(previous).on_send(state.now, attempt);
        let SendDecision::AfterWrite(write) = decision else {
            return None;
        };
        state.written.insert(write.key, write.intent?);
        state.sent_cells.push(cell);
        match self.bug {
            Bug::None => state.waiting_cell = Some(cell),
            Bug::SendBeforeWrite => state.commands.push(cell),
        }
        Some(())
    }

    fn run(&self, state: &mut State, cell: u32) -> Option<()> {
        let index = state.commands.iter().position(|sent| *sent == cell)?;
        state.commands.remove(index);
        // Engines drop repeats of requests with an idempotency key, but not of requests of classes
        // that are not idempotent.
        if self.effect == Effect::NonIdempotent || !state.ran_cells.contains(&cell) {
            state.ran_cells.push(cell);
            state.effects += 1;
        }
        Some(())
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 100_000_000,
            disk: BTreeMap::new(),
            written: BTreeMap::new(),
            request: None,
            sent_cells: Vec::new(),
            waiting_cell: None,
            commands: Vec::new(),
            ran_cells: Vec::new(),
            effects: 0,
            tries: 0,
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.request.is_none() && state.tries < MAX_TRIES {
            actions.push(Step::Request);
        }
        if state.request.is_some() {
            actions.push(Step::GiveUp);
            let may_send_more = state.waiting_cell.is_none() && state.sent_cells.len() < 2;
            actions.extend(
                [1, 2]
                    .into_iter()
                    .filter(|cell| may_send_more && self.may_send(state, *cell))
                    .map(Step::Send),
            );
        }
        if state.disk != state.written || state.waiting_cell.is_some() {
            actions.push(Step::Flush);
        }
        actions.extend(state.commands.iter().map(|cell| Step::Run(*cell)));
        if state.crashes < MAX_CRASHES {
            actions.push(Step::Crash);
        }
    }

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        state.now += 1_000;
        match step {
            Step::Request => self.request(previous, &mut state)?,
            Step::Send(cell) => self.send(previous, &mut state, cell)?,
            Step::Flush => {
                state.disk = state.written.clone();
                state.commands.extend(state.waiting_cell.take());
            }
            Step::Run(cell) => self.run(&mut state, cell)?,
            Step::GiveUp => {
                state.request = None;
                state.waiting_cell = None;
            }
            Step::Crash => {
                state.written = state.disk.clone();
                state.request = None;
                state.waiting_cell = None;
                state.sent_cells.clear();
                state.crashes += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no key takes effect twice", |_, state: &State| {
                state.effects < 2
            }),
            Property::sometimes("a key takes effect after a crash", |_, state: &State| {
                state.crashes > 0 && state.effects > 0 && state.tries > 1
            }),
        ]
    }
}

const DEPTH: usize = 14;

#[test]
fn no_order_of_steps_makes_a_key_take_effect_twice() {
    for effect in [Effect::IdempotentWithKey, Effect::NonIdempotent] {
        let checker = World {
            effect,
            bug: Bug::None,
        }
        .checker()
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join();
        checker.assert_properties();
        assert!(
            checker.unique_state_count() > 500,
            "{}",
            checker.unique_state_count()
        );
    }
}

#[test]
fn a_send_that_does_not_wait_for_the_disk_makes_a_key_take_effect_twice() {
    for effect in [Effect::IdempotentWithKey, Effect::NonIdempotent] {
        let checker = World {
            effect,
            bug: Bug::SendBeforeWrite,
        }
        .checker()
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join();
        let path = checker
            .discovery("no key takes effect twice")
            .expect("the injected bug is found");
        assert!(path.into_actions().contains(&Step::Crash));
    }
}
