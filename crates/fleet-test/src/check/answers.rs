//! Exactly one answer from a living gateway; all that was asked has an end, and each loss a cause.

use std::collections::BTreeMap;

use eideryard_emulators::history::{Event, SharedName, TimedEvent, TryOutcome};

use super::{About, Break, History, Rule, Verdict};

#[derive(Default)]
struct Sums {
    asked: u64,
    ends: BTreeMap<TryOutcome, u64>,
}

/// Every try has exactly one final answer, or a cause for none.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(history: &History<'_>, verdict: &mut Verdict) {
    let mut loads: BTreeMap<SharedName, Sums> = BTreeMap::new();
    let mut causes: BTreeMap<&'static str, u64> = BTreeMap::new();
    let (mut unanswered, mut no_door) = (0, 0);
    for TimedEvent { at, event } in history.events {
        let (rule, about, text) = match event {
            Event::TrySent(tried) => {
                loads.entry(tried.load.clone()).or_default().asked += 1;
                continue;
            }
            Event::NoGatewayReachable { .. } => {
                no_door += 1;
                continue;
            }
            Event::UnexpectedAnswer { load, gateway } => {
                let text = format!("{load}: an answer of {gateway} that nothing waits for");
                (Rule::OneAnswer, About::Load(load.clone()), text)
            }
            Event::WrongResult { id } => (
                Rule::OneAnswer,
                About::Request(*id),
                "a result that no engine made for it".into(),
            ),
            Event::TryEnded { id, outcome, .. } => {
                let Some((asked, tried)) = history.tries.get(id) else {
                    let text = "an end of a try that nobody made".to_string();
                    verdict.add(Break {
                        rule: Rule::Conservation,
                        about: About::Request(*id),
                        from: *at,
                        to: *at,
                        text,
                    });
                    continue;
                };
                *loads
                    .entry(tried.load.clone())
                    .or_default()
                    .ends
                    .entry(*outcome)
                    .or_default() += 1;
                if !matches!(outcome, TryOutcome::ConnectionLost | TryOutcome::Unanswered) {
                    continue;
                }
                match history.cause(&tried.gateway, *asked, *at) {
                    Some(cause) => {
                        *causes.entry(cause).or_default() += 1;
                        continue;
                    }
                    None => {
                        unanswered += 1;
                        let what = if *outcome == TryOutcome::ConnectionLost {
                            "ended its connection"
                        } else {
                            "said nothing"
                        };
                        let text = format!("{} lived and {what}", tried.gateway);
                        (Rule::OneAnswer, About::Request(*id), text)
                    }
                }
            }
            _ => continue,
        };
        verdict.add(Break {
            rule,
            about,
            from: *at,
            to: *at,
            text,
        });
    }
    for (id, ends) in history.ends.iter().filter(|(_, ends)| ends.len() > 1) {
        let (from, to) = (ends[0].0, ends[ends.len() - 1].0);
        let text = format!("it ended {} times", ends.len());
        verdict.add(Break {
            rule: Rule::OneAnswer,
            about: About::Request(*id),
            from,
            to,
            text,
        });
    }
    let mut total = Sums::default();
    for (load, sums) in &loads {
        let ended: u64 = sums.ends.values().sum();
        if sums.asked != ended {
            let text = format!("{load}: {} were asked and {ended} ended", sums.asked);
            let about = About::Load(load.clone());
            verdict.add(Break {
                rule: Rule::Conservation,
                about,
                from: 0,
                to: history.last,
                text,
            });
        }
        total.asked += sums.asked;
        sums.ends
            .iter()
            .for_each(|(outcome, count)| *total.ends.entry(*outcome).or_default() += count);
    }
    let of = |outcome| total.ends.get(&outcome).copied().unwrap_or(0);
    verdict.figure("requests", total.asked);
    verdict.figure("served", of(TryOutcome::Served));
    verdict.figure("refused", of(TryOutcome::Refused));
    verdict.figure("failed", of(TryOutcome::Failed));
    verdict.figure("forgotten", of(TryOutcome::Forgotten));
    verdict.figure(
        "lost",
        of(TryOutcome::ConnectionLost) + of(TryOutcome::Unanswered),
    );
    verdict.figure("no_door", no_door);
    verdict.figure("unanswered", unanswered);
    for (cause, count) in causes {
        verdict.figure(&format!("lost_{cause}"), count);
    }
}

#[cfg(test)]
mod tests;
