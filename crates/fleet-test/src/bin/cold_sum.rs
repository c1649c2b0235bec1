//! Sums of calls at cold engines over many seeds, on all cores.

use std::process::ExitCode;

use clap::Parser;
use eideryard_fleet_test::cold_sum::{play, Sum, Without};

#[derive(Parser)]
#[command(about = "Simulated: what all gateways together send to an engine that has just started")]
struct Arguments {
    /// Sizes of the fleet, each played on every seed.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 30, 300])]
    gateways: Vec<usize>,
    #[arg(long, default_value_t = 1000)]
    seeds: u64,
    /// Threads that play.
    #[arg(long, default_value_t = 6)]
    threads: u64,
    /// Nobody asks the module before a first byte, to show what that is for.
    #[arg(long)]
    unasked: bool,
    /// The list doesn't tell when engines started, to show that falls are seen.
    #[arg(long)]
    untold: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let without = Without {
        asking: arguments.unasked,
        cold: arguments.untold,
        late_dials: false,
    };
    let mut fell = 0;
    for &gateways in &arguments.gateways {
        let parts: Vec<_> = (0..arguments.threads)
            .map(|part| {
                let seeds = (part..arguments.seeds).step_by(arguments.threads as usize);
                std::thread::spawn(move || {
                    seeds
                        .map(|seed| (seed, play(seed, gateways, without)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let mut all: Vec<(u64, Sum)> = parts
            .into_iter()
            .flat_map(|part| part.join().expect("a seed that plays"))
            .collect();
        all.sort_by(|a, b| b.1.over_bound.total_cmp(&a.1.over_bound));
        let over = all.iter().filter(|(_, sum)| sum.over_bound > 1.0).count();
        let mean = |of: fn(&Sum) -> f64| {
            all.iter().map(|(_, sum)| of(sum)).sum::<f64>() / all.len() as f64
        };
        fell += over;
        println!(
            "gateways={gateways} seeds={} fell={over} worst={:.2} worst_seed={} worst_over_budget={:.2} \
             mean={:.2} served={:.4} calls={:.0} decisions={:016x}",
            all.len(),
            all[0].1.over_bound,
            all[0].0,
            all.iter().map(|(_, sum)| sum.over_budget).fold(0.0, f64::max),
            mean(|sum| sum.over_bound),
            mean(|sum| sum.served),
            mean(|sum| sum.calls as f64),
            all.iter().fold(0u64, |sum, (_, own)| sum.wrapping_add(own.decisions)),
        );
    }
    println!("verdict={}", if fell == 0 { "kept" } else { "broken" });
    if fell == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
