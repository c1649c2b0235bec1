//! The rule on effects: the writes of a request take effect once, whichever gateways its tries went
//! through. A retry after the window counts as a new request, because the engines have forgotten
//! its key by then.

use std::collections::HashMap;

use eideryard_emulators::history::{Event, Micros, SharedName, TimedEvent};

use super::{Break, Facts, History, Rule, Subject, Verdict, SLACK};

struct Effect<'a> {
    at: Micros,
    engine: &'a SharedName,
    id: u64,
}

/// Checks that no key takes effect twice within the window of its class, and that every effect
/// belongs to a try.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(facts: &Facts, history: &History<'_>, verdict: &mut Verdict) {
    let mut effects: HashMap<(&SharedName, &SharedName), Vec<Effect<'_>>> = HashMap::new();
    let (mut effect_count, mut twice, mut after_window, mut repeats) = (0, 0, 0, 0);
    for TimedEvent { at, event } in history.events {
        match event {
            Event::Effect { engine, id, .. } => {
                effect_count += 1;
                // Grouped by the key that all tries of a request share. An engine gets no key for
                // an unsafe request, only the id of its try.
                let Some((_, tried)) = history.tries.get(id) else {
                    let text = format!("{engine} reported an effect of a try that no client sent");
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
                let same_key = effects.entry((&tried.load, &tried.key)).or_default();
                same_key.push(Effect {
                    at: *at,
                    engine,
                    id: *id,
                });
            }
            Event::RepeatDropped { .. } => repeats += 1,
            _ => {}
        }
    }
    let mut repeated: Vec<_> = effects
        .into_iter()
        .filter(|(_, effects)| effects.len() > 1)
        .collect();
    repeated.sort_by_key(|(_, effects)| effects[0].at);
    for ((_, key), effects) in repeated {
        let tried = |id| history.tries.get(&id);
        let window = |id| {
            let class = tried(id).and_then(|(_, tried)| facts.class(&tried.class));
            class.map_or(0, |class| class.window.as_micros() as Micros)
        };
        // Engines remember the key of a keyed effect for the window. An unsafe request has no key
        // and must never run again.
        let is_sent_after_window = |before: &Effect<'_>, after: &Effect<'_>| {
            let keyed = tried(before.id).and_then(|(_, tried)| facts.class(&tried.class));
            let sent = tried(after.id).map_or(0, |(sent, _)| *sent);
            keyed.is_some_and(|class| class.effect == "keyed")
                && sent + SLACK >= before.at + window(before.id)
        };
        for pair in effects.windows(2) {
            if is_sent_after_window(&pair[0], &pair[1]) {
                after_window += 1;
                continue;
            }
            twice += 1;
            let text = format!(
                "took effect at {} and again {:.1} ms later at {}",
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
    verdict.set_figure("effects", effect_count);
    verdict.set_figure("effects_twice", twice);
    verdict.set_figure("effects_after_window", after_window);
    verdict.set_figure("repeats_dropped", repeats);
}

#[cfg(test)]
mod tests;
