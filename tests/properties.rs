//! Rules on days that nobody has drawn: drawn settings and events, the rule judged from outside by
//! the actions alone. Order of a key, the budget of further attempts, effects that must never come
//! twice, drains and clients that have gone. What counts is the first byte of an attempt, which
//! some days hold back for a while.

mod common;
use common::*;
use eideryard::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const UNSAFE: usize = 3;
const SEEDS: u64 = 150;

#[derive(Default)]
struct Seen {
    class: usize,
    key: Option<String>,
    over: bool,
    end_by: Micros,
    /// How each attempt ended, none while it is out.
    attempts: Vec<Option<Outcome>>,
    engines: Vec<EngineId>,
    /// When the first byte of each went out.
    begun: Vec<Option<Micros>>,
}

/// What an observer of a gateway's events and actions knows, and what it objects to.
struct Judge {
    set: Settings,
    taken: Vec<Micros>,
    further: Vec<Micros>,
    requests: BTreeMap<RequestId, Seen>,
    rests: BTreeMap<String, Micros>,
    /// Engines that take nothing new, as the gateway was told.
    closed: BTreeSet<EngineId>,
    broken: Vec<String>,
}

impl Judge {
    fn new(set: Settings) -> Self {
        let (taken, further, broken, rests, closed) = Default::default();
        Judge {
            set,
            taken,
            further,
            requests: BTreeMap::new(),
            rests,
            closed,
            broken,
        }
    }

    fn takes(&mut self, now: Micros, request: &Request) {
        self.taken.push(now);
        let (class, key, end_by) = (request.class, request.key.clone(), request.deadline);
        let seen = Seen {
            class,
            key,
            end_by,
            ..Seen::default()
        };
        self.requests.insert(request.id, seen);
    }

    fn ends(&mut self, now: Micros, ended: &AttemptEnded) {
        let Some(seen) = self.requests.get_mut(&ended.request) else {
            return;
        };
        seen.attempts[ended.attempt] = Some(ended.outcome);
        seen.over |= ended.complete;
        if matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled
        ) {
            seen.key.iter().for_each(|key| {
                _ = self
                    .rests
                    .insert(key.clone(), now + self.set.ordering_delay);
            });
        }
    }

    fn acts(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Send {
                request, engine, ..
            } => self.sends(now, *request, *engine),
            Action::Refuse { request, .. } => {
                let seen = self
                    .requests
                    .get_mut(request)
                    .expect("a request that was taken");
                if seen.class == UNSAFE && seen.attempts.iter().any(|a| !never_ran(a)) {
                    self.broken.push(format!(
                        "{request} is called safe to repeat and may have run"
                    ));
                }
                seen.over = true;
            }
            Action::Fail { request } => {
                self.requests
                    .get_mut(request)
                    .expect("a request that was taken")
                    .over = true;
            }
            _ => {}
        }
    }

    fn sends(&mut self, now: Micros, request: RequestId, engine: EngineId) {
        let seen = &self.requests[&request];
        let mut wrong = Vec::new();
        let out = seen.attempts.iter().any(Option::is_none);
        if out && !self.set.hedging_allowed {
            wrong.push("two attempts are out");
        }
        if seen.class == UNSAFE && seen.attempts.iter().any(|a| !never_ran(a)) {
            wrong.push("an effect may come twice");
        }
        if let Some(key) = seen
            .key
            .as_ref()
            .filter(|_| self.set.classes[seen.class].ordered)
        {
            let before = self
                .requests
                .range(..request)
                .filter(|(_, own)| own.key.as_ref() == Some(key));
            if before
                .clone()
                .any(|(_, own)| !own.over || own.attempts.iter().any(Option::is_none))
            {
                wrong.push("an earlier one of its key isn't over");
            }
            if seen.attempts.is_empty() && self.rests.get(key).is_some_and(|until| now < *until) {
                wrong.push("its key rests");
            }
        }
        self.broken.extend(
            wrong
                .into_iter()
                .map(|why| format!("send of {request}: {why}")),
        );
        let seen = self.requests.get_mut(&request).unwrap();
        seen.attempts.push(None);
        seen.begun.push(None);
        seen.engines.push(engine);
    }

    /// The first byte of an attempt goes out.
    fn begins(&mut self, now: Micros, (request, attempt): (RequestId, usize)) {
        let seen = self.requests.get_mut(&request).unwrap();
        let mut wrong = Vec::new();
        if seen.over || now >= seen.end_by {
            wrong.push("its client waits no more");
        }
        if self.closed.contains(&seen.engines[attempt]) {
            wrong.push("its engine drains or is gone");
        }
        let class = &self.set.classes[seen.class];
        let before = seen
            .attempts
            .iter()
            .zip(&seen.begun)
            .filter(|(outcome, _)| !never_ran(outcome));
        let ran = before.filter_map(|(_, begun)| *begun).min();
        if class.effect == Effect::IdempotentWithKey
            && ran.is_some_and(|ran| now >= ran + class.window)
        {
            wrong.push("its key is forgotten");
        }
        let again = seen.begun.iter().any(Option::is_some);
        seen.begun[attempt] = Some(now);
        if let Some(budget) = self.set.attempt_budget.filter(|_| again) {
            let lately = |times: &[Micros]| {
                times.iter().filter(|at| **at + budget.span > now).count() as f64
            };
            self.further.push(now);
            if lately(&self.further) > budget.spare + budget.ratio * lately(&self.taken) {
                wrong.push("over the budget");
            }
        }
        self.broken.extend(
            wrong
                .into_iter()
                .map(|why| format!("first byte of {request}: {why}")),
        );
    }
}

fn never_ran(attempt: &Option<Outcome>) -> bool {
    matches!(
        attempt,
        Some(Outcome::AtCapacity | Outcome::NoConnection | Outcome::NotSent)
    )
}

fn drawn(rng: &mut fastrand::Rng) -> Settings {
    let mut set = settings();
    let mut last = class(Effect::NonIdempotent, 3 * S, 2.0);
    last.is_load = true;
    set.classes.push(last);
    set.classes[LOAD].ordered = true;
    set.peers = [1.0, 3.0, 20.0, 30.0, 90.0][rng.usize(..5)];
    (set.may_probe, set.counts_by_probe) = (rng.bool(), rng.bool());
    (set.may_cancel, set.hedging_allowed) = (rng.bool(), rng.bool());
    set.note_period = if rng.bool() { 500 * MS } else { 0 };
    set.ordering_delay = rng.u64(0..2 * S);
    set.max_attempts = rng.usize(1..7);
    set.classes
        .iter_mut()
        .for_each(|class| class.window = [100 * MS, S, 10 * S][rng.usize(..3)]);
    set.classes
        .iter_mut()
        .for_each(|class| class.latency_objective = [100 * MS, S, 5 * S][rng.usize(..3)]);
    set.overload_window = [S, 3 * S][rng.usize(..2)];
    let ratio = rng.f64() * 0.5;
    set.attempt_budget = rng.bool().then_some(AttemptBudget {
        span: 5 * S,
        ratio,
        spare: 3.0,
    });
    set
}

/// One day of a gateway: what it took, how its attempts ended, in an order that chance has chosen.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn play(seed: u64) -> Judge {
    let mut rng = fastrand::Rng::with_seed(seed);
    let set = drawn(&mut rng);
    let engines: Vec<Endpoint> = (1..=rng.u32(2..12)).map(ready).collect();
    let mut bench = Bench::seeded(set.clone(), seed, &engines);
    let mut judge = Judge::new(set);
    let mut day = Day {
        late: [0.0, 0.5][rng.usize(..2)],
        out: Vec::new(),
        held: Vec::new(),
        rng: rng.fork(),
    };
    let sick = rng.f64();
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
                judge
                    .requests
                    .get_mut(&request)
                    .into_iter()
                    .for_each(|seen| seen.over = true);
                bench.tell(Event::ClientLeft { request })
            }
            1 => {
                let mut entry = engines[rng.usize(..engines.len())];
                entry.phase = [Phase::Ready, Phase::Draining, Phase::Removed][rng.usize(..3)];
                match entry.phase {
                    Phase::Ready => judge.closed.remove(&entry.engine),
                    _ => judge.closed.insert(entry.engine),
                };
                bench.tell(Event::EndpointChanges(vec![entry]))
            }
            2..=9 if !day.out.is_empty() => {
                let (request, attempt) = day.out.swap_remove(rng.usize(..day.out.len()));
                let bad = [
                    Outcome::Error,
                    Outcome::AtCapacity,
                    Outcome::TimedOut,
                    Outcome::NoConnection,
                ];
                let outcome = if rng.f64() < sick {
                    bad.into_iter()
                        .chain([Outcome::Broken])
                        .nth(rng.usize(..5))
                        .unwrap()
                } else {
                    Outcome::Answered
                };
                finish(&mut bench, &mut judge, (request, attempt), outcome)
            }
            10..=12 if !day.held.is_empty() => {
                let of = day.held.swap_remove(day.rng.usize(..day.held.len()));
                day.let_go(&mut bench, &mut judge, of)
            }
            _ => {
                let asked = Request {
                    class,
                    key,
                    group: rng.u64(..30),
                    ..lookup(id, deadline)
                };
                judge.takes(now, &asked);
                bench.take(asked)
            }
        };
        heed(&mut bench, &mut judge, &mut day, &mut actions);
        // In small steps, so that what timers bring about is judged at its own time.
        for _ in 0..rng.u32(..40) {
            let mut actions = bench.pass(5 * MS);
            heed(&mut bench, &mut judge, &mut day, &mut actions);
        }
    }
    judge
}

/// What is out, and what has no byte out yet since its dial isn't up.
struct Day {
    late: f64,
    out: Vec<(RequestId, usize)>,
    held: Vec<(RequestId, usize)>,
    rng: fastrand::Rng,
}

impl Day {
    /// The dial is up: the module is asked, and told where it says no.
    fn let_go(
        &mut self,
        bench: &mut Bench,
        judge: &mut Judge,
        of: (RequestId, usize),
    ) -> Vec<Action> {
        if !bench.gateway.may_begin(bench.now, of.0, of.1) {
            return finish(bench, judge, of, Outcome::NotSent);
        }
        judge.begins(bench.now, of);
        self.out.push(of);
        Vec::new()
    }
}

fn finish(
    bench: &mut Bench,
    judge: &mut Judge,
    of: (RequestId, usize),
    outcome: Outcome,
) -> Vec<Action> {
    let complete = outcome == Outcome::Answered || judge.requests[&of.0].over;
    let now = bench.now;
    bench.end_with(of.0, of.1, outcome, S, |ended| {
        ended.complete = complete;
        judge.ends(now, ended);
    })
}

/// Judges actions in their order; a cancel is heeded at once, a probe finds an idle engine.
fn heed(bench: &mut Bench, judge: &mut Judge, day: &mut Day, actions: &mut Vec<Action>) {
    while !actions.is_empty() {
        let action = actions.remove(0);
        judge.acts(bench.now, &action);
        match action {
            Action::Send { request, .. } => {
                let of = (request, judge.requests[&request].attempts.len() - 1);
                if day.rng.f64() < day.late {
                    day.held.push(of);
                } else {
                    actions.extend(day.let_go(bench, judge, of));
                }
            }
            Action::Cancel { request, attempt } if day.out.contains(&(request, attempt)) => {
                day.out.retain(|own| *own != (request, attempt));
                actions.extend(finish(bench, judge, (request, attempt), Outcome::Cancelled));
            }
            Action::Cancel { request, attempt } if day.held.contains(&(request, attempt)) => {
                day.held.retain(|own| *own != (request, attempt));
                actions.extend(finish(bench, judge, (request, attempt), Outcome::NotSent));
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
                actions.extend(bench.tell(Event::Probed(probed)));
            }
            _ => {}
        }
    }
}

#[test]
fn order_budget_and_effects_are_kept_on_drawn_days() {
    let (mut sends, mut further) = (0, 0);
    for seed in 0..SEEDS {
        let judge = play(seed);
        assert!(judge.broken.is_empty(), "seed {seed}: {:?}", judge.broken);
        sends += judge
            .requests
            .values()
            .map(|seen| seen.attempts.len())
            .sum::<usize>();
        further += judge.further.len();
    }
    assert!(
        sends > 50 * SEEDS as usize && further > SEEDS as usize,
        "{sends} sends, {further} further"
    );
}

/// The judge objects to what breaks each rule.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn the_judge_finds_planted_breaks() {
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
    let mut set = settings();
    set.classes.push(class(Effect::NonIdempotent, S, 1.0));
    set.classes[LOAD].ordered = true;
    set.attempt_budget = Some(AttemptBudget {
        span: 5 * S,
        ratio: 0.0,
        spare: 0.0,
    });
    let planted = |class: usize, second: RequestId, outcome: Option<Outcome>, refused: bool| {
        let mut judge = Judge::new(set.clone());
        let key = (class == LOAD).then(|| "k".to_string());
        (1..=2).for_each(|id| {
            judge.takes(
                S,
                &Request {
                    class,
                    key: key.clone(),
                    ..lookup(id, 9 * S)
                },
            );
        });
        judge.acts(S, &send(1));
        judge.begins(S, (1, 0));
        for outcome in outcome.into_iter() {
            judge.ends(S, &ended(1, outcome));
        }
        let next = if refused {
            Action::Refuse {
                request: 1,
                retry_after: 0,
            }
        } else {
            send(second)
        };
        judge.acts(S, &next);
        if !refused {
            judge.begins(S, (second, (second == 1) as usize));
        }
        judge.broken
    };
    assert!(planted(LOOKUP, 2, None, false).is_empty());
    for (class, second, outcome, refused) in [
        (LOOKUP, 1, None, false),                      // two attempts are out
        (LOOKUP, 1, Some(Outcome::AtCapacity), false), // the budget has nothing to spare
        (UNSAFE, 1, Some(Outcome::TimedOut), false),   // an effect may come twice
        (UNSAFE, 1, Some(Outcome::Broken), true),      // and its client is told to come again
        (LOAD, 2, None, false),                        // the one before of its key is out
        (LOAD, 2, Some(Outcome::TimedOut), false),     // and may run still
    ] {
        assert!(
            !planted(class, second, outcome, refused).is_empty(),
            "{class} {second} {outcome:?}"
        );
    }
    // What has changed before the first byte: the client left, the engine drains, the key's window
    // is over.
    let changes: [fn(&mut Judge); 3] = [
        |judge| judge.requests.get_mut(&1).unwrap().over = true,
        |judge| _ = judge.closed.insert(1),
        |judge| {
            let seen = judge.requests.get_mut(&1).unwrap();
            (seen.class, seen.attempts, seen.begun) =
                (LOAD, vec![Some(Outcome::Broken)], vec![Some(0)]);
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut judge = Judge::new(Settings {
            attempt_budget: None,
            ..set.clone()
        });
        judge.takes(S, &lookup(1, 90 * S));
        if number == 2 {
            change(&mut judge);
            judge.requests.get_mut(&1).unwrap().engines.push(1);
        }
        judge.acts(11 * S, &send(1));
        if number < 2 {
            change(&mut judge);
        }
        assert!(judge.broken.is_empty());
        let last = judge.requests[&1].attempts.len() - 1;
        judge.begins(11 * S, (1, last));
        assert!(!judge.broken.is_empty(), "change {number}");
    }
}
