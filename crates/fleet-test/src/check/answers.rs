//! Exactly one answer from a living gateway; all that was asked has an end, and each loss a cause.

use std::collections::BTreeMap;

use eideryard_emulators::history::{Happened, How, Name, What};

use super::{Break, History, Rule, Subject, Verdict};

#[derive(Default)]
struct Sums {
    asked: u64,
    ends: BTreeMap<How, u64>,
}

/// Every try has exactly one final answer, or a cause for none.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn check(history: &History<'_>, verdict: &mut Verdict) {
    let mut loads: BTreeMap<Name, Sums> = BTreeMap::new();
    let mut causes: BTreeMap<&'static str, u64> = BTreeMap::new();
    let (mut unanswered, mut no_door) = (0, 0);
    for Happened { at, what } in history.events {
        let (rule, subject, text) = match what {
            What::Asked(tried) => {
                loads.entry(tried.load.clone()).or_default().asked += 1;
                continue;
            }
            What::NoDoor { .. } => {
                no_door += 1;
                continue;
            }
            What::Surplus { load, gateway } => {
                let text = format!("{load}: an answer of {gateway} that nothing waits for");
                (Rule::OneAnswer, Subject::Load(load.clone()), text)
            }
            What::Garbled { id } => (
                Rule::OneAnswer,
                Subject::Request(*id),
                "a result that no engine made for it".into(),
            ),
            What::Over { id, how, .. } => {
                let Some((asked, tried)) = history.tries.get(id) else {
                    let text = "an end of a try that nobody made".to_string();
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
                    .entry(*how)
                    .or_default() += 1;
                if !matches!(how, How::Reset | How::Silence) {
                    continue;
                }
                match history.cause(&tried.gateway, *asked, *at) {
                    Some(cause) => {
                        *causes.entry(cause).or_default() += 1;
                        continue;
                    }
                    None => {
                        unanswered += 1;
                        let what = if *how == How::Reset {
                            "ended its connection"
                        } else {
                            "said nothing"
                        };
                        let text = format!("{} lived and {what}", tried.gateway);
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
        let text = format!("it ended {} times", ends.len());
        verdict.add(Break {
            rule: Rule::OneAnswer,
            subject: Subject::Request(*id),
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
            let subject = Subject::Load(load.clone());
            verdict.add(Break {
                rule: Rule::Conservation,
                subject,
                from: 0,
                to: history.last,
                text,
            });
        }
        total.asked += sums.asked;
        sums.ends
            .iter()
            .for_each(|(how, count)| *total.ends.entry(*how).or_default() += count);
    }
    let of = |how| total.ends.get(&how).copied().unwrap_or(0);
    verdict.set_figure("requests", total.asked);
    verdict.set_figure("served", of(How::Served));
    verdict.set_figure("refused", of(How::Refused));
    verdict.set_figure("failed", of(How::Failed));
    verdict.set_figure("forgotten", of(How::Forgotten));
    verdict.set_figure("lost", of(How::Reset) + of(How::Silence));
    verdict.set_figure("no_door", no_door);
    verdict.set_figure("unanswered", unanswered);
    for (cause, count) in causes {
        verdict.set_figure(&format!("lost_{cause}"), count);
    }
}

#[cfg(test)]
mod tests;
