//! States and episodes that the analysis finds in scripted logs.

mod common;

use common::*;
use eideryard::interface::Phase;
use eideryard_event_analysis::EpisodeKind;
use eideryard_event_analysis::{Episode, View};
use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::{AnswerKind, Entry, HostEvent};

fn episodes_of_kind<'a>(view: &'a View, kind: &str) -> Vec<&'a Episode> {
    view.detector
        .episodes()
        .iter()
        .filter(|episode| episode.kind.name() == kind)
        .collect()
}

#[test]
fn steady_traffic_has_no_episode_and_leaves_an_exact_state() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 60, 20);
    let view = script.finish();
    assert_eq!(view.detector.episodes(), [], "nothing happened");
    let run = view.fleet.run(0).unwrap();
    assert_eq!(
        (
            run.running_tally.tally.totals.served,
            run.unanswered_requests().count()
        ),
        (1200, 0)
    );
    assert!(run
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
    script.add_steady_requests(0, 0, 40, 20);
    script.add_steady_requests(1, 0, 40, 20);
    script.add_host_event(1, 18.5, HostEvent::DiscoveryLink { is_up: false });
    script.add_host_event(0, 18.6, HostEvent::DiscoveryLink { is_up: false });
    script.add_host_event(0, 25.0, HostEvent::DiscoveryLink { is_up: true });
    script.add_host_event(1, 25.1, HostEvent::DiscoveryLink { is_up: true });
    script.add_tenant_flood(1, 20, 24, 200, 2);
    let view = script.finish();
    let (flood, outage) = (
        episodes_of_kind(&view, "flood"),
        episodes_of_kind(&view, "roster silent"),
    );
    assert_eq!(
        (flood.len(), outage.len()),
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
    assert_eq!(outage[0].kind, EpisodeKind::DiscoveryDown([0, 1].into()));
    assert_eq!(
        (outage[0].started_at, outage[0].ended_at),
        (at(18.5), Some(at(25.1)))
    );
    let is_near = |time: u64, expected: f64| time.abs_diff(at(expected)) <= 1_500_000;
    assert!(
        is_near(flood[0].started_at, 20.0) && is_near(flood[0].ended_at.unwrap(), 24.0),
        "{flood:?}"
    );
    let overlaps = view.detector.overlaps();
    let episodes = view.detector.episodes();
    let is_flood_in_outage = |overlap: &&eideryard_event_analysis::Overlap| {
        [&episodes[overlap.first], &episodes[overlap.second]]
            .iter()
            .all(|episode| ["flood", "roster silent"].contains(&episode.kind.name()))
    };
    let overlap: Vec<_> = overlaps.iter().filter(is_flood_in_outage).collect();
    assert_eq!((overlap.len(), overlap[0].from), (1, flood[0].started_at));
}

/// A client that spreads its flood over several tenants exceeds no tenant's baseline, but that of
/// its address.
#[test]
fn flood_from_one_address_under_many_tenants_is_detected() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 40, 20);
    script.connection = Some(2 << 32);
    for number in 0..600 {
        script.add_request(0, 20.0 + number as f64 / 150.0, 0, number % 3, SERVED);
    }
    let view = script.finish();
    let floods: Vec<_> = episodes_of_kind(&view, "flood")
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
fn engines_that_go_down_together_are_one_episode_until_the_last_is_ready_again() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 10, 20);
    script.engines = vec![4];
    script.add_steady_requests(0, 10, 30, 20);
    for (number, engine) in [1, 2, 3].into_iter().enumerate() {
        script.refuse_connection(0, 10.0 + 0.1 * number as f64, engine);
        script.list_engine(
            0,
            15.0 + number as f64,
            engine,
            Phase::Ready,
            15_000_000 + number as u64,
        );
    }
    // Engine 4 breaks a connection but answers again within a second, so it is not down.
    script.break_connection(0, 20.0, 4);
    script.answer_attempt(0, 20.3, 4);
    let view = script.finish();
    let down = episodes_of_kind(&view, "engines gone");
    assert_eq!(down.len(), 1, "{:?}", view.detector.episodes());
    assert_eq!(down[0].kind, EpisodeKind::EnginesDown([1, 2, 3].into()));
    assert_eq!(
        (down[0].started_at, down[0].ended_at, down[0].peak),
        (at(10.0), Some(at(17.0)), 3.0)
    );
}

#[test]
fn drain_lasts_until_the_engine_is_removed() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 10, 10);
    script.list_engine(0, 3.0, 2, Phase::Draining, 0);
    script.list_engine(0, 6.0, 2, Phase::Removed, 0);
    script.list_engine(0, 7.0, 3, Phase::Draining, 0);
    let view = script.finish();
    let drains: Vec<_> = episodes_of_kind(&view, "drain")
        .into_iter()
        .map(|episode| (episode.kind.clone(), episode.started_at, episode.ended_at))
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
    script.add_steady_requests(0, 0, 10, 20);
    // The same gateway starts again after 4 seconds, as a new source.
    script.add_steady_requests(1, 14, 30, 20);
    let view = script.finish();
    let gaps = episodes_of_kind(&view, "gap");
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
fn episode_that_overlaps_a_gap_marks_the_unknown_time() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 30, 20);
    script.list_engine(0, 10.0, 2, Phase::Draining, 0);
    script.list_engine(0, 20.0, 2, Phase::Ready, 0);
    script.add_host_event(0, 16.0, gap(12.0, 16.0, 100));
    script.add_host_event(0, 16.1, gap(14.0, 16.0, 3));
    let view = script.finish();
    let drain = episodes_of_kind(&view, "drain");
    assert_eq!(
        drain[0].unknown,
        [(at(12.0), at(16.1))],
        "two gaps that overlap are one interval"
    );
    assert_eq!(episodes_of_kind(&view, "gap")[0].missing_entries, Some(100));
}

#[test]
fn refusals_and_latency_above_the_baseline_are_detected_with_their_end() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 20, 20);
    for number in 0..100 {
        script.add_request(
            0,
            20.0 + number as f64 * 0.03,
            0,
            1,
            Ending {
                kind: AnswerKind::Refused,
                after_seconds: 1.0,
                ..SERVED
            },
        );
        script.add_request(
            0,
            20.01 + number as f64 * 0.03,
            0,
            1,
            Ending {
                after_seconds: 2.5,
                ..SERVED
            },
        );
    }
    script.add_steady_requests(0, 23, 40, 20);
    let view = script.finish();
    for kind in ["refusals", "latency"] {
        let found = episodes_of_kind(&view, kind);
        assert_eq!(found.len(), 1, "{kind}: {:?}", view.detector.episodes());
        assert!(
            (at(20.0)..at(25.0)).contains(&found[0].started_at)
                && found[0].ended_at.unwrap() <= at(30.0),
            "{found:?}"
        );
    }
    assert_eq!(
        view.notables
            .iter()
            .filter(|request| request.kind == AnswerKind::Refused)
            .count(),
        100
    );
}

#[test]
fn engine_with_a_new_address_is_treated_as_a_new_process() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 5, 10);
    script.refuse_connection(0, 5.0, 1);
    script.move_engine(0, 6.0, 1, "127.0.0.1:9999");
    let view = script.finish();
    let engine = &view.fleet.run(0).unwrap().engines[&1];
    assert_eq!(
        (engine.address.as_str(), engine.recent_outcomes.len()),
        ("127.0.0.1:9999", 0)
    );
    assert_eq!(
        episodes_of_kind(&view, "engines gone")[0].ended_at,
        Some(at(6.0)),
        "the episode of the old process ends"
    );
}

#[test]
fn clock_skew_is_estimated_from_common_discovery_events() {
    let mut script = Script::new(&["g1", "g2"]);
    for number in 1..=5 {
        script.add_host_event(0, number as f64, HostEvent::DiscoveryEvent { number });
        script.add_host_event(1, number as f64 + 3.2, HostEvent::DiscoveryEvent { number });
    }
    let view = script.finish();
    assert_eq!(view.skew.micros_ahead(1, 0), Some((3_200_000, 5)));
    assert_eq!(view.skew.micros_ahead(0, 1), Some((-3_200_000, 5)));
}

/// A reader may start at any segment. If the state there is applied wrongly, the analysis of a part
/// of a log differs from that of the whole.
#[test]
fn state_at_the_start_of_a_segment_equals_that_of_the_whole_log() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 10, 20);
    let left_open = script.open_request(0, 9.5, 0, 2, 3);
    let from = script.start_segment(0, 10.0);
    script.add_steady_requests(0, 10, 20, 20);
    script.end_request(0, 12.0, left_open, SERVED);
    let (entries, sources) = script.into_entries();
    let fold = |entries: &[(usize, u64, Entry)]| {
        let mut view = View::new();
        for (source, at, entry) in entries.iter() {
            view.add(&sources, *source, *at, &ReadContent::Entry(entry.clone()));
        }
        view
    };
    let (all, part) = (fold(&entries), fold(&entries[from..]));
    let state = |view: &View| {
        let run = view.fleet.run(0).unwrap();
        let engines: Vec<_> = run
            .engines
            .iter()
            .map(|(id, engine)| (*id, engine.in_flight, engine.phase))
            .collect();
        (
            run.running_tally.tally.clone(),
            engines,
            run.unanswered_requests().count(),
        )
    };
    assert_eq!(state(&all), state(&part));
    let first_second = entries[from..]
        .iter()
        .take_while(|(_, time, _)| *time < at(11.0))
        .count();
    let view = fold(&entries[from..from + first_second]);
    let run = view.fleet.run(0).unwrap();
    let open = run
        .open_requests
        .values()
        .find(|request| request.arrived_at == at(9.5))
        .expect("the request is open");
    assert!(
        open.attempts[0].engine == 3 && run.engines[&3].in_flight >= 1,
        "the attempt of the open request runs on engine 3"
    );
}
