//! The rig's command line: `cargo run --release -p eideryard-fleet-test -- CASE --seed N`.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::{Parser, Subcommand};
use eideryard_fleet_test::check::Rule;
use eideryard_fleet_test::minimize::minimize;
use eideryard_fleet_test::plan::{self, Case, Plan};
use eideryard_fleet_test::run::{self, Ran};
use eideryard_fleet_test::scale::run::Run;
use eideryard_fleet_test::scale::sizes::{Machine, Sizes};
use eideryard_fleet_test::scale::{plots, report};

/// A plan of which a run kept the rules is played once more before a fault of it is held to be
/// needed.
const TRIES: usize = 2;

#[derive(Parser)]
#[command(about = "Several gateways with faults between them, and a verdict on all that happened")]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Arguments {
    #[command(subcommand)]
    measured: Option<Measured>,
    /// What is drawn; left out where --scenario says what is played.
    #[arg(value_enum, required_unless_present = "scenario")]
    case: Option<Case>,
    /// What the plan and all other random numbers come of.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=12))]
    gateways: u64,
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
    seconds: u64,
    /// Plays this scenario instead of a drawn plan.
    #[arg(long, conflicts_with = "case")]
    scenario: Option<PathBuf>,
    /// Leaves configurations, logs, records and directories there.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The program that is tried; without it the one of this checkout, which is built first.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where a rule is broken, drops faults one by one and prints the smallest plan that still
    /// breaks it.
    #[arg(long)]
    minimize: bool,
    /// Plays the same plan without what the case is for, as a baseline.
    #[arg(long)]
    off: bool,
    /// Prints the plan and plays nothing.
    #[arg(long)]
    plan: bool,
}

/// What is measured, in place of a case that is played.
#[derive(Subcommand)]
enum Measured {
    /// How costs grow with the size of the fleet, with slopes and predictions
    Scale(Sizes),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let ended = match &arguments.measured {
        Some(Measured::Scale(sizes)) => scale(sizes),
        None => play(&arguments),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("eideryard-fleet-test: {message}");
            ExitCode::from(2)
        }
    }
}

/// Under cargo the program is built first, as it is in this checkout: the rig alone would bring an
/// old one.
fn built() -> Result<PathBuf, String> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let profile = if cfg!(debug_assertions) {
            &[][..]
        } else {
            &["--release"][..]
        };
        let status = Command::new(cargo)
            .args(["build", "--quiet", "--locked"])
            .args(profile)
            .status();
        if !status.is_ok_and(|status| status.success()) {
            return Err("the program can't be built; see above, or name one with --program".into());
        }
    }
    run::program().map_err(|e| {
        format!("{e}; build it with 'cargo build --release', or name one with --program")
    })
}

fn scale(sizes: &Sizes) -> Result<bool, String> {
    let machine =
        Machine::read_limits().map_err(|e| format!("the machine's limits can't be read: {e}"))?;
    sizes.check(machine).map_err(|e| e.to_string())?;
    let program = match &sizes.program {
        _ if sizes.real == 0 => None,
        Some(program) => Some(program.clone()),
        None => Some(built()?),
    };
    let mut predicted = |name: &str, axis, at: f64, value: f64| {
        println!(
            "predicted before it is measured: {name} by {axis:?} at {at}: {}",
            report::short(value)
        );
    };
    let outcome = Run::new(sizes, program.as_deref(), &mut predicted)
        .play()
        .map_err(|e| e.to_string())?;
    for line in report::lines(&outcome).iter() {
        println!("{line}");
    }
    println!("\n{}", report::table(&outcome));
    if let Some(directory) = &sizes.plots {
        let drawn = plots::draw(&outcome, directory)
            .map_err(|e| format!("{}: {e}", directory.display()))?;
        println!("drawn: {}", drawn.join(", "));
    }
    outcome
        .violations
        .iter()
        .for_each(|violation| println!("broken: {}: {}", violation.rule, violation.what));
    println!("{}", report::verdict(&outcome, sizes.seed));
    Ok(outcome.violations.is_empty())
}

#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
fn play(arguments: &Arguments) -> Result<bool, String> {
    let plan = match (&arguments.scenario, arguments.case) {
        (Some(path), _) => {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let plan = Plan::of_text(&text);
            plan.scenario(&path.display().to_string())?;
            plan
        }
        (None, Some(case)) => plan::draw(
            case,
            arguments.seed,
            arguments.gateways as usize,
            arguments.seconds,
            !arguments.off,
        ),
        (None, None) => return Err("name a case or a scenario".into()),
    };
    let case = arguments.case.map_or("scenario", Case::name);
    if arguments.plan {
        print!("{plan}");
        return Ok(true);
    }
    println!("plan of {} faults:", plan.faults.len());
    plan.faults.iter().for_each(|fault| println!("    {fault}"));
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => built()?,
    };
    let own = tempfile::tempdir().map_err(|e| e.to_string())?;
    let directory = arguments.keep.as_deref().unwrap_or(own.path());
    let ran = once(&program, &plan, directory)?;
    for (found, story) in &ran.stories {
        println!(
            "\nbroken: {}: {}: {}",
            found.rule.name(),
            found.about,
            found.text
        );
        for line in story.iter() {
            println!("  {line}");
        }
    }
    println!();
    for (rule, count) in &ran.verdict.counts {
        println!("{}: broken {count} times", rule.name());
    }
    let first = ran.verdict.breaks.first().map(|found| found.rule);
    if let Some(rule) = first.filter(|_| arguments.minimize) {
        let small = smallest(&program, &plan, rule)?;
        println!(
            "\nthe smallest plan that still breaks '{}', as a scenario:\n\n{small}",
            rule.name()
        );
    }
    let kept = ran.verdict.kept();
    let seed = plan
        .scenario("plan")
        .map_or(arguments.seed, |scenario| scenario.seed);
    let figures: Vec<String> = ran
        .verdict
        .figures
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let word = if kept { "kept" } else { "broken" };
    println!(
        "verdict={word} seed={seed} case={case} {}",
        figures.join(" ")
    );
    Ok(kept)
}

fn once(program: &Path, plan: &Plan, directory: &Path) -> Result<Ran, String> {
    run::run(program, plan, directory).map_err(|e| e.to_string())
}

fn smallest(program: &Path, plan: &Plan, rule: Rule) -> Result<Plan, String> {
    let mut trouble = None;
    let small = minimize(plan, |fewer| {
        let broken = (0..TRIES).any(|_| {
            let ran = tempfile::tempdir().map_err(|e| e.to_string());
            match ran.and_then(|own| once(program, fewer, own.path())) {
                Ok(ran) => ran.verdict.count(rule) > 0,
                Err(e) => {
                    trouble.get_or_insert(e);
                    false
                }
            }
        });
        eprintln!(
            "{} faults: {}",
            fewer.faults.len(),
            if broken { "broken" } else { "kept" }
        );
        broken
    });
    trouble.map_or(Ok(small), Err)
}
