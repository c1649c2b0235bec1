//! Figures on service; no rule depends on them: latencies, recovery after a restart or a power
//! loss, and how evenly clients use the gateways.

use std::collections::{BTreeMap, HashMap};

use eideryard_emulators::history::{
    Event, Micros, ProcessChange, SharedName, TimedEvent, TryOutcome,
};

use super::{Facts, History, Verdict};

/// The served share is measured over this time, at intervals of a tenth of it; microseconds.
const WINDOW: Micros = 1_000_000;
/// Service has recovered when its served share reaches this part of the share before the loss.
const RECOVERED_PART: f64 = 0.95;
/// A window with fewer first tries has no served share.
const MIN_FIRST_TRIES: usize = 5;

/// First tries of requests: when they were sent and whether they were served.
type FirstTries = Vec<(Micros, bool)>;

/// The served share of the first tries sent between `from` and `to`.
fn served_share(firsts: &FirstTries, from: Micros, to: Micros) -> Option<f64> {
    let within: Vec<bool> = firsts
        .iter()
        .filter(|(at, _)| (from..to).contains(at))
        .map(|(_, served)| *served)
        .collect();
    let served = within.iter().filter(|served| **served).count();
    (within.len() >= MIN_FIRST_TRIES).then(|| served as f64 / within.len() as f64)
}

/// The time from `from` to the start of the first window in which service has recovered.
fn recovery_time(firsts: &FirstTries, before: f64, from: Micros, last: Micros) -> Option<Micros> {
    let mut starts = (from..last.saturating_sub(WINDOW)).step_by(WINDOW as usize / 10);
    starts
        .find(|at| {
            served_share(firsts, *at, at + WINDOW)
                .is_some_and(|share| share >= RECOVERED_PART * before)
        })
        .map(|at| at - from)
}

/// The time after a restart of the fleet for which its figures are measured, in microseconds.
const AFTER_RESTART: Micros = 30_000_000;
/// All gateways must start again within this time for a restart of the fleet, in microseconds.
const RESTARTED_WITHIN: Micros = 1_000_000;

/// Adds the served share and the latencies of first tries after a restart of the fleet, if there
/// was one.
fn measure_restart(history: &History<'_>, verdict: &mut Verdict) {
    let starts = history.events.iter().filter(
        |event| matches!(event.event, Event::Gateway { change: ProcessChange::Started(number), .. } if number > 1),
    );
    let starts: Vec<Micros> = starts.map(|event| event.at).collect();
    let (Some(first), Some(last)) = (starts.first(), starts.last()) else {
        return;
    };
    if last - first > RESTARTED_WITHIN || history.last < last + AFTER_RESTART / 3 {
        return;
    }
    let within = *last..last + AFTER_RESTART;
    let (mut sent, mut latencies) = (0u64, Vec::new());
    for (at, tried) in history
        .tries
        .values()
        .filter(|(at, tried)| within.contains(at) && tried.number == 0)
    {
        sent += 1;
        let end = history.ends.get(&tried.id).and_then(|ends| ends.first());
        latencies.extend(
            end.filter(|(_, outcome)| *outcome == TryOutcome::Served)
                .map(|(end, _)| end.saturating_sub(*at)),
        );
    }
    latencies.sort_unstable();
    let percentile_ms = |p: usize| {
        latencies
            .get(latencies.len() * p / 100)
            .copied()
            .unwrap_or(0)
            / 1000
    };
    verdict.set_figure("restart30_asked", sent);
    verdict.set_figure(
        "restart30_served_permille",
        latencies.len() as u64 * 1000 / sent.max(1),
    );
    verdict.set_figure("restart30_median_ms", percentile_ms(50));
    verdict.set_figure("restart30_p99_ms", percentile_ms(99));
}

/// Adds the served share and the latencies of served first tries, by class.
fn measure_latencies(history: &History<'_>, verdict: &mut Verdict) {
    let mut latencies: BTreeMap<&SharedName, Vec<Micros>> = BTreeMap::new();
    let mut sent: BTreeMap<&SharedName, u64> = BTreeMap::new();
    for (at, tried) in history
        .tries
        .values()
        .filter(|(_, tried)| tried.number == 0)
    {
        let end = history.ends.get(&tried.id).and_then(|ends| ends.first());
        let served = end.filter(|(_, outcome)| *outcome == TryOutcome::Served);
        *sent.entry(&tried.class).or_default() += 1;
        for (end, _) in served.into_iter() {
            latencies.entry(&tried.class).or_default().push(end - at);
        }
    }
    for (class, mut served) in latencies {
        served.sort_unstable();
        let percentile = |p: usize| served.get(served.len() * p / 100).copied().unwrap_or(0);
        let count = sent.get(class).copied().unwrap_or(0).max(1);
        verdict.set_figure(
            &format!("served_permille_{class}"),
            served.len() as u64 * 1000 / count,
        );
        verdict.set_figure(&format!("median_us_{class}"), percentile(50));
        verdict.set_figure(&format!("p99_us_{class}"), percentile(99));
    }
}

/// Adds all figures on service.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn measure(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    measure_restart(history, verdict);
    measure_latencies(history, verdict);
    let mut firsts: BTreeMap<SharedName, FirstTries> = BTreeMap::new();
    let mut gateways: HashMap<&SharedName, u64> = HashMap::new();
    let classes: HashMap<&SharedName, &SharedName> = history
        .tries
        .values()
        .map(|(_, tried)| (&tried.load, &tried.class))
        .collect();
    let (mut loss, mut engines_back) = (None, None);
    for TimedEvent { at, event } in history.events {
        match event {
            Event::TrySent(tried) => {
                *gateways.entry(&tried.gateway).or_default() += 1;
                if tried.number == 0 {
                    let end = history.ends.get(&tried.id).and_then(|ends| ends.first());
                    let served = end.is_some_and(|(_, outcome)| *outcome == TryOutcome::Served);
                    firsts
                        .entry(tried.class.clone())
                        .or_default()
                        .push((*at, served));
                    firsts.entry("all".into()).or_default().push((*at, served));
                }
            }
            // A request that reached no gateway counts as not served.
            Event::NoGatewayReachable { load, .. } => {
                firsts.entry("all".into()).or_default().push((*at, false));
                let class = classes.get(load).into_iter();
                class.for_each(|class| {
                    firsts
                        .entry((*class).clone())
                        .or_default()
                        .push((*at, false));
                });
            }
            // If power is lost again, recovery is measured from the last loss on.
            Event::Other { text } if text == "power-loss" => {
                loss.get_or_insert(*at);
                engines_back = None;
            }
            Event::Engine {
                begins: Some(_), ..
            } if loss.is_some() => _ = engines_back.get_or_insert(*at),
            _ => {}
        }
    }
    let sent: u64 = gateways.values().sum();
    let least = gateways
        .values()
        .copied()
        .min()
        .filter(|_| gateways.len() == facts.gateways)
        .unwrap_or(0);
    verdict.set_figure(
        "least_gateway_percent",
        least * facts.gateways as u64 * 100 / sent.max(1),
    );
    let (Some(loss), Some(from)) = (loss, engines_back) else {
        return;
    };
    for (class, firsts) in &firsts {
        let Some(before) = served_share(firsts, 0, loss) else {
            continue;
        };
        verdict.set_figure(
            &format!("service_before_percent_{class}"),
            (100.0 * before) as u64,
        );
        // The figure is absent if service didn't recover within the run.
        if let Some(time) = recovery_time(firsts, before, from, history.last) {
            verdict.set_figure(&format!("service95_ms_{class}"), time / 1000);
        }
    }
}

#[cfg(test)]
mod tests;
