//! Many gateways in front of few engines that report no load: each gateway uses a subset of the
//! engines and judges them by the outcomes of its own attempts.

mod common;
use common::*;
use eideryard::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const ENGINES: u32 = 70;
const GATEWAYS: u32 = 100;

/// Queries take up to four threads on engines with twelve cores, which report no load.
fn settings_without_reports(index: u32) -> Settings {
    let mut settings = settings();
    (
        settings.counts_by_probe,
        settings.peers,
        settings.gateway_index,
    ) = (false, GATEWAYS as f64, Some(index as f64));
    for kind in &mut settings.kinds {
        kind.cores = 12.0;
    }
    settings.classes[REPORT].threads = 4.0;
    settings
}

fn fleet() -> Vec<Endpoint> {
    (1..=ENGINES).map(ready_endpoint).collect()
}

/// Returns the engines that a gateway sends 40 simultaneous lookups to.
fn used_engines(settings: Settings, engines: &[Endpoint]) -> BTreeSet<EngineId> {
    let mut gateway = TestGateway::new(settings, engines);
    let mut used = BTreeSet::new();
    for id in 0..40 {
        let deadline = gateway.now + 4 * SECOND;
        let request = Request {
            group: id,
            ..lookup_request(id, deadline)
        };
        used.extend(
            sent_attempts(&gateway.submit(request))
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
        let subset = used_engines(settings_without_reports(index), &fleet());
        assert!(
            (2..=4).contains(&subset.len()),
            "gateway {index} uses {} engines",
            subset.len()
        );
        for engine in subset {
            *gateways.entry(engine).or_default() += 1;
        }
    }
    assert_eq!(
        gateways.len(),
        ENGINES as usize,
        "some engines are in no subset"
    );
    // Two threads per core on twelve cores are six queries of four threads.
    assert!(gateways.values().all(|&count| count <= 6), "{gateways:?}");
}

#[test]
fn next_engine_on_the_ring_replaces_a_removed_one() {
    let before = used_engines(settings_without_reports(0), &fleet());
    let removed = *before.first().unwrap();
    let remaining: Vec<Endpoint> = fleet()
        .into_iter()
        .filter(|endpoint| endpoint.engine != removed)
        .collect();
    let after = used_engines(settings_without_reports(0), &remaining);
    assert_eq!(after.len(), before.len());
    assert_eq!(
        after.intersection(&before).count(),
        before.len() - 1,
        "the other engines of the subset must stay"
    );
}

#[test]
fn all_engines_are_used_if_probes_report_counts_or_engines_are_too_few_for_subsets() {
    let used_count = |settings: Settings, engines: &[Endpoint]| {
        let mut used = BTreeSet::new();
        for id in 0..60 {
            let mut gateway = TestGateway::new(settings.clone(), engines);
            let deadline = gateway.now + 4 * SECOND;
            let actions = gateway.submit(Request {
                group: id,
                ..lookup_request(id, deadline)
            });
            used.extend(
                sent_attempts(&actions)
                    .into_iter()
                    .map(|(_, engine)| engine),
            );
        }
        used.len()
    };
    assert!(
        used_count(
            Settings {
                counts_by_probe: true,
                ..settings_without_reports(0)
            },
            &fleet()
        ) > 20
    );
    assert!(
        used_count(settings_without_reports(0), &fleet()[..12]) > 8,
        "with twelve engines for a hundred gateways, even a subset's share is too small for a query"
    );
}

/// Engines are far from full and take one to three times the ideal time at random. A gateway that
/// avoided an engine after one slow answer would never learn that the engine is fast, and would
/// refuse requests.
#[test]
fn low_load_is_served_without_load_reports() {
    let mut gateway = TestGateway::new(settings_without_reports(3), &fleet());
    let (mut in_flight, mut refused_count): (Vec<(Micros, RequestId, Micros)>, usize) =
        Default::default();
    for id in 0..600 {
        let until = gateway.now + 100 * MILLISECOND;
        in_flight.sort_unstable();
        while in_flight.first().is_some_and(|attempt| attempt.0 <= until) {
            let (at, id, spent) = in_flight.remove(0);
            let wait = at.saturating_sub(gateway.now);
            refused_count += refused_requests(&gateway.advance(wait)).len();
            gateway.end_attempt(id, 0, Outcome::Answered, spent);
        }
        let wait = until - gateway.now;
        refused_count += refused_requests(&gateway.advance(wait)).len();
        let deadline = gateway.now + 4 * SECOND;
        let actions = gateway.submit(Request {
            group: id % 50,
            ..lookup_request(id, deadline)
        });
        refused_count += refused_requests(&actions).len();
        let spent = 100 * MILLISECOND * (1 + id * 7 % 3);
        in_flight.extend(
            sent_attempts(&actions)
                .into_iter()
                .map(|(id, _)| (gateway.now + spent, id, spent)),
        );
    }
    assert!(
        refused_count < 30,
        "{refused_count} of 600 requests refused"
    );
}

/// Dashboards run at the highest rank, so reports that fill this gateway's share of an engine must
/// not keep them in the queue.
#[test]
fn dashboards_are_not_queued_behind_reports_unless_the_engine_is_jammed() {
    let admits_lookup = |may_cancel: bool, spent: Micros| {
        let settings = Settings {
            may_cancel,
            peers: 4.0,
            ..settings_without_reports(0)
        };
        let mut gateway = TestGateway::new(settings, &[ready_endpoint(1)]);
        for id in 0..2 {
            let deadline = gateway.now + 20 * SECOND;
            let request = if id == 0 {
                lookup_request(id, deadline)
            } else {
                report_request(id, deadline, 100.0)
            };
            gateway.submit(request);
            gateway.advance(spent);
            gateway.end_attempt(id, 0, Outcome::Answered, spent);
        }
        for id in 2..5 {
            let deadline = gateway.now + 20 * SECOND;
            gateway.submit(report_request(id, deadline, 100.0));
        }
        let deadline = gateway.now + 4 * SECOND;
        !sent_attempts(&gateway.submit(lookup_request(9, deadline))).is_empty()
    };
    assert!(
        admits_lookup(true, 100 * MILLISECOND),
        "queued behind reports"
    );
    assert!(
        admits_lookup(false, 100 * MILLISECOND),
        "queued behind reports"
    );
    assert!(!admits_lookup(true, 15 * SECOND), "sent to a jammed engine");
    assert!(
        !admits_lookup(false, 15 * SECOND),
        "sent to a jammed engine"
    );
}
