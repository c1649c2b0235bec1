//! The command line of the fleet test:
//! `cargo run --release -p eideryard-fleet-test -- CASE --seed N`.

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::{Parser, Subcommand};
use eideryard_fleet_test::check::Rule;
use eideryard_fleet_test::minimize::minimize;
use eideryard_fleet_test::plan::{self, Case, Plan};
use eideryard_fleet_test::run::{self, RunOutcome};
use eideryard_fleet_test::scale::run::Run;
use eideryard_fleet_test::scale::sizes::{Machine, Sizes};
use eideryard_fleet_test::scale::{plots, report};

/// Runs of a reduced plan that must all keep the rules before the removed faults count as needed:
/// two runs of one plan don't always break the same rules.
const RUNS_PER_REDUCED_PLAN: usize = 2;

#[derive(Parser)]
#[command(about = "Runs several gateways with injected faults and checks that the rules were kept")]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
struct Arguments {
    #[command(subcommand)]
    measurement: Option<Measurement>,
    /// The kind of plan to draw; omit it with --scenario
    #[arg(value_enum, required_unless_present = "scenario")]
    case: Option<Case>,
    /// Seed of the plan and of all other random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Gateways of a drawn plan
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=12))]
    gateways: u64,
    /// Length of a drawn plan, in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
    seconds: u64,
    /// Play this scenario instead of a drawn plan
    #[arg(long, conflicts_with = "case")]
    scenario: Option<PathBuf>,
    /// Keep configurations, logs, event logs and store directories in this directory
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The gateway program to test; without it, the program of this checkout is built and tested
    #[arg(long)]
    program: Option<PathBuf>,
    /// If a rule is broken, remove faults and print the smallest plan that still breaks it
    #[arg(long)]
    minimize: bool,
    /// Baseline: play the same faults and loads without the feature that the case tests (store,
    /// fleet or task)
    #[arg(long)]
    off: bool,
    /// Print the plan without playing it
    #[arg(long)]
    plan: bool,
}

/// Measurements that run instead of a case.
#[derive(Subcommand)]
enum Measurement {
    /// Measure how costs grow with the size of the fleet, with slopes and predictions
    Scale(Sizes),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match &arguments.measurement {
        Some(Measurement::Scale(sizes)) => measure_scale(sizes),
        None => play(&arguments),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("eideryard-fleet-test: {message}");
            ExitCode::from(2)
        }
    }
}

/// Finds the gateway program beside this one. Under cargo the program is built first, because
/// cargo builds only the fleet test and an outdated program may lie beside it.
fn build_program() -> Result<PathBuf, String> {
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
            return Err(
                "cargo build failed, see its messages above; or give a program with --program"
                    .into(),
            );
        }
    }
    run::program().map_err(|e| {
        format!("{e}; build it with 'cargo build --release', or give a program with --program")
    })
}

fn measure_scale(sizes: &Sizes) -> Result<bool, String> {
    let machine =
        Machine::read_limits().map_err(|e| format!("can't read the limits of the machine: {e}"))?;
    sizes.check(machine).map_err(|e| e.to_string())?;
    let program = match &sizes.program {
        _ if sizes.real == 0 => None,
        Some(program) => Some(program.clone()),
        None => Some(build_program()?),
    };
    let mut print_prediction = |name: &str, axis, at: f64, value: f64| {
        println!(
            "prediction before the measurement: {name} by {axis:?} at {at}: {}",
            report::short(value)
        );
    };
    let outcome = Run::new(sizes, program.as_deref(), &mut print_prediction)
        .play()
        .map_err(|e| e.to_string())?;
    for line in report::lines(&outcome).iter() {
        println!("{line}");
    }
    println!("\n{}", report::table(&outcome));
    if let Some(directory) = &sizes.plots {
        let files = plots::draw(&outcome, directory)
            .map_err(|e| format!("{}: {e}", directory.display()))?;
        println!("plots written: {}", files.join(", "));
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
            let plan = Plan::from_text(&text);
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
        (None, None) => return Err("expected a case or --scenario FILE".into()),
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
        None => build_program()?,
    };
    let temporary = tempfile::tempdir().map_err(|e| e.to_string())?;
    let directory = arguments.keep.as_deref().unwrap_or(temporary.path());
    let outcome = run_once(&program, &plan, directory)?;
    for (found, story) in &outcome.stories {
        println!(
            "\nbroken: {}: {}: {}",
            found.rule.name(),
            found.subject,
            found.text
        );
        for line in story.iter() {
            println!("  {line}");
        }
    }
    println!();
    for (rule, count) in &outcome.verdict.counts {
        println!("{}: broken {count} times", rule.name());
    }
    let first = outcome.verdict.breaks.first().map(|found| found.rule);
    if let Some(rule) = first.filter(|_| arguments.minimize) {
        let small = minimize_plan(&program, &plan, rule)?;
        println!(
            "\nsmallest plan that still breaks '{}', as a scenario:\n\n{small}",
            rule.name()
        );
    }
    let is_kept = outcome.verdict.is_kept();
    let seed = plan
        .scenario("plan")
        .map_or(arguments.seed, |scenario| scenario.seed);
    let figures: Vec<String> = outcome
        .verdict
        .figures
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let result = if is_kept { "kept" } else { "broken" };
    println!(
        "verdict={result} seed={seed} case={case} {}",
        figures.join(" ")
    );
    Ok(is_kept)
}

fn run_once(program: &Path, plan: &Plan, directory: &Path) -> Result<RunOutcome, String> {
    run::run(program, plan, directory).map_err(|e| e.to_string())
}

fn minimize_plan(program: &Path, plan: &Plan, rule: Rule) -> Result<Plan, String> {
    let mut first_error = None;
    let small = minimize(plan, |fewer| {
        let is_broken = (0..RUNS_PER_REDUCED_PLAN).any(|_| {
            let temporary = tempfile::tempdir().map_err(|e| e.to_string());
            match temporary.and_then(|directory| run_once(program, fewer, directory.path())) {
                Ok(outcome) => outcome.verdict.count(rule) > 0,
                Err(e) => {
                    first_error.get_or_insert(e);
                    false
                }
            }
        });
        eprintln!(
            "{} faults: {}",
            fewer.faults.len(),
            if is_broken { "broken" } else { "kept" }
        );
        is_broken
    });
    first_error.map_or(Ok(small), Err)
}
