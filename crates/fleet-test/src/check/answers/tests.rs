//! Tests of this module, on small inputs.

use super::super::tests::*;
use super::*;
use eideryard_emulators::history::Process;

#[test]
fn a_loss_needs_a_cause_and_every_try_one_end() {
    let kept = vec![
        asked(10, 1, "a", "g1", 0),
        over(20, 1, How::Served),
        asked(30, 2, "b", "g1", 0),
        gateway(40, "g1", Process::Killed),
        over(50, 2, How::Reset),
    ];
    let verdict = checked(&kept);
    assert!(verdict.is_kept(), "{:?}", verdict.breaks);
    assert_eq!(
        (
            verdict.figures["lost_killed"],
            verdict.figures["unanswered"]
        ),
        (1, 0)
    );
    // The same without the kill, with a second end, without an end, with an end of nothing,
    // with an answer too many.
    let mut planted = [
        kept.clone(),
        kept.clone(),
        kept.clone(),
        kept.clone(),
        kept.clone(),
    ];
    planted[0].remove(3);
    planted[1].insert(2, over(25, 1, How::Failed));
    planted[2].remove(1);
    planted[3].push(over(60, 9, How::Served));
    let surplus = What::Surplus {
        load: "all".into(),
        gateway: "g1".into(),
    };
    planted[4].push(Happened {
        at: 60,
        what: surplus,
    });
    let found: Vec<Vec<Rule>> = planted
        .iter()
        .map(|events| checked(events).counts.into_keys().collect())
        .collect();
    let (one, sums) = (Rule::OneAnswer, Rule::Conservation);
    assert_eq!(
        found,
        [
            vec![one],
            vec![one, sums],
            vec![sums],
            vec![sums],
            vec![one]
        ]
    );
}

#[test]
fn a_pause_and_a_cut_link_excuse_a_silence_and_another_gateways_do_not() {
    let events = |fault: &[Happened]| {
        let mut events = vec![asked(10, 1, "a", "g1", 0)];
        events.extend_from_slice(fault);
        events.push(over(90, 1, How::Silence));
        events
    };
    let paused = |name| {
        events(&[
            gateway(5, name, Process::Paused),
            gateway(30, name, Process::Continued),
        ])
    };
    assert!(checked(&paused("g1")).is_kept() && !checked(&paused("g2")).is_kept());
    let cut = |to| {
        events(&[
            link(20, "clients", to, "cut", true),
            link(30, "clients", to, "cut", false),
        ])
    };
    assert!(checked(&cut("g1")).is_kept() && !checked(&cut("g2")).is_kept());
}
