//! Model check of intent, send, crash, restart and retry, to a stated depth: with the real intent
//! log no key takes effect twice; where a send does not wait for the disk, the check finds that one
//! does.
//!
//! The model: one gateway with its store, two engines in cells of their own that each drop repeats
//! of a key, one client that retries its key. All orders of their steps are tried.

use std::collections::BTreeMap;

use eideryard::interface::{Class, Effect, PriorAttempt, Scope};
use eideryard_intent_log::state::{IncomingRequest, NextAttempt};
use eideryard_intent_log::{Intent, IntentLog, Limits, Place, SendDecision};
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
    /// The client sends its request, first or again.
    Request,
    /// The gateway sends to an engine that the rules allow.
    Send(u32),
    /// The disk flushes all that was written.
    Flush,
    /// A command arrives at its engine, which runs it.
    Run(u32),
    /// The client stops waiting.
    GiveUp,
    /// The process is killed and restarts; what was not flushed is lost.
    Crash,
}

/// State of the model. The intent log has no other state than its entries, so it is rebuilt from
/// them for each step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// Intents that are durable.
    disk: BTreeMap<Vec<u8>, Intent>,
    /// Intents that are written, flushed or not.
    written: BTreeMap<Vec<u8>, Intent>,
    /// The request at the gateway, with the attempts that may have run before.
    request: Option<Vec<PriorRun>>,
    /// Cells to which the request was sent.
    sent: Vec<u32>,
    /// Cell of the send that waits until its intent is durable.
    waiting: Option<u32>,
    /// Cells of commands in flight.
    commands: Vec<u32>,
    /// Cells whose engine ran the key.
    ran: Vec<u32>,
    effects: u8,
    tries: u8,
    crashes: u8,
}

/// An attempt that may have run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PriorRun {
    cell: u32,
    since: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A send does not wait for its write.
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

    /// The balancer's rule: within the scope of what may have run, and within its window.
    fn may_send(&self, state: &State, cell: u32) -> bool {
        let Some(prior) = &state.request else {
            return false;
        };
        let is_prior_cell = prior
            .iter()
            .all(|run| run.cell == cell && state.now < run.since + WINDOW);
        let is_sent_cell = state.sent.iter().all(|sent| *sent == cell);
        match self.effect {
            Effect::NonIdempotent => prior.is_empty() && state.sent.is_empty(),
            _ => is_prior_cell && is_sent_cell,
        }
    }

    fn request(&self, last: &State, state: &mut State) -> Option<()> {
        let request = IncomingRequest {
            class: 0,
            key: Some(KEY),
            is_retry: last.tries > 0,
            is_store_failing: false,
        };
        let prior = self.intent_log(last).on_request(state.now, request).ok()?;
        let prior = prior.iter().map(|attempt| PriorRun {
            cell: attempt.cell,
            since: attempt.since,
        });
        state.request = Some(prior.collect());
        state.sent.clear();
        state.tries += 1;
        Some(())
    }

    fn send(&self, last: &State, state: &mut State, cell: u32) -> Option<()> {
        let prior = last.request.iter().flatten().copied();
        let sent = last.sent.iter().map(|cell| PriorRun {
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
            place: Place { zone: 0, cell },
            known: &known,
        };
        let decision = self.intent_log(last).on_send(state.now, attempt);
        let SendDecision::AfterWrite(write) = decision else {
            return None;
        };
        state.written.insert(write.key, write.intent?);
        state.sent.push(cell);
        match self.bug {
            Bug::None => state.waiting = Some(cell),
            Bug::SendBeforeWrite => state.commands.push(cell),
        }
        Some(())
    }

    fn run(&self, state: &mut State, cell: u32) -> Option<()> {
        let index = state.commands.iter().position(|sent| *sent == cell)?;
        state.commands.remove(index);
        // Engines drop repeats of requests with a key, and none of those that are not idempotent.
        if self.effect == Effect::NonIdempotent || !state.ran.contains(&cell) {
            state.ran.push(cell);
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
            sent: Vec::new(),
            waiting: None,
            commands: Vec::new(),
            ran: Vec::new(),
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
            let may_send_more = state.waiting.is_none() && state.sent.len() < 2;
            actions.extend(
                [1, 2]
                    .into_iter()
                    .filter(|cell| may_send_more && self.may_send(state, *cell))
                    .map(Step::Send),
            );
        }
        if state.disk != state.written || state.waiting.is_some() {
            actions.push(Step::Flush);
        }
        actions.extend(state.commands.iter().map(|cell| Step::Run(*cell)));
        if state.crashes < MAX_CRASHES {
            actions.push(Step::Crash);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        state.now += 1_000;
        match step {
            Step::Request => self.request(last, &mut state)?,
            Step::Send(cell) => self.send(last, &mut state, cell)?,
            Step::Flush => {
                state.disk = state.written.clone();
                state.commands.extend(state.waiting.take());
            }
            Step::Run(cell) => self.run(&mut state, cell)?,
            Step::GiveUp => {
                state.request = None;
                state.waiting = None;
            }
            Step::Crash => {
                state.written = state.disk.clone();
                state.request = None;
                state.waiting = None;
                state.sent.clear();
                state.crashes += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect twice", |_, state: &State| state.effects < 2),
            Property::sometimes("an effect after a crash", |_, state: &State| {
                state.crashes > 0 && state.effects > 0 && state.tries > 1
            }),
        ]
    }
}

const DEPTH: usize = 14;

#[test]
fn no_order_of_steps_takes_effect_twice() {
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
fn a_send_that_does_not_wait_for_the_disk_is_found_to_take_effect_twice() {
    for effect in [Effect::IdempotentWithKey, Effect::NonIdempotent] {
        let checker = World {
            effect,
            bug: Bug::SendBeforeWrite,
        }
        .checker()
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join();
        let path = checker.discovery("no effect twice").expect("it is found");
        assert!(path.into_actions().contains(&Step::Crash));
    }
}
