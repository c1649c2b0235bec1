//! Rules under random settings and events, checked from outside by the actions alone: order of a
//! key, the retry budget, effects, drains, and clients that have left. What counts is the first
//! byte of an attempt, which some scenarios hold back for a while.

#[path = "../common/mod.rs"]
mod common;
mod rule_checker;

use common::*;
use eideryard::interface::*;
use rule_checker::RuleChecker;

const NON_IDEMPOTENT: usize = 3;
const SEEDS: u64 = 150;

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut settings = settings();
    let mut last = class(Effect::NonIdempotent, 3 * S, 2.0);
    last.is_load = true;
    settings.classes.push(last);
    settings.classes[LOAD].ordered = true;
    settings.peers = [1.0, 3.0, 20.0, 30.0, 90.0][rng.usize(..5)];
    (settings.may_probe, settings.counts_by_probe) = (rng.bool(), rng.bool());
    (settings.may_cancel, settings.hedging_allowed) = (rng.bool(), rng.bool());
    settings.note_period = if rng.bool() { 500 * MS } else { 0 };
    settings.ordering_delay = rng.u64(0..2 * S);
    settings.max_attempts = rng.usize(1..7);
    for class in &mut settings.classes {
        class.window = [100 * MS, S, 10 * S][rng.usize(..3)];
    }
    for class in &mut settings.classes {
        class.latency_objective = [100 * MS, S, 5 * S][rng.usize(..3)];
    }
    settings.overload_window = [S, 3 * S][rng.usize(..2)];
    let ratio = rng.f64() * 0.5;
    settings.attempt_budget = rng.bool().then_some(AttemptBudget {
        span: 5 * S,
        ratio,
        spare: 3.0,
    });
    settings
}

/// One day of a gateway: what it took, how its attempts ended, in an order that chance has chosen.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn play(seed: u64) -> RuleChecker {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = random_settings(&mut rng);
    let engines: Vec<Endpoint> = (1..=rng.u32(2..12)).map(ready).collect();
    let mut bench = Bench::seeded(settings.clone(), seed, &engines);
    let mut checker = RuleChecker::new(settings);
    let mut scenario = Scenario {
        late_share: [0.0, 0.5][rng.usize(..2)],
        in_flight: Vec::new(),
        held_back: Vec::new(),
        rng: rng.fork(),
    };
    let failure_rate = rng.f64();
    for id in 0..250 {
        let (now, class) = (bench.now, rng.usize(..4));
        let deadline = now
            + if rng.bool() {
                rng.u64(S..20 * S)
            } else {
                100 * MS
            };
        let key = (class == LOAD).then(|| format!("k{}", rng.u32(..4)));
        let mut actions = match rng.u32(..20) {
            0 => {
                let request = rng.u64(..id + 1);
                if let Some(observed) = checker.requests.get_mut(&request) {
                    observed.has_ended = true;
                }
                bench.handle(Event::ClientLeft { request })
            }
            1 => {
                let mut entry = engines[rng.usize(..engines.len())];
                entry.phase = [Phase::Ready, Phase::Draining, Phase::Removed][rng.usize(..3)];
                match entry.phase {
                    Phase::Ready => checker.closed_engines.remove(&entry.engine),
                    _ => checker.closed_engines.insert(entry.engine),
                };
                bench.handle(Event::EndpointChanges(vec![entry]))
            }
            2..=9 if !scenario.in_flight.is_empty() => {
                let (request, attempt) = scenario
                    .in_flight
                    .swap_remove(rng.usize(..scenario.in_flight.len()));
                let bad = [
                    Outcome::Error,
                    Outcome::AtCapacity,
                    Outcome::TimedOut,
                    Outcome::NoConnection,
                ];
                let outcome = if rng.f64() < failure_rate {
                    bad.into_iter()
                        .chain([Outcome::Broken])
                        .nth(rng.usize(..5))
                        .unwrap()
                } else {
                    Outcome::Answered
                };
                finish(&mut bench, &mut checker, (request, attempt), outcome)
            }
            10..=12 if !scenario.held_back.is_empty() => {
                let of = scenario
                    .held_back
                    .swap_remove(scenario.rng.usize(..scenario.held_back.len()));
                scenario.begin_attempt(&mut bench, &mut checker, of)
            }
            _ => {
                let asked = Request {
                    class,
                    key,
                    group: rng.u64(..30),
                    ..lookup(id, deadline)
                };
                checker.on_request(now, &asked);
                bench.request(asked)
            }
        };
        apply_actions(&mut bench, &mut checker, &mut scenario, &mut actions);
        // In small steps, so that what timers bring about is judged at its own time.
        for _ in 0..rng.u32(..40) {
            let mut actions = bench.advance(5 * MS);
            apply_actions(&mut bench, &mut checker, &mut scenario, &mut actions);
        }
    }
    checker
}

/// What is out, and what has no byte out yet since its dial isn't up.
struct Scenario {
    late_share: f64,
    in_flight: Vec<(RequestId, usize)>,
    held_back: Vec<(RequestId, usize)>,
    rng: fastrand::Rng,
}

impl Scenario {
    /// The dial is up: the module is asked, and told where it says no.
    fn begin_attempt(
        &mut self,
        bench: &mut Bench,
        checker: &mut RuleChecker,
        of: (RequestId, usize),
    ) -> Vec<Action> {
        if !bench.balancer.may_begin(bench.now, of.0, of.1) {
            return finish(bench, checker, of, Outcome::NotSent);
        }
        checker.on_first_byte(bench.now, of);
        self.in_flight.push(of);
        Vec::new()
    }
}

fn finish(
    bench: &mut Bench,
    checker: &mut RuleChecker,
    of: (RequestId, usize),
    outcome: Outcome,
) -> Vec<Action> {
    let complete = outcome == Outcome::Answered || checker.requests[&of.0].has_ended;
    let now = bench.now;
    bench.end_attempt_with(of.0, of.1, outcome, S, |ended| {
        ended.complete = complete;
        checker.on_attempt_ended(now, ended);
    })
}

/// Judges actions in their order; a cancel is heeded at once, a probe finds an idle engine.
fn apply_actions(
    bench: &mut Bench,
    checker: &mut RuleChecker,
    scenario: &mut Scenario,
    actions: &mut Vec<Action>,
) {
    while !actions.is_empty() {
        let action = actions.remove(0);
        checker.on_action(bench.now, &action);
        match action {
            Action::Send { request, .. } => {
                let of = (request, checker.requests[&request].attempts.len() - 1);
                if scenario.rng.f64() < scenario.late_share {
                    scenario.held_back.push(of);
                } else {
                    actions.extend(scenario.begin_attempt(bench, checker, of));
                }
            }
            Action::Cancel { request, attempt }
                if scenario.in_flight.contains(&(request, attempt)) =>
            {
                scenario.in_flight.retain(|own| *own != (request, attempt));
                actions.extend(finish(
                    bench,
                    checker,
                    (request, attempt),
                    Outcome::Cancelled,
                ));
            }
            Action::Cancel { request, attempt }
                if scenario.held_back.contains(&(request, attempt)) =>
            {
                scenario.held_back.retain(|own| *own != (request, attempt));
                actions.extend(finish(bench, checker, (request, attempt), Outcome::NotSent));
            }
            Action::Probe { engine } => {
                let report = Some(LoadReport {
                    in_flight: Some(1.0),
                    ..LoadReport::default()
                });
                let probed = Probed {
                    engine,
                    outcome: Outcome::Answered,
                    report,
                };
                actions.extend(bench.handle(Event::Probed(probed)));
            }
            _ => {}
        }
    }
}

#[test]
fn order_budget_and_effects_are_kept_in_random_scenarios() {
    let (mut sends, mut retries) = (0, 0);
    for seed in 0..SEEDS {
        let checker = play(seed);
        assert!(
            checker.violations.is_empty(),
            "seed {seed}: {:?}",
            checker.violations
        );
        sends += checker
            .requests
            .values()
            .map(|observed| observed.attempts.len())
            .sum::<usize>();
        retries += checker.retries.len();
    }
    assert!(
        sends > 50 * SEEDS as usize && retries > SEEDS as usize,
        "{sends} sends, {retries} retries"
    );
}

/// The judge objects to what breaks each rule.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn rule_checker_finds_planted_violations() {
    let send = |request| Action::Send {
        request,
        engine: 1,
        attempt_deadline: 0,
    };
    let ended = |request, outcome| AttemptEnded {
        request,
        attempt: 0,
        outcome,
        spent: 0,
        complete: false,
        already_reported: false,
        usage: None,
        report: None,
    };
    let mut settings = settings();
    settings.classes.push(class(Effect::NonIdempotent, S, 1.0));
    settings.classes[LOAD].ordered = true;
    settings.attempt_budget = Some(AttemptBudget {
        span: 5 * S,
        ratio: 0.0,
        spare: 0.0,
    });
    let planted = |class: usize, second: RequestId, outcome: Option<Outcome>, refused: bool| {
        let mut checker = RuleChecker::new(settings.clone());
        let key = (class == LOAD).then(|| "k".to_string());
        for id in 1..=2 {
            checker.on_request(
                S,
                &Request {
                    class,
                    key: key.clone(),
                    ..lookup(id, 9 * S)
                },
            );
        }
        checker.on_action(S, &send(1));
        checker.on_first_byte(S, (1, 0));
        if let Some(outcome) = outcome {
            checker.on_attempt_ended(S, &ended(1, outcome));
        }
        let next = if refused {
            Action::Refuse {
                request: 1,
                retry_after: 0,
            }
        } else {
            send(second)
        };
        checker.on_action(S, &next);
        if !refused {
            checker.on_first_byte(S, (second, (second == 1) as usize));
        }
        checker.violations
    };
    assert!(planted(LOOKUP, 2, None, false).is_empty());
    for (class, second, outcome, refused) in [
        (LOOKUP, 1, None, false),                            // two attempts are out
        (LOOKUP, 1, Some(Outcome::AtCapacity), false),       // the budget has nothing to spare
        (NON_IDEMPOTENT, 1, Some(Outcome::TimedOut), false), // an effect may come twice
        (NON_IDEMPOTENT, 1, Some(Outcome::Broken), true),    // and its client is told to come again
        (LOAD, 2, None, false),                              // the one before of its key is out
        (LOAD, 2, Some(Outcome::TimedOut), false),           // and may run still
    ] {
        assert!(
            !planted(class, second, outcome, refused).is_empty(),
            "{class} {second} {outcome:?}"
        );
    }
    // What has changed before the first byte: the client left, the engine drains, the key's window
    // is over.
    let changes: [fn(&mut RuleChecker); 3] = [
        |checker| checker.requests.get_mut(&1).unwrap().has_ended = true,
        |checker| {
            checker.closed_engines.insert(1);
        },
        |checker| {
            let observed = checker.requests.get_mut(&1).unwrap();
            (observed.class, observed.attempts, observed.first_bytes) =
                (LOAD, vec![Some(Outcome::Broken)], vec![Some(0)]);
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut checker = RuleChecker::new(Settings {
            attempt_budget: None,
            ..settings.clone()
        });
        checker.on_request(S, &lookup(1, 90 * S));
        if number == 2 {
            change(&mut checker);
            checker.requests.get_mut(&1).unwrap().engines.push(1);
        }
        checker.on_action(11 * S, &send(1));
        if number < 2 {
            change(&mut checker);
        }
        assert!(checker.violations.is_empty());
        let last = checker.requests[&1].attempts.len() - 1;
        checker.on_first_byte(11 * S, (1, last));
        assert!(!checker.violations.is_empty(), "change {number}");
    }
}
