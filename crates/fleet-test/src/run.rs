//! One run: plays a plan with real processes and checks its history and event logs.

use std::io;
use std::path::{Path, PathBuf};

use eideryard_emulators::scenario::GatewaySpec;

use crate::check::{self, story, Break, Facts, History, Recorded, Rule, Subject, Verdict};
use crate::directories;
use crate::plan::Plan;
use crate::processes::{Ending, Programs};
use crate::voters::{self, VoterGroup};
use crate::world::{self, RECORD};

/// Breaks of one run for which a story is written.
const MAX_STORIES: usize = 3;

/// Why a run ended without a verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The plan is not a valid scenario; with the parser's message.
    #[error("the plan is not a valid scenario: {0}")]
    Plan(String),
    /// A gateway didn't start, a file or socket operation failed, or the history grew too long.
    #[error("the run was aborted: {0}")]
    Io(#[from] io::Error),
}

/// The result of a run.
pub struct RunOutcome {
    /// Breaks of rules and figures.
    pub verdict: Verdict,
    /// The first breaks, each with the events that led to it as lines of text.
    pub stories: Vec<(Break, Vec<String>)>,
    /// How each start of a gateway ended, in the order of the ends.
    pub endings: Vec<Ending>,
}

/// Checks the counters of gateways: every request that was received has an end.
fn check_counters(endings: &[Ending], verdict: &mut Verdict) {
    for ending in endings {
        let Some(counters) = &ending.counters else {
            continue;
        };
        let value = |name: &str| counters.get(name).copied().unwrap_or(0);
        let ends = [
            "served",
            "refused",
            "failed",
            "invalid",
            "forgotten",
            "lost",
        ];
        let ended: u64 = ends.iter().map(|name| value(name)).sum();
        if value("taken") != ended {
            let text = format!(
                "{} counted {} received requests and {ended} ends",
                ending.name,
                value("taken")
            );
            let subject = Subject::Gateway(ending.name.as_str().into());
            verdict.add(Break {
                rule: Rule::Conservation,
                subject,
                from: 0,
                to: 0,
                text,
            });
        }
    }
}

/// Compares the replicas within each group of voters.
fn compare_replicas(
    directory: &Path,
    gateways: &[GatewaySpec],
    agreed: Option<u64>,
    verdict: &mut Verdict,
) -> io::Result<()> {
    let groups = voters::groups(gateways);
    for group in &groups {
        compare_group(directory, group, verdict)?;
    }
    if !groups.is_empty() {
        for time in agreed.into_iter() {
            verdict.set_figure("agree_ms", time);
        }
    }
    Ok(())
}

/// Reads the replicas of one group from the store directories, compares them, and adds the
/// replication counters of the status files to the figures.
fn compare_group(directory: &Path, group: &VoterGroup, verdict: &mut Verdict) -> io::Result<()> {
    let (mut replicas, mut last) = (Vec::new(), 0);
    for name in &group.members {
        let Some(status) = directories::status(directory, name) else {
            continue;
        };
        last = last.max(status["at_ms"].as_u64().unwrap_or(0));
        let store = directories::of(directory, name).join(directories::STORE);
        let recovered =
            eideryard_store::inspect(&store).map_err(|e| io::Error::other(e.to_string()))?;
        let keys = recovered
            .keys
            .iter()
            .map(|(key, value)| (&key[..], &value.bytes[..]));
        replicas.push((
            name.clone(),
            eideryard_replication::compare::read_replicas(keys),
        ));
        for figure in ["mended", "caught_up_bytes"] {
            verdict.add_to_figure(figure, status[figure].as_u64().unwrap_or(0));
        }
    }
    if !replicas.is_empty() {
        check::copies::check(&replicas, last, verdict);
    }
    Ok(())
}

/// Plays a plan and checks it against all rules. Configurations, logs and stores of the gateways
/// stay in the directory.
pub fn run(program: &Path, plan: &Plan, directory: &Path) -> Result<RunOutcome, RunError> {
    let scenario = plan.scenario("plan").map_err(RunError::Plan)?;
    let facts = Facts::from_scenario(&scenario);
    let specs = scenario.gateways.clone();
    let gateways: Vec<String> = specs.iter().map(|gateway| gateway.name.clone()).collect();
    std::fs::create_dir_all(directory)?;
    let programs = Programs {
        program: program.to_path_buf(),
        directory: directory.to_path_buf(),
        ..Programs::default()
    };
    let mut played = world::play_linked(scenario, programs)?;
    let events = played.ledger.history.take().unwrap_or_default();
    if played.ledger.events_not_kept > 0 {
        let what = format!(
            "the history is incomplete: {} events exceeded its limit; use a shorter plan",
            played.ledger.events_not_kept
        );
        return Err(RunError::Io(io::Error::other(what)));
    }
    let read_requests =
        |name: &String| check::read_requests(&directories::of(directory, name).join(RECORD));
    let records: Vec<Recorded> = gateways.iter().flat_map(read_requests).collect();
    let mut verdict = check::check(&facts, &events, &records, &played.crashed);
    check_counters(&played.endings, &mut verdict);
    compare_replicas(directory, &specs, played.agreed, &mut verdict)?;
    let read_work = |name: &String| {
        check::owners::read_owner_work(&directories::of(directory, name).join(RECORD))
    };
    check::owners::check(
        &gateways.iter().flat_map(read_work).collect::<Vec<_>>(),
        &mut verdict,
    );
    verdict.set_figure("faults", plan.faults.len() as u64);
    let history = History::new(&events);
    let stories = verdict.breaks.iter().take(MAX_STORIES);
    let stories = stories
        .map(|found| (found.clone(), story::story(&history, &records, found)))
        .collect();
    Ok(RunOutcome {
        verdict,
        stories,
        endings: played.endings,
    })
}

/// Finds the gateway program in the directory of this executable, where cargo builds it.
pub fn program() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let mut directory = executable.parent();
    // Tests and examples are one directory deeper.
    while let Some(candidate) = directory {
        let program = candidate.join("eideryard");
        if program.is_file() {
            return Ok(program);
        }
        directory = candidate
            .parent()
            .filter(|_| candidate.ends_with("deps") || candidate.ends_with("examples"));
    }
    Err(io::Error::new(
        io::ErrorKind::NotFound,
        "no program 'eideryard' in the directory of this executable",
    ))
}

#[cfg(test)]
mod tests;
