//! Rules on answers: a running gateway answers each try exactly once, every try has an end, and
//! every lost answer has a fault that explains it.

use std::collections::BTreeMap;

use eideryard_emulators::history::{Event, SharedName, TimedEvent, TryOutcome};

use super::{Break, History, Rule, Subject, Verdict};

#[derive(Default)]
struct Counts {
    sent: u64,
    ends: BTreeMap<TryOutcome, u64>,
}

/// Checks that every try has exactly one final answer or a fault that explains its loss.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(history: &History<'_>, verdict: &mut Verdict) {
    let mut loads: BTreeMap<SharedName, Counts> = BTreeMap::new();
    let mut causes: BTreeMap<&'static str, u64> = BTreeMap::new();
    let (mut unanswered, mut unreachable) = (0, 0);
    for TimedEvent { at, event } in history.events {
        let (rule, subject, text) = match event {
            Event::TrySent(tried) => {
                loads.entry(tried.load.clone()).or_default().sent += 1;
                continue;
            }
            Event::NoGatewayReachable { .. } => {
                unreachable += 1;
                continue;
            }
            Event::UnexpectedAnswer { load, gateway } => {
                let text = format!("{load}: {gateway} sent an answer that no try waits for");
                (Rule::OneAnswer, Subject::Load(load.clone()), text)
            }
            Event::WrongResult { id } => (
                Rule::OneAnswer,
                Subject::Request(*id),
                "its result is not one that an engine made for it".into(),
            ),
            Event::TryEnded { id, outcome, .. } => {
                let Some((sent_at, tried)) = history.tries.get(id) else {
                    let text = "an end of a try that no client sent".to_string();
                    verdict.add(Break {
                        rule: Rule::Conservation,
                        subject: Subject::Request(*id),
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
                match history.find_cause(&tried.gateway, *sent_at, *at) {
                    Some(cause) => {
                        *causes.entry(cause).or_default() += 1;
                        continue;
                    }
                    None => {
                        unanswered += 1;
                        let what = if *outcome == TryOutcome::ConnectionLost {
                            "closed the connection without an answer"
                        } else {
                            "didn't answer"
                        };
                        let text = format!("{} had no fault and {what}", tried.gateway);
                        (Rule::OneAnswer, Subject::Request(*id), text)
                    }
                }
            }
            _ => continue,
        };
        verdict.add(Break {
            rule,
            subject,
            from: *at,
            to: *at,
            text,
        });
    }
    for (id, ends) in history.ends.iter().filter(|(_, ends)| ends.len() > 1) {
        let (from, to) = (ends[0].0, ends[ends.len() - 1].0);
        let text = format!("the try ended {} times", ends.len());
        verdict.add(Break {
            rule: Rule::OneAnswer,
            subject: Subject::Request(*id),
            from,
            to,
            text,
        });
    }
    let mut total = Counts::default();
    for (load, counts) in &loads {
        let ended: u64 = counts.ends.values().sum();
        if counts.sent != ended {
            let text = format!("{load}: {} tries were sent and {ended} ended", counts.sent);
            let subject = Subject::Load(load.clone());
            verdict.add(Break {
                rule: Rule::Conservation,
                subject,
                from: 0,
                to: history.last,
                text,
            });
        }
        total.sent += counts.sent;
        counts
            .ends
            .iter()
            .for_each(|(outcome, count)| *total.ends.entry(*outcome).or_default() += count);
    }
    let ended_as = |how| total.ends.get(&how).copied().unwrap_or(0);
    verdict.set_figure("requests", total.sent);
    verdict.set_figure("served", ended_as(TryOutcome::Served));
    verdict.set_figure("refused", ended_as(TryOutcome::Refused));
    verdict.set_figure("failed", ended_as(TryOutcome::Failed));
    verdict.set_figure("forgotten", ended_as(TryOutcome::Forgotten));
    verdict.set_figure(
        "lost",
        ended_as(TryOutcome::ConnectionLost) + ended_as(TryOutcome::Unanswered),
    );
    verdict.set_figure("no_door", unreachable);
    verdict.set_figure("unanswered", unanswered);
    for (cause, count) in causes {
        verdict.set_figure(&format!("lost_{cause}"), count);
    }
}

#[cfg(test)]
mod tests;
