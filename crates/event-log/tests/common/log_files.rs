//! Writes and reads whole logs.

use std::path::Path;

use eideryard::interface::Micros;
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::*;
use fastrand::Rng;

use super::{entry, START};

pub fn config(name: &str, segment: u64) -> Config {
    Config {
        name: name.into(),
        epoch: START,
        max_total_bytes: 64 << 20,
        max_segment_bytes: segment,
        max_segment_age: 600_000_000,
        retry_delay: std::time::Duration::from_millis(20),
        class_count: 4,
        tenant_count: 3,
    }
}

/// Begins a segment where one is due, as a gateway does.
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

/// Records so many random entries, a millisecond apart; gives what was counted.
pub fn record_random_entries(recorder: &mut Recorder, seed: u64, count: u64) -> Tally {
    let mut rng = Rng::with_seed(seed);
    for number in 0..count {
        let at = START + number * 1000;
        start_segment_if_needed(recorder, at);
        recorder.record(at, entry(&mut rng, at).as_ref());
        recorder.flush(at);
    }
    recorder.tally().clone()
}

/// What a record tells: its entries, what they count, and what was wrong.
pub struct ReadLog {
    pub entries: Vec<(Micros, Entry)>,
    pub counted: Tally,
    pub gaps: Vec<(u64, Tally)>,
    pub damages: usize,
    pub problems: Vec<Problem>,
    /// The tally before each gap, by folding alone.
    pub before_gaps: Vec<Tally>,
}

pub fn read_log(directory: &Path) -> Result<ReadLog, reader::ReadError> {
    let mut merged = MergedReader::open(&[directory.to_path_buf()])?;
    let mut counted = RunningTally::default();
    let (mut entries, mut gaps, mut damages, mut before_gaps) =
        (Vec::new(), Vec::new(), 0, Vec::new());
    let mut folded = Tally::default();
    while let Some(told) = merged.next_entry()? {
        match told.content {
            reader::ReadContent::Damaged => damages += 1,
            reader::ReadContent::Entry(entry) => {
                if matches!(entry, Entry::Host(HostEvent::SegmentStarted { .. })) {
                    folded = counted.tally.clone();
                }
                counted.add(entry.as_ref());
                if let EntryRef::Host(HostEvent::Gap {
                    entries, counted, ..
                }) = entry.as_ref()
                {
                    gaps.push((*entries, (**counted).clone()));
                    before_gaps.push(folded.clone());
                }
                entries.push((told.at, entry));
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
        before_gaps,
    })
}
