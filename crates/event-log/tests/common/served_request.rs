//! The entries of a usual request.

use eideryard::interface::{
    Action, AttemptEnded, Event, LoadReport, Micros, Outcome, Request, ResourceUsage,
};
use eideryard_event_log::*;

use super::START;

/// What a gateway records of one request that is served at its first attempt, with two beats of the
/// module.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
pub fn served_request_entries(number: u64) -> Vec<(Micros, Entry)> {
    let (id, begin) = ((number << 32) | (number % 300), START + number * 2000);
    let engine = 0x9e37_0000 + (number % 12) as u32;
    let offer = ClientRequest {
        request: id,
        id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        connection: (77 << 32) | 3,
    };
    let arrived = Request {
        id,
        class: (number % 3) as usize,
        tenant: (number % 3) as usize,
        key: None,
        deadline: begin + 1_500_000,
        work: Some(812_000.0 + number as f64 * 100.0),
        prior_attempts: Vec::new(),
        memory_mb: Some(96.0),
        group: 17,
    };
    let report = LoadReport {
        in_flight: Some(7.0),
        cores_busy: Some(0.61),
        ..LoadReport::default()
    };
    let ended = AttemptEnded {
        request: id,
        attempt: 0,
        outcome: Outcome::Answered,
        spent: 93_411,
        is_request_complete: true,
        is_already_reported: false,
        usage: Some(ResourceUsage {
            work: 791_300.0,
            memory_mb: 88.4,
        }),
        report: Some(report),
    };
    // Of one that came forty before it.
    let before = id - (40 << 32);
    let answered = HostEvent::Answered {
        request: before,
        class: arrived.class,
        tenant: arrived.tenant,
        kind: AnswerKind::Served,
        is_late: false,
    };
    let beat = |at| {
        [
            (at, Entry::Event(Event::Timer { tag: 0 })),
            (
                at,
                Entry::Action(Action::SetTimer {
                    after: 10_000,
                    tag: 0,
                }),
            ),
        ]
    };
    let mut entries = vec![
        (begin, Entry::Host(HostEvent::RequestReceived(offer))),
        (begin + 14, Entry::Event(Event::Arrived(arrived))),
        (
            begin + 14,
            Entry::Action(Action::SetTimer {
                after: 1_349_900,
                tag: id + 1,
            }),
        ),
        (
            begin + 14,
            Entry::Action(Action::Grant {
                request: id,
                grant_mb: 120.0,
                rank: 2,
            }),
        ),
        (
            begin + 14,
            Entry::Action(Action::Send {
                request: id,
                engine,
                attempt_deadline: begin + 1_490_000,
            }),
        ),
        (begin + 900, Entry::Host(answered)),
        (
            begin + 950,
            Entry::Event(Event::AttemptEnded(AttemptEnded {
                request: before,
                ..ended
            })),
        ),
    ];
    entries.extend(beat(begin + 1000));
    entries.extend(beat(begin + 1500));
    entries
}
