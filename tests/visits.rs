//! What a decision visits doesn't grow with the fleet: counts, at 80 engines and at 4,100, gateways
//! in proportion.

mod common;
use common::*;
use eideryard::interface::*;

/// Engines, and 2.4 of them to each gateway.
const FLEETS: [(u32, f64); 3] = [(80, 34.0), (800, 334.0), (4_100, 1_709.0)];
const REQUESTS: u64 = 200;
/// What counts as alike: subsets are whole numbers of engines, and how many requests wait is drawn.
const ALIKE: f64 = 1.25;

fn bench(engines: u32, peers: f64) -> Bench {
    let mut settings = settings();
    (settings.counts_by_probe, settings.peers, settings.index) = (false, peers, Some(1.0));
    let all: Vec<Endpoint> = (1..=engines).map(ready).collect();
    Bench::new(settings, &all)
}

/// Visits a request while engines answer, and while none does and requests wait and are shed.
fn visits(engines: u32, peers: f64) -> [f64; 2] {
    let mut bench = bench(engines, peers);
    let mut counted = |answered: bool| {
        let before = bench.balancer.engine_visits();
        for number in 0..REQUESTS {
            let id = number + if answered { 0 } else { REQUESTS };
            let actions = bench.request(Request {
                group: id,
                ..lookup(id, bench.now + 4 * S)
            });
            bench.advance(10 * MS);
            for (request, _) in sent(&actions).into_iter().filter(|_| answered) {
                bench.end_attempt(request, 0, Outcome::Answered, 10 * MS);
            }
        }
        (bench.balancer.engine_visits() - before) as f64 / REQUESTS as f64
    };
    [counted(true), counted(false)]
}

#[test]
fn decision_visits_as_many_engines_in_a_fleet_of_any_size() {
    let counted = FLEETS.map(|(engines, peers)| visits(engines, peers));
    for (phase, name) in ["answered", "held"].iter().enumerate() {
        let least = counted
            .iter()
            .map(|own| own[phase])
            .fold(f64::INFINITY, f64::min);
        let most = counted.iter().map(|own| own[phase]).fold(0.0, f64::max);
        assert!(most <= ALIKE * least, "{name}: {counted:?}");
        assert!(least >= 2.0, "{name}: something is looked at: {counted:?}");
    }
}

#[test]
fn a_change_of_the_list_visits_the_engines_that_it_names() {
    let counted = FLEETS.map(|(engines, peers)| {
        let mut bench = bench(engines, peers);
        let before = bench.balancer.engine_visits();
        for engine in 1..=20 {
            let entry = Endpoint {
                phase: Phase::Draining,
                ..ready(engine)
            };
            bench.handle(Event::EndpointChanges(vec![entry]));
        }
        bench.balancer.engine_visits() - before
    });
    let least = counted.iter().min().copied().unwrap_or(0);
    assert!(
        counted.iter().all(|&own| own <= least + least / 4),
        "{counted:?}"
    );
}
