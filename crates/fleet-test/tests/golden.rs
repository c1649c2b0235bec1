//! Golden tests: stored data, frames between gateways and messages of the wire protocols have the
//! bytes that an earlier version wrote.

use std::path::Path;

use eideryard_emulators::golden;
use eideryard_engine_protocol as engine_line;
use eideryard_gateway::links::{classes_fingerprint, PeerMessage};
use eideryard_intent_log::{entry as intents, Intent, Location};
use eideryard_leases::{self as leases, FencingToken, Task};
use eideryard_msgpack_rpc as rpc;
use eideryard_peer_transport::frame::{self, Frame};
use eideryard_peer_transport::Handshake;
use eideryard_replication::drains::Drain;
use eideryard_replication::entry::{
    self as copies, Origin, Phase, Record, ReplicaRecord, ReportedRun, WireRecord,
};
use eideryard_replication::message::{ClaimRejection, Entry, Message};
use eideryard_store::{inspect, Batch, Config, Directory, Store};

const KEY: &str = "00000000000000000000000000000abc";
const AT_MS: u64 = 1_796_147_675_000;
const AT: u64 = AT_MS * 1000;
const LOCATION: Location = Location { zone: 1, cell: 2 };
const ORIGIN: Origin = Origin {
    identity: 0xfeed,
    start: 3,
};
const TASK: Task = Task {
    kind: 1,
    number: 17,
};
const TOKEN: FencingToken = FencingToken {
    term: 5,
    owner: 0xbeef,
};

fn intent(since: u64, in_flight: u32, may_have_run: bool) -> Intent {
    Intent {
        since,
        location: LOCATION,
        in_flight,
        may_have_run,
        until: AT + 17_000_000,
    }
}

fn copy() -> ReplicaRecord {
    let record = |version, phase, location| Record {
        version,
        phase,
        location,
        since: AT + 5,
        until: AT + 9_000_000,
        origin_expiry_ms: AT_MS + 9_000,
    };
    ReplicaRecord::from([
        (ORIGIN, record(1, Phase::InFlight, Some(LOCATION))),
        (
            Origin { start: 4, ..ORIGIN },
            record(2, Phase::NeverRan, None),
        ),
        (
            Origin {
                identity: 7,
                start: 1,
            },
            record(300, Phase::MayHaveRun, Some(LOCATION)),
        ),
    ])
}

/// One entry for every kind of key in the store of a gateway in a fleet.
fn stored() -> Vec<(Vec<u8>, Vec<u8>)> {
    let checkpoint = std::fs::read(golden::path("checkpoint.bin")).expect("the golden checkpoint");
    let copied = copies::stored_key(&intents::stored_key(1, KEY)[1..]);
    let token = postcard::to_stdvec(&TOKEN).expect("a token");
    vec![
        (copied, copies::to_bytes(&copy())),
        (
            intents::stored_key(1, KEY),
            intents::to_bytes(&intent(AT, 1, false)),
        ),
        (
            intents::stored_key(2, "no hex"),
            intents::to_bytes(&intent(0, 0, true)),
        ),
        (b"l".to_vec(), checkpoint),
        (b"t\x01\0\0\0\x11".to_vec(), token),
        (b"v".to_vec(), 0xfeed_u64.to_be_bytes().to_vec()),
    ]
}

fn copy_files(from: &Path, to: &Path) {
    for file in std::fs::read_dir(from).expect("a directory") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), to.join(file.file_name())).expect("a copy");
    }
}

#[test]
fn a_store_is_written_byte_for_byte_as_before() {
    let directory = tempfile::tempdir().expect("a directory");
    let files = Box::new(Directory::new(directory.path()));
    let (mut store, _) =
        Store::open(files, Config { budget: 1 << 24 }, AT_MS, 0xfeed).expect("a store");
    for (key, value) in stored() {
        let mut batch = Batch::default();
        batch.put(key, value, 0);
        store.write(batch).expect("room");
    }
    let mut batch = Batch::default();
    batch.put(b"gone".to_vec(), b"1".to_vec(), AT_MS + 1);
    batch.remove(b"gone".to_vec());
    store.write(batch).expect("room");
    store.flush().expect("a flush");
    let names: Vec<String> = std::fs::read_dir(directory.path())
        .expect("a directory")
        .map(|file| {
            file.expect("a file")
                .file_name()
                .into_string()
                .expect("a name")
        })
        // These files identify the directory and the process, so their content differs in each run.
        .filter(|name| name != "IDENTITY" && name != "LOCK")
        .collect();
    assert_eq!(names.len(), 1, "{names:?}");
    let bytes = std::fs::read(directory.path().join(&names[0])).expect("a segment");
    golden::check(&format!("store/{}", names[0]), &bytes);
}

#[test]
fn a_golden_store_is_recovered_without_loss() {
    let recovered = inspect(&golden::path("store")).expect("a store");
    assert_eq!((recovered.damage, recovered.torn_bytes), (None, 0));
    let found: Vec<(Vec<u8>, Vec<u8>)> = recovered
        .keys
        .iter()
        .map(|(key, value)| (key.to_vec(), value.bytes.to_vec()))
        .collect();
    assert_eq!(found, stored());
    assert_eq!(intents::from_bytes(&found[1].1), Some(intent(AT, 1, false)));
    assert_eq!(copies::from_bytes(&found[0].1), Some(copy()));
    assert_eq!(postcard::from_bytes::<FencingToken>(&found[4].1), Ok(TOKEN));
    let directory = tempfile::tempdir().expect("a directory");
    copy_files(&golden::path("store"), directory.path());
    let files = Box::new(Directory::new(directory.path()));
    let (store, found) = Store::open(files, Config { budget: 1 << 24 }, AT_MS, 1).expect("a store");
    assert_eq!(
        (store.len(), found.start_number, found.torn_bytes),
        (6, 2, 0)
    );
}

fn wire_record() -> WireRecord {
    WireRecord {
        version: 300,
        phase: Phase::MayHaveRun,
        location: Some(LOCATION),
        age: 70_000,
        remaining: 9_000_000,
        origin_expiry_ms: AT_MS,
    }
}

/// Every kind of message between gateways, on replicas and on leases.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn messages() -> Vec<PeerMessage> {
    let (key, origin, record) = (b"key".to_vec(), ORIGIN, wire_record());
    let seen = vec![
        ReportedRun {
            location: Some(LOCATION),
            age: 5,
        },
        ReportedRun {
            location: None,
            age: 0,
        },
    ];
    let records = vec![
        (ORIGIN, record),
        (
            ORIGIN,
            WireRecord {
                phase: Phase::InFlight,
                location: None,
                ..record
            },
        ),
    ];
    let entries = vec![Entry {
        key: key.clone(),
        records,
    }];
    let drain = Drain {
        list_event_number: 9,
        engine: 17,
        booted_at: 3,
        is_removed: true,
    };
    let replicas = vec![
        Message::Claim {
            number: 1,
            key: key.clone(),
            origin,
            record,
        },
        Message::ClaimAccepted {
            number: 1,
            reported_runs: seen,
        },
        Message::ClaimRejected {
            number: 2,
            reason: ClaimRejection::CatchingUp,
        },
        Message::ClaimRejected {
            number: 2,
            reason: ClaimRejection::Full,
        },
        Message::Update {
            key: key.clone(),
            origin,
            record,
        },
        Message::UpdateAcknowledged { key, version: 300 },
        Message::StateRequest {
            number: 4,
            fingerprints: vec![1, u64::MAX],
        },
        Message::StatePart {
            number: 4,
            entries,
            is_last: true,
            is_voting: false,
        },
        Message::RetryLater {
            number: 4,
            delay_ms: 250,
        },
        Message::Drains {
            drains: vec![
                drain,
                Drain {
                    is_removed: false,
                    ..drain
                },
            ],
        },
        Message::Hints {
            checkpoint: vec![1, 2, 3],
            age: 900,
        },
        Message::VoterStatus { is_voting: true },
    ];
    let (task, token, greatest) = (TASK, TOKEN, FencingToken { term: 6, owner: 1 });
    let lease_messages = vec![
        leases::Message::VoteRequest { task, token },
        leases::Message::VoteGranted { task, token },
        leases::Message::VoteDenied {
            task,
            token,
            greatest,
            remaining: 300_000,
        },
        leases::Message::Release { task, token },
        leases::Message::Work {
            task,
            token,
            payload: vec![9, 8],
        },
        leases::Message::StaleToken {
            task,
            token,
            greatest,
        },
        leases::Message::Tokens {
            tokens: vec![(task, token)],
        },
    ];
    replicas
        .into_iter()
        .map(PeerMessage::Replication)
        .chain(lease_messages.into_iter().map(PeerMessage::Leases))
        .collect()
}

#[test]
fn frames_between_gateways_are_as_before() {
    let handshake = Handshake {
        version: eideryard_peer_transport::VERSION,
        fleet: "north".into(),
        name: "g1".into(),
        voters: vec!["g1".into(), "g2".into(), "g3".into()],
        classes_fingerprint: 0x1234_5678_9abc_def0,
        identity: 0xfeed,
        start_number: 3,
    };
    let mut frames: Vec<Frame<PeerMessage>> = vec![
        Frame::Handshake(handshake),
        Frame::Rejected("another fleet".into()),
        Frame::Heartbeat(7),
        Frame::HeartbeatReply(8),
    ];
    frames.extend(messages().into_iter().map(Frame::Message));
    let mut bytes = Vec::new();
    for item in &frames {
        frame::write(&mut bytes, item).expect("written");
    }
    golden::check("peer-frames.bin", &bytes);
    let (mut at, mut rewritten) = (0, Vec::new());
    while let Some(read) = frame::read::<PeerMessage>(&bytes[at..]).expect("sound") {
        frame::write(&mut rewritten, &read.frame).expect("written");
        at += read.length;
    }
    assert_eq!(rewritten, bytes);
}

/// The classes of the configuration that the program's tests use; the fingerprint in handshakes
/// derives from them.
fn classes() -> Vec<eideryard::interface::Class> {
    let class =
        |repeat| serde_json::json!({"repeat": repeat, "group": "all", "window-us": 15_000_000});
    let grades = [class("pure"), class("token"), class("side_effect")];
    let tree =
        eideryard_settings::SettingsTree::from_json(&serde_json::json!({ "grades": grades }));
    eideryard_settings::read_settings(&tree)
        .expect("settings")
        .classes
}

#[test]
fn handshakes_are_as_before() {
    let handshake = Handshake {
        version: eideryard_peer_transport::VERSION,
        fleet: "north".into(),
        name: "g2".into(),
        voters: vec!["g2".into(), "g3".into(), "n0".into()],
        classes_fingerprint: classes_fingerprint(&classes()),
        identity: 7,
        start_number: 1,
    };
    let encode = |handshake: Handshake| {
        let mut bytes = Vec::new();
        let frame = Frame::<PeerMessage>::Handshake(handshake);
        frame::write(&mut bytes, &frame).expect("written");
        bytes
    };
    golden::check("handshake-g2.bin", &encode(handshake.clone()));
    let other = Handshake {
        name: "g3".into(),
        classes_fingerprint: handshake.classes_fingerprint ^ 1,
        ..handshake
    };
    golden::check("handshake-other-classes.bin", &encode(other));
}

#[test]
fn messages_to_engines_and_clients_are_as_before() {
    let mut bytes = Vec::new();
    let serve = engine_line::ServeCommand {
        id: "7f",
        class: "report",
        wait_ms: 900,
        key: Some(KEY),
        grant_mb: 120,
        rank: Some(2),
        statement: b"SELECT 1",
    };
    serve.write(&mut bytes);
    engine_line::ServeCommand {
        key: None,
        grant_mb: 0,
        rank: None,
        ..serve
    }
    .write(&mut bytes);
    engine_line::write_cancel(&mut bytes, "7f");
    engine_line::write_rank_update(&mut bytes, "7f", 3);
    engine_line::write_read(&mut bytes, "7f", 2);
    engine_line::write_release(&mut bytes, "7f");
    engine_line::write_load_probe(&mut bytes, "probe-1");
    golden::check("engine-commands.bin", &bytes);
    let mut bytes = Vec::new();
    let pages: [&[u8]; 2] = [b"a\tb\tc\n", b"d\te\tf\n"];
    rpc::write_result(&mut bytes, 1, pages.into_iter());
    rpc::write_partial_result(
        &mut bytes,
        2,
        pages.into_iter(),
        &[("token", "abc"), ("more", "1")],
    );
    rpc::write_error(
        &mut bytes,
        3,
        "TryLater",
        &[("why", "no majority"), ("w", "500")],
    );
    rpc::write_health(&mut bytes, 4, true);
    golden::check("client-answers.bin", &bytes);
}
