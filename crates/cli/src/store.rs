//! `eideryard store`: what a gateway's store holds, said without changing it, and its rewriting.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use eideryard_intent_log::{entry, Intent, Place};
use eideryard_store::recovery::Recovered;
use eideryard_store::{Config, Directory, RecoveryStatus, Store};

/// A store that is rewritten by hand may grow as it has to.
const ANY_BUDGET: u64 = 1 << 44;

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn recovered(directory: &Path) -> Result<Recovered, String> {
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", directory.display());
    if !directory.is_dir() {
        return Err(wrong(
            &"no such directory; name the one that store-dir names",
        ));
    }
    eideryard_store::inspect(directory).map_err(|e| wrong(&e))
}

pub fn check(directory: &Path) -> Result<(), String> {
    let found = recovered(directory)?;
    let Some(newest) = found.newest else {
        println!("no store is there: a gateway would begin as a stranger");
        return Ok(());
    };
    let age = now_ms().saturating_sub(newest.at_ms) as f64 / 1e3;
    println!(
        "start {}, last begun {age:.1} s ago; {} keys, {} batches",
        newest.start,
        found.keys.len(),
        found.last
    );
    if found.torn_bytes > 0 {
        println!(
            "{} bytes at the end were never whole: nobody was told that they were durable",
            found.torn_bytes
        );
    }
    match found.damage {
        None => {
            println!("whole");
            Ok(())
        }
        Some(damage) => Err(format!(
            "{} is damaged at byte {}: a gateway takes what lies before it as hints and begins as a \
             stranger; nothing has to be done by hand",
            damage.segment, damage.offset
        )),
    }
}

/// An intent as `eideryard store dump` prints it; the names in it are an interface.
fn intent_text(intent: &Intent) -> String {
    let Intent {
        since,
        place: Place { zone, cell },
        in_flight,
        may_have_run,
        until,
    } = intent;
    format!(
        "Intent {{ since: {since}, place: Place {{ zone: {zone}, cell: {cell} }}, out: {in_flight}, ran: {may_have_run}, \
         until: {until} }}"
    )
}

pub fn dump(directory: &Path) -> Result<(), String> {
    for (key, value) in &recovered(directory)?.keys {
        let name: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
        match entry::from_bytes(&value.bytes).filter(|_| key.starts_with(entry::prefix())) {
            Some(intent) => println!("{name} {}", intent_text(&intent)),
            None => println!(
                "{name} {} bytes until {}",
                value.bytes.len(),
                value.until_ms
            ),
        }
    }
    Ok(())
}

pub fn compact(directory: &Path) -> Result<(), String> {
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", directory.display());
    if recovered(directory)?.newest.is_none() {
        return Err(wrong(&"no store is there"));
    }
    let files = Box::new(Directory::new(directory));
    let (mut store, found) = Store::open(files, Config { budget: ANY_BUDGET }, now_ms(), now_ms())
        .map_err(|e| wrong(&e))?;
    if !matches!(found.status, RecoveryStatus::Whole) {
        println!(
            "it was not whole ({:?}): the gateway that starts with it begins as a stranger",
            found.status
        );
    }
    let before = store.bytes();
    store.rebuild(now_ms()).map_err(|e| wrong(&e))?;
    println!(
        "{} keys; {before} bytes are {} now",
        store.len(),
        store.bytes()
    );
    Ok(())
}
