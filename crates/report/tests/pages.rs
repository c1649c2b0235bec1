//! The texts of the report's page, the escaping of names in its markup, and its accessibility.

#[path = "../../event-analysis/tests/common/mod.rs"]
mod common;

use common::*;
use eideryard::interface::Phase;
use eideryard_event_log::{Entry, HostEvent, ListedEngine};
use eideryard_report::{format, page, summary};

#[test]
fn headline_describes_the_worst_episode_or_says_that_there_is_none() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 20, 20);
    let view = script.finish();
    assert_eq!(
        summary::headline(&view).split(';').next(),
        Some("No incident was found")
    );
    assert!(page(&view).contains("No symptoms of an incident were found"));
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 10, 20);
    script.engines = vec![3, 4];
    script.add_steady_requests(0, 10, 20, 20);
    script.refuse_connection(0, 10.0, 1);
    script.refuse_connection(0, 10.2, 2);
    script.add_host_event(0, 12.0, HostEvent::DiscoveryLink { is_up: false });
    let view = script.finish();
    let head = summary::headline(&view);
    assert!(
        head.starts_with(
            "05:00:10 to 05:00:20: 2 of 4 engines ended together (e-1 and e-2); 1 other episode"
        ),
        "{head}"
    );
    assert!(
        head.contains("of 402 requests 0 refused, 2 failed, 0 lost"),
        "{head}"
    );
}

/// Two gateways of one fleet are killed and restarted. The gaps in their logs overlap many episodes
/// and must not be repeated in each, and the requests of that time are in no log.
#[test]
fn gaps_are_listed_once_and_unknown_losses_are_stated() {
    let mut script = Script::new(&["g1", "g2", "g1", "g2"]);
    for source in [0, 1] {
        script.add_steady_requests(source, 0, 10, 20);
        script.open_request(source, 10.0, 0, 0, 1);
        script.add_steady_requests(source + 2, 11, 20, 20);
    }
    script.list_engine(2, 11.5, 2, Phase::Draining, 0);
    let view = script.finish();
    let head = summary::headline(&view);
    assert!(
        head.contains("g1 and g2 broke off with 2 requests open") && head.contains("in no record"),
        "{head}"
    );
    let page = page(&view);
    assert_eq!(
        page.matches("nothing is known from").count(),
        2,
        "each gap is listed once and not repeated in every episode"
    );
    assert_eq!(page.matches(summary::PARTLY_UNKNOWN).count(), 1);
}

#[test]
fn names_and_addresses_are_escaped_in_the_markup() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 5, 10);
    let name = "<script>alert(1)</script>\"'&".to_string();
    let (address, phase) = ("\"><svg onload=x>".to_string(), Phase::Draining);
    let listed = ListedEngine {
        engine: 2,
        name,
        address,
        zone: 0,
        kind: 0,
        phase,
        booted_at: 0,
    };
    script.add_entry(0, at(2.0), Entry::Host(HostEvent::Engine(listed)));
    let page = page(&script.finish());
    assert!(!page.contains("<script>alert") && !page.contains("<svg onload"));
    assert!(page.contains("&lt;script&gt;alert(1)"));
}

#[test]
fn plots_and_tables_have_titles_for_screen_readers() {
    let mut script = Script::new(&["g1"]);
    script.add_steady_requests(0, 0, 30, 20);
    script.add_tenant_flood(0, 20, 24, 100, 2);
    let page = page(&script.finish());
    assert_eq!(
        page.matches("<svg viewBox").count(),
        page.matches("role=\"img\"").count() + page.matches("aria-hidden").count()
    );
    assert_eq!(
        page.matches("<table").count(),
        page.matches("<caption>").count()
    );
    assert_eq!(
        page.matches("<figure>").count(),
        page.matches("<figcaption>").count()
    );
    assert!(
        page.contains("lang=\"en\"")
            && page.contains("prefers-color-scheme")
            && page.contains("@media print")
    );
}

#[test]
fn times_and_counts_have_suitable_units() {
    assert_eq!(format::clock_ms(START + 1_234_000), "05:00:01.234");
    let expected_texts = [
        (5_000, "5 ms"),
        (1_500_000, "1.5 s"),
        (180_000_000, "3 min"),
        (9_000_000_000, "2.5 h"),
    ];
    for (micros, text) in expected_texts.iter() {
        assert_eq!(format::duration(*micros), *text);
    }
    assert_eq!(
        (format::plural(1, "episode"), format::plural(2, "episode")),
        ("1 episode".into(), "2 episodes".into())
    );
}
