//! One of hundreds of gateways in front of tens of engines: its share of an engine is less than one
//! query.

use super::*;

const ENGINES: u32 = 20;

pub fn small_share_settings() -> Settings {
    Settings {
        peers: 200.0,
        may_probe: true,
        probe_tariff: 0.01,
        ..settings()
    }
}

pub fn fleet() -> Vec<Endpoint> {
    (1..=ENGINES).map(ready_endpoint).collect()
}

pub fn probed_engines(actions: &[Action]) -> Vec<EngineId> {
    let probed_engine = |action: &Action| {
        if let Action::Probe { engine } = action {
            Some(*engine)
        } else {
            None
        }
    };
    actions.iter().filter_map(probed_engine).collect()
}

/// Returns the engine of each send, in order.
pub fn target_engines(actions: &[Action]) -> Vec<EngineId> {
    sent_attempts(actions)
        .into_iter()
        .map(|(_, engine)| engine)
        .collect()
}

pub fn probe_answer(engine: EngineId, in_flight: f64) -> Event {
    let report = Some(LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    });
    Event::ProbeEnded(ProbeEnded {
        engine,
        outcome: Outcome::Answered,
        report,
    })
}

/// Submits a request, answers its probes with the number of queries that `load` returns for each
/// engine, and returns the engines that the request was sent to.
pub fn place_with_probes(
    gateway: &mut TestGateway,
    request: Request,
    load: impl Fn(EngineId) -> f64,
) -> Vec<EngineId> {
    let mut actions = gateway.submit(request);
    for engine in probed_engines(&actions) {
        actions.extend(gateway.handle(probe_answer(engine, load(engine))));
    }
    target_engines(&actions)
}
