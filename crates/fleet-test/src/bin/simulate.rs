//! Runs the simulated fleet with many seeds, on all cores.

use std::process::ExitCode;

use clap::Parser;
use eideryard_fleet_test::owned;
use eideryard_fleet_test::simulated::{play, Figures, Fleet, Size, Without};

#[derive(Parser)]
#[command(
    about = "Simulates a fleet with the production protocol code, over many seeds; figures are of simulated servers"
)]
struct Arguments {
    /// Number of gateways, voters included.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Number of voters.
    #[arg(long, default_value_t = 5)]
    keepers: usize,
    /// Keyed requests per seed.
    #[arg(long, default_value_t = 200)]
    requests: usize,
    /// Faults per seed: kills, lost stores, pauses, cut links.
    #[arg(long, default_value_t = 60)]
    faults: usize,
    /// Number of seeds, counted from 0.
    #[arg(long, default_value_t = 1000)]
    seeds: u64,
    /// Simulates task ownership instead, with this number of tasks. A third of the gateways that
    /// aren't voters is lost half way.
    #[arg(long)]
    tasks: Option<u32>,
    /// Runs this seed only, and prints the events that led to the first effect applied twice.
    #[arg(long)]
    story: Option<u64>,
    /// Switches off a part of the protocol, to show that the checks fail without it.
    #[arg(long, value_parser = ["nothing", "claims", "catch-up"], default_value = "nothing")]
    without: String,
}

/// Divides the seeds over all cores and returns the result of each part.
fn run_in_parallel<T: Send + 'static>(
    seeds: u64,
    play: impl Fn(std::ops::Range<u64>) -> T + Copy + Send + 'static,
) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let seeds_per_thread = seeds.div_ceil(threads);
    let workers: Vec<_> = (0..threads)
        .map(|at| (at * seeds_per_thread).min(seeds)..((at + 1) * seeds_per_thread).min(seeds))
        .map(|seeds| std::thread::spawn(move || play(seeds)))
        .collect();
    // A part that panicked has no result for its seeds, so the whole run panics too.
    workers
        .into_iter()
        .map(|worker| {
            worker
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        })
        .collect()
}

fn simulate_owners(arguments: &Arguments, tasks: u32) -> ExitCode {
    let (gateways, keepers, faults) = (arguments.gateways, arguments.keepers, arguments.faults);
    let size = owned::Size {
        gateways,
        voters: keepers,
        tasks,
        faults,
        lost_one_in: 3,
    };
    let (mut sum, mut broken_seeds) = (owned::Figures::default(), Vec::new());
    for (figures, seeds) in run_in_parallel(arguments.seeds, move |seeds| owned::play(size, seeds))
    {
        sum.add(&figures);
        broken_seeds.extend(seeds);
    }
    println!("{sum:?}");
    let verdict = if broken_seeds.is_empty() {
        "kept"
    } else {
        "broken"
    };
    println!(
        "verdict={verdict} seeds={} gateways={gateways} stale_applied={} two_owners={} fenced={} {broken_seeds:?}",
        arguments.seeds, sum.stale_applied, sum.two_owners, sum.fenced
    );
    ExitCode::from(u8::from(!broken_seeds.is_empty()))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let size = Size {
        gateways: arguments.gateways,
        keepers: arguments.keepers,
        requests: arguments.requests,
        faults: arguments.faults,
    };
    let without = match arguments.without.as_str() {
        "claims" => Without::Claims,
        "catch-up" => Without::CatchUp,
        _ => Without::Nothing,
    };
    if let Some(tasks) = arguments.tasks {
        return simulate_owners(&arguments, tasks);
    }
    if let Some(seed) = arguments.story {
        for line in Fleet::story_of(size, seed, without).iter() {
            println!("{line}");
        }
        return ExitCode::SUCCESS;
    }
    let (mut sum, mut broken_seeds) = (Figures::default(), Vec::new());
    for (figures, seeds) in
        run_in_parallel(arguments.seeds, move |seeds| play(size, seeds, without))
    {
        sum.add(&figures);
        broken_seeds.extend(seeds);
    }
    let per_request = |total: u64| total as f64 / sum.requests.max(1) as f64;
    println!("{sum:?}");
    println!(
        "a keyed request: {:.1} messages, {:.0} bytes",
        per_request(sum.messages),
        per_request(sum.bytes)
    );
    println!(
        "seeds that break a rule: {} {:?}",
        broken_seeds.len(),
        &broken_seeds[..broken_seeds.len().min(10)]
    );
    let verdict = if broken_seeds.is_empty() {
        "kept"
    } else {
        "broken"
    };
    println!(
        "verdict={verdict} seeds={} gateways={} effects_twice={} unanswered={} differ={}",
        arguments.seeds, arguments.gateways, sum.effects_twice, sum.unanswered, sum.differ
    );
    ExitCode::from(u8::from(!broken_seeds.is_empty()))
}
