//! Compares the timing wheel with an ordered map, which the gateway uses for its deadlines, at 10^3
//! to 10^6 deadlines: the cost of setting and cancelling one, and of expiring all. Run it with
//! `cargo bench -p eideryard-background-scheduler`.

use divan::counter::ItemsCount;
use divan::Bencher;
use eideryard_background_scheduler::Wheel;
use std::collections::BTreeMap;

const SIZES: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
/// Number of operations per sample.
const OPERATIONS: usize = 10_000;
const MINUTE: u64 = 60_000_000;

fn main() {
    divan::main();
}

/// Cancels and sets a deadline among `size` others, as the spool does for the expiry of a result
/// that is read in time.
#[divan::bench(args = SIZES, sample_count = 50)]
fn wheel_set_and_cancel(bencher: Bencher<'_, '_>, size: usize) {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut wheel = Wheel::new(0);
    let mut timers: Vec<_> = (0..size)
        .map(|n| wheel.set(rng.u64(0..MINUTE), n))
        .collect();
    bencher
        .counter(ItemsCount::new(OPERATIONS))
        .bench_local(|| {
            for _ in 0..OPERATIONS {
                let index = rng.usize(0..size);
                wheel.cancel(timers[index]);
                timers[index] = wheel.set(rng.u64(0..MINUTE), index);
            }
        });
}

#[divan::bench(args = SIZES, sample_count = 50)]
fn map_set_and_cancel(bencher: Bencher<'_, '_>, size: usize) {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut map, mut number) = (BTreeMap::new(), 0u64);
    let mut set = |map: &mut BTreeMap<(u64, u64), usize>, at, payload| {
        number += 1;
        map.insert((at, number), payload);
        (at, number)
    };
    let mut timers: Vec<_> = (0..size)
        .map(|n| set(&mut map, rng.u64(0..MINUTE), n))
        .collect();
    bencher
        .counter(ItemsCount::new(OPERATIONS))
        .bench_local(|| {
            for _ in 0..OPERATIONS {
                let index = rng.usize(0..size);
                map.remove(&timers[index]);
                timers[index] = set(&mut map, rng.u64(0..MINUTE), index);
            }
        });
}

/// Expires all deadlines in steps of 4 ms, the time between rounds of the event loop.
#[divan::bench(args = SIZES, sample_count = 20)]
fn wheel_expire(bencher: Bencher<'_, '_>, size: usize) {
    bencher
        .counter(ItemsCount::new(size))
        .with_inputs(|| {
            let mut rng = fastrand::Rng::with_seed(1);
            let mut wheel = Wheel::new(0);
            (0..size).for_each(|n| _ = wheel.set(rng.u64(0..MINUTE), n));
            wheel
        })
        .bench_local_values(|mut wheel| {
            let mut expired = 0;
            for round in 0..=MINUTE / 4000 + 1 {
                while wheel.pop_expired(round * 4000).is_some() {
                    expired += 1;
                }
            }
            assert_eq!(expired, size);
        });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn map_expire(bencher: Bencher<'_, '_>, size: usize) {
    bencher
        .counter(ItemsCount::new(size))
        .with_inputs(|| {
            let mut rng = fastrand::Rng::with_seed(1);
            (0..size)
                .map(|n| ((rng.u64(0..MINUTE), n), n))
                .collect::<BTreeMap<_, _>>()
        })
        .bench_local_values(|mut map| {
            let mut expired = 0;
            for round in 0..=MINUTE / 4000 + 1 {
                while map
                    .first_entry()
                    .filter(|first| first.key().0 <= round * 4000)
                    .map(|first| first.remove())
                    .is_some()
                {
                    expired += 1;
                }
            }
            assert_eq!(expired, size);
        });
}
