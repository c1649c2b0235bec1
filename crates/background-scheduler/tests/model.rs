//! The timing wheel compared with an ordered map under random operations, and the scheduler's order
//! and budgets.

use eideryard_background_scheduler::scheduler::Budget;
use eideryard_background_scheduler::{Scheduler, Urgency, Wheel};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TICK: u64 = 1024;

#[derive(Clone, Debug)]
enum Step {
    /// Sets a deadline this many microseconds from now.
    Set(u64),
    /// Cancels the deadline at a position in the model, modulo its length.
    Cancel(usize),
    /// Lets time pass.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    // Distances for all levels, from 0 to beyond the span of the wheel.
    let distance = (0u32..48).prop_flat_map(|bits| 0..=(1u64 << bits));
    prop_oneof![
        4 => distance.clone().prop_map(Step::Set),
        1 => any::<usize>().prop_map(Step::Cancel),
        3 => distance.prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Each deadline must expire exactly once, in order, never early and at most one tick late, and
    /// `next_expiry` must never be later than the next deadline.
    #[test]
    fn the_wheel_expires_deadlines_as_an_ordered_map_does(steps in proptest::collection::vec(step(), 1..200)) {
        let mut now = 5_000_000_000u64;
        let mut wheel = Wheel::new(now);
        let mut model: BTreeMap<(u64, usize), _> = BTreeMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Set(distance) => {
                    let at = now + distance;
                    // The wheel counts in ticks: a deadline within the current tick expires with
                    // the next one.
                    let tick = at.div_ceil(TICK).max(now / TICK + 1);
                    model.insert((tick, number), wheel.set(at, number));
                }
                Step::Cancel(index) if !model.is_empty() => {
                    let key = *model.keys().nth(index % model.len()).unwrap();
                    let timer = model.remove(&key).unwrap();
                    prop_assert_eq!(wheel.cancel(timer), Some(key.1));
                    prop_assert_eq!(wheel.cancel(timer), None);
                }
                Step::Cancel(_) => {}
                Step::Advance(distance) => {
                    if let (Some(next), Some(((tick, _), _))) = (wheel.next_expiry(), model.first_key_value()) {
                        prop_assert!(next <= tick * TICK, "next {} after {}", next, tick * TICK);
                    }
                    now += distance;
                    while let Some(expired) = wheel.pop_expired(now) {
                        let ((tick, number), _) = model.pop_first().expect("a deadline is set");
                        prop_assert_eq!(expired, number);
                        prop_assert!(tick <= now / TICK);
                    }
                    prop_assert!(model.first_key_value().is_none_or(|((tick, _), _)| *tick > now / TICK));
                }
            }
            prop_assert_eq!(wheel.len(), model.len());
        }
    }
}

#[test]
fn urgent_jobs_go_first_and_none_starves() {
    let mut scheduler = Scheduler::new(
        Budget {
            round_time: 1000,
            bytes_per_s: 1e9,
        },
        0,
    );
    scheduler.submit(0, Urgency::Verify, "old", 10).unwrap();
    scheduler
        .submit(5, Urgency::Cleanup, "cleanup", 10)
        .unwrap();
    scheduler
        .submit(9, Urgency::FreeSpace, "free space", 10)
        .unwrap();
    assert_eq!(scheduler.next_job(10).unwrap().work, "free space");
    scheduler
        .submit(9_999_000, Urgency::FreeSpace, "free space again", 10)
        .unwrap();
    assert_eq!(
        scheduler.next_job(10_000_001).unwrap().work,
        "old",
        "a job that has waited for too long goes first"
    );
    assert_eq!(
        scheduler.next_job(10_000_001).unwrap().work,
        "free space again"
    );
}

#[test]
fn the_budgets_limit_the_jobs_of_a_round_and_of_a_second() {
    let mut scheduler = Scheduler::new(
        Budget {
            round_time: 100,
            bytes_per_s: 1000.0,
        },
        0,
    );
    (0..100).for_each(|n| scheduler.submit(0, Urgency::Cleanup, n, 100).unwrap());
    let mut finished_jobs = 0;
    for _ in 0..50 {
        scheduler.start_round();
        while scheduler.next_job(0).is_some() {
            scheduler.finish_job(40);
            finished_jobs += 1;
        }
    }
    assert_eq!(
        finished_jobs, 3,
        "the bytes of a quarter of a second can accumulate, and one further job may start"
    );
    let mut jobs_per_round = Vec::new();
    for second in 1..=5u64 {
        scheduler.start_round();
        let mut count = 0;
        while scheduler.next_job(second * 1_000_000).is_some() {
            scheduler.finish_job(40);
            count += 1;
        }
        jobs_per_round.push(count);
    }
    assert!(
        jobs_per_round.iter().all(|count| *count <= 3),
        "a round exceeds its time budget: {jobs_per_round:?}"
    );
    assert!(scheduler.next_job_at(5_000_000).is_some());
}

#[test]
fn a_job_is_returned_if_the_queue_of_its_urgency_is_full() {
    let mut scheduler = Scheduler::new(
        Budget {
            round_time: 1,
            bytes_per_s: 1.0,
        },
        0,
    );
    let accepted = (0..70_000)
        .filter(|n| scheduler.submit(0, Urgency::Verify, *n, 1).is_ok())
        .count();
    assert_eq!(
        (accepted, scheduler.queue_length(Urgency::Verify)),
        (65_536, 65_536)
    );
    assert!(
        scheduler.submit(0, Urgency::FreeSpace, 0, 1).is_ok(),
        "each urgency has its own limit"
    );
}
