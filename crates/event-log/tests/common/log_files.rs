//! Writes and reads whole logs.

use std::path::Path;

use eideryard::interface::Micros;
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::*;
use fastrand::Rng;

use super::{random_entry, START};

pub fn config(name: &str, max_segment_bytes: u64) -> Config {
    Config {
        name: name.into(),
        epoch: START,
        max_total_bytes: 64 << 20,
        max_segment_bytes,
        max_segment_age: 600_000_000,
        retry_delay: std::time::Duration::from_millis(20),
        class_count: 4,
        tenant_count: 3,
    }
}

/// Starts a segment and records a small state if the recorder needs one, as a gateway does.
pub fn start_segment_if_needed(recorder: &mut Recorder, at: Micros) {
    if recorder.needs_segment(at) && recorder.start_segment(at) {
        recorder.record_state(
            at,
            &HostEvent::Names(Names {
                classes: vec!["report".into()],
                ..Names::default()
            }),
        );
        recorder.record_state(
            at,
            &HostEvent::Connected {
                connection: 1 << 32,
                address: [127, 0, 0, 1].into(),
            },
        );
        recorder.finish_state(at);
    }
}

/// Records `count` random entries at intervals of a millisecond and returns the totals.
pub fn record_random_entries(recorder: &mut Recorder, seed: u64, count: u64) -> Tally {
    let mut rng = Rng::with_seed(seed);
    for number in 0..count {
        let at = START + number * 1000;
        start_segment_if_needed(recorder, at);
        recorder.record(at, random_entry(&mut rng, at).as_ref());
        recorder.flush(at);
    }
    recorder.tally().clone()
}

/// The content of a log: its entries, their totals, and the problems found while reading.
pub struct ReadLog {
    pub entries: Vec<(Micros, Entry)>,
    pub counted: Tally,
    pub gaps: Vec<(u64, Tally)>,
    pub damages: usize,
    pub problems: Vec<Problem>,
    /// The totals before the segment of each gap, counted from the entries alone.
    pub tallies_before_gaps: Vec<Tally>,
}

pub fn read_log(directory: &Path) -> Result<ReadLog, reader::ReadError> {
    let mut merged = MergedReader::open(&[directory.to_path_buf()])?;
    let mut counted = RunningTally::default();
    let (mut entries, mut gaps, mut damages, mut tallies_before_gaps) =
        (Vec::new(), Vec::new(), 0, Vec::new());
    let mut tally_before_segment = Tally::default();
    while let Some(read) = merged.next_entry()? {
        match read.content {
            reader::ReadContent::Damaged => damages += 1,
            reader::ReadContent::Entry(entry) => {
                if matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. })) {
                    tally_before_segment = counted.tally.clone();
                }
                counted.add(entry.as_ref());
                if let EntryRef::Host(HostEvent::Gap {
                    entries, counted, ..
                }) = entry.as_ref()
                {
                    gaps.push((*entries, (**counted).clone()));
                    tallies_before_gaps.push(tally_before_segment.clone());
                }
                entries.push((read.at, entry));
            }
        }
    }
    let problems = merged
        .problems()
        .map(|(_, problem)| problem.clone())
        .collect();
    Ok(ReadLog {
        entries,
        counted: counted.tally,
        gaps,
        damages,
        problems,
        tallies_before_gaps,
    })
}
