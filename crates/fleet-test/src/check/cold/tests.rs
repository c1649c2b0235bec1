//! Tests of this module, on small inputs.

use super::super::tests::*;
use super::*;

#[test]
fn what_all_gateways_send_together_to_a_cold_engine_is_summed_over_the_window() {
    let start = TimedEvent {
        at: 0,
        event: Event::Engine {
            engine: "e1".into(),
            begins: Some(10_000_000),
        },
    };
    // Four cores, 40% of them at first: 4.8 s of work a second and a little more are the most.
    let sends = |work: f64, apart: Micros| {
        let mut events = vec![start.clone()];
        for number in 0..4 {
            let name = if number % 2 == 0 { "g1" } else { "g2" };
            events.push(asked(number * apart, number, &number.to_string(), name, 0));
            events.push(began(number * apart + 1, "e1", number, work));
        }
        checked(&events)
    };
    let over = sends(1.5, 100);
    assert_eq!(
        (
            over.count(Rule::ColdEngines),
            over.figures["cold_worst_percent"]
        ),
        (1, 125)
    );
    assert_eq!(sends(1.1, 100).count(Rule::ColdEngines), 0);
    assert_eq!(
        sends(1.5, 500_000).count(Rule::ColdEngines),
        0,
        "half of them lie in any window"
    );
    assert_eq!(
        sends(9.0, 4_000_000).count(Rule::ColdEngines),
        1,
        "one alone is over while it is cold"
    );
}
