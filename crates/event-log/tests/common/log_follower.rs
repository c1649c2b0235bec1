//! Follows a log while it is written, so that a test doesn't depend on how soon the writer thread
//! runs.

use std::path::Path;
use std::time::{Duration, Instant};

use eideryard::interface::Micros;
use eideryard_event_log::tally::RunningTally;
use eideryard_event_log::*;
use fastrand::Rng;

use super::{random_entry, start_segment_if_needed, START};

/// How long a test waits for the writer before it fails.
const WRITER_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Age in microseconds at which the recorder sends a buffer to the writer.
const MAX_BATCH_AGE: Micros = 200_000;
/// Most entries at intervals of a millisecond that the recorder keeps in the buffer in use.
const MAX_UNSENT_ENTRIES: u64 = MAX_BATCH_AGE / 1000 + 1;
/// Entries between two waits for the writer. They and the segments they start need fewer buffers
/// than the recorder has.
const ENTRIES_BETWEEN_WAITS: u64 = 2000;

/// Counts the entries of one run of a gateway while they are written.
pub struct LogFollower {
    merged: MergedReader,
    epoch: Micros,
    counted: RunningTally,
}

impl LogFollower {
    pub fn new(directory: &Path, epoch: Micros) -> Self {
        LogFollower {
            merged: MergedReader::follow(&[directory.to_path_buf()]).unwrap(),
            epoch,
            counted: RunningTally::default(),
        }
    }

    /// Waits until the log contains all entries that were recorded, or states that they are
    /// missing, except the last `max_unwritten`.
    pub fn wait_for_writer(&mut self, recorder: &Recorder, max_unwritten: u64) {
        let recorded = recorder.tally().entries;
        let until = Instant::now() + WRITER_TIMEOUT;
        while self.read_further().entries + max_unwritten < recorded {
            self.sleep(until, recorded);
        }
    }

    /// Sends the buffer in use to the writer and waits until the log has the recorder's totals.
    /// Like a gateway, starts a segment when the recorder asks for one, which states the entries
    /// that were dropped before.
    pub fn catch_up(&mut self, recorder: &mut Recorder, at: Micros) {
        let until = Instant::now() + WRITER_TIMEOUT;
        loop {
            start_segment_if_needed(recorder, at);
            recorder.flush(at + MAX_BATCH_AGE);
            if self.read_further() == recorder.tally() {
                return;
            }
            self.sleep(until, recorder.tally().entries);
        }
    }

    fn read_further(&mut self) -> &Tally {
        while let Some(read) = self.merged.next_entry().unwrap() {
            let is_followed = self.merged.sources()[read.source].epoch == self.epoch;
            if let (true, reader::ReadContent::Entry(entry)) = (is_followed, read.content) {
                self.counted.add(entry.as_ref());
            }
        }
        &self.counted.tally
    }

    fn sleep(&self, until: Instant, recorded: u64) {
        assert!(
            Instant::now() < until,
            "the writer has not caught up within {WRITER_TIMEOUT:?}: the log accounts for {} of \
             {recorded} entries",
            self.counted.tally.entries
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Records the same entries as `record_random_entries`, but never more ahead of the writer than the
/// buffers have room for, so that none are dropped: entries that are dropped at the end of a log
/// are missing from it, because only the next segment states them. When this returns, only the
/// buffer in use and at most one more are left to be written.
pub fn record_in_step_with_writer(
    recorder: &mut Recorder,
    follower: &mut LogFollower,
    seed: u64,
    count: u64,
) -> Tally {
    let mut rng = Rng::with_seed(seed);
    for number in 0..count {
        let at = START + number * 1000;
        start_segment_if_needed(recorder, at);
        recorder.record(at, random_entry(&mut rng, at).as_ref());
        recorder.flush(at);
        if (number + 1) % ENTRIES_BETWEEN_WAITS == 0 || number + 1 == count {
            follower.wait_for_writer(recorder, MAX_UNSENT_ENTRIES);
        }
    }
    recorder.tally().clone()
}
