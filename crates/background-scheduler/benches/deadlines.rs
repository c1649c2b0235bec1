//! The timing wheel beside the ordered map that the gateway's deadlines hang in, at 10^3 to 10^6
//! deadlines: one is set and one taken back, and all fire as time passes. `cargo bench -p
//! eideryard-background-scheduler`.

use divan::counter::ItemsCount;
use divan::Bencher;
use eideryard_background_scheduler::Wheel;
use std::collections::BTreeMap;

const SIZES: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
/// Operations in one sample.
const OPERATIONS: usize = 10_000;
const MINUTE: u64 = 60_000_000;

fn main() {
    divan::main();
}

/// Set one and take one back, with so many others set: what a result that is read in time does to
/// its expiry.
#[divan::bench(args = SIZES, sample_count = 50)]
fn wheel_set_and_take_back(bencher: Bencher<'_, '_>, size: usize) {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut wheel = Wheel::new(0);
    let mut timers: Vec<_> = (0..size)
        .map(|n| wheel.set(rng.u64(0..MINUTE), n))
        .collect();
    bencher
        .counter(ItemsCount::new(OPERATIONS))
        .bench_local(|| {
            for _ in 0..OPERATIONS {
                let place = rng.usize(0..size);
                wheel.cancel(timers[place]);
                timers[place] = wheel.set(rng.u64(0..MINUTE), place);
            }
        });
}

#[divan::bench(args = SIZES, sample_count = 50)]
fn map_set_and_take_back(bencher: Bencher<'_, '_>, size: usize) {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut map, mut number) = (BTreeMap::new(), 0u64);
    let mut set = |map: &mut BTreeMap<(u64, u64), usize>, at, what| {
        number += 1;
        map.insert((at, number), what);
        (at, number)
    };
    let mut timers: Vec<_> = (0..size)
        .map(|n| set(&mut map, rng.u64(0..MINUTE), n))
        .collect();
    bencher
        .counter(ItemsCount::new(OPERATIONS))
        .bench_local(|| {
            for _ in 0..OPERATIONS {
                let place = rng.usize(0..size);
                map.remove(&timers[place]);
                timers[place] = set(&mut map, rng.u64(0..MINUTE), place);
            }
        });
}

/// All fire, in steps of 4 ms as looks at the sockets come.
#[divan::bench(args = SIZES, sample_count = 20)]
fn wheel_fire(bencher: Bencher<'_, '_>, size: usize) {
    bencher
        .counter(ItemsCount::new(size))
        .with_inputs(|| {
            let mut rng = fastrand::Rng::with_seed(1);
            let mut wheel = Wheel::new(0);
            (0..size).for_each(|n| _ = wheel.set(rng.u64(0..MINUTE), n));
            wheel
        })
        .bench_local_values(|mut wheel| {
            let mut fired = 0;
            for look in 0..=MINUTE / 4000 + 1 {
                while wheel.pop_expired(look * 4000).is_some() {
                    fired += 1;
                }
            }
            assert_eq!(fired, size);
        });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn map_fire(bencher: Bencher<'_, '_>, size: usize) {
    bencher
        .counter(ItemsCount::new(size))
        .with_inputs(|| {
            let mut rng = fastrand::Rng::with_seed(1);
            (0..size)
                .map(|n| ((rng.u64(0..MINUTE), n), n))
                .collect::<BTreeMap<_, _>>()
        })
        .bench_local_values(|mut map| {
            let mut fired = 0;
            for look in 0..=MINUTE / 4000 + 1 {
                while map
                    .first_entry()
                    .filter(|first| first.key().0 <= look * 4000)
                    .map(|first| first.remove())
                    .is_some()
                {
                    fired += 1;
                }
            }
            assert_eq!(fired, size);
        });
}
