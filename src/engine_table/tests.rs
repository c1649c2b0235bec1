//! Compares the indexes and sums of the table with full walks over all engines, after random
//! changes.

use super::*;
use crate::engine_state::Reservation;
use crate::interface::*;

const SECOND: Micros = 1_000_000;
const ENGINES: u32 = 60;
const STEPS: usize = 600;

fn class(zones: Option<Vec<u32>>, kinds: Option<Vec<u32>>) -> Class {
    Class {
        latency_objective: SECOND,
        latency_objective_per_work: 2.0,
        priority_weight: 1.0,
        effect: Effect::Idempotent,
        scope: Scope::All,
        window: 0,
        is_ordered: false,
        zones_only: zones,
        kinds_only: kinds,
        threads: 1.0,
        is_load: false,
        waits_for_load: false,
    }
}

fn classes() -> Vec<Class> {
    vec![
        class(None, None),
        class(Some(vec![0, 2]), None),
        class(None, Some(vec![1])),
        class(None, None),
    ]
}

fn kinds() -> Vec<MachineKind> {
    vec![
        MachineKind {
            cores: 8.0,
            memory_mb: 1_000.0,
        },
        MachineKind {
            cores: 12.0,
            memory_mb: 2_000.0,
        },
    ]
}

fn empty_table() -> EngineTable {
    EngineTable::new(&classes(), &kinds())
}

fn may_place(class: usize, endpoint: &Endpoint) -> bool {
    let class = &classes()[class];
    class
        .zones_only
        .as_ref()
        .is_none_or(|zones| zones.contains(&endpoint.zone))
        && class
            .kinds_only
            .as_ref()
            .is_none_or(|kinds| kinds.contains(&endpoint.kind))
}

fn random_endpoint(rng: &mut fastrand::Rng) -> Endpoint {
    let phase = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Removed][rng.usize(..4)];
    Endpoint {
        engine: rng.u32(..ENGINES),
        zone: rng.u32(..3),
        kind: rng.u32(..3),
        phase,
        ..Endpoint::default()
    }
}

fn apply_entry(engines: &mut EngineTable, endpoint: Endpoint, now: Micros) {
    engines.update_listing(endpoint, now, |engine| {
        engine.endpoint = endpoint;
        engine.is_listed = endpoint.phase != Phase::Removed;
    });
}

/// Makes one random change to the table, of the kinds that the balancer makes.
fn apply_random_change(engines: &mut EngineTable, rng: &mut fastrand::Rng, now: Micros) {
    let id = rng.u32(..ENGINES);
    match rng.u8(..6) {
        0 | 1 => {
            for _ in 0..rng.usize(1..9) {
                apply_entry(engines, random_endpoint(rng), now);
            }
            engines.update_rings(may_place);
        }
        2 => {
            let reservation = Reservation {
                class: 0,
                group: 0,
                memory_mb: 1.0,
                threads: 1.0,
                ideal_duration: 1e4,
                sent_at: now,
                has_waited: false,
                progress: None,
            };
            if let Some(engine) = engines.get_mut(&id) {
                engine.in_flight.insert((0, 0), reservation);
            }
        }
        3 => {
            if let Some(engine) = engines.get_mut(&id) {
                engine.in_flight.clear();
            }
        }
        4 => {
            if let Some(engine) = engines.get_mut(&id) {
                engine.best_slowdown = 0.8;
                engine.slowdown = 0.8 + rng.f64();
            }
        }
        _ => engines.update_active(now, |engine| {
            engine.slowdown =
                engine.best_slowdown + 1e-3 * (engine.slowdown - engine.best_slowdown);
        }),
    }
}

fn assert_indexes_match_full_walk(engines: &EngineTable, now: Micros, seed: u64) {
    let all = || engines.engines.values();
    for class in 0..classes().len() {
        let open = all().filter(|engine| engine.is_open() && may_place(class, &engine.endpoint));
        let mut expected: Vec<_> = open
            .map(|engine| (mix(engine.endpoint.engine as u64), engine.endpoint.engine))
            .collect();
        expected.sort_unstable();
        assert_eq!(
            engines.ring(class),
            expected,
            "ring of class {class}, seed {seed}"
        );
    }
    assert_eq!(
        engines.listed_count(),
        all().filter(|engine| engine.is_listed).count(),
        "listed engines, seed {seed}"
    );
    assert_eq!(
        engines.open_count(),
        all().filter(|engine| engine.is_open()).count(),
        "open engines, seed {seed}"
    );
    let cores = |engine: &EngineState| kinds()[engines.kind_index(engine)].cores;
    let capacity = |engine: &EngineState| Capacity {
        threads: cores(engine),
        memory_mb: 1.0,
    };
    let expected: f64 = all().filter(|engine| engine.is_open()).map(cores).sum();
    assert_eq!(
        engines.open_capacity(1.0, capacity).threads,
        expected,
        "cores of open engines, seed {seed}"
    );
    let active: BTreeSet<EngineId> = engines
        .active()
        .map(|engine| engine.endpoint.engine)
        .collect();
    let resting = || all().filter(|engine| !active.contains(&engine.endpoint.engine));
    assert!(
        resting().all(|engine| engine.is_at_rest(now)),
        "an engine that may change over time is not active, seed {seed}"
    );
    let expected: f64 = resting()
        .filter(|engine| engine.is_open())
        .map(|engine| cores(engine) / engine.capacity_slowdown())
        .sum();
    let error = (engines.resting_cores() - expected).abs();
    assert!(
        error < 1e-3,
        "cores at rest: {} instead of {expected}, seed {seed}",
        engines.resting_cores()
    );
}

#[test]
fn indexes_match_a_full_walk_after_random_changes() {
    for seed in 0..20 {
        let (mut rng, mut engines) = (fastrand::Rng::with_seed(seed), empty_table());
        for step in 0..STEPS {
            let now = step as Micros * SECOND / 10;
            apply_random_change(&mut engines, &mut rng, now);
            assert_indexes_match_full_walk(&engines, now, seed);
        }
        assert!(
            engines.active.len() < engines.engines.len(),
            "no engine is at rest, seed {seed}"
        );
    }
}

#[test]
fn unlisted_idle_engine_is_dropped_and_others_come_to_rest() {
    let mut engines = empty_table();
    for engine in 0..4 {
        apply_entry(
            &mut engines,
            Endpoint {
                engine,
                ..Endpoint::default()
            },
            0,
        );
    }
    assert!(
        engines.active.is_empty(),
        "new warm engines must be at rest"
    );
    engines.get_mut(&1).expect("engine 1 is listed").slowdown = 3.0;
    apply_entry(
        &mut engines,
        Endpoint {
            engine: 2,
            phase: Phase::Removed,
            ..Endpoint::default()
        },
        0,
    );
    assert_eq!(engines.active.iter().copied().collect::<Vec<_>>(), [1, 2]);
    for step in 0..20 {
        engines.update_active(step * SECOND, |engine| {
            engine.slowdown = engine.best_slowdown + 0.1 * (engine.slowdown - engine.best_slowdown);
        });
    }
    assert!(engines.active.is_empty() && engines.get(&2).is_none());
    assert_eq!(engines.listed().count(), 3);
}
