//! Figures that engines and service discovery report and that no engine can have. A gateway ended
//! with a panic at the answer after one that reported a memory of NaN, and others of these figures
//! stayed in its estimates for good.

mod common;
use common::*;
use eideryard::interface::*;

const IMPLAUSIBLE: [f64; 6] = [
    f64::NAN,
    f64::INFINITY,
    f64::NEG_INFINITY,
    -1.0,
    f64::MAX,
    1e15,
];
const PLAUSIBLE_USAGE: ResourceUsage = ResourceUsage {
    work: 100.0 * MILLISECOND as f64,
    memory_mb: 10.0,
};
const REQUESTS: u64 = 60;
/// The request whose answer has the implausible figures.
const SPOILT_REQUEST: u64 = 20;

/// What an engine reports in one answer.
#[derive(Clone, Copy, Default)]
struct Reported {
    usage: Option<ResourceUsage>,
    report: Option<LoadReport>,
    share_done: Option<f64>,
}

/// Serves requests one after the other, a few of them without estimates, and returns all actions
/// that follow the answer of [`SPOILT_REQUEST`], and the learned state at the end.
fn serve_with(spoilt: Reported) -> (Vec<Action>, LearnedState) {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1), ready_endpoint(2)]);
    let mut actions = Vec::new();
    for id in 0..REQUESTS {
        let request = lookup_request(id, gateway.now + 4 * SECOND);
        let has_estimates = id % 3 > 0;
        actions.extend(gateway.submit(Request {
            work: request.work.filter(|_| has_estimates),
            memory_mb: request.memory_mb.filter(|_| has_estimates),
            ..request
        }));
        let reported = if id == SPOILT_REQUEST {
            actions.clear();
            spoilt
        } else {
            Reported {
                usage: Some(PLAUSIBLE_USAGE),
                ..Reported::default()
            }
        };
        actions.extend(gateway.advance(50 * MILLISECOND));
        if let Some(share) = reported.share_done {
            actions.extend(gateway.report_progress(id, 0, Progress::Share(share)));
        }
        actions.extend(gateway.advance(50 * MILLISECOND));
        let spent = 100 * MILLISECOND;
        actions.extend(
            gateway.end_attempt_with(id, 0, Outcome::Answered, spent, |ended| {
                ended.usage = reported.usage;
                ended.report = reported.report;
            }),
        );
    }
    (actions, gateway.balancer.learned_state())
}

/// Checks that a spoilt answer leads to the same actions and estimates as `without`.
fn assert_ignored(what: &str, spoilt: Reported, without: Reported) {
    let seen = format!("{:?}", serve_with(spoilt));
    let expected = format!("{:?}", serve_with(without));
    assert_eq!(seen, expected, "{what}");
}

/// Guards against the panic of a gateway after a good answer with `footprint=nan`.
#[test]
fn implausible_usage_is_not_learned() {
    for figure in IMPLAUSIBLE {
        for usage in [
            ResourceUsage {
                memory_mb: figure,
                ..PLAUSIBLE_USAGE
            },
            ResourceUsage {
                work: figure,
                ..PLAUSIBLE_USAGE
            },
        ] {
            let spoilt = Reported {
                usage: Some(usage),
                ..Reported::default()
            };
            assert_ignored(&format!("{usage:?}"), spoilt, Reported::default());
        }
    }
}

/// Guards against estimates of other gateways' load that stay infinite or NaN after one answer.
#[test]
fn implausible_load_report_is_not_learned() {
    let fields: [fn(&mut LoadReport) -> &mut Option<f64>; 5] = [
        |report| &mut report.in_flight,
        |report| &mut report.waiting_for_memory,
        |report| &mut report.cores_busy,
        |report| &mut report.memory_granted,
        |report| &mut report.disks_busy,
    ];
    for figure in IMPLAUSIBLE {
        for field in fields {
            let mut report = LoadReport::default();
            *field(&mut report) = Some(figure);
            let with_report = |report| Reported {
                report: Some(report),
                ..Reported::default()
            };
            assert_ignored(
                &format!("{report:?}"),
                with_report(report),
                with_report(LoadReport::default()),
            );
        }
    }
}

/// Guards against a cancelled attempt and a slowdown of NaN after one progress report.
#[test]
fn implausible_progress_is_not_learned() {
    for share in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0] {
        let spoilt = Reported {
            share_done: Some(share),
            ..Reported::default()
        };
        assert_ignored(&format!("{share}"), spoilt, Reported::default());
    }
}

/// Guards against a ratio that grows without limit, to an infinity and then NaN, while answers to
/// requests with a tiny estimate keep reporting more.
#[test]
fn tiny_estimates_lead_to_finite_ratios() {
    let mut gateway = TestGateway::new(settings(), &[ready_endpoint(1)]);
    for id in 0..10_000 {
        gateway.submit(Request {
            work: Some(1e-320),
            memory_mb: Some(1e-320),
            ..lookup_request(id, gateway.now + 4 * SECOND)
        });
        gateway.now += MILLISECOND;
        gateway.answer_with_usage(id, 100 * MILLISECOND, PLAUSIBLE_USAGE);
    }
    let learned = gateway.balancer.learned_state();
    let class = &learned.classes[LOOKUP];
    assert!(class.work_ratio.is_finite() && class.memory_ratio.is_finite());
}

/// Guards against an overflow that made an engine count as warm although it had just started.
#[test]
fn start_in_the_far_future_counts_as_cold_for_at_most_two_warm_ups() {
    let endpoint = Endpoint {
        booted_at: Micros::MAX,
        ..ready_endpoint(1)
    };
    let sent_to_cold = |elapsed: Micros| {
        let mut gateway = TestGateway::new(settings(), &[endpoint]);
        gateway.now += elapsed;
        // The list is repeated whenever the connection to service discovery is new.
        gateway.handle(Event::EndpointSnapshot(vec![endpoint]));
        (0..200)
            .filter(|&id| {
                let request = lookup_request(id, gateway.now + 4 * SECOND);
                !sent_attempts(&gateway.submit(request)).is_empty()
            })
            .count()
    };
    let warm_up = settings().warm_up_duration;
    let [cold, warm] = [0, 2 * warm_up].map(sent_to_cold);
    assert!(
        cold < warm,
        "{cold} sent to a cold engine, {warm} to a warm one"
    );
}
