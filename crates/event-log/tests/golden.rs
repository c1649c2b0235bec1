//! Segments that an earlier version wrote are written byte for byte the same, and read whole.

mod common;

use common::{config, entry, START};
use eideryard::interface::{Action, Micros, Phase};
use eideryard_emulators::golden;
use eideryard_event_log::codec::Context;
use eideryard_event_log::disk::Directory;
use eideryard_event_log::*;
use fastrand::Rng;
use std::collections::BTreeSet;

/// Times between two entries, in microseconds: a frame holds about forty, so that all frames fit
/// the buffers.
const STEP: Micros = 5_000;
/// Bytes after which the next segment begins.
const SEGMENT: u64 = 9_000;

fn open_request() -> OpenRequest {
    OpenRequest {
        client_request: ClientRequest {
            request: 9 << 32 | 7,
            id: 0xfeed,
            connection: 3 << 32 | 1,
        },
        class: 1,
        tenant: 2,
        arrived_at: START + 1,
        deadline: START + 900_000,
        attempts: 2,
        running: Some(RunningAttempt {
            engine: 17,
            sent_at: START + 3,
        }),
    }
}

/// What the random entries of the other tests leave out.
fn more_entries() -> Vec<Entry> {
    let open = open_request();
    let listed = ListedEngine {
        engine: 17,
        name: "s-17".into(),
        address: "127.0.0.1:7101".into(),
        zone: 1,
        kind: 2,
        phase: Phase::Draining,
        booted_at: START - 5,
    };
    let hosts = vec![
        HostEvent::Engine(listed),
        HostEvent::OpenRequest(open),
        HostEvent::OpenRequest(OpenRequest {
            running: None,
            ..open
        }),
        HostEvent::DiscoveryLink { is_up: true },
        HostEvent::DiscoveryLink { is_up: false },
        HostEvent::ConfigReloaded { succeeded: true },
        HostEvent::Stopping,
        HostEvent::Heartbeat,
        HostEvent::Ended {
            counters: vec![("taken".into(), 12), ("served".into(), 11)],
        },
        HostEvent::Gap {
            from: START,
            to: START + 9,
            entries: 3,
            counted: Box::new(Tally::with_groups(4, 3)),
        },
        HostEvent::Fleet(FleetEvent::PeerRejected {
            name: "g2".into(),
            reason: "another fleet".into(),
        }),
        HostEvent::Fleet(FleetEvent::WorkReceived {
            task: 17,
            term: 5,
            owner: 7,
            is_accepted: false,
        }),
    ];
    let mut entries: Vec<Entry> = hosts.into_iter().map(Entry::Host).collect();
    entries.push(Entry::Action(Action::Subscribe));
    entries
}

fn entries() -> Vec<(Micros, Entry)> {
    let mut rng = Rng::with_seed(45);
    let random = (0..400)
        .map(|number| START + number * STEP)
        .map(|at| (at, entry(&mut rng, at)));
    let mut entries: Vec<(Micros, Entry)> = random.collect();
    for entry in more_entries() {
        let at = entries[entries.len() - 1].0 + STEP;
        entries.push((at, entry));
    }
    entries
}

fn write_log(directory: &std::path::Path) {
    let disk = Box::new(Directory(directory.to_path_buf()));
    let mut recorder = Recorder::start(config("g1", SEGMENT), disk).expect("a recorder");
    for (at, entry) in entries() {
        common::start_segment_if_needed(&mut recorder, at);
        recorder.record(at, entry.as_ref());
        recorder.flush(at);
    }
}

#[test]
fn segments_are_written_byte_for_byte_as_before() {
    let directory = tempfile::tempdir().expect("a directory");
    write_log(directory.path());
    let mut names: Vec<String> = std::fs::read_dir(directory.path())
        .expect("a directory")
        .map(|file| {
            file.expect("a file")
                .file_name()
                .into_string()
                .expect("a name")
        })
        .collect();
    names.sort();
    assert_eq!(names.len(), 2, "{names:?}");
    for name in names {
        let bytes = std::fs::read(directory.path().join(&name)).expect("a segment");
        golden::check(&format!("event-log/{name}"), &bytes);
    }
}

#[test]
fn golden_segments_are_read_whole_and_hold_every_kind() {
    let mut merged = MergedReader::open(&[golden::path("event-log")]).expect("a record");
    let (mut kinds, mut bytes) = (BTreeSet::new(), Vec::new());
    while let Some(told) = merged.next_entry().expect("readable") {
        let reader::ReadContent::Entry(entry) = told.content else {
            panic!("damaged")
        };
        let begin = bytes.len();
        Context::new(told.at).encode(&mut bytes, told.at, entry.as_ref());
        kinds.insert(bytes[begin]);
    }
    assert_eq!(merged.problems().count(), 0);
    let every: BTreeSet<u8> = (1..=13).chain(20..=28).chain(40..=66).collect();
    assert_eq!(kinds, every);
    golden::check("event-log-entries.bin", &bytes);
}
