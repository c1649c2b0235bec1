//! A gateway among hundreds, before tens of engines: its shares are below one query.

use super::*;

const ENGINES: u32 = 20;

pub fn wide() -> Settings {
    Settings {
        peers: 200.0,
        may_probe: true,
        probe_tariff: 0.01,
        ..settings()
    }
}

pub fn fleet() -> Vec<Endpoint> {
    (1..=ENGINES).map(ready).collect()
}

pub fn probed(actions: &[Action]) -> Vec<EngineId> {
    let engine = |a: &Action| {
        if let Action::Probe { engine } = a {
            Some(*engine)
        } else {
            None
        }
    };
    actions.iter().filter_map(engine).collect()
}

/// The engines that requests were sent to.
pub fn targets(actions: &[Action]) -> Vec<EngineId> {
    sent(actions)
        .into_iter()
        .map(|(_, engine)| engine)
        .collect()
}

pub fn reported(engine: EngineId, in_flight: f64) -> Event {
    let report = Some(LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    });
    Event::Probed(Probed {
        engine,
        outcome: Outcome::Answered,
        report,
    })
}

/// Takes a request and answers its probes with what `load` says each engine holds.
pub fn place(bench: &mut Bench, request: Request, load: impl Fn(EngineId) -> f64) -> Vec<EngineId> {
    let mut actions = bench.request(request);
    for engine in probed(&actions) {
        actions.extend(bench.handle(reported(engine, load(engine))));
    }
    targets(&actions)
}
