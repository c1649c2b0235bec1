//! Tests of the rule on slow start.

use super::super::tests::*;
use super::*;

#[test]
fn work_from_all_gateways_to_a_cold_engine_is_summed_over_the_window() {
    let start = TimedEvent {
        at: 0,
        event: Event::Engine {
            engine: "e1".into(),
            begins: Some(10_000_000),
        },
    };
    // Four cores at 40% capacity, times 3: the limit is 4.8 s of work per second at first and
    // rises.
    let sends = |work: f64, interval: Micros| {
        let mut events = vec![start.clone()];
        for number in 0..4 {
            let name = if number % 2 == 0 { "g1" } else { "g2" };
            events.push(try_sent(
                number * interval,
                number,
                &number.to_string(),
                name,
                0,
            ));
            events.push(query_began(number * interval + 1, "e1", number, work));
        }
        checked(&events)
    };
    let too_much = sends(1.5, 100);
    assert_eq!(
        (
            too_much.count(Rule::ColdEngines),
            too_much.figures["cold_worst_percent"]
        ),
        (1, 125)
    );
    assert_eq!(sends(1.1, 100).count(Rule::ColdEngines), 0);
    assert_eq!(
        sends(1.5, 500_000).count(Rule::ColdEngines),
        0,
        "any window contains half of them"
    );
    assert_eq!(
        sends(9.0, 4_000_000).count(Rule::ColdEngines),
        1,
        "a single request exceeds the limit while the engine is cold"
    );
}
