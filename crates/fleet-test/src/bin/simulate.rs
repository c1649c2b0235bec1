//! Plays the simulated fleet over many seeds, on all cores.

use std::process::ExitCode;

use clap::Parser;
use eideryard_fleet_test::owned;
use eideryard_fleet_test::simulated::{play, Figures, Fleet, Size, Without};

#[derive(Parser)]
#[command(
    about = "A simulated fleet with the cores that ship, over many seeds; figures of simulated servers"
)]
struct Arguments {
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    #[arg(long, default_value_t = 5)]
    keepers: usize,
    /// Keyed requests a seed.
    #[arg(long, default_value_t = 200)]
    requests: usize,
    /// Faults a seed: kills, wipes, pauses, cuts.
    #[arg(long, default_value_t = 60)]
    faults: usize,
    #[arg(long, default_value_t = 1000)]
    seeds: u64,
    /// Plays tasks and their owners instead: so many tasks, of which a third of the gateways goes
    /// half way.
    #[arg(long)]
    tasks: Option<u32>,
    /// Tells what led to the first second effect of this seed, and plays no other.
    #[arg(long)]
    story: Option<u64>,
    /// Takes something out, to show that the checks bite.
    #[arg(long, value_parser = ["nothing", "claims", "catch-up"], default_value = "nothing")]
    without: String,
}

/// Seeds over all cores; gives what each part gave.
fn parts<T: Send + 'static>(
    seeds: u64,
    play: impl Fn(std::ops::Range<u64>) -> T + Copy + Send + 'static,
) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let each = seeds.div_ceil(threads);
    let parts: Vec<_> = (0..threads)
        .map(|at| (at * each).min(seeds)..((at + 1) * each).min(seeds))
        .map(|seeds| std::thread::spawn(move || play(seeds)))
        .collect();
    // One that panicked says nothing of its seeds: neither does the whole.
    parts
        .into_iter()
        .map(|part| {
            part.join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        })
        .collect()
}

fn owners(own: &Arguments, tasks: u32) -> ExitCode {
    let (gateways, keepers, faults) = (own.gateways, own.keepers, own.faults);
    let size = owned::Size {
        gateways,
        keepers,
        tasks,
        faults,
        goes: 3,
    };
    let (mut sum, mut broken) = (owned::Figures::default(), Vec::new());
    for (figures, seeds) in parts(own.seeds, move |seeds| owned::play(size, seeds)) {
        sum.add(&figures);
        broken.extend(seeds);
    }
    println!("{sum:?}");
    let word = if broken.is_empty() { "kept" } else { "broken" };
    println!(
        "verdict={word} seeds={} gateways={gateways} stale_applied={} two_owners={} fenced={} {broken:?}",
        own.seeds, sum.stale_applied, sum.two_owners, sum.fenced
    );
    ExitCode::from(u8::from(!broken.is_empty()))
}

fn main() -> ExitCode {
    let own = Arguments::parse();
    let size = Size {
        gateways: own.gateways,
        keepers: own.keepers,
        requests: own.requests,
        faults: own.faults,
    };
    let without = match own.without.as_str() {
        "claims" => Without::Claims,
        "catch-up" => Without::CatchUp,
        _ => Without::Nothing,
    };
    if let Some(tasks) = own.tasks {
        return owners(&own, tasks);
    }
    if let Some(seed) = own.story {
        for line in Fleet::story_of(size, seed, without).iter() {
            println!("{line}");
        }
        return ExitCode::SUCCESS;
    }
    let (mut sum, mut broken) = (Figures::default(), Vec::new());
    for (figures, seeds) in parts(own.seeds, move |seeds| play(size, seeds, without)) {
        sum.add(&figures);
        broken.extend(seeds);
    }
    let each = |total: u64| total as f64 / sum.requests.max(1) as f64;
    println!("{sum:?}");
    println!(
        "a keyed request: {:.1} messages, {:.0} bytes",
        each(sum.messages),
        each(sum.bytes)
    );
    println!(
        "seeds that break a rule: {} {:?}",
        broken.len(),
        &broken[..broken.len().min(10)]
    );
    let word = if broken.is_empty() { "kept" } else { "broken" };
    println!(
        "verdict={word} seeds={} gateways={} effects_twice={} unanswered={} differ={}",
        own.seeds, own.gateways, sum.effects_twice, sum.unanswered, sum.differ
    );
    ExitCode::from(u8::from(!broken.is_empty()))
}
