//! `eideryard store`: checks, prints and compacts a gateway's store.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use eideryard_intent_log::{entry, Intent, Location};
use eideryard_store::recovery::Recovered;
use eideryard_store::{Config, Directory, RecoveryStatus, Store};

use crate::error::{CliError, StoreProblem};
use crate::fleet::hex;

/// Budget in bytes for a store that an operator compacts: larger than any store, so that it never
/// limits the rewriting.
const ANY_BUDGET: u64 = 1 << 44;

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn error(directory: &Path, problem: impl Into<StoreProblem>) -> CliError {
    CliError::Store {
        directory: directory.to_path_buf(),
        problem: problem.into(),
    }
}

fn read(directory: &Path) -> Result<Recovered, CliError> {
    if !directory.is_dir() {
        return Err(error(directory, StoreProblem::NoDirectory));
    }
    eideryard_store::inspect(directory).map_err(|problem| error(directory, problem))
}

/// Prints whether a store is complete, without changing it.
///
/// # Errors
///
/// The store can't be read, or is damaged.
pub fn check(directory: &Path) -> Result<(), CliError> {
    let recovered = read(directory)?;
    let Some(newest) = recovered.newest_header else {
        println!("the directory contains no store: a gateway would start with a new identity");
        return Ok(());
    };
    let age = now_ms().saturating_sub(newest.at_ms) as f64 / 1e3;
    println!(
        "start {}, newest segment created {age:.1} s ago; {} keys, {} batches",
        newest.start_number,
        recovered.keys.len(),
        recovered.last_batch
    );
    if recovered.torn_bytes > 0 {
        println!(
            "{} bytes at the end are an unfinished write, which was never reported as durable",
            recovered.torn_bytes
        );
    }
    if let Some(damage) = recovered.damage {
        return Err(CliError::DamagedStore {
            segment: damage.segment,
            offset: damage.offset,
        });
    }
    println!("whole");
    Ok(())
}

/// Formats an intent for `eideryard store dump`. Scripts read the names in this text.
fn intent_text(intent: &Intent) -> String {
    let Intent {
        since,
        location: Location { zone, cell },
        in_flight,
        may_have_run,
        until,
    } = intent;
    format!(
        "Intent {{ since: {since}, place: Place {{ zone: {zone}, cell: {cell} }}, out: {in_flight}, ran: {may_have_run}, \
         until: {until} }}"
    )
}

/// Prints every key of a store.
///
/// # Errors
///
/// The store can't be read.
pub fn dump(directory: &Path) -> Result<(), CliError> {
    for (key, value) in &read(directory)?.keys {
        let is_intent = key.starts_with(entry::prefix());
        match entry::from_bytes(&value.bytes).filter(|_| is_intent) {
            Some(intent) => println!("{} {}", hex(key), intent_text(&intent)),
            None => println!(
                "{} {} bytes until {}",
                hex(key),
                value.bytes.len(),
                value.until_ms
            ),
        }
    }
    Ok(())
}

/// Describes how complete a store is. Scripts read the names in this text.
fn status_text(status: &RecoveryStatus) -> String {
    match status {
        RecoveryStatus::New => "New".into(),
        RecoveryStatus::Whole => "Whole".into(),
        RecoveryStatus::Copy => "Copy".into(),
        RecoveryStatus::Damaged { segment, at } => {
            format!("Damaged {{ segment: {segment:?}, at: {at} }}")
        }
    }
}

/// Compacts a store that no gateway has open.
///
/// # Errors
///
/// There is no store, or it can't be opened or rewritten.
pub fn compact(directory: &Path) -> Result<(), CliError> {
    if read(directory)?.newest_header.is_none() {
        return Err(error(directory, StoreProblem::NoStore));
    }
    let files = Box::new(Directory::new(directory));
    let config = Config { budget: ANY_BUDGET };
    let (mut store, recovered) = Store::open(files, config, now_ms(), now_ms())
        .map_err(|problem| error(directory, problem))?;
    if !matches!(recovered.status, RecoveryStatus::Whole) {
        println!(
            "the store was not whole ({}): a gateway that opens it starts with a new identity",
            status_text(&recovered.status)
        );
    }
    let before = store.bytes();
    store
        .rebuild(now_ms())
        .map_err(|problem| error(directory, problem))?;
    println!(
        "{} keys; compacted from {before} to {} bytes",
        store.len(),
        store.bytes()
    );
    Ok(())
}
