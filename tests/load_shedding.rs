//! Load shedding: which requests give way when not all can meet their objectives.

mod common;
use common::*;
use eideryard::interface::*;

#[test]
fn overload_refuses_the_least_weight_per_work_early() {
    let mut bench = Bench::new(settings(), &[ready(1)]);
    let deadline = bench.now + 20 * S;
    let mut actions = Vec::new();
    for id in 0..60 {
        let work = if id % 2 == 0 { 1.0 } else { 8.0 } * S as f64;
        actions.extend(bench.request(Request {
            work: Some(work),
            ..report(id, deadline, 10.0)
        }));
    }
    actions.extend(bench.advance(S));
    let gone = refused(&actions);
    assert!(
        gone.len() > 10,
        "refused within a second, not at the deadline"
    );
    assert!(
        gone.iter().filter(|&&id| id % 2 == 1).count() > gone.len() / 2,
        "{gone:?}"
    );
    let advice = actions.iter().filter_map(|a| match a {
        Action::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    let advice: std::collections::BTreeSet<Micros> = advice.collect();
    assert!(
        advice.len() > 5 && advice.iter().all(|&a| a > 0 && a <= S),
        "spread: {advice:?}"
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
    let mut bench = Bench::new(settings, &[ready(1)]);
    let deadline = bench.now + 20 * S;
    let mut actions = Vec::new();
    for id in 0..80 {
        let request = Request {
            tenant: (id % 2) as usize,
            ..report(id, deadline, 10.0)
        };
        actions.extend(bench.request(request));
    }
    actions.extend(bench.advance(S));
    let gone = refused(&actions);
    let flooding = gone.iter().filter(|&&id| id % 2 == 0).count();
    assert!(
        !gone.is_empty() && flooding * 10 >= gone.len() * 6,
        "{flooding} of {}",
        gone.len()
    );
}

#[test]
fn earlier_client_deadline_is_served_first() {
    let mut bench = Bench::new(settings(), &[]);
    let (now, work) = (bench.now, Some(100.0 * MS as f64));
    bench.request(Request {
        work,
        ..report(1, now + 20 * S, 10.0)
    });
    bench.request(Request {
        work,
        ..report(2, now + 500 * MS, 10.0)
    });
    let left = sent(&bench.handle(Event::EndpointSnapshot(vec![ready(1)])));
    assert_eq!(left.iter().map(|s| s.0).collect::<Vec<_>>(), [2, 1]);
}
