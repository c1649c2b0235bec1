//! Wheel and scheduler against plain models, under random operations.

use eideryard_background_scheduler::scheduler::Budget;
use eideryard_background_scheduler::{Scheduler, Urgency, Wheel};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TICK: u64 = 1024;

#[derive(Clone, Debug)]
enum Step {
    Set(u64),
    TakeBack(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    // Distances of every level, from nothing to beyond the wheel.
    let distance = (0u32..48).prop_flat_map(|bits| 0..=(1u64 << bits));
    prop_oneof![
        4 => distance.clone().prop_map(Step::Set),
        1 => any::<usize>().prop_map(Step::TakeBack),
        3 => distance.prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Each deadline fires once, no earlier than asked and at most a tick late, in order; `next` is
    /// never late.
    #[test]
    fn the_wheel_fires_as_an_ordered_map_does(steps in proptest::collection::vec(step(), 1..200)) {
        let mut now = 5_000_000_000u64;
        let mut wheel = Wheel::new(now);
        let mut model: BTreeMap<(u64, usize), _> = BTreeMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Set(distance) => {
                    let at = now + distance;
                    // It counts in ticks: what is due within this one fires with the next.
                    let tick = at.div_ceil(TICK).max(now / TICK + 1);
                    model.insert((tick, number), wheel.set(at, number));
                }
                Step::TakeBack(which) if !model.is_empty() => {
                    let key = *model.keys().nth(which % model.len()).unwrap();
                    let timer = model.remove(&key).unwrap();
                    prop_assert_eq!(wheel.cancel(timer), Some(key.1));
                    prop_assert_eq!(wheel.cancel(timer), None);
                }
                Step::TakeBack(_) => {}
                Step::Pass(distance) => {
                    if let (Some(next), Some(((tick, _), _))) = (wheel.next_expiry(), model.first_key_value()) {
                        prop_assert!(next <= tick * TICK, "next {} after {}", next, tick * TICK);
                    }
                    now += distance;
                    while let Some(fired) = wheel.pop_expired(now) {
                        let ((tick, number), _) = model.pop_first().expect("something is set");
                        prop_assert_eq!(fired, number);
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
fn urgent_work_goes_first_and_none_starves() {
    let mut scheduler = Scheduler::new(
        Budget {
            round_time: 1000,
            bytes_per_s: 1e9,
        },
        0,
    );
    scheduler.submit(0, Urgency::Verify, "old", 10).unwrap();
    scheduler.submit(5, Urgency::Cleanup, "tidy", 10).unwrap();
    scheduler.submit(9, Urgency::FreeSpace, "room", 10).unwrap();
    assert_eq!(scheduler.next_job(10).unwrap().work, "room");
    scheduler
        .submit(9_999_000, Urgency::FreeSpace, "room again", 10)
        .unwrap();
    assert_eq!(
        scheduler.next_job(10_000_001).unwrap().work,
        "old",
        "it has waited for too long"
    );
    assert_eq!(scheduler.next_job(10_000_001).unwrap().work, "room again");
}

#[test]
fn a_look_and_a_second_have_their_budgets() {
    let mut scheduler = Scheduler::new(
        Budget {
            round_time: 100,
            bytes_per_s: 1000.0,
        },
        0,
    );
    (0..100).for_each(|n| scheduler.submit(0, Urgency::Cleanup, n, 100).unwrap());
    let mut done = 0;
    for _ in 0..50 {
        scheduler.start_round();
        while scheduler.next_job(0).is_some() {
            scheduler.finish_job(40);
            done += 1;
        }
    }
    assert_eq!(
        done, 3,
        "a quarter of a second's bytes may be saved up, and one job more begun"
    );
    let mut looks = Vec::new();
    for second in 1..=5u64 {
        scheduler.start_round();
        let mut count = 0;
        while scheduler.next_job(second * 1_000_000).is_some() {
            scheduler.finish_job(40);
            count += 1;
        }
        looks.push(count);
    }
    assert!(
        looks.iter().all(|count| *count <= 3),
        "no look takes more than its time: {looks:?}"
    );
    assert!(scheduler.next_job_at(5_000_000).is_some());
}

#[test]
fn what_is_too_much_is_given_back() {
    let mut scheduler = Scheduler::new(
        Budget {
            round_time: 1,
            bytes_per_s: 1.0,
        },
        0,
    );
    let taken = (0..70_000)
        .filter(|n| scheduler.submit(0, Urgency::Verify, *n, 1).is_ok())
        .count();
    assert_eq!(
        (taken, scheduler.queue_length(Urgency::Verify)),
        (65_536, 65_536)
    );
    assert!(
        scheduler.submit(0, Urgency::FreeSpace, 0, 1).is_ok(),
        "each urgency has its own bound"
    );
}
