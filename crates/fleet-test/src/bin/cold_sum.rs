//! Simulates the calls that cold engines receive, over many seeds and on several threads.

use std::process::ExitCode;

use clap::Parser;
use eideryard_fleet_test::cold_sum::{play, Disabled, SeedResult};

#[derive(Parser)]
#[command(
    about = "Simulates the total load that all gateways send to an engine that has just started"
)]
struct Arguments {
    /// Numbers of gateways, separated by commas; each is simulated with every seed.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 30, 300])]
    gateways: Vec<usize>,
    /// Number of seeds, counted from 0.
    #[arg(long, default_value_t = 1000)]
    seeds: u64,
    /// Threads that run simulations in parallel.
    #[arg(long, default_value_t = 6)]
    threads: u64,
    /// Gateways don't ask the balancer again before a request's first byte; shows what that check
    /// prevents.
    #[arg(long)]
    unasked: bool,
    /// The endpoint list omits engine start times; shows that overloaded engines are detected.
    #[arg(long)]
    untold: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let disabled = Disabled {
        start_checks: arguments.unasked,
        start_times: arguments.untold,
        slow_dials: false,
    };
    let mut total_overloaded = 0;
    for &gateways in &arguments.gateways {
        let parts: Vec<_> = (0..arguments.threads)
            .map(|part| {
                let seeds = (part..arguments.seeds).step_by(arguments.threads as usize);
                std::thread::spawn(move || {
                    seeds
                        .map(|seed| (seed, play(seed, gateways, disabled)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let mut results: Vec<(u64, SeedResult)> = parts
            .into_iter()
            .flat_map(|part| {
                part.join()
                    .expect("the simulation of a seed must not panic")
            })
            .collect();
        results.sort_by(|a, b| b.1.load_over_bound.total_cmp(&a.1.load_over_bound));
        let overloaded = results
            .iter()
            .filter(|(_, result)| result.load_over_bound > 1.0)
            .count();
        let mean = |field: fn(&SeedResult) -> f64| {
            results.iter().map(|(_, result)| field(result)).sum::<f64>() / results.len() as f64
        };
        total_overloaded += overloaded;
        println!(
            "gateways={gateways} seeds={} fell={overloaded} worst={:.2} worst_seed={} worst_over_budget={:.2} \
             mean={:.2} served={:.4} calls={:.0} decisions={:016x}",
            results.len(),
            results[0].1.load_over_bound,
            results[0].0,
            results.iter().map(|(_, result)| result.load_over_budget).fold(0.0, f64::max),
            mean(|result| result.load_over_bound),
            mean(|result| result.served_share),
            mean(|result| result.calls as f64),
            results.iter().fold(0u64, |hash, (_, result)| hash.wrapping_add(result.decisions)),
        );
    }
    println!(
        "verdict={}",
        if total_overloaded == 0 {
            "kept"
        } else {
            "broken"
        }
    );
    if total_overloaded == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
