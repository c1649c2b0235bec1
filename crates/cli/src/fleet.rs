//! `eideryard fleet`: how the gateways of a fleet stand, from their status files and stores.

use std::path::{Path, PathBuf};

use eideryard_replication::compare::{compare, read_replicas, VoterReplicas};
use serde_json::Value;

/// A status file that is older than this is of a gateway that does not run.
const OLD_MS: u64 = 3_000;

fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn read(directory: &Path) -> Result<Value, String> {
    let path = directory.join("STATUS");
    let wrong = |e: &dyn std::fmt::Display| {
        format!(
            "{}: {e}; name the store-dir of a gateway whose file has 'fleet'",
            path.display()
        )
    };
    let text = std::fs::read(&path).map_err(|e| wrong(&e))?;
    serde_json::from_slice(&text).map_err(|e| wrong(&e))
}

fn names(told: &Value, state: &str) -> Vec<String> {
    let peers = told["peers"].as_object().into_iter().flatten();
    peers
        .filter(|(_, own)| own["state"] == state)
        .map(|(name, _)| name.clone())
        .collect()
}

/// One line for each gateway, and what is wrong below it.
#[expect(clippy::too_many_lines, reason = "to be divided by concern")]
pub fn status(directories: &[PathBuf]) -> Result<(), String> {
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
    let mut apart = Vec::new();
    for directory in directories {
        let told = read(directory)?;
        let age = now_ms().saturating_sub(told["at_ms"].as_u64().unwrap_or(0));
        let name = told["name"].as_str().unwrap_or("?");
        let role = match (told["keeper"] == true, told["votes"] == true) {
            (false, _) => "asker",
            (true, true) => "votes",
            (true, false) => "catch-up",
        };
        let majority = if told["majority"] == true {
            "yes"
        } else {
            "NO"
        };
        let seen = if age > OLD_MS {
            format!("{} s ago", age / 1000)
        } else {
            "now".into()
        };
        let count = |name: &str| told[name].as_u64().unwrap_or(0);
        println!(
            "{name:<12} {role:<9} {majority:<9} {seen:<8} {:>7} {:>7} {:>8} {:>8} {:>7} {:>7}",
            count("copies"),
            count("lagging"),
            count("claims"),
            count("earlier"),
            count("without_majority"),
            count("mended")
        );
        for state in ["slow", "silent", "gone"] {
            let names = names(&told, state);
            if !names.is_empty() {
                println!("    {state}: {}", names.join(" "));
            }
        }
        for (peer, why) in told["turned"].as_object().into_iter().flatten() {
            println!(
                "    no link with {peer}: {}",
                why.as_str().unwrap_or_default()
            );
        }
        apart.extend((told["majority"] != true).then(|| name.to_string()));
    }
    if apart.is_empty() {
        Ok(())
    } else {
        Err(format!(
        "no majority of keepers at {}: keyed and unsafe requests are refused there, or sent at a risk",
        apart.join(" ")
    ))
    }
}

/// Who owns what since which term, and what fences turned away.
pub fn owners(directories: &[PathBuf]) -> Result<(), String> {
    let mut told = Vec::new();
    for directory in directories {
        told.push(read(directory)?);
    }
    let name = |own: &Value| own["name"].as_str().unwrap_or("?").to_string();
    println!(
        "{:<12} {:>6} {:>6} {:>6} {:>8} {:>7} {:>10}",
        "gateway", "owns", "won", "lost", "applied", "fenced", "own fenced"
    );
    for own in &told {
        let count = |name: &str| own[name].as_u64().unwrap_or(0);
        println!(
            "{:<12} {:>6} {:>6} {:>6} {:>8} {:>7} {:>10}",
            name(own),
            own["owned"].as_array().map_or(0, Vec::len),
            count("won"),
            count("lost"),
            count("applied"),
            count("fenced"),
            count("own_fenced")
        );
    }
    // Of each task the greatest term that any of them knows, and who held it.
    let mut terms: std::collections::BTreeMap<u64, (u64, u64)> = Default::default();
    for term in told
        .iter()
        .filter_map(|own| own["terms"].as_array())
        .flatten()
    {
        let number = |at: usize| term[at].as_u64().unwrap_or(0);
        let known = terms.entry(number(0)).or_default();
        *known = (number(1), number(2)).max(*known);
    }
    for (task, (term, owner)) in terms {
        let holds = told
            .iter()
            .find(|own| own["owner"].as_str() == Some(&format!("{owner:016x}")));
        let of = holds.map_or_else(|| format!("another ({owner:016x})"), name);
        println!("probe {task:08x}: term {term}, {of}");
    }
    Ok(())
}

/// Which copies differ between keepers, and why.
pub fn copies(directories: &[PathBuf]) -> Result<(), String> {
    let mut keepers: Vec<(String, VoterReplicas)> = Vec::new();
    for directory in directories {
        let told = read(directory)?;
        if told["keeper"] != true {
            continue;
        }
        let found = eideryard_store::inspect(directory)
            .map_err(|e| format!("{}: {e}", directory.display()))?;
        let keys = found
            .keys
            .iter()
            .map(|(key, value)| (&key[..], &value.bytes[..]));
        keepers.push((
            told["name"].as_str().unwrap_or("?").to_string(),
            read_replicas(keys),
        ));
    }
    if keepers.len() < 2 {
        return Err(
            "copies are compared between keepers: name the store-dir of two or more".into(),
        );
    }
    let all: Vec<VoterReplicas> = keepers.iter().map(|(_, held)| held.clone()).collect();
    let comparison = compare(&all, now_ms());
    let differ = &comparison.differences;
    println!(
        "{} keys at {} keepers, {} differ",
        comparison.compared,
        keepers.len(),
        differ.len()
    );
    for own in differ {
        let key: String = own.key.iter().map(|byte| format!("{byte:02x}")).collect();
        for ((name, _), lacks) in keepers.iter().zip(&own.missing) {
            for (origin, had) in lacks {
                let of = format!(
                    "what start {} of {:016x} said",
                    origin.start, origin.identity
                );
                let had = had.map_or("nothing of it".into(), |version| {
                    format!("version {version}")
                });
                println!("{key}: {name} has {had} of {of}, others have more");
            }
        }
    }
    if !differ.is_empty() {
        println!("keepers that run and reach each other mend this by themselves within seconds");
    }
    Ok(())
}
