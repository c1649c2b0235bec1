//! Many gateways before few engines: each keeps to an arc of the engines, and goes by own outcomes.

mod common;
use common::*;
use eideryard::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const ENGINES: u32 = 70;
const GATEWAYS: u32 = 100;

/// Queries take up to four threads of engines with twelve cores; nothing tells of load.
fn silent(index: u32) -> Settings {
    let mut settings = settings();
    (settings.counts_by_probe, settings.peers, settings.index) =
        (false, GATEWAYS as f64, Some(index as f64));
    for kind in &mut settings.kinds {
        kind.cores = 12.0;
    }
    settings.classes[REPORT].threads = 4.0;
    settings
}

fn fleet() -> Vec<Endpoint> {
    (1..=ENGINES).map(ready).collect()
}

/// The engines that a gateway spreads a crowd of look-ups over.
fn used(settings: Settings, engines: &[Endpoint]) -> BTreeSet<EngineId> {
    let mut bench = Bench::new(settings, engines);
    let mut used = BTreeSet::new();
    for id in 0..40 {
        let deadline = bench.now + 4 * S;
        let asked = Request {
            group: id,
            ..lookup(id, deadline)
        };
        used.extend(
            sent(&bench.request(asked))
                .into_iter()
                .map(|(_, engine)| engine),
        );
    }
    used
}

#[test]
fn subsets_cover_all_engines_and_leave_each_gateway_room_for_a_query() {
    let mut gateways: BTreeMap<EngineId, u32> = BTreeMap::new();
    for index in 0..GATEWAYS {
        let own = used(silent(index), &fleet());
        assert!(
            (2..=4).contains(&own.len()),
            "gateway {index} spreads over {} engines",
            own.len()
        );
        for engine in own {
            *gateways.entry(engine).or_default() += 1;
        }
    }
    assert_eq!(
        gateways.len(),
        ENGINES as usize,
        "some engines are nobody's"
    );
    // Two threads a core of twelve cores are six queries of four threads.
    assert!(gateways.values().all(|&count| count <= 6), "{gateways:?}");
}

#[test]
fn next_engine_on_the_ring_replaces_a_removed_one() {
    let before = used(silent(0), &fleet());
    let gone = *before.first().unwrap();
    let left: Vec<Endpoint> = fleet()
        .into_iter()
        .filter(|entry| entry.engine != gone)
        .collect();
    let after = used(silent(0), &left);
    assert_eq!(after.len(), before.len());
    assert_eq!(
        after.intersection(&before).count(),
        before.len() - 1,
        "the others stay"
    );
}

#[test]
fn all_engines_are_used_with_counts_from_probes_or_too_few_engines_for_subsets() {
    let far = |settings: Settings, engines: &[Endpoint]| {
        let mut asked = BTreeSet::new();
        for id in 0..60 {
            let mut bench = Bench::new(settings.clone(), engines);
            let deadline = bench.now + 4 * S;
            let actions = bench.request(Request {
                group: id,
                ..lookup(id, deadline)
            });
            asked.extend(sent(&actions).into_iter().map(|(_, engine)| engine));
        }
        asked.len()
    };
    assert!(
        far(
            Settings {
                counts_by_probe: true,
                ..silent(0)
            },
            &fleet()
        ) > 20
    );
    assert!(
        far(silent(0), &fleet()[..12]) > 8,
        "arcs of twelve engines for a hundred would be slivers again"
    );
}

/// Engines take one to three times the ideal time, as chance has it, and are far from full. What a
/// gateway holds of an engine must not rest on a single slow answer that it then never checks.
#[test]
fn low_load_without_reports_is_served() {
    let mut bench = Bench::new(silent(3), &fleet());
    let (mut out, mut refused_count): (Vec<(Micros, RequestId, Micros)>, usize) =
        Default::default();
    for id in 0..600 {
        let until = bench.now + 100 * MS;
        out.sort_unstable();
        while out.first().is_some_and(|own| own.0 <= until) {
            let (at, id, spent) = out.remove(0);
            let wait = at.saturating_sub(bench.now);
            refused_count += refused(&bench.advance(wait)).len();
            bench.end_attempt(id, 0, Outcome::Answered, spent);
        }
        let wait = until - bench.now;
        refused_count += refused(&bench.advance(wait)).len();
        let deadline = bench.now + 4 * S;
        let actions = bench.request(Request {
            group: id % 50,
            ..lookup(id, deadline)
        });
        refused_count += refused(&actions).len();
        let spent = 100 * MS * (1 + id * 7 % 3);
        out.extend(
            sent(&actions)
                .into_iter()
                .map(|(id, _)| (bench.now + spent, id, spent)),
        );
    }
    assert!(refused_count < 30, "{refused_count} of 600 turned away");
}

/// Look-ups run at the highest rank: a report that fills this gateway's share of its engines must
/// not keep them.
#[test]
fn dashboards_are_not_held_behind_reports_unless_the_engine_is_jammed() {
    let fits = |may_cancel: bool, spent: Micros| {
        let settings = Settings {
            may_cancel,
            peers: 4.0,
            ..silent(0)
        };
        let mut bench = Bench::new(settings, &[ready(1)]);
        for id in 0..2 {
            let deadline = bench.now + 20 * S;
            let asked = if id == 0 {
                lookup(id, deadline)
            } else {
                report(id, deadline, 100.0)
            };
            bench.request(asked);
            bench.advance(spent);
            bench.end_attempt(id, 0, Outcome::Answered, spent);
        }
        for id in 2..5 {
            let deadline = bench.now + 20 * S;
            bench.request(report(id, deadline, 100.0));
        }
        let deadline = bench.now + 4 * S;
        !sent(&bench.request(lookup(9, deadline))).is_empty()
    };
    assert!(fits(true, 100 * MS), "kept behind reports");
    assert!(fits(false, 100 * MS), "kept behind reports");
    assert!(!fits(true, 15 * S), "sent into a jam");
    assert!(!fits(false, 15 * S), "sent into a jam");
}
