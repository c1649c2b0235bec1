//! Model check of intent, send, crash, restart and retry, to a stated depth: with the ledger that
//! ships no key takes effect twice; where a send doesn't wait for the disk, the check finds that it
//! can.
//!
//! The world: one gateway with its store, two engines of cells of their own that each drop a repeat
//! of a key they have seen, one client that comes again with its key. All orders of their steps are
//! tried.

use std::collections::BTreeMap;

use eideryard::interface::{Class, Effect, PriorAttempt, Scope};
use eideryard_intent_log::{entry, Intent, IntentLog, Limits, Place, SendDecision};
use stateright::{Checker, Model, Property};

const WINDOW: u64 = 15_000_000;
const KEY: &str = "00000000000000000000000000000abc";
const TRIES: u8 = 3;
const CRASHES: u8 = 2;

fn class(effect: Effect) -> Class {
    Class {
        latency_objective: 0,
        latency_objective_per_work: 0.0,
        priority_weight: 1.0,
        effect,
        scope: Scope::Cell,
        window: WINDOW,
        ordered: false,
        zones_only: None,
        kinds_only: None,
        threads: 1.0,
        is_load: false,
        waits_for_load: false,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The client asks, first or again.
    Ask,
    /// The gateway decides for an engine that the rules allow.
    Send(u32),
    /// The disk flushes all that was written.
    Flush,
    /// A command that went out reaches its engine, which runs it.
    Run(u32),
    /// The client has given up waiting.
    GiveUp,
    /// The process is killed, what was not flushed is gone; it starts again.
    Crash,
}

/// What the gateway has in its memory: the ledger is made anew from these for each step, as it is
/// pure.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// Durable, and written but not flushed.
    disk: BTreeMap<Vec<u8>, Intent>,
    written: BTreeMap<Vec<u8>, Intent>,
    /// The request that the gateway holds: what of it may have run before, and where it was sent.
    held: Option<Vec<(u32, u64)>>,
    sent: Vec<u32>,
    /// It waits until its intent is durable.
    waits: Option<u32>,
    /// Commands under way, engines that saw the key, and how often it took effect.
    wire: Vec<u32>,
    seen: Vec<u32>,
    effects: u8,
    asked: u8,
    crashes: u8,
}

struct World {
    effect: Effect,
    /// The planted bug: a send doesn't wait.
    hasty: bool,
}

impl World {
    fn ledger(&self, state: &State) -> IntentLog {
        let known = state.written.clone().into_iter();
        IntentLog::restore(
            Limits { entries: 100 },
            vec![class(self.effect)],
            known,
            0,
            state.now,
        )
    }

    /// As the module decides: within the scope of what may have run, and within its window.
    fn may_go(&self, state: &State, engine: u32) -> bool {
        let Some(before) = &state.held else {
            return false;
        };
        let pinned = before
            .iter()
            .all(|(cell, since)| *cell == engine && state.now < since + WINDOW);
        let own = state.sent.iter().all(|cell| *cell == engine);
        match self.effect {
            Effect::NonIdempotent => before.is_empty() && state.sent.is_empty(),
            _ => pinned && own,
        }
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
            held: None,
            sent: Vec::new(),
            waits: None,
            wire: Vec::new(),
            seen: Vec::new(),
            effects: 0,
            asked: 0,
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.held.is_none() && state.asked < TRIES {
            actions.push(Step::Ask);
        }
        if state.held.is_some() {
            actions.push(Step::GiveUp);
            let free = state.waits.is_none() && state.sent.len() < 2;
            actions.extend(
                [1, 2]
                    .into_iter()
                    .filter(|e| free && self.may_go(state, *e))
                    .map(Step::Send),
            );
        }
        if state.disk != state.written || state.waits.is_some() {
            actions.push(Step::Flush);
        }
        actions.extend(state.wire.iter().map(|engine| Step::Run(*engine)));
        if state.crashes < CRASHES {
            actions.push(Step::Crash);
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one scenario, told from its beginning to its end"
    )]
    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        state.now += 1_000;
        let mut ledger = self.ledger(last);
        match step {
            Step::Ask => {
                let earlier = ledger
                    .arrives(state.now, 0, Some(KEY), last.asked > 0, false)
                    .ok()?;
                let earlier = earlier
                    .into_iter()
                    .map(|PriorAttempt { cell, since, .. }| (cell, since));
                (state.held, state.sent) = (Some(earlier.collect()), Vec::new());
                state.asked += 1;
            }
            Step::Send(engine) => {
                let place = Place {
                    zone: 0,
                    cell: engine,
                };
                let known = last.held.iter().flatten();
                let own = last.sent.iter().map(|cell| (*cell, 0));
                let known = known.copied().chain(own);
                let known: Vec<PriorAttempt> = known
                    .map(|(cell, since)| PriorAttempt {
                        zone: 0,
                        cell,
                        since,
                    })
                    .collect();
                let SendDecision::AfterWrite(wish) =
                    ledger.sends(state.now, 0, Some(KEY), place, &known)
                else {
                    return None;
                };
                state.written.insert(wish.key, wish.intent?);
                state.sent.push(engine);
                if !self.hasty {
                    state.waits = Some(engine);
                } else {
                    state.wire.push(engine);
                }
            }
            Step::Flush => {
                state.disk = state.written.clone();
                state.wire.extend(state.waits.take());
            }
            Step::Run(engine) => {
                let place = state.wire.iter().position(|own| *own == engine)?;
                state.wire.remove(place);
                // Engines drop repeats of keyed requests, of unsafe ones none.
                if self.effect == Effect::NonIdempotent || !state.seen.contains(&engine) {
                    state.seen.push(engine);
                    state.effects += 1;
                }
            }
            Step::GiveUp => (state.held, state.waits) = (None, None),
            Step::Crash => {
                state.written = state.disk.clone();
                (state.held, state.waits, state.sent) = (None, None, Vec::new());
                state.crashes += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect twice", |_, state: &State| state.effects < 2),
            Property::sometimes("an effect after a crash", |_, state: &State| {
                state.crashes > 0 && state.effects > 0 && state.asked > 1
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
            hasty: false,
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
            hasty: true,
        }
        .checker()
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join();
        let path = checker.discovery("no effect twice").expect("it is found");
        assert!(path.into_actions().contains(&Step::Crash));
    }
}

/// What the module is told stays what a store holds, whatever order its entries come in; bytes come
/// back.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn clocks_windows_and_limits() {
    let now = 1_000_000_000;
    let kept = |since, out, until| {
        let place = Place { zone: 1, cell: 2 };
        (
            entry::stored_key(0, KEY),
            Intent {
                since,
                place,
                out,
                ran: true,
                until,
            },
        )
    };
    let restored = |intent: (Vec<u8>, Intent), life| {
        let limits = Limits { entries: 2 };
        IntentLog::restore(
            limits,
            vec![class(Effect::IdempotentWithKey)],
            std::iter::once(intent),
            life,
            now,
        )
    };
    let since = |ledger: &mut IntentLog, key| {
        ledger
            .arrives(now, 0, Some(key), true, false)
            .map(|e| e.first().map(|e| e.since))
    };
    // A clock that stepped back: how old it is can't be told, so it is pinned to nowhere.
    assert_eq!(
        since(&mut restored(kept(now + 9, 0, now + 10), 0), KEY),
        Ok(Some(0))
    );
    assert_eq!(
        since(&mut restored(kept(now - 9, 1, now + 10), 0), KEY),
        Ok(Some(now - 9))
    );
    // One that was out when its gateway died is kept for a whole window more.
    let mut ledger = restored(kept(now - 9, 1, now + 10), 0);
    assert!(ledger.expire(now + WINDOW).is_empty() && ledger.expire(now + 2 * WINDOW).len() == 1);
    // What a life that began a moment ago doesn't know may have run; a life of long ago knows all.
    let other = "00000000000000000000000000000def";
    assert_eq!(
        since(&mut restored(kept(now - 9, 0, now + 10), now - 5), other),
        Ok(Some(0))
    );
    assert_eq!(
        since(&mut restored(kept(now - 9, 0, now + 10), 0), other),
        Ok(None)
    );
    // Full: refused, and nothing is forgotten.
    let mut ledger = restored(kept(now - 9, 0, now + 10), 0);
    assert!(matches!(
        ledger.sends(now, 0, Some(other), Place::default(), &[]),
        SendDecision::AfterWrite(_)
    ));
    let third = "00000000000000000000000000000123";
    assert_eq!(
        since(&mut ledger, third),
        Err(eideryard_intent_log::IntentError::Full)
    );
    assert_eq!(since(&mut ledger, KEY), Ok(Some(now - 9)));
    // One that never ran leaves nothing; one that may have stays.
    let gone = ledger.ended(now, 0, Some(other), true).expect("a wish");
    assert_eq!((gone.intent, ledger.len()), (None, 1));
    assert_eq!(
        entry::from_bytes(&entry::to_bytes(&kept(5, 0, 6).1)),
        Some(kept(5, 0, 6).1)
    );
}

/// Two requests of one key that wait in a gateway at the same time: the second is told of the first
/// before it is sent, wherever it would go.
#[test]
fn a_second_request_of_a_key_is_told_of_the_first_before_it_is_sent() {
    let (now, limits) = (100_000_000, Limits { entries: 9 });
    let mut ledger = IntentLog::restore(
        limits,
        vec![class(Effect::IdempotentWithKey)],
        std::iter::empty(),
        0,
        now,
    );
    let at = |cell| Place { zone: 0, cell };
    assert_eq!(
        ledger.arrives(now, 0, Some(KEY), false, false),
        Ok(Vec::new())
    );
    assert_eq!(
        ledger.arrives(now, 0, Some(KEY), false, false),
        Ok(Vec::new())
    );
    assert!(matches!(
        ledger.sends(now, 0, Some(KEY), at(1), &[]),
        SendDecision::AfterWrite(_)
    ));
    let ran = PriorAttempt {
        zone: 0,
        cell: 1,
        since: now,
    };
    assert_eq!(
        ledger.sends(now + 5, 0, Some(KEY), at(2), &[]),
        SendDecision::PriorAttemptFound(ran)
    );
    assert_eq!(
        ledger.sends(now + 5, 0, Some(KEY), at(1), &[]),
        SendDecision::PriorAttemptFound(ran)
    );
    let SendDecision::AfterWrite(wish) = ledger.sends(now + 5, 0, Some(KEY), at(1), &[ran]) else {
        panic!("it was told")
    };
    assert_eq!(
        wish.intent.map(|intent| (intent.since, intent.out)),
        Some((now, 2))
    );
}
