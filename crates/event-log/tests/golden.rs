//! Guards against changes of the stored format: entries are written byte for byte as an earlier
//! version wrote them, and its segments are read completely.

mod common;

use common::{config, random_entry, START};
use eideryard::interface::{Action, Micros, Phase};
use eideryard_emulators::golden;
use eideryard_event_log::codec::Context;
use eideryard_event_log::disk::Directory;
use eideryard_event_log::*;
use fastrand::Rng;
use std::collections::BTreeSet;

/// Time between two entries in microseconds. A frame then contains about forty entries, so that all
/// frames fit into the buffers.
const STEP: Micros = 5_000;
/// Size in bytes at which the next segment starts.
const MAX_SEGMENT_BYTES: u64 = 9_000;

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

/// Returns entries of the kinds that the random entries of the other tests don't include.
fn fixed_entries() -> Vec<Entry> {
    let open_request = open_request();
    let listed_engine = ListedEngine {
        engine: 17,
        name: "s-17".into(),
        address: "127.0.0.1:7101".into(),
        zone: 1,
        kind: 2,
        phase: Phase::Draining,
        booted_at: START - 5,
    };
    let host_events = vec![
        HostEvent::Engine(listed_engine),
        HostEvent::OpenRequest(open_request),
        HostEvent::OpenRequest(OpenRequest {
            running: None,
            ..open_request
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
    let mut entries: Vec<Entry> = host_events.into_iter().map(Entry::Host).collect();
    entries.push(Entry::Action(Action::Subscribe));
    entries
}

fn entries() -> Vec<(Micros, Entry)> {
    let mut rng = Rng::with_seed(45);
    let random = (0..400)
        .map(|number| START + number * STEP)
        .map(|at| (at, random_entry(&mut rng, at)));
    let mut entries: Vec<(Micros, Entry)> = random.collect();
    for entry in fixed_entries() {
        let at = entries[entries.len() - 1].0 + STEP;
        entries.push((at, entry));
    }
    entries
}

fn write_log(directory: &std::path::Path) {
    let disk = Box::new(Directory(directory.to_path_buf()));
    let mut recorder = Recorder::start(config("g1", MAX_SEGMENT_BYTES), disk).expect("a recorder");
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
fn golden_segments_are_read_completely_and_contain_every_kind() {
    let mut merged = MergedReader::open(&[golden::path("event-log")]).expect("an event log");
    let (mut kinds, mut bytes) = (BTreeSet::new(), Vec::new());
    while let Some(read) = merged.next_entry().expect("readable") {
        let reader::ReadContent::Entry(entry) = read.content else {
            panic!("damaged")
        };
        let kind_position = bytes.len();
        Context::new(read.at).encode(&mut bytes, read.at, entry.as_ref());
        kinds.insert(bytes[kind_position]);
    }
    assert_eq!(merged.problems().count(), 0);
    let all_kinds: BTreeSet<u8> = (1..=13).chain(20..=28).chain(40..=66).collect();
    assert_eq!(kinds, all_kinds);
    golden::check("event-log-entries.bin", &bytes);
}
