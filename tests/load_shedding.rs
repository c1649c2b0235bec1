//! Load shedding: which requests are refused if not all can meet their latency objectives.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn overload_refuses_requests_with_the_lowest_weight_per_work_early() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    let deadline = gateway.now + 20 * SECOND;
    let mut actions = Vec::new();
    for id in 0..60 {
        let work = if id % 2 == 0 { 1.0 } else { 8.0 } * SECOND as f64;
        actions.extend(gateway.submit(Request {
            work: Some(work),
            ..report_request(id, deadline, 10.0)
        }));
    }
    actions.extend(gateway.advance(SECOND));
    let refused = refused_requests(&actions);
    assert!(
        refused.len() > 10,
        "refusals must come within a second, not at the deadline"
    );
    assert!(
        refused.iter().filter(|&&id| id % 2 == 1).count() > refused.len() / 2,
        "{refused:?}"
    );
    let retry_delays = actions.iter().filter_map(|action| match action {
        Action::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    let retry_delays: std::collections::BTreeSet<Micros> = retry_delays.collect();
    assert!(
        retry_delays.len() > 5
            && retry_delays
                .iter()
                .all(|&delay| delay > 0 && delay <= SECOND),
        "retry delays must be spread: {retry_delays:?}"
    );
}

#[test]
fn requests_over_a_tenants_quota_are_shed_first() {
    let mut settings = settings();
    settings.tenants = vec![
        Tenant { quota_per_s: 10.0 },
        Tenant {
            quota_per_s: 1_000.0,
        },
    ];
    let mut gateway = TestGateway::new(settings, &[ready_endpoint(1)]);
    let deadline = gateway.now + 20 * SECOND;
    let mut actions = Vec::new();
    for id in 0..80 {
        let request = Request {
            tenant: (id % 2) as usize,
            ..report_request(id, deadline, 10.0)
        };
        actions.extend(gateway.submit(request));
    }
    actions.extend(gateway.advance(SECOND));
    let refused = refused_requests(&actions);
    let over_quota = refused.iter().filter(|&&id| id % 2 == 0).count();
    assert!(
        !refused.is_empty() && over_quota * 10 >= refused.len() * 6,
        "{over_quota} of {} refused requests are of the tenant over its quota",
        refused.len()
    );
}

#[test]
fn request_with_the_earlier_client_deadline_is_sent_first() {
    let mut gateway = TestGateway::new(settings(), &[]);
    let (now, work) = (gateway.now, Some(100.0 * MILLISECOND as f64));
    gateway.submit(Request {
        work,
        ..report_request(1, now + 20 * SECOND, 10.0)
    });
    gateway.submit(Request {
        work,
        ..report_request(2, now + 500 * MILLISECOND, 10.0)
    });
    let sends = sent_attempts(&gateway.handle(Event::EndpointSnapshot(vec![ready_endpoint(1)])));
    assert_eq!(sends.iter().map(|send| send.0).collect::<Vec<_>>(), [2, 1]);
}
