//! `eideryard records`: what is in records, and whether it is whole.

use eideryard_event_log::reader::ReadContent;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::text::EntryText;
use eideryard_event_log::{Entry, HostEvent, MergedReader};
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

/// What one start of a gateway told.
#[derive(Default)]
struct Start {
    counted: RunningTally,
    entries: u64,
    gaps: u64,
    missing: u64,
    damaged: bool,
    last_at: u64,
    /// The counters that the gateway ended with.
    own: Option<Vec<(String, u64)>>,
}

impl Start {
    fn take(&mut self, at: u64, what: &ReadContent) {
        let entry = match what {
            ReadContent::Damaged => {
                self.damaged = true;
                return;
            }
            ReadContent::Entry(entry) => entry,
        };
        self.last_at = at;
        self.entries += 1;
        self.counted.add(entry.as_ref());
        match entry {
            Entry::Host(HostEvent::Tally(_)) => self.damaged = false,
            Entry::Host(HostEvent::Gap { entries, .. }) => {
                self.gaps += 1;
                self.missing += entries;
            }
            Entry::Host(HostEvent::Ended { counters }) => self.own = Some(counters.clone()),
            _ => {}
        }
    }

    /// Counters that the gateway and its record give different figures for.
    fn differences(&self) -> Vec<String> {
        let own = self.own.as_deref().unwrap_or_default();
        let told = |name: &str| {
            own.iter()
                .find(|(own, _)| own == name)
                .map(|(_, value)| *value)
        };
        let pairs = self.counted.tally.totals.pairs();
        let differ = pairs.filter_map(|(name, value)| {
            told(name)
                .filter(|own| *own != value)
                .map(|o| (name, value, o))
        });
        differ
            .map(|(name, value, own)| format!("{name}: {value} recorded, {own} counted"))
            .collect()
    }
}

fn read(directories: &[PathBuf]) -> Result<(MergedReader, Vec<Start>), String> {
    let mut merged = MergedReader::open(directories).map_err(|e| e.to_string())?;
    let mut starts: Vec<Start> = merged.sources().iter().map(|_| Start::default()).collect();
    while let Some(told) = merged.next_entry().map_err(|e| e.to_string())? {
        starts[told.source].take(told.at, &told.content);
    }
    Ok((merged, starts))
}

pub fn verify(directories: &[PathBuf]) -> Result<(), String> {
    let (merged, starts) = read(directories)?;
    let mut wrong = 0;
    for (source, start) in merged.sources().iter().zip(&starts) {
        let (entries, bytes, gaps, missing) =
            (start.entries, source.bytes, start.gaps, start.missing);
        println!(
            "{} {:016x}: {entries} entries in {bytes} bytes, {gaps} gaps that left out {missing}",
            source.name, source.epoch
        );
        match &start.own {
            None => println!("  it doesn't end: the gateway runs still, or was killed"),
            Some(_) if start.differences().is_empty() => {
                println!("  it agrees with the gateway's own counters");
            }
            Some(_) => {
                wrong += 1;
                start
                    .differences()
                    .iter()
                    .for_each(|line| println!("  DIFFERS: {line}"));
            }
        }
    }
    let problems: Vec<String> = merged
        .problems()
        .map(|(_, problem)| problem.to_string())
        .collect();
    for problem in problems.iter() {
        println!("skipped: {problem}");
    }
    match wrong + problems.len() {
        0 => Ok(()),
        count => Err(format!("{count} things are wrong with these records")),
    }
}

pub fn tally(directories: &[PathBuf], json: bool) -> Result<(), String> {
    let (merged, starts) = read(directories)?;
    let mut out = BufWriter::new(std::io::stdout().lock());
    for (source, start) in merged.sources().iter().zip(&starts) {
        let tally = &start.counted.tally;
        let line = if json {
            let mut object = Map::new();
            object.insert("name".into(), json!(source.name));
            object.insert("epoch".into(), json!(source.epoch));
            object.extend(
                tally
                    .totals
                    .pairs()
                    .map(|(name, value)| (name.to_string(), json!(value))),
            );
            object.insert("open".into(), json!(tally.open()));
            object.insert("ended".into(), json!(start.own.is_some()));
            object.insert("gaps".into(), json!(start.gaps));
            object.insert("left_out".into(), json!(start.missing));
            object.insert("exact".into(), json!(!start.damaged));
            Value::Object(object).to_string()
        } else {
            let pairs: Vec<String> = tally
                .totals
                .pairs()
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            format!(
                "{} {:016x} {} open={}",
                source.name,
                source.epoch,
                pairs.join(" "),
                tally.open()
            )
        };
        writeln!(out, "{line}").map_err(|e| e.to_string())?;
    }
    out.flush().map_err(|e| e.to_string())
}

pub fn dump(directories: &[PathBuf]) -> Result<(), String> {
    print(directories, |_, _| true)
}

/// The life of the requests that clients named so: from their offers to the ends of their last
/// attempts.
pub fn find(id: &str, directories: &[PathBuf]) -> Result<(), String> {
    let wanted = u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16);
    let wanted = wanted.ok_or_else(|| format!("'{id}' is no id; expected 16 hex digits"))?;
    let mut known = BTreeSet::new();
    print(directories, |source, entry| {
        let offered = match entry {
            Entry::Host(HostEvent::RequestReceived(offer)) => Some(offer),
            Entry::Host(HostEvent::OpenRequest(open)) => Some(&open.client_request),
            _ => None,
        };
        known.extend(
            offered
                .filter(|offer| offer.id == wanted)
                .map(|offer| (source, offer.request)),
        );
        entry
            .request()
            .is_some_and(|request| known.contains(&(source, request)))
    })?;
    if known.is_empty() {
        Err(format!("no record tells of {id}"))
    } else {
        Ok(())
    }
}

fn print(
    directories: &[PathBuf],
    mut wanted: impl FnMut(usize, &Entry) -> bool,
) -> Result<(), String> {
    let mut merged = MergedReader::open(directories).map_err(|e| e.to_string())?;
    let mut out = BufWriter::new(std::io::stdout().lock());
    while let Some(told) = merged.next_entry().map_err(|e| e.to_string())? {
        let name = &merged.sources()[told.source].name;
        let (seconds, micros) = (told.at / 1_000_000, told.at % 1_000_000);
        let written = match &told.content {
            ReadContent::Damaged => {
                writeln!(
                    out,
                    "{seconds}.{micros:06} {name} -- something before this can't be read"
                )
            }
            ReadContent::Entry(entry) if !wanted(told.source, entry) => Ok(()),
            ReadContent::Entry(entry) => {
                writeln!(
                    out,
                    "{seconds}.{micros:06} {name} {}",
                    EntryText(entry.as_ref())
                )
            }
        };
        match written {
            // Whoever read this has seen enough.
            Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => return Ok(()),
            written => written.map_err(|e| e.to_string())?,
        }
    }
    out.flush().map_err(|e| e.to_string())
}
