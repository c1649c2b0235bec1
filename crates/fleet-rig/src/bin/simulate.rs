//! Plays the simulated fleet over many seeds, on all cores.

use std::process::ExitCode;

use clap::Parser;
use eideryard_fleet_rig::simulated::{play, Figures, Fleet, Size, Without};

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
    /// Tells what led to the first second effect of this seed, and plays no other.
    #[arg(long)]
    story: Option<u64>,
    /// Takes something out, to show that the checks bite.
    #[arg(long, value_parser = ["nothing", "claims", "catch-up"], default_value = "nothing")]
    without: String,
}

fn main() -> ExitCode {
    let own = Arguments::parse();
    let size =
        Size { gateways: own.gateways, keepers: own.keepers, requests: own.requests, faults: own.faults };
    let without = match own.without.as_str() {
        "claims" => Without::Claims,
        "catch-up" => Without::CatchUp,
        _ => Without::Nothing,
    };
    if let Some(seed) = own.story {
        Fleet::story_of(size, seed, without).iter().for_each(|line| println!("{line}"));
        return ExitCode::SUCCESS;
    }
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let each = own.seeds.div_ceil(threads);
    let parts: Vec<_> = (0..threads)
        .map(|at| (at * each).min(own.seeds)..((at + 1) * each).min(own.seeds))
        .map(|seeds| std::thread::spawn(move || play(size, seeds, without)))
        .collect();
    let (mut sum, mut broken) = (Figures::default(), Vec::new());
    for part in parts {
        let Ok((figures, seeds)) = part.join() else { return ExitCode::from(2) };
        sum.add(&figures);
        broken.extend(seeds);
    }
    let each = |total: u64| total as f64 / sum.requests.max(1) as f64;
    println!("{sum:?}");
    println!("a keyed request: {:.1} messages, {:.0} bytes", each(sum.messages), each(sum.bytes));
    println!("seeds that break a rule: {} {:?}", broken.len(), &broken[..broken.len().min(10)]);
    let word = if broken.is_empty() { "kept" } else { "broken" };
    println!(
        "verdict={word} seeds={} gateways={} effects_twice={} unanswered={} differ={}",
        own.seeds, own.gateways, sum.effects_twice, sum.unanswered, sum.differ
    );
    ExitCode::from(u8::from(!broken.is_empty()))
}
