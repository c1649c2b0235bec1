//! The entries of a typical request.

use eideryard::interface::{
    Action, AttemptEnded, Event, LoadReport, Micros, Outcome, Request, ResourceUsage,
};
use eideryard_event_log::*;

use super::START;

/// Returns the entries that a gateway records for one request that is served by its first attempt,
/// with two timer events of the decision module.
#[expect(clippy::too_many_lines, reason = "one sequence of entries")]
pub fn served_request_entries(number: u64) -> Vec<(Micros, Entry)> {
    let (id, started_at) = ((number << 32) | (number % 300), START + number * 2000);
    let engine = 0x9e37_0000 + (number % 12) as u32;
    let client_request = ClientRequest {
        request: id,
        id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        connection: (77 << 32) | 3,
    };
    let arrived = Request {
        id,
        class: (number % 3) as usize,
        tenant: (number % 3) as usize,
        key: None,
        deadline: started_at + 1_500_000,
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
    // The answer belongs to the request that came forty requests earlier.
    let earlier_request = id - (40 << 32);
    let answered = HostEvent::Answered {
        request: earlier_request,
        class: arrived.class,
        tenant: arrived.tenant,
        kind: AnswerKind::Served,
        is_late: false,
    };
    let tick = |at| {
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
        (
            started_at,
            Entry::Host(HostEvent::RequestReceived(client_request)),
        ),
        (started_at + 14, Entry::Event(Event::Arrived(arrived))),
        (
            started_at + 14,
            Entry::Action(Action::SetTimer {
                after: 1_349_900,
                tag: id + 1,
            }),
        ),
        (
            started_at + 14,
            Entry::Action(Action::Grant {
                request: id,
                grant_mb: 120.0,
                rank: 2,
            }),
        ),
        (
            started_at + 14,
            Entry::Action(Action::Send {
                request: id,
                engine,
                attempt_deadline: started_at + 1_490_000,
            }),
        ),
        (started_at + 900, Entry::Host(answered)),
        (
            started_at + 950,
            Entry::Event(Event::AttemptEnded(AttemptEnded {
                request: earlier_request,
                ..ended
            })),
        ),
    ];
    entries.extend(tick(started_at + 1000));
    entries.extend(tick(started_at + 1500));
    entries
}
