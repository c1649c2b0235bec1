//! Tests of probes that are shared by all gateways.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn only_one_copy_of_a_report_counts_and_an_owner_probes_once_per_second() {
    let mut reports = Reports::default();
    let received = |term, number, age, report| ReceivedReport {
        token: FencingToken { term, owner: 1 },
        number,
        age,
        report,
    };
    assert_eq!(
        reports.on_report(SECOND, 7, received(1, 1, 0, 'a')),
        ReportOutcome::Fresh
    );
    assert_eq!(
        reports.on_report(SECOND, 7, received(1, 1, 0, 'a')),
        ReportOutcome::Duplicate,
        "the copy from another voter"
    );
    assert_eq!(
        reports.on_report(SECOND, 7, received(1, 2, MAX_REPORT_AGE, 'b')),
        ReportOutcome::Outdated,
        "the report was in transit for too long"
    );
    assert_eq!(reports.recent_report(SECOND, 7), None);
    assert_eq!(
        reports.on_report(SECOND, 7, received(2, 1, 0, 'c')),
        ReportOutcome::Fresh,
        "a new owner numbers its reports from 1"
    );
    assert_eq!(
        reports.on_report(SECOND, 7, received(1, 9, 0, 'd')),
        ReportOutcome::Duplicate
    );
    assert_eq!(reports.recent_report(SECOND, 7), Some('c'));
    assert_eq!(reports.recent_report(SECOND + MAX_REPORT_AGE, 7), None);
    let owned = || [probe_task(7), Task { kind: 9, number: 8 }].into_iter();
    assert_eq!(reports.take_due_probes(SECOND, owned()), [7]);
    let just_before = SECOND + PROBE_INTERVAL - 1;
    assert!(reports.take_due_probes(just_before, owned()).is_empty());
    assert_eq!(
        reports.next_probe_at(SECOND, owned().take(1)),
        Some(SECOND + PROBE_INTERVAL)
    );
    assert_eq!(
        reports.take_due_probes(SECOND + PROBE_INTERVAL, owned()),
        [7]
    );
    reports.retain_engines(|_| false);
    assert!(reports.last_reports.is_empty() && reports.probed_at.is_empty());
}
