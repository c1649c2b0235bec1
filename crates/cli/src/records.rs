//! `eideryard records`: prints the content of event logs, and checks whether they are complete.

use std::collections::BTreeSet;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;

use eideryard::interface::RequestId;
use eideryard_event_log::reader::{ReadContent, ReadError, Source};
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::text::EntryText;
use eideryard_event_log::{Entry, HostEvent, MergedReader};
use serde_json::{json, Map, Value};

use crate::error::CliError;

/// Number of hexadecimal digits in the id that a client gives to a request.
const ID_DIGITS: usize = 16;

/// Summary of the event log of one start of a gateway.
#[derive(Default)]
struct StartSummary {
    tally: RunningTally,
    entries: u64,
    gaps: u64,
    missing_entries: u64,
    /// Part of the log couldn't be read, and no tally entry followed that restores the totals.
    is_damaged: bool,
    /// The gateway's own counters when it exited; `None` if it was killed or is still running.
    final_counters: Option<Vec<(String, u64)>>,
}

impl StartSummary {
    fn add(&mut self, content: &ReadContent) {
        let entry = match content {
            ReadContent::Damaged => {
                self.is_damaged = true;
                return;
            }
            ReadContent::Entry(entry) => entry,
        };
        self.entries += 1;
        self.tally.add(entry.as_ref());
        match entry {
            Entry::Host(HostEvent::Tally(_)) => self.is_damaged = false,
            Entry::Host(HostEvent::Gap { entries, .. }) => {
                self.gaps += 1;
                self.missing_entries += entries;
            }
            Entry::Host(HostEvent::Ended { counters }) => {
                self.final_counters = Some(counters.clone());
            }
            _ => {}
        }
    }

    /// Returns a line for each counter whose value differs between the gateway and its event log.
    fn differences(&self) -> Vec<String> {
        let counters = self.final_counters.as_deref().unwrap_or_default();
        let mut differences = Vec::new();
        for (name, recorded) in self.tally.tally.totals.pairs() {
            let counter = counters.iter().find(|(counter, _)| counter == name);
            if let Some((_, counted)) = counter.filter(|(_, counted)| *counted != recorded) {
                differences.push(format!("{name}: {recorded} recorded, {counted} counted"));
            }
        }
        differences
    }

    fn to_json(&self, source: &Source) -> Value {
        let tally = &self.tally.tally;
        let mut object = Map::new();
        object.insert("name".into(), json!(source.name));
        object.insert("epoch".into(), json!(source.epoch));
        for (name, value) in tally.totals.pairs() {
            object.insert(name.to_string(), json!(value));
        }
        object.insert("open".into(), json!(tally.open_requests()));
        object.insert("ended".into(), json!(self.final_counters.is_some()));
        object.insert("gaps".into(), json!(self.gaps));
        object.insert("left_out".into(), json!(self.missing_entries));
        object.insert("exact".into(), json!(!self.is_damaged));
        Value::Object(object)
    }

    fn to_line(&self, source: &Source) -> String {
        let tally = &self.tally.tally;
        let pairs = tally.totals.pairs();
        let totals: Vec<String> = pairs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{} {:016x} {} open={}",
            source.name,
            source.epoch,
            totals.join(" "),
            tally.open_requests()
        )
    }
}

/// Reads all event logs and summarizes each start of a gateway.
fn summarize(directories: &[PathBuf]) -> Result<(MergedReader, Vec<StartSummary>), ReadError> {
    let mut reader = MergedReader::open(directories)?;
    let mut starts = Vec::new();
    starts.resize_with(reader.sources().len(), StartSummary::default);
    while let Some(entry) = reader.next_entry()? {
        starts[entry.source].add(&entry.content);
    }
    Ok((reader, starts))
}

/// Prints whether event logs are complete and agree with the gateways' own counters.
///
/// # Errors
///
/// The logs can't be read or are damaged, or their totals differ from the counters.
pub fn verify(directories: &[PathBuf]) -> Result<(), CliError> {
    let (reader, starts) = summarize(directories)?;
    let mut problems = 0;
    for (source, start) in reader.sources().iter().zip(&starts) {
        println!(
            "{} {:016x}: {} entries in {} bytes, {} gaps that left out {}",
            source.name,
            source.epoch,
            start.entries,
            source.bytes,
            start.gaps,
            start.missing_entries
        );
        let differences = start.differences();
        if start.final_counters.is_none() {
            println!("  the log has no end: the gateway still runs or was killed");
        } else if differences.is_empty() {
            println!("  the totals agree with the gateway's own counters");
        } else {
            problems += 1;
            for difference in differences {
                println!("  DIFFERS: {difference}");
            }
        }
    }
    for (_, problem) in reader.problems() {
        problems += 1;
        println!("skipped: {problem}");
    }
    if problems > 0 {
        return Err(CliError::DamagedRecords(problems));
    }
    Ok(())
}

/// Prints the totals of each start of a gateway, as a line of text or JSON.
///
/// # Errors
///
/// The logs can't be read, or standard output can't be written.
pub fn tally(directories: &[PathBuf], json: bool) -> Result<(), CliError> {
    let (reader, starts) = summarize(directories)?;
    let mut out = BufWriter::new(io::stdout().lock());
    for (source, start) in reader.sources().iter().zip(&starts) {
        if json {
            writeln!(out, "{}", start.to_json(source))?;
        } else {
            writeln!(out, "{}", start.to_line(source))?;
        }
    }
    out.flush()?;
    Ok(())
}

/// Prints every entry.
///
/// # Errors
///
/// The logs can't be read, or standard output can't be written.
pub fn dump(directories: &[PathBuf]) -> Result<(), CliError> {
    print(directories, |_, _| true)
}

/// Prints the entries about all requests to which clients gave the id `id`, from the arrival of
/// each request to the end of its last attempt.
///
/// # Errors
///
/// The id is malformed or unknown, the logs can't be read, or standard output can't be written.
pub fn find(id: &str, directories: &[PathBuf]) -> Result<(), CliError> {
    let wanted_id = match u64::from_str_radix(id, 16) {
        Ok(wanted_id) if id.len() == ID_DIGITS => wanted_id,
        _ => return Err(CliError::MalformedId(id.to_string())),
    };
    let mut found: BTreeSet<(usize, RequestId)> = BTreeSet::new();
    print(directories, |source, entry| {
        let client_request = match entry {
            Entry::Host(HostEvent::RequestReceived(client_request)) => Some(client_request),
            Entry::Host(HostEvent::OpenRequest(open)) => Some(&open.client_request),
            _ => None,
        };
        if let Some(client_request) = client_request.filter(|request| request.id == wanted_id) {
            found.insert((source, client_request.request));
        }
        let request = entry.request();
        request.is_some_and(|request| found.contains(&(source, request)))
    })?;
    if found.is_empty() {
        return Err(CliError::UnknownId(id.to_string()));
    }
    Ok(())
}

/// Prints the entries for which `is_wanted` is true. Its arguments are the index of the entry's
/// source and the entry.
fn print(
    directories: &[PathBuf],
    mut is_wanted: impl FnMut(usize, &Entry) -> bool,
) -> Result<(), CliError> {
    let mut reader = MergedReader::open(directories)?;
    let mut out = BufWriter::new(io::stdout().lock());
    while let Some(entry) = reader.next_entry()? {
        let name = &reader.sources()[entry.source].name;
        let (seconds, micros) = (entry.at / 1_000_000, entry.at % 1_000_000);
        let written = match &entry.content {
            ReadContent::Damaged => writeln!(
                out,
                "{seconds}.{micros:06} {name} -- something before this can't be read"
            ),
            ReadContent::Entry(content) if !is_wanted(entry.source, content) => Ok(()),
            ReadContent::Entry(content) => {
                let text = EntryText(content.as_ref());
                writeln!(out, "{seconds}.{micros:06} {name} {text}")
            }
        };
        match written {
            // The reader of standard output has closed the pipe, which is no error.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            written => written?,
        }
    }
    out.flush()?;
    Ok(())
}
