//! No effect twice: a request's writes take effect once, whichever gateways its tries went through.
//! A client that comes again after the window has asked for a new effect: the engines have
//! forgotten it by then.

use std::collections::HashMap;

use eideryard_emulators::history::{Happened, Micros, Name, What};

use super::{Break, Facts, History, Rule, Subject, Verdict, SLACK};

struct Effect<'a> {
    at: Micros,
    engine: &'a Name,
    id: u64,
}

/// No key of a class that may not repeat takes effect twice within its window.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let mut effects: HashMap<(&Name, &Name), Vec<Effect<'_>>> = HashMap::new();
    let (mut all, mut twice, mut late, mut repeats) = (0, 0, 0, 0);
    for Happened { at, what } in history.events {
        match what {
            What::Effect { engine, id, .. } => {
                all += 1;
                // By the key that all tries share; an engine knows only the id of an unsafe one.
                let Some((_, tried)) = history.tries.get(id) else {
                    let text = format!("{engine} did what nobody asked for");
                    let subject = Subject::Request(*id);
                    verdict.add(Break {
                        rule: Rule::EffectOnce,
                        subject,
                        from: *at,
                        to: *at,
                        text,
                    });
                    continue;
                };
                let of = effects.entry((&tried.load, &tried.key)).or_default();
                of.push(Effect {
                    at: *at,
                    engine,
                    id: *id,
                });
            }
            What::Repeat { .. } => repeats += 1,
            _ => {}
        }
    }
    let mut found: Vec<_> = effects
        .into_iter()
        .filter(|(_, effects)| effects.len() > 1)
        .collect();
    found.sort_by_key(|(_, effects)| effects[0].at);
    for ((_, key), effects) in found {
        let tried = |id| history.tries.get(&id);
        let window = |id| {
            let class = tried(id).and_then(|(_, tried)| facts.class(&tried.class));
            class.map_or(0, |class| class.window.as_micros() as Micros)
        };
        // A keyed effect is known by its key for the window; an unsafe one has none, and no retry.
        let asked_again_late = |before: &Effect<'_>, after: &Effect<'_>| {
            let keyed = tried(before.id).and_then(|(_, tried)| facts.class(&tried.class));
            let asked = tried(after.id).map_or(0, |(asked, _)| *asked);
            keyed.is_some_and(|class| class.effect == "keyed")
                && asked + SLACK >= before.at + window(before.id)
        };
        for pair in effects.windows(2) {
            if asked_again_late(&pair[0], &pair[1]) {
                late += 1;
                continue;
            }
            twice += 1;
            let text = format!(
                "took effect at {} and {:.1} ms later again at {}",
                pair[0].engine,
                (pair[1].at - pair[0].at) as f64 / 1e3,
                pair[1].engine
            );
            let (from, to) = (pair[0].at, pair[1].at);
            verdict.add(Break {
                rule: Rule::EffectOnce,
                subject: Subject::Key(key.clone()),
                from,
                to,
                text,
            });
        }
    }
    verdict.set_figure("effects", all);
    verdict.set_figure("effects_twice", twice);
    verdict.set_figure("effects_after_window", late);
    verdict.set_figure("repeats_dropped", repeats);
}

#[cfg(test)]
mod tests;
