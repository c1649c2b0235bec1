//! States and episodes of scripted logs.

mod common;

use common::*;
use eideryard::interface::Phase;
use eideryard_event_analysis::EpisodeKind;
use eideryard_event_analysis::{Episode, View};
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::{AnswerKind, Entry, HostEvent};

fn only<'a>(view: &'a View, word: &str) -> Vec<&'a Episode> {
    view.detector
        .episodes()
        .iter()
        .filter(|episode| episode.kind.name() == word)
        .collect()
}

#[test]
fn calm_minute_has_no_episode_and_an_exact_state() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 60, 20);
    let view = script.finish();
    assert_eq!(view.detector.episodes(), [], "nothing happened");
    let start = view.fleet.run(0).unwrap();
    assert_eq!(
        (
            start.running_tally.tally.totals.served,
            start.unanswered_requests().count()
        ),
        (1200, 0)
    );
    assert!(start
        .engines
        .values()
        .all(|engine| engine.in_flight == 0 && engine.granted_mb == 0.0));
    assert_eq!(
        view.series
            .buckets
            .iter()
            .map(|bucket| bucket.total(|class| class.received))
            .sum::<u32>(),
        1200
    );
    assert_eq!(view.notables.iter().count(), 0);
}

#[test]
fn flood_during_a_discovery_outage_is_two_episodes_that_overlap() {
    let mut script = Script::new(&["g1", "g2"]);
    script.calm(0, 0, 40, 20);
    script.calm(1, 0, 40, 20);
    script.host(1, 18.5, HostEvent::DiscoveryLink { is_up: false });
    script.host(0, 18.6, HostEvent::DiscoveryLink { is_up: false });
    script.host(0, 25.0, HostEvent::DiscoveryLink { is_up: true });
    script.host(1, 25.1, HostEvent::DiscoveryLink { is_up: true });
    script.flood(1, 20, 24, 200, 2);
    let view = script.finish();
    let (flood, roster) = (only(&view, "flood"), only(&view, "roster silent"));
    assert_eq!(
        (flood.len(), roster.len()),
        (1, 1),
        "{:?}",
        view.detector.episodes()
    );
    assert_eq!(flood[0].kind, EpisodeKind::TenantFlood(2));
    assert_eq!(flood[0].address, Some([127, 0, 0, 9].into()));
    assert!(
        (150.0..=210.0).contains(&flood[0].peak),
        "{}",
        flood[0].peak
    );
    assert_eq!(roster[0].kind, EpisodeKind::DiscoveryDown([0, 1].into()));
    assert_eq!(
        (roster[0].started_at, roster[0].ended_at),
        (at(18.5), Some(at(25.1)))
    );
    let near = |told: u64, wanted: f64| told.abs_diff(at(wanted)) <= 1_500_000;
    assert!(
        near(flood[0].started_at, 20.0) && near(flood[0].ended_at.unwrap(), 24.0),
        "{flood:?}"
    );
    let overlaps = view.detector.overlaps();
    let episodes = view.detector.episodes();
    let both = |o: &&eideryard_event_analysis::Overlap| {
        [&episodes[o.first], &episodes[o.second]]
            .iter()
            .all(|e| ["flood", "roster silent"].contains(&e.kind.name()))
    };
    let overlap: Vec<_> = overlaps.iter().filter(both).collect();
    assert_eq!((overlap.len(), overlap[0].from), (1, flood[0].started_at));
}

/// Under many tenants' names no tenant floods, but the address does.
#[test]
fn flood_from_one_address_under_many_tenants_is_detected() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 40, 20);
    script.connection = Some(2 << 32);
    for number in 0..600 {
        script.request(0, 20.0 + number as f64 / 150.0, 0, number % 3, SERVED);
    }
    let view = script.finish();
    let floods: Vec<_> = only(&view, "flood")
        .into_iter()
        .map(|episode| episode.kind.clone())
        .collect();
    assert_eq!(
        floods,
        [EpisodeKind::AddressFlood([127, 0, 0, 9].into())],
        "{:?}",
        view.detector.episodes()
    );
}

#[test]
fn engines_that_go_down_together_are_one_episode_until_the_last_is_back() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 10, 20);
    script.engines = vec![4];
    script.calm(0, 10, 30, 20);
    for (number, engine) in [1, 2, 3].into_iter().enumerate() {
        script.fails(0, 10.0 + 0.1 * number as f64, engine);
        script.listed(
            0,
            15.0 + number as f64,
            engine,
            Phase::Ready,
            15_000_000 + number as u64,
        );
    }
    // Another one resets a connection and goes on: nobody is gone.
    script.breaks(0, 20.0, 4);
    script.answers(0, 20.3, 4);
    let view = script.finish();
    let gone = only(&view, "engines gone");
    assert_eq!(gone.len(), 1, "{:?}", view.detector.episodes());
    assert_eq!(gone[0].kind, EpisodeKind::EnginesDown([1, 2, 3].into()));
    assert_eq!(
        (gone[0].started_at, gone[0].ended_at, gone[0].peak),
        (at(10.0), Some(at(17.0)), 3.0)
    );
}

#[test]
fn drain_lasts_until_the_engine_is_removed() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 10, 10);
    script.listed(0, 3.0, 2, Phase::Draining, 0);
    script.listed(0, 6.0, 2, Phase::Removed, 0);
    script.listed(0, 7.0, 3, Phase::Draining, 0);
    let view = script.finish();
    let drains: Vec<_> = only(&view, "drain")
        .into_iter()
        .map(|e| (e.kind.clone(), e.started_at, e.ended_at))
        .collect();
    assert_eq!(
        drains,
        [
            (EpisodeKind::Drain(2), at(3.0), Some(at(6.0))),
            (EpisodeKind::Drain(3), at(7.0), None)
        ]
    );
}

#[test]
fn crash_is_a_gap_up_to_the_restart_without_other_episodes() {
    let mut script = Script::new(&["g1", "g1"]);
    script.calm(0, 0, 10, 20);
    // The new start of the same gateway tells from then on.
    script.calm(1, 14, 30, 20);
    let view = script.finish();
    let gaps = only(&view, "gap");
    assert_eq!(
        (gaps.len(), &gaps[0].kind, gaps[0].ended_at),
        (1, &EpisodeKind::LogGap(0), Some(at(14.0))),
        "{gaps:?}"
    );
    assert!(gaps[0].started_at.abs_diff(at(10.0)) < 1_000_000);
    assert_eq!(
        view.detector.episodes().len(),
        1,
        "{:?}",
        view.detector.episodes()
    );
    assert_eq!(view.fleet.latest_runs().count(), 1);
}

#[test]
fn episode_that_touches_a_gap_marks_the_unknown_time() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 30, 20);
    script.listed(0, 10.0, 2, Phase::Draining, 0);
    script.listed(0, 20.0, 2, Phase::Ready, 0);
    script.host(0, 16.0, gap(12.0, 16.0, 100));
    script.host(0, 16.1, gap(14.0, 16.0, 3));
    let view = script.finish();
    let drain = only(&view, "drain");
    assert_eq!(
        drain[0].unknown,
        [(at(12.0), at(16.1))],
        "two gaps that touch are one stretch"
    );
    assert_eq!(only(&view, "gap")[0].missing_entries, Some(100));
}

#[test]
fn refusals_and_latency_above_the_baseline_are_detected_with_their_end() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 20, 20);
    for number in 0..100 {
        script.request(
            0,
            20.0 + number as f64 * 0.03,
            0,
            1,
            Ending {
                how: AnswerKind::Refused,
                took: 1.0,
                ..SERVED
            },
        );
        script.request(
            0,
            20.01 + number as f64 * 0.03,
            0,
            1,
            Ending {
                took: 2.5,
                ..SERVED
            },
        );
    }
    script.calm(0, 23, 40, 20);
    let view = script.finish();
    for word in ["refusals", "latency"] {
        let found = only(&view, word);
        assert_eq!(found.len(), 1, "{word}: {:?}", view.detector.episodes());
        assert!(
            (at(20.0)..at(25.0)).contains(&found[0].started_at)
                && found[0].ended_at.unwrap() <= at(30.0),
            "{found:?}"
        );
    }
    assert_eq!(
        view.notables
            .iter()
            .filter(|own| own.kind == AnswerKind::Refused)
            .count(),
        100
    );
}

#[test]
fn engine_at_another_address_is_another_process() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 5, 10);
    script.fails(0, 5.0, 1);
    script.moved(0, 6.0, 1, "127.0.0.1:9999");
    let view = script.finish();
    let engine = &view.fleet.run(0).unwrap().engines[&1];
    assert_eq!(
        (engine.address.as_str(), engine.recent_outcomes.len()),
        ("127.0.0.1:9999", 0)
    );
    assert_eq!(
        only(&view, "engines gone")[0].ended_at,
        Some(at(6.0)),
        "its predecessor is missed no more"
    );
}

#[test]
fn clock_skew_is_estimated_from_common_discovery_events() {
    let mut script = Script::new(&["g1", "g2"]);
    for number in 1..=5 {
        script.host(0, number as f64, HostEvent::DiscoveryEvent { number });
        script.host(1, number as f64 + 3.2, HostEvent::DiscoveryEvent { number });
    }
    let view = script.finish();
    assert_eq!(view.skew.micros_ahead(1, 0), Some((3_200_000, 5)));
    assert_eq!(view.skew.micros_ahead(0, 1), Some((-3_200_000, 5)));
}

/// A segment's state, folded alone, is the state that the whole record gives.
#[test]
fn state_at_the_start_of_a_segment_equals_that_of_the_whole_log() {
    let mut script = Script::new(&["g1"]);
    script.calm(0, 0, 10, 20);
    let left_open = script.open(0, 9.5, 0, 2, 3);
    let from = script.segment(0, 10.0);
    script.calm(0, 10, 20, 20);
    script.ends(0, 12.0, left_open, SERVED);
    let (told, sources) = script.told();
    let fold = |told: &[(usize, u64, Entry)]| {
        let mut view = View::new();
        for (source, at, entry) in told.iter() {
            view.add(&sources, *source, *at, &ReadContent::Entry(entry.clone()));
        }
        view
    };
    let (all, part) = (fold(&told), fold(&told[from..]));
    let state = |view: &View| {
        let start = view.fleet.run(0).unwrap();
        let engines: Vec<_> = start
            .engines
            .iter()
            .map(|(id, own)| (*id, own.in_flight, own.phase))
            .collect();
        (
            start.running_tally.tally.clone(),
            engines,
            start.unanswered_requests().count(),
        )
    };
    assert_eq!(state(&all), state(&part));
    let early = told[from..]
        .iter()
        .take_while(|(_, time, _)| *time < at(11.0))
        .count();
    let mid = fold(&told[from..from + early]);
    let mid = mid.fleet.run(0).unwrap();
    let open = mid
        .open_requests
        .values()
        .find(|own| own.arrived_at == at(9.5))
        .expect("it is open");
    assert!(
        open.attempts[0].engine == 3 && mid.engines[&3].in_flight >= 1,
        "the open one runs there"
    );
}
