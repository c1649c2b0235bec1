//! Measures the effect of each decision of the spool: simulates a spool that is too small for its
//! load, with all decisions enabled and with each replaced by a simple one. Runs ten seeds and
//! draws `docs/spool-choices.svg`. Run with `cargo bench -p eideryard-result-spool`.

use eideryard_result_spool::size::Sizes;
use eideryard_result_spool::{
    Admission, Budget, Micros, Owner, PageLocation, Policy, Spool, SpoolAction,
};
use fastrand::Rng;
use plotters::prelude::*;
use std::collections::BTreeMap;

const STEP_TIME: Micros = 10_000;
const SIMULATED_TIME: Micros = 120_000_000;
const BUDGET: Budget = Budget {
    memory: 16 << 20,
    disk: 48 << 20,
    max_result_bytes: 32 << 20,
    unclaimed_retention: 20_000_000,
    delivered_retention: 10_000_000,
};
const PAGE_BYTES: u64 = 6000;
/// Rates in bytes per second: at which an engine sends one result, at which a fast and a slow
/// client read, and at which the disk writes.
const ENGINE_RATE: f64 = 20e6;
const FAST_CLIENT_RATE: f64 = 5e6;
const SLOW_CLIENT_RATE: f64 = 50e3;
const DISK_RATE: f64 = 60e6;
const DEFAULT_RESULT_BYTES: u64 = 48_000;
const SEEDS: u64 = 10;

#[derive(Clone, Copy, Default)]
struct Counts {
    small: u64,
    small_served: u64,
    large: u64,
    large_served: u64,
    /// Large results of tenants that don't flood.
    other_tenants: u64,
    other_tenants_served: u64,
    /// Bytes of results that failed halfway or were dropped before a client had read them.
    wasted_bytes: u64,
    bytes: u64,
}

struct Run {
    size: u64,
    received: u64,
    read: u64,
    rate: f64,
    /// Time at which the client begins to read.
    read_from: Micros,
    class: usize,
    tenant: usize,
    is_open: bool,
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn simulate(policy: Policy, uses_learned_sizes: bool, seed: u64) -> Counts {
    let mut rng = Rng::with_seed(seed);
    let mut spool = Spool::with_policy(BUDGET, policy, 0);
    let mut sizes = Sizes::default();
    let mut runs: BTreeMap<u64, Run> = BTreeMap::new();
    let (mut counts, mut next_id, mut now) = (Counts::default(), 0u64, 0);
    while now < SIMULATED_TIME {
        now += STEP_TIME;
        // Sixty requests per second; one tenant sends most of the large ones.
        for _ in 0..(rng.f64() < 0.6) as u32 {
            next_id += 1;
            let (class, median) = match rng.u8(0..100) {
                0..=89 => (0, 20e3),
                90..=97 => (1, 1e6),
                _ => (2, 8e6),
            };
            let size = (median * (0.5 + rng.f64())) as u64;
            let tenant = if class > 0 && rng.f64() < 0.6 {
                0
            } else {
                rng.usize(1..6)
            };
            let owner = Owner {
                tenant: tenant as u32,
                address: tenant as u64,
            };
            let small = class == 0;
            counts.small += small as u64;
            counts.large += !small as u64;
            counts.other_tenants += (!small && tenant != 0) as u64;
            let expected = if uses_learned_sizes {
                sizes.expected(class, tenant, DEFAULT_RESULT_BYTES)
            } else {
                DEFAULT_RESULT_BYTES
            };
            let Admission::Admitted { to_drop } = spool.admit(owner, expected, now) else {
                continue;
            };
            for id in to_drop {
                spool.drop_result(id, now);
                // The client may not have read it yet.
                if let Some(run) = runs.remove(&id) {
                    counts.wasted_bytes += if run.read < run.size { run.received } else { 0 };
                }
            }
            spool.begin(next_id, owner, expected, now);
            let rate = if rng.f64() < 0.7 {
                FAST_CLIENT_RATE
            } else {
                SLOW_CLIENT_RATE
            };
            // Some clients reconnect later to read their results.
            let read_from = now + if rng.f64() < 0.1 { 8_000_000 } else { 0 };
            runs.insert(
                next_id,
                Run {
                    size,
                    received: 0,
                    read: 0,
                    rate,
                    read_from,
                    class,
                    tenant,
                    is_open: false,
                },
            );
        }
        let step_s = STEP_TIME as f64 / 1e6;
        let mut ended = Vec::new();
        for (id, run) in &mut runs {
            // Receive pages from the engine.
            let mut room = ((ENGINE_RATE * step_s) as u64).min(spool.read_ahead_bytes(*id).max(
                if run.received < run.size {
                    PAGE_BYTES
                } else {
                    0
                },
            ));
            let mut failed = false;
            while run.received < run.size && room > 0 && !failed {
                let bytes = PAGE_BYTES.min(run.size - run.received);
                failed = spool.add_page(*id, bytes, now).is_err();
                if !failed {
                    (run.received, room) = (run.received + bytes, room.saturating_sub(bytes));
                    counts.bytes += bytes;
                }
            }
            if failed {
                spool.end(*id, false, now);
                spool.drop_result(*id, now);
                counts.wasted_bytes += run.received;
                ended.push(*id);
                continue;
            }
            if run.received >= run.size
                && run.read == 0
                && spool.expiry(*id).is_none()
                && !run.is_open
            {
                spool.end(*id, true, now);
                sizes.learn(run.class, run.tenant, run.size);
            }
            // Send pages to the client.
            if run.received >= run.size && now >= run.read_from && run.read < run.size {
                if !run.is_open {
                    run.is_open = spool.open_reader(*id, now);
                }
                run.read = (run.read + (run.rate * step_s) as u64).min(run.size);
                let location =
                    spool.locate_page(*id, (run.read.saturating_sub(1) / PAGE_BYTES) as usize, now);
                assert!(
                    matches!(location, PageLocation::Memory | PageLocation::Disk),
                    "{location:?}"
                );
                if run.read >= run.size {
                    spool.close_reader(*id, true, now);
                    counts.small_served += (run.class == 0) as u64;
                    counts.large_served += (run.class != 0) as u64;
                    counts.other_tenants_served += (run.class != 0 && run.tenant != 0) as u64;
                }
            }
            if spool.expiry(*id).is_some_and(|at| at <= now) {
                spool.drop_result(*id, now);
                counts.wasted_bytes += if run.read < run.size { run.received } else { 0 };
                ended.push(*id);
            }
        }
        for id in ended.iter() {
            _ = runs.remove(id);
        }
        let mut disk = (DISK_RATE * step_s) as u64;
        for SpoolAction::Move { result, page } in spool.choose_moves(now) {
            if disk < PAGE_BYTES {
                break;
            }
            disk -= PAGE_BYTES;
            spool.start_move(result, page);
            spool.finish_move(result, page, true, 0);
        }
    }
    counts
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn main() {
    // `cargo test` runs benches too, without this argument.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let default_policy = Policy::default();
    let variants = [
        ("all choices", default_policy, true),
        (
            "no reserve",
            Policy {
                reserve: 0.0,
                ..default_policy
            },
            true,
        ),
        (
            "no shares",
            Policy {
                enforces_shares: false,
                ..default_policy
            },
            true,
        ),
        (
            "longest unused out",
            Policy {
                drops_delivered_first: false,
                ..default_policy
            },
            true,
        ),
        ("not by size", default_policy, false),
        (
            "all plain",
            Policy {
                reserve: 0.0,
                enforces_shares: false,
                drops_delivered_first: false,
            },
            false,
        ),
    ];
    let mut bars = Vec::new();
    for (name, policy, uses_learned_sizes) in variants {
        let mut sum = Counts::default();
        for seed in 1..=SEEDS {
            let counts = simulate(policy, uses_learned_sizes, seed);
            sum.small += counts.small;
            sum.small_served += counts.small_served;
            sum.large += counts.large;
            sum.large_served += counts.large_served;
            sum.other_tenants += counts.other_tenants;
            sum.other_tenants_served += counts.other_tenants_served;
            sum.wasted_bytes += counts.wasted_bytes;
            sum.bytes += counts.bytes;
        }
        let share = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        let figures = [
            share(sum.small_served, sum.small),
            share(sum.large_served, sum.large),
            share(sum.wasted_bytes, sum.bytes),
        ];
        let [small, large, wasted] = figures;
        let other_tenants = share(sum.other_tenants_served, sum.other_tenants);
        println!(
            "{name}: small served {small:.1}%, large {large:.1}%, of tenants that don't flood {other_tenants:.1}%, \
             engines' bytes for nothing {wasted:.1}%"
        );
        bars.push((name, figures));
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/spool-choices.svg");
    draw(path, &bars).expect("the plot can be drawn");
}

fn draw(path: &str, bars: &[(&str, [f64; 3])]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let styles = [
        RGBColor(31, 111, 178),
        RGBColor(47, 125, 79),
        RGBColor(179, 38, 30),
    ];
    let names = [
        "small served, %",
        "large served, %",
        "engines' bytes for nothing, %",
    ];
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Choices of the spool, each replaced by a plain one (simulated, ten seeds)",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..135.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&|x| {
            if (x.fract() - 0.5).abs() < 0.01 {
                bars.get(*x as usize)
                    .map_or(String::new(), |(name, _)| name.to_string())
            } else {
                String::new()
            }
        })
        .draw()?;
    for (number, (style, name)) in styles.into_iter().zip(names).enumerate() {
        let bar = |(at, (_, figures)): (usize, &(&str, [f64; 3]))| {
            let from = at as f64 + 0.12 + 0.26 * number as f64;
            Rectangle::new(
                [(from, 0.0), (from + 0.24, figures[number])],
                style.filled(),
            )
        };
        chart
            .draw_series(bars.iter().enumerate().map(bar))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], style.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperMiddle)
        .border_style(BLACK)
        .background_style(WHITE.mix(0.9))
        .draw()?;
    root.present()?;
    Ok(())
}
