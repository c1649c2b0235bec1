//! The number of engines that a decision visits must not grow with the fleet. The visits are
//! counted in fleets of 80 to 4,100 engines, with a proportional number of gateways.

mod common;
use common::*;
use eideryard::interface::*;

/// Number of engines and of gateways: 2.4 engines per gateway.
const FLEETS: [(u32, f64); 3] = [(80, 34.0), (800, 334.0), (4_100, 1_709.0)];
const REQUESTS: u64 = 200;
/// Maximum ratio between two counts that are considered equal. The counts differ because a subset
/// is a whole number of engines and the number of waiting requests is random.
const MAX_RATIO: f64 = 1.25;

fn new_gateway(engines: u32, peers: f64) -> TestGateway {
    let mut settings = settings();
    (
        settings.counts_by_probe,
        settings.peers,
        settings.gateway_index,
    ) = (false, peers, Some(1.0));
    let all: Vec<Endpoint> = (1..=engines).map(ready_endpoint).collect();
    TestGateway::new(settings, &all)
}

/// Returns the number of visits per request while engines answer, and while no engine answers, in
/// which case requests wait and are shed.
fn visits_per_request(engines: u32, peers: f64) -> [f64; 2] {
    let mut gateway = new_gateway(engines, peers);
    let mut count = |answered: bool| {
        let before = gateway.balancer.engine_visits();
        for number in 0..REQUESTS {
            let id = number + if answered { 0 } else { REQUESTS };
            let actions = gateway.submit(Request {
                group: id,
                ..lookup_request(id, gateway.now + 4 * SECOND)
            });
            gateway.advance(10 * MILLISECOND);
            for (request, _) in sent_attempts(&actions).into_iter().filter(|_| answered) {
                gateway.end_attempt(request, 0, Outcome::Answered, 10 * MILLISECOND);
            }
        }
        (gateway.balancer.engine_visits() - before) as f64 / REQUESTS as f64
    };
    [count(true), count(false)]
}

#[test]
fn decision_visits_the_same_number_of_engines_in_a_fleet_of_any_size() {
    let counts = FLEETS.map(|(engines, peers)| visits_per_request(engines, peers));
    for (phase, name) in ["answered", "unanswered"].iter().enumerate() {
        let min = counts
            .iter()
            .map(|fleet| fleet[phase])
            .fold(f64::INFINITY, f64::min);
        let max = counts.iter().map(|fleet| fleet[phase]).fold(0.0, f64::max);
        assert!(max <= MAX_RATIO * min, "{name}: {counts:?}");
        assert!(min >= 2.0, "{name}: too few engines visited: {counts:?}");
    }
}

#[test]
fn list_change_visits_only_the_engines_that_it_names() {
    let counts = FLEETS.map(|(engines, peers)| {
        let mut gateway = new_gateway(engines, peers);
        let before = gateway.balancer.engine_visits();
        for engine in 1..=20 {
            let endpoint = Endpoint {
                phase: Phase::Draining,
                ..ready_endpoint(engine)
            };
            gateway.handle(Event::EndpointChanges(vec![endpoint]));
        }
        gateway.balancer.engine_visits() - before
    });
    let min = counts.iter().min().copied().unwrap_or(0);
    assert!(
        counts.iter().all(|&count| count <= min + min / 4),
        "{counts:?}"
    );
}
