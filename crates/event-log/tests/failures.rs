//! Failures that the event log has to survive: a failing disk, a full queue, and files with cut or
//! flipped bytes.

mod common;

use common::*;
use eideryard_event_log::codec::{Context, Decoder};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::*;
use fastrand::Rng;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

fn start_recorder(directory: &Path, max_segment_bytes: u64) -> Recorder {
    Recorder::start(
        config("g1", max_segment_bytes),
        Box::new(Directory(directory.into())),
    )
    .unwrap()
}

fn segments(directory: &Path) -> Vec<PathBuf> {
    let files = std::fs::read_dir(directory).unwrap();
    let mut files: Vec<PathBuf> = files.map(|file| file.unwrap().path()).collect();
    files.sort();
    files
}

#[test]
fn entries_are_decoded_as_encoded() {
    let mut rng = Rng::with_seed(7);
    let entries: Vec<_> = (0..20_000)
        .map(|n| (START + n * 37, random_entry(&mut rng, START + n * 37)))
        .collect();
    let (mut bytes, mut context) = (Vec::new(), Context::new(START));
    for (at, entry) in entries.iter() {
        context.encode(&mut bytes, *at, entry.as_ref());
    }
    let mut decoder = Decoder::new(&bytes, Context::new(START));
    for (at, entry) in &entries {
        let (decoded_at, decoded) = decoder.next_entry().unwrap().unwrap();
        assert_eq!(
            (*at, format!("{entry:?}")),
            (decoded_at, format!("{decoded:?}"))
        );
    }
    assert!(decoder.next_entry().unwrap().is_none());
}

#[test]
fn all_entries_are_read_back_through_many_segments() {
    let directory = tempfile::tempdir().unwrap();
    let mut recorder = start_recorder(directory.path(), 64 << 10);
    let mut follower = LogFollower::new(directory.path(), START);
    let counted = record_in_step_with_writer(&mut recorder, &mut follower, 3, 50_000);
    drop(recorder);
    assert!(segments(directory.path()).len() > 5);
    let read = read_log(directory.path()).unwrap();
    // If the writer falls behind, gaps state what they lack.
    let missing_entries: u64 = read.gaps.iter().map(|(entries, _)| entries).sum();
    assert_eq!(
        (
            counting_entries(&read) + missing_entries,
            read.problems.len()
        ),
        (50_000, 0)
    );
    assert_eq!(read.counted, counted);
    assert!(
        read.entries.windows(2).all(|pair| pair[0].0 <= pair[1].0),
        "entries are not in order of time"
    );
}

#[test]
fn oldest_segments_are_removed_beyond_the_limit_and_totals_stay() {
    let directory = tempfile::tempdir().unwrap();
    let budget = 512 << 10;
    let config = Config {
        max_total_bytes: budget,
        ..config("g1", 64 << 10)
    };
    let mut recorder =
        Recorder::start(config, Box::new(Directory(directory.path().into()))).unwrap();
    let mut follower = LogFollower::new(directory.path(), START);
    let counted = record_in_step_with_writer(&mut recorder, &mut follower, 3, 100_000);
    drop(recorder);
    let sizes = segments(directory.path())
        .iter()
        .map(|file| file.metadata().unwrap().len())
        .sum::<u64>();
    // The open segment may exceed the segment limit by a buffer.
    assert!(sizes <= budget + (160 << 10), "{sizes}");
    assert_eq!(read_log(directory.path()).unwrap().counted, counted);
}

/// Guards against entries that are lost without a gap entry when a disk call fails, whichever call
/// fails first and however many fail. Recording has to resume.
#[test]
fn failing_disk_loses_entries_and_the_log_states_how_many() {
    for (first, failures) in [
        (0, 1),
        (1, 1),
        (2, 3),
        (3, 1),
        (5, 2),
        (8, 1),
        (12, 4),
        (13, 1),
        (20, 1),
    ] {
        for leaves_partial_writes in [false, true] {
            let directory = tempfile::tempdir().unwrap();
            let disk = FailingDisk::new(directory.path(), first, failures, leaves_partial_writes);
            let until_failure = disk.until_failure.clone();
            let mut recorder = Recorder::start(config("g1", 64 << 10), Box::new(disk)).unwrap();
            let mut follower = LogFollower::new(directory.path(), START);
            // Records until the writer's retry delay after a failure is over. On a busy machine the
            // failures may come later.
            let mut rng = Rng::with_seed(first as u64);
            let until = std::time::Instant::now() + std::time::Duration::from_millis(250);
            let mut at = START;
            let failures_until = until + std::time::Duration::from_secs(60);
            while std::time::Instant::now() < until
                || until_failure.load(Ordering::Relaxed) > -failures
            {
                assert!(
                    std::time::Instant::now() < failures_until,
                    "call {first}: the writer has not made all calls that fail"
                );
                record_group(&mut recorder, &mut rng, &mut at, 400);
                std::thread::sleep(std::time::Duration::from_millis(10));
            }
            follower.catch_up(&mut recorder, at);
            // These entries are left for the drop to write, so that the totals don't come from the
            // start of a segment alone.
            at += 1_000_000;
            record_group(&mut recorder, &mut rng, &mut at, 100);
            let counted = recorder.tally().clone();
            drop(recorder);
            let read = read_log(directory.path()).unwrap();
            let case = format!(
                "call {first}, {failures} failures, leaves_partial_writes {leaves_partial_writes}"
            );
            assert_eq!(read.counted, counted, "{case}");
            assert!(!read.gaps.is_empty(), "{case}");
            for ((entries, missing), before) in read.gaps.iter().zip(&read.tallies_before_gaps) {
                assert!(*entries > 0 && missing.entries == *entries, "{case}");
                assert!(before.entries + entries <= counted.entries, "{case}");
            }
            // The entries read and the entries missing add up to all that were recorded.
            let missing_entries: u64 = read.gaps.iter().map(|(entries, _)| entries).sum();
            assert_eq!(
                counting_entries(&read) + missing_entries,
                counted.entries,
                "{case}"
            );
        }
    }
}

/// Records `count` random entries at intervals of a millisecond after `at` and advances `at`.
fn record_group(recorder: &mut Recorder, rng: &mut Rng, at: &mut u64, count: u64) {
    for _ in 0..count {
        *at += 1000;
        start_segment_if_needed(recorder, *at);
        recorder.record(*at, random_entry(rng, *at).as_ref());
        recorder.flush(*at);
    }
}

/// The number of entries of a log that count, which excludes the state of each segment.
fn counting_entries(read: &ReadLog) -> u64 {
    let mut counted = tally::RunningTally::default();
    let mut count = 0;
    for (_, entry) in &read.entries {
        let before = counted.tally.entries;
        counted.add(entry.as_ref());
        if !matches!(entry, Entry::Host(HostEvent::Tally(_))) {
            count += counted.tally.entries - before;
        }
    }
    count
}

#[test]
fn full_queue_leaves_a_gap_without_blocking() {
    struct Slow(Directory);
    struct SlowSegment(Box<dyn disk::Segment>);
    impl disk::Disk for Slow {
        fn list(&mut self) -> std::io::Result<Vec<(String, u64)>> {
            self.0.list()
        }
        fn create(&mut self, name: &str) -> std::io::Result<Box<dyn disk::Segment>> {
            Ok(Box::new(SlowSegment(self.0.create(name)?)))
        }
        fn remove(&mut self, name: &str) -> std::io::Result<()> {
            self.0.remove(name)
        }
    }
    impl disk::Segment for SlowSegment {
        fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
            std::thread::sleep(std::time::Duration::from_millis(2));
            self.0.append(bytes)
        }
        fn truncate(&mut self, length: u64) -> std::io::Result<()> {
            self.0.truncate(length)
        }
    }
    let directory = tempfile::tempdir().unwrap();
    let disk = Slow(Directory(directory.path().into()));
    let mut recorder = Recorder::start(config("g1", 1 << 20), Box::new(disk)).unwrap();
    // Far more entries than the buffers have room for, at once, then some more after the writer has
    // caught up.
    record_random_entries(&mut recorder, 5, 200_000);
    let mut follower = LogFollower::new(directory.path(), START);
    follower.catch_up(&mut recorder, START + 200_000 * 1000);
    let counted = record_in_step_with_writer(&mut recorder, &mut follower, 6, 1000);
    drop(recorder);
    let read = read_log(directory.path()).unwrap();
    assert!(!read.gaps.is_empty());
    let missing_entries: u64 = read.gaps.iter().map(|(entries, _)| entries).sum();
    assert_eq!(
        (
            read.counted.clone(),
            counting_entries(&read) + missing_entries
        ),
        (counted.clone(), counted.entries)
    );
}

/// Guards against a reader that fails, repeats entries or hides damage. For each byte of a small
/// log, reads a copy that ends before this byte and one with a flipped bit in it.
#[test]
fn damage_at_any_byte_is_skipped_and_reported_without_repeating_entries() {
    let directory = tempfile::tempdir().unwrap();
    let mut recorder = start_recorder(directory.path(), 1 << 20);
    record_random_entries(&mut recorder, 11, 150);
    drop(recorder);
    let file = &segments(directory.path())[0];
    let whole = std::fs::read(file).unwrap();
    let undamaged = read_log(directory.path()).unwrap();
    let all: Vec<String> = undamaged
        .entries
        .iter()
        .map(|entry| format!("{entry:?}"))
        .collect();
    let other = tempfile::tempdir().unwrap();
    let copy = other.path().join(file.file_name().unwrap());
    let mut rng = Rng::with_seed(13);
    for at in 0..whole.len() {
        for cut in [true, false] {
            let mut bytes = whole.clone();
            if cut {
                bytes.truncate(at);
            } else {
                bytes[at] ^= 1 << rng.u8(0..8);
            }
            std::fs::write(&copy, &bytes).unwrap();
            let read = match read_log(other.path()) {
                Ok(read) => read,
                Err(e) => panic!("byte {at}, cut {cut}: {e}"),
            };
            // The entries read are a part of the original ones, in the same order.
            let mut remaining = all.iter();
            for entry in &read.entries {
                let entry = format!("{entry:?}");
                assert!(
                    remaining.any(|original| *original == entry),
                    "byte {at}, cut {cut}: {entry} was never recorded, or is read twice"
                );
            }
            // A file that is cut between two frames doesn't show that its end is missing.
            let is_complete = read.entries.len() == all.len();
            assert!(
                is_complete || !read.problems.is_empty() || cut,
                "byte {at}: entries are missing and no problem is reported"
            );
            for problem in &read.problems {
                assert!(
                    problem.from + problem.bytes <= bytes.len() as u64,
                    "{problem}"
                );
            }
        }
    }
}

#[test]
fn each_restart_is_a_separate_source_and_earlier_files_count_towards_the_limit() {
    let directory = tempfile::tempdir().unwrap();
    for start in 0..6u64 {
        let epoch = START + start * 100_000_000;
        let config = Config {
            epoch,
            max_total_bytes: 400 << 10,
            ..config("g1", 64 << 10)
        };
        let mut recorder =
            Recorder::start(config, Box::new(Directory(directory.path().into()))).unwrap();
        let mut follower = LogFollower::new(directory.path(), epoch);
        record_in_step_with_writer(&mut recorder, &mut follower, start, 5000);
    }
    let starts: BTreeSet<u64> = segments(directory.path())
        .iter()
        .filter_map(|path| Some(file_name::parse_file_name(path)?.epoch))
        .collect();
    assert!(
        starts.len() < 6 && starts.contains(&(START + 500_000_000)),
        "the oldest files must be removed and the newest kept: {starts:?}"
    );
    let merged = MergedReader::open(&[directory.path().into()]).unwrap();
    assert_eq!(merged.sources().len(), starts.len());
}

#[test]
fn newer_version_is_an_error_with_a_remedy() {
    let directory = tempfile::tempdir().unwrap();
    record_random_entries(&mut start_recorder(directory.path(), 1 << 20), 1, 10);
    let file = segments(directory.path()).remove(0);
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[8..12].copy_from_slice(&4u32.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&checksum.to_le_bytes());
    std::fs::write(&file, bytes).unwrap();
    let message = read_log(directory.path()).err().unwrap().to_string();
    assert!(
        message.contains("version 4") && message.contains("use the program"),
        "{message}"
    );
}

/// Without heartbeats a reader would see an idle gateway end at its last request. Heartbeats must
/// take only a few bytes.
#[test]
fn idle_gateway_writes_heartbeats() {
    let directory = tempfile::tempdir().unwrap();
    let mut recorder = start_recorder(directory.path(), 64 << 10);
    let mut at = START;
    start_segment_if_needed(&mut recorder, at);
    recorder.flush(at);
    let idle_seconds = 120;
    while at < START + idle_seconds * 1_000_000 {
        // Like the event loop, calls the recorder only when it asks for it.
        at = recorder.next_flush_at().unwrap_or(at);
        start_segment_if_needed(&mut recorder, at);
        recorder.flush(at);
        // Simulated time passes quickly; gives the writer real time to keep up.
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    LogFollower::new(directory.path(), START).wait_for_writer(&recorder, 0);
    drop(recorder);
    let bytes: u64 = segments(directory.path())
        .iter()
        .map(|file| file.metadata().unwrap().len())
        .sum();
    assert!(bytes < idle_seconds * 100, "{bytes} bytes");
    let mut merged = MergedReader::open(&[directory.path().into()]).unwrap();
    let mut last = START;
    while let Some(read) = merged.next_entry().unwrap() {
        assert!(
            read.at - last <= recorder::HEARTBEAT_INTERVAL + 200_000,
            "no entry for {} us",
            read.at - last
        );
        last = read.at;
    }
    assert!(START + idle_seconds * 1_000_000 - last <= recorder::HEARTBEAT_INTERVAL);
}

#[test]
fn growing_log_is_followed_frame_by_frame() {
    let directory = tempfile::tempdir().unwrap();
    let mut recorder = start_recorder(directory.path(), 64 << 10);
    let mut merged = MergedReader::follow(&[directory.path().into()]).unwrap();
    let (mut entry_count, mut rng, mut at) = (0, Rng::with_seed(1), START);
    let mut counted = tally::RunningTally::default();
    for round in 0..40 {
        record_group(&mut recorder, &mut rng, &mut at, 500);
        at += 1_000_000;
        recorder.flush(at);
        // The writer thread may not have written all entries yet, so this waits for them.
        let until = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while counted.tally != *recorder.tally() && std::time::Instant::now() < until {
            while let Some(next) = merged.next_entry().unwrap() {
                let reader::ReadContent::Entry(entry) = next.content else {
                    panic!("damage")
                };
                counted.add(entry.as_ref());
                entry_count += 1;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        assert!(counted.tally == *recorder.tally(), "round {round}");
    }
    assert!(entry_count >= 20_000, "{entry_count}");
    assert_eq!(merged.problems().count(), 0);
}

#[test]
fn segment_whose_header_is_not_written_yet_is_not_damaged() {
    let directory = tempfile::tempdir().unwrap();
    let mut recorder = start_recorder(directory.path(), 64 << 10);
    record_random_entries(&mut recorder, 7, 10);
    drop(recorder);
    let mut paths = std::fs::read_dir(directory.path()).unwrap();
    let path = paths.next().unwrap().unwrap().path();
    let bytes = std::fs::read(&path).unwrap();
    for written in [0, 1, 15] {
        std::fs::write(&path, &bytes[..written]).unwrap();
        let mut reader = MergedReader::follow(&[directory.path().into()]).unwrap();
        assert!(reader.next_entry().unwrap().is_none(), "{written} bytes");
        std::fs::write(&path, &bytes).unwrap();
        let mut entries = 0;
        while let Some(entry) = reader.next_entry().unwrap() {
            assert!(matches!(entry.content, reader::ReadContent::Entry(_)));
            entries += 1;
        }
        assert!(entries >= 10, "{entries}");
        assert_eq!(reader.problems().count(), 0);
    }
}

#[test]
fn reading_from_a_time_starts_at_the_segment_before_it_with_exact_totals() {
    let directory = tempfile::tempdir().unwrap();
    let mut recorder = start_recorder(directory.path(), 64 << 10);
    let mut follower = LogFollower::new(directory.path(), START);
    let counted = record_in_step_with_writer(&mut recorder, &mut follower, 3, 50_000);
    drop(recorder);
    let from = START + 40_000_000;
    let mut merged = MergedReader::open_from(&[directory.path().into()], from).unwrap();
    let mut counted_from_log = tally::RunningTally::default();
    let mut first = None;
    while let Some(read) = merged.next_entry().unwrap() {
        first.get_or_insert(read.at);
        if let reader::ReadContent::Entry(entry) = read.content {
            counted_from_log.add(entry.as_ref());
        }
    }
    let first = first.unwrap();
    assert!(
        first <= from && first > START + 25_000_000,
        "{}",
        first - START
    );
    assert_eq!(counted_from_log.tally, counted);
}

/// Guards against a decoder that panics on invalid data: random bytes, and frames with valid
/// checksums and random payloads.
#[test]
fn random_bytes_are_errors_without_panic() {
    let mut rng = Rng::with_seed(99);
    let directory = tempfile::tempdir().unwrap();
    for round in 0..400 {
        let mut bytes = frame::encode_file_header().to_vec();
        for number in 1..4 {
            let mut payload: Vec<u8> = (0..rng.usize(0..300)).map(|_| rng.u8(0..60)).collect();
            if rng.bool() {
                let (mut valid_entry, mut context) = (Vec::new(), Context::new(START));
                context.encode(
                    &mut valid_entry,
                    START,
                    random_entry(&mut rng, START).as_ref(),
                );
                payload.splice(0..0, valid_entry);
            }
            if rng.u8(0..4) > 0 {
                bytes.extend(frame::encode_frame_header(START, number, START, &payload));
            }
            bytes.extend(payload);
        }
        let path = directory.path().join(file_name::file_name("g1", START, 1));
        std::fs::write(path, &bytes).unwrap();
        read_log(directory.path()).unwrap_or_else(|e| panic!("round {round}: {e}"));
    }
}
