//! Figures, no verdicts: how service came back after a power loss, and how clients were spread.

use std::collections::{BTreeMap, HashMap};

use eideryard_emulators::history::{Happened, How, Micros, Name, Process, What};

use super::{Facts, History, Verdict};

/// Service is looked at over this time, moved on by a tenth of it.
const WINDOW: Micros = 1_000_000;
/// Service is back from this part of that before.
const BACK: f64 = 0.95;
/// A window with fewer first tries says nothing.
const LEAST: usize = 5;

/// Of first tries: when they were asked and whether they were served.
type Firsts = Vec<(Micros, bool)>;

fn share(firsts: &Firsts, from: Micros, to: Micros) -> Option<f64> {
    let within: Vec<bool> = firsts
        .iter()
        .filter(|(at, _)| (from..to).contains(at))
        .map(|(_, served)| *served)
        .collect();
    let served = within.iter().filter(|served| **served).count();
    (within.len() >= LEAST).then(|| served as f64 / within.len() as f64)
}

/// When a window begins from which service is back, counted from `from`.
fn back(firsts: &Firsts, before: f64, from: Micros, last: Micros) -> Option<Micros> {
    let mut starts = (from..last.saturating_sub(WINDOW)).step_by(WINDOW as usize / 10);
    starts
        .find(|at| share(firsts, *at, at + WINDOW).is_some_and(|now| now >= BACK * before))
        .map(|at| at - from)
}

/// The time after a restart that is looked at, where all starts that were not the first are close
/// together.
const RESTART: Micros = 30_000_000;
const TOGETHER: Micros = 1_000_000;

/// How first tries went in the time after the fleet was started again: their part served, and how
/// long that took.
fn restarted(history: &History<'_>, verdict: &mut Verdict) {
    let starts = history.events.iter().filter(
        |own| matches!(own.what, What::Gateway { how: Process::Started(number), .. } if number > 1),
    );
    let starts: Vec<Micros> = starts.map(|own| own.at).collect();
    let (Some(first), Some(last)) = (starts.first(), starts.last()) else {
        return;
    };
    if last - first > TOGETHER || history.last < last + RESTART / 3 {
        return;
    }
    let within = *last..last + RESTART;
    let (mut asked, mut took) = (0u64, Vec::new());
    for (at, tried) in history
        .tries
        .values()
        .filter(|(at, tried)| within.contains(at) && tried.number == 0)
    {
        asked += 1;
        let end = history.ends.get(&tried.id).and_then(|ends| ends.first());
        took.extend(
            end.filter(|(_, how)| *how == How::Served)
                .map(|(end, _)| end.saturating_sub(*at)),
        );
    }
    took.sort_unstable();
    let part = |share: usize| took.get(took.len() * share / 100).copied().unwrap_or(0) / 1000;
    verdict.set_figure("restart30_asked", asked);
    verdict.set_figure(
        "restart30_served_permille",
        took.len() as u64 * 1000 / asked.max(1),
    );
    verdict.set_figure("restart30_median_ms", part(50));
    verdict.set_figure("restart30_p99_ms", part(99));
}

/// How long first tries that were served took, by class.
fn latencies(history: &History<'_>, verdict: &mut Verdict) {
    let mut took: BTreeMap<&Name, Vec<Micros>> = BTreeMap::new();
    let mut asked: BTreeMap<&Name, u64> = BTreeMap::new();
    for (at, tried) in history
        .tries
        .values()
        .filter(|(_, tried)| tried.number == 0)
    {
        let end = history.ends.get(&tried.id).and_then(|ends| ends.first());
        let served = end.filter(|(_, how)| *how == How::Served);
        *asked.entry(&tried.class).or_default() += 1;
        for (end, _) in served.into_iter() {
            took.entry(&tried.class).or_default().push(end - at);
        }
    }
    for (class, mut took) in took {
        took.sort_unstable();
        let part = |share: usize| took.get(took.len() * share / 100).copied().unwrap_or(0);
        let of = asked.get(class).copied().unwrap_or(0).max(1);
        verdict.set_figure(
            &format!("served_permille_{class}"),
            took.len() as u64 * 1000 / of,
        );
        verdict.set_figure(&format!("median_us_{class}"), part(50));
        verdict.set_figure(&format!("p99_us_{class}"), part(99));
    }
}

/// Adds figures of what clients were served.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn measure(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    restarted(history, verdict);
    latencies(history, verdict);
    let mut firsts: BTreeMap<Name, Firsts> = BTreeMap::new();
    let mut gateways: HashMap<&Name, u64> = HashMap::new();
    let classes: HashMap<&Name, &Name> = history
        .tries
        .values()
        .map(|(_, tried)| (&tried.load, &tried.class))
        .collect();
    let (mut loss, mut engine_back) = (None, None);
    for Happened { at, what } in history.events {
        match what {
            What::Asked(tried) => {
                *gateways.entry(&tried.gateway).or_default() += 1;
                if tried.number == 0 {
                    let end = history.ends.get(&tried.id).and_then(|ends| ends.first());
                    let served = end.is_some_and(|(_, how)| *how == How::Served);
                    firsts
                        .entry(tried.class.clone())
                        .or_default()
                        .push((*at, served));
                    firsts.entry("all".into()).or_default().push((*at, served));
                }
            }
            // A request that found no gateway was not served either.
            What::NoDoor { load, .. } => {
                firsts.entry("all".into()).or_default().push((*at, false));
                let class = classes.get(load).into_iter();
                class.for_each(|class| {
                    firsts
                        .entry((*class).clone())
                        .or_default()
                        .push((*at, false));
                });
            }
            // Where power is lost again, service comes back after the last time.
            What::Did { what } if what == "power-loss" => {
                loss.get_or_insert(*at);
                engine_back = None;
            }
            What::Engine {
                begins: Some(_), ..
            } if loss.is_some() => _ = engine_back.get_or_insert(*at),
            _ => {}
        }
    }
    let asked: u64 = gateways.values().sum();
    let least = gateways
        .values()
        .copied()
        .min()
        .filter(|_| gateways.len() == facts.gateways)
        .unwrap_or(0);
    verdict.set_figure(
        "least_gateway_percent",
        least * facts.gateways as u64 * 100 / asked.max(1),
    );
    let (Some(loss), Some(from)) = (loss, engine_back) else {
        return;
    };
    for (class, firsts) in &firsts {
        let Some(before) = share(firsts, 0, loss) else {
            continue;
        };
        verdict.set_figure(
            &format!("service_before_percent_{class}"),
            (100.0 * before) as u64,
        );
        // Without a figure service did not come back within the run.
        if let Some(time) = back(firsts, before, from, history.last) {
            verdict.set_figure(&format!("service95_ms_{class}"), time / 1000);
        }
    }
}

#[cfg(test)]
mod tests;
