//! What each choice of the spool is good for: a simulated spool that is too small for its day, with
//! all choices, and with each replaced by a plain one. Ten seeds; draws docs/spool-choices.svg.
//! `cargo bench -p eideryard-result-spool`.

use eideryard_result_spool::size::Sizes;
use eideryard_result_spool::{
    Admission, Budget, Micros, Owner, PageLocation, Policy, Spool, SpoolAction,
};
use fastrand::Rng;
use plotters::prelude::*;
use std::collections::BTreeMap;

const STEP: Micros = 10_000;
const TIME: Micros = 120_000_000;
const BUDGET: Budget = Budget {
    memory: 16 << 20,
    disk: 48 << 20,
    max_result_bytes: 32 << 20,
    unclaimed_retention: 20_000_000,
    delivered_retention: 10_000_000,
};
const PAGE: u64 = 6000;
/// Bytes a second: of an engine for one result, of a fast and of a slow client, and of the disk.
const ENGINE: f64 = 20e6;
const FAST: f64 = 5e6;
const SLOW: f64 = 50e3;
const DISK: f64 = 60e6;
const USUAL: u64 = 48_000;
const SEEDS: u64 = 10;

#[derive(Clone, Copy, Default)]
struct Counted {
    small: u64,
    small_served: u64,
    large: u64,
    large_served: u64,
    /// Of the large ones, those of tenants that don't flood.
    others: u64,
    others_served: u64,
    /// Results whose engine's work was for nothing: failed half way, or gone before they were read.
    wasted_bytes: u64,
    bytes: u64,
}

struct Run {
    size: u64,
    come: u64,
    read: u64,
    rate: f64,
    /// Its client comes for it then.
    reads_at: Micros,
    class: usize,
    tenant: usize,
    open: bool,
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn simulate(policy: Policy, by_size: bool, seed: u64) -> Counted {
    let mut rng = Rng::with_seed(seed);
    let mut spool = Spool::with_policy(BUDGET, policy, 0);
    let mut sizes = Sizes::default();
    let mut runs: BTreeMap<u64, Run> = BTreeMap::new();
    let (mut counted, mut next, mut now) = (Counted::default(), 0u64, 0);
    while now < TIME {
        now += STEP;
        // Sixty requests a second; one tenant asks for most of the large ones.
        for _ in 0..(rng.f64() < 0.6) as u32 {
            next += 1;
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
            counted.small += small as u64;
            counted.large += !small as u64;
            counted.others += (!small && tenant != 0) as u64;
            let expected = if by_size {
                sizes.expected(class, tenant, USUAL)
            } else {
                USUAL
            };
            let Admission::Admitted { to_drop } = spool.admit(owner, expected, now) else {
                continue;
            };
            for id in to_drop {
                spool.drop_result(id, now);
                // Its client may still come for it.
                if let Some(run) = runs.remove(&id) {
                    counted.wasted_bytes += if run.read < run.size { run.come } else { 0 };
                }
            }
            spool.begin(next, owner, expected, now);
            let rate = if rng.f64() < 0.7 { FAST } else { SLOW };
            // Some come back for theirs.
            let reads_at = now + if rng.f64() < 0.1 { 8_000_000 } else { 0 };
            runs.insert(
                next,
                Run {
                    size,
                    come: 0,
                    read: 0,
                    rate,
                    reads_at,
                    class,
                    tenant,
                    open: false,
                },
            );
        }
        let step = STEP as f64 / 1e6;
        let mut over = Vec::new();
        for (id, run) in &mut runs {
            // From the engine.
            let mut room = ((ENGINE * step) as u64).min(
                spool
                    .read_ahead_bytes(*id)
                    .max(if run.come < run.size { PAGE } else { 0 }),
            );
            let mut failed = false;
            while run.come < run.size && room > 0 && !failed {
                let bytes = PAGE.min(run.size - run.come);
                failed = spool.add_page(*id, bytes, now).is_err();
                if !failed {
                    (run.come, room) = (run.come + bytes, room.saturating_sub(bytes));
                    counted.bytes += bytes;
                }
            }
            if failed {
                spool.end(*id, false, now);
                spool.drop_result(*id, now);
                counted.wasted_bytes += run.come;
                over.push(*id);
                continue;
            }
            if run.come >= run.size && run.read == 0 && spool.expiry(*id).is_none() && !run.open {
                spool.end(*id, true, now);
                sizes.learn(run.class, run.tenant, run.size);
            }
            // To the client.
            if run.come >= run.size && now >= run.reads_at && run.read < run.size {
                if !run.open {
                    run.open = spool.open_reader(*id, now);
                }
                run.read = (run.read + (run.rate * step) as u64).min(run.size);
                let is = spool.locate_page(*id, (run.read.saturating_sub(1) / PAGE) as usize, now);
                assert!(
                    matches!(is, PageLocation::Memory | PageLocation::Disk),
                    "{is:?}"
                );
                if run.read >= run.size {
                    spool.close_reader(*id, true, now);
                    counted.small_served += (run.class == 0) as u64;
                    counted.large_served += (run.class != 0) as u64;
                    counted.others_served += (run.class != 0 && run.tenant != 0) as u64;
                }
            }
            if spool.expiry(*id).is_some_and(|at| at <= now) {
                spool.drop_result(*id, now);
                counted.wasted_bytes += if run.read < run.size { run.come } else { 0 };
                over.push(*id);
            }
        }
        for id in over.iter() {
            _ = runs.remove(id);
        }
        let mut disk = (DISK * step) as u64;
        for SpoolAction::Move { result, page } in spool.choose_moves(now) {
            if disk < PAGE {
                break;
            }
            disk -= PAGE;
            spool.start_move(result, page);
            spool.finish_move(result, page, true, 0);
        }
    }
    counted
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn main() {
    // Cargo tests benches too, with a word that asks for nothing.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let all = Policy::default();
    let variants = [
        ("all choices", all, true),
        (
            "no reserve",
            Policy {
                reserve: 0.0,
                ..all
            },
            true,
        ),
        (
            "no shares",
            Policy {
                shares: false,
                ..all
            },
            true,
        ),
        (
            "longest unused out",
            Policy {
                by_value: false,
                ..all
            },
            true,
        ),
        ("not by size", all, false),
        (
            "all plain",
            Policy {
                reserve: 0.0,
                shares: false,
                by_value: false,
            },
            false,
        ),
    ];
    let mut bars = Vec::new();
    for (name, policy, by_size) in variants {
        let mut sum = Counted::default();
        for seed in 1..=SEEDS {
            let own = simulate(policy, by_size, seed);
            sum.small += own.small;
            sum.small_served += own.small_served;
            sum.large += own.large;
            sum.large_served += own.large_served;
            sum.others += own.others;
            sum.others_served += own.others_served;
            sum.wasted_bytes += own.wasted_bytes;
            sum.bytes += own.bytes;
        }
        let share = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        let figures = [
            share(sum.small_served, sum.small),
            share(sum.large_served, sum.large),
            share(sum.wasted_bytes, sum.bytes),
        ];
        let [small, large, wasted] = figures;
        let others = share(sum.others_served, sum.others);
        println!(
            "{name}: small served {small:.1}%, large {large:.1}%, of tenants that don't flood {others:.1}%, \
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
