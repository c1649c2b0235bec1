//! One run: a plan played with real processes, its history and records held against the rules.

use std::io;
use std::path::{Path, PathBuf};

use eideryard_emulators::scenario::GatewaySpec;

use crate::check::{self, story, Break, Facts, History, Recorded, Rule, Subject, Verdict};
use crate::directories;
use crate::plan::Plan;
use crate::processes::{Ending, Programs};
use crate::voters::{self, VoterGroup};
use crate::world::{self, RECORD};

/// Stories that are told of one run.
const MAX_STORIES: usize = 3;

/// Why a run has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The plan is no scenario.
    #[error("the plan can't be read: {0}")]
    Plan(String),
    /// A process, a file or a socket failed.
    #[error("the run can't be played: {0}")]
    Io(#[from] io::Error),
}

/// What came of a run.
pub struct RunOutcome {
    /// The verdict.
    pub verdict: Verdict,
    /// Of the first breaks, each with its shortest history.
    pub stories: Vec<(Break, Vec<String>)>,
    /// How each start of a gateway ended.
    pub endings: Vec<Ending>,
}

/// What a gateway counted itself: all that it took has an end.
fn counted(endings: &[Ending], verdict: &mut Verdict) {
    for ending in endings {
        let Some(counters) = &ending.counters else {
            continue;
        };
        let of = |name: &str| counters.get(name).copied().unwrap_or(0);
        let ends = [
            "served",
            "refused",
            "failed",
            "invalid",
            "forgotten",
            "lost",
        ];
        let ended: u64 = ends.iter().map(|name| of(name)).sum();
        if of("taken") != ended {
            let text = format!("{} took {} and ended {ended}", ending.name, of("taken"));
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

/// Holds the replicas of each group of keepers against each other, where there are any.
fn compare(
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

fn compare_group(directory: &Path, group: &VoterGroup, verdict: &mut Verdict) -> io::Result<()> {
    let (mut replicas, mut last) = (Vec::new(), 0);
    for name in &group.members {
        let Some(status) = directories::status(directory, name) else {
            continue;
        };
        last = last.max(status["at_ms"].as_u64().unwrap_or(0));
        let store = directories::of(directory, name).join(directories::STORE);
        let found =
            eideryard_store::inspect(&store).map_err(|e| io::Error::other(e.to_string()))?;
        let keys = found
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

/// Plays a plan in a directory, which keeps all that the gateways leave behind.
pub fn run(program: &Path, plan: &Plan, directory: &Path) -> Result<RunOutcome, RunError> {
    let scenario = plan.scenario("plan").map_err(RunError::Plan)?;
    let facts = Facts::from_scenario(&scenario);
    let specs = scenario.gateways.clone();
    let gateways: Vec<String> = specs.iter().map(|own| own.name.clone()).collect();
    std::fs::create_dir_all(directory)?;
    let programs = Programs {
        program: program.to_path_buf(),
        directory: directory.to_path_buf(),
        ..Programs::default()
    };
    let mut played = world::play_linked(scenario, programs)?;
    let events = played.ledger.history.take().unwrap_or_default();
    if played.ledger.left_out > 0 {
        let what = format!(
            "{} events found no room in the history",
            played.ledger.left_out
        );
        return Err(RunError::Io(io::Error::other(what)));
    }
    let read_requests =
        |name: &String| check::read_requests(&directories::of(directory, name).join(RECORD));
    let records: Vec<Recorded> = gateways.iter().flat_map(read_requests).collect();
    let mut verdict = check::check(&facts, &events, &records, &played.crashed);
    counted(&played.endings, &mut verdict);
    compare(directory, &specs, played.agreed, &mut verdict)?;
    let work = |name: &String| {
        check::owners::read_owner_work(&directories::of(directory, name).join(RECORD))
    };
    check::owners::check(
        &gateways.iter().flat_map(work).collect::<Vec<_>>(),
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

/// The program that is tried: built beside this one, as a call of `cargo run` has it.
pub fn program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut directory = own.parent();
    // Tests and examples lie a folder deeper.
    while let Some(at) = directory {
        let program = at.join("eideryard");
        if program.is_file() {
            return Ok(program);
        }
        directory = at
            .parent()
            .filter(|_| at.ends_with("deps") || at.ends_with("examples"));
    }
    Err(io::Error::new(
        io::ErrorKind::NotFound,
        "no program 'eideryard' is built beside this one",
    ))
}

#[cfg(test)]
mod tests;
