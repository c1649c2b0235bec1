//! `eideryard fleet`: the state of a fleet's gateways, from their status files and stores.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use eideryard_replication::compare::{compare, read_replicas, VoterReplicas};
use serde_json::Value;

use crate::error::{CliError, StatusFileProblem, StoreProblem};

/// Age of a status file, in milliseconds, above which its gateway is considered not running.
const MAX_STATUS_AGE_MS: u64 = 3_000;
/// Name of the status file in a gateway's store directory.
const STATUS_FILE: &str = "STATUS";
/// Faulty states of peers, as the status file names them. Peers in these states are printed.
const REPORTED_STATES: [&str; 3] = ["slow", "silent", "gone"];

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// The JSON object of a gateway's status file.
struct Status(Value);

impl Status {
    fn read(directory: &Path) -> Result<Self, CliError> {
        let path = directory.join(STATUS_FILE);
        let value = std::fs::read(&path)
            .map_err(StatusFileProblem::from)
            .and_then(|text| Ok(serde_json::from_slice(&text)?));
        match value {
            Ok(value) => Ok(Status(value)),
            Err(problem) => Err(CliError::StatusFile { path, problem }),
        }
    }

    fn name(&self) -> &str {
        self.0["name"].as_str().unwrap_or("?")
    }

    fn number(&self, name: &str) -> u64 {
        self.0[name].as_u64().unwrap_or(0)
    }

    fn is_true(&self, name: &str) -> bool {
        self.0[name] == true
    }

    /// Returns the gateway's role, as `fleet status` prints it.
    fn role(&self) -> &'static str {
        match (self.is_true("keeper"), self.is_true("votes")) {
            (false, _) => "asker",
            (true, true) => "votes",
            (true, false) => "catch-up",
        }
    }

    /// Returns the age of the status file, as `fleet status` prints it.
    fn age(&self) -> String {
        let age_ms = now_ms().saturating_sub(self.number("at_ms"));
        if age_ms > MAX_STATUS_AGE_MS {
            format!("{} s ago", age_ms / 1000)
        } else {
            "now".into()
        }
    }

    /// Returns the names of the peers in the given state.
    fn peers_in(&self, state: &str) -> Vec<&str> {
        let peers = self.0["peers"].as_object().into_iter().flatten();
        let peers = peers.filter(|(_, peer)| peer["state"] == state);
        peers.map(|(name, _)| name.as_str()).collect()
    }

    fn print(&self) {
        println!(
            "{:<12} {:<9} {:<9} {:<8} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7}",
            self.name(),
            self.role(),
            if self.is_true("majority") {
                "yes"
            } else {
                "NO"
            },
            self.age(),
            self.number("copies"),
            self.number("lagging"),
            self.number("claims"),
            self.number("earlier"),
            self.number("without_majority"),
            self.number("mended")
        );
        for state in REPORTED_STATES {
            let names = self.peers_in(state);
            if !names.is_empty() {
                println!("    {state}: {}", names.join(" "));
            }
        }
        for (peer, reason) in self.0["turned"].as_object().into_iter().flatten() {
            let reason = reason.as_str().unwrap_or_default();
            println!("    no link with {peer}: {reason}");
        }
    }
}

/// Prints a line for each gateway, followed by its faulty peers and rejected links.
///
/// # Errors
///
/// A status file can't be read, or a gateway reaches no majority.
pub fn status(directories: &[PathBuf]) -> Result<(), CliError> {
    println!(
        "{:<12} {:<9} {:<9} {:<8} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7}",
        "gateway",
        "as",
        "majority",
        "seen",
        "copies",
        "lagging",
        "claims",
        "earlier",
        "refused",
        "mended"
    );
    let mut without_majority = Vec::new();
    for directory in directories {
        let status = Status::read(directory)?;
        status.print();
        if !status.is_true("majority") {
            without_majority.push(status.name().to_string());
        }
    }
    if without_majority.is_empty() {
        Ok(())
    } else {
        Err(CliError::NoMajority(without_majority.join(" ")))
    }
}

/// Prints the lease counters of each gateway, then the owner and the term of each task.
///
/// # Errors
///
/// A status file can't be read.
pub fn owners(directories: &[PathBuf]) -> Result<(), CliError> {
    let mut statuses = Vec::new();
    for directory in directories {
        statuses.push(Status::read(directory)?);
    }
    println!(
        "{:<12} {:>6} {:>6} {:>6} {:>8} {:>7} {:>10}",
        "gateway", "owns", "won", "lost", "applied", "fenced", "own fenced"
    );
    for status in &statuses {
        println!(
            "{:<12} {:>6} {:>6} {:>6} {:>8} {:>7} {:>10}",
            status.name(),
            status.0["owned"].as_array().map_or(0, Vec::len),
            status.number("won"),
            status.number("lost"),
            status.number("applied"),
            status.number("fenced"),
            status.number("own_fenced")
        );
    }
    for (task, (term, owner)) in greatest_terms(&statuses) {
        let holder = format!("{owner:016x}");
        let status = statuses
            .iter()
            .find(|status| status.0["owner"].as_str() == Some(&holder));
        let name = match status {
            Some(status) => status.name().to_string(),
            None => format!("a gateway that was not named ({holder})"),
        };
        println!("probe {task:08x}: term {term}, {name}");
    }
    Ok(())
}

/// Returns, for each task, the highest term that any gateway knows, and the owner in that term.
fn greatest_terms(statuses: &[Status]) -> BTreeMap<u64, (u64, u64)> {
    let mut greatest: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let terms = statuses
        .iter()
        .filter_map(|status| status.0["terms"].as_array());
    for term in terms.flatten() {
        let number = |index: usize| term[index].as_u64().unwrap_or(0);
        let known = greatest.entry(number(0)).or_default();
        *known = (number(1), number(2)).max(*known);
    }
    greatest
}

/// The replicas that a voter's store contains.
struct NamedReplicas {
    name: String,
    replicas: VoterReplicas,
}

/// Prints which replicas differ between voters, and what each voter lacks.
///
/// # Errors
///
/// A status file or store can't be read, or fewer than two voters are named.
pub fn copies(directories: &[PathBuf]) -> Result<(), CliError> {
    let mut voters = Vec::new();
    for directory in directories {
        let status = Status::read(directory)?;
        if status.is_true("keeper") {
            let name = status.name().to_string();
            let replicas = read_voter(directory)?;
            voters.push(NamedReplicas { name, replicas });
        }
    }
    if voters.len() < 2 {
        return Err(CliError::TooFewVoters);
    }
    let replicas: Vec<VoterReplicas> = voters.iter().map(|voter| voter.replicas.clone()).collect();
    let comparison = compare(&replicas, now_ms());
    println!(
        "{} keys at {} keepers, {} differ",
        comparison.compared,
        voters.len(),
        comparison.differences.len()
    );
    for difference in &comparison.differences {
        let key = hex(&difference.key);
        for (voter, missing) in voters.iter().zip(&difference.missing) {
            for (origin, version) in missing {
                let known_version = match version {
                    Some(version) => format!("version {version}"),
                    None => "nothing".into(),
                };
                println!(
                    "{key}: {} has {known_version} from start {} of gateway {:016x}, others have a newer version",
                    voter.name, origin.start, origin.identity
                );
            }
        }
    }
    if !comparison.differences.is_empty() {
        println!(
            "keepers that run and reach each other repair this within seconds; no action is needed"
        );
    }
    Ok(())
}

fn read_voter(directory: &Path) -> Result<VoterReplicas, CliError> {
    let recovered = eideryard_store::inspect(directory).map_err(|error| CliError::Store {
        directory: directory.to_path_buf(),
        problem: StoreProblem::Open(error),
    })?;
    let keys = recovered.keys.iter();
    Ok(read_replicas(
        keys.map(|(key, value)| (&key[..], &value.bytes[..])),
    ))
}

/// Formats bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
