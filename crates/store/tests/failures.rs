//! Failures that a store has to survive: a crash within any call, a power loss with torn and
//! reordered writes, truncated and changed bytes, a full disk, a failed flush, a restored backup
//! and a second process on the same directory.

use std::collections::BTreeMap;

use eideryard_store::faulty::FaultyDisk;
use eideryard_store::worker::{Worker, MAX_QUEUED_BATCHES};
use eideryard_store::{Batch, Config, Directory, OpenError, RecoveryStatus, Store};
use fastrand::Rng;
use proptest::prelude::*;

const NOW: u64 = 1_800_000_000_000;
const CONFIG: Config = Config { budget: 1 << 20 };

/// Expected keys and values of a store.
type Map = BTreeMap<Vec<u8>, Vec<u8>>;

fn open(disk: &FaultyDisk, random: u64) -> Result<(Store, RecoveryStatus), OpenError> {
    Store::open(Box::new(disk.clone()), CONFIG, NOW, random)
        .map(|(store, report)| (store, report.status))
}

fn contents(store: &Store) -> Map {
    store
        .prefix(b"")
        .map(|(key, value)| (key.to_vec(), value.bytes.to_vec()))
        .collect()
}

/// Returns a small batch for few keys, so that most keys are overwritten or removed later.
fn random_batch(rng: &mut Rng) -> Batch {
    let mut batch = Batch::default();
    for _ in 0..rng.usize(1..4) {
        let key = format!("key-{}", rng.u8(0..40)).into_bytes();
        match rng.u8(0..4) {
            0 => batch.remove(key),
            _ => batch.put(key, (0..rng.usize(0..60)).map(|_| rng.u8(..)).collect(), 0),
        }
    }
    batch
}

fn apply(map: &mut Map, batch: &Batch) {
    for write in &batch.writes {
        match &write.value {
            Some(value) => _ = map.insert(write.key.clone(), value.clone()),
            None => _ = map.remove(&write.key),
        }
    }
}

/// Writes, flushes and rewrites until something fails, as one process would. Appends the state
/// after each batch to `states` and returns the index of the last state that was reported durable.
fn run_process(store: &mut Store, rng: &mut Rng, batches: usize, states: &mut Vec<Map>) -> usize {
    let (mut acknowledged, first_batch) = (states.len() - 1, store.durable_batch());
    let first_state = states.len() - 1;
    for _ in 0..batches {
        let batch = random_batch(rng);
        let mut map = states.last().unwrap().clone();
        apply(&mut map, &batch);
        store.write(batch);
        states.push(map);
        if rng.u8(0..3) == 0 {
            match store.flush() {
                Ok(durable) => acknowledged = first_state + (durable - first_batch) as usize,
                Err(_) => return acknowledged,
            }
        }
        if rng.u8(0..8) == 0 && store.rewrite(NOW, 200).is_err() {
            return acknowledged;
        }
    }
    acknowledged
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    PowerLoss,
}

/// Crashes several processes in a row within random calls, also during recovery. Each time, the
/// store must contain all acknowledged writes and nothing that was never written.
fn check_crashes(seed: u64, fault: Fault) {
    let mut rng = Rng::with_seed(seed);
    let disk = FaultyDisk::default();
    let (mut states, mut acknowledged) = (vec![Map::new()], 0);
    for process in 0..4 {
        // More than half of the crashes come early, to hit recovery and the first calls of a
        // process often.
        disk.crash_at(if rng.bool() {
            rng.u64(1..12)
        } else {
            rng.u64(1..120)
        });
        if let Ok((mut store, status)) = open(&disk, seed + process) {
            assert!(
                matches!(status, RecoveryStatus::New | RecoveryStatus::Whole),
                "seed {seed}, process {process}: {status:?}"
            );
            let found = contents(&store);
            let index = states
                .iter()
                .skip(acknowledged)
                .position(|state| *state == found);
            let index = index.unwrap_or_else(|| {
                let earlier = states.iter().rposition(|state| *state == found);
                panic!(
                    "seed {seed}, process {process}: an acknowledged write is lost: state {earlier:?} of {}, \
                     {acknowledged} was acknowledged; files {:?}",
                    states.len(),
                    disk.backup().iter().map(|(n, b)| (n.clone(), b.len())).collect::<Vec<_>>()
                )
            });
            states.truncate(acknowledged + index + 1);
            acknowledged = run_process(&mut store, &mut rng, 60, &mut states);
        }
        match fault {
            Fault::PowerLoss => disk.power_loss(&mut rng),
            Fault::Kill => disk.kill(),
        }
    }
    let (store, status) = open(&disk, seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    assert!(
        matches!(status, RecoveryStatus::New | RecoveryStatus::Whole),
        "seed {seed}: {status:?}"
    );
    assert!(
        states[acknowledged..].contains(&contents(&store)),
        "seed {seed}: an acknowledged write is lost"
    );
}

/// The environment variable `EIDERYARD_SEEDS` sets the number of seeds.
#[test]
fn a_crash_within_any_call_keeps_acknowledged_writes_and_adds_no_others() {
    let seeds = std::env::var("EIDERYARD_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(4000);
    for seed in 0..seeds {
        let fault = if seed % 4 == 0 {
            Fault::Kill
        } else {
            Fault::PowerLoss
        };
        check_crashes(seed, fault);
    }
}

/// Checks that the test above can fail. The injected bug is a disk that reports flushes as
/// successful without performing them.
#[test]
#[should_panic(expected = "acknowledged write is lost")]
fn a_disk_that_reports_flushes_without_doing_them_is_detected() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, 1).unwrap();
        let mut states = vec![Map::new()];
        let backup = disk.backup();
        let acknowledged = run_process(&mut store, &mut rng, 30, &mut states);
        drop(store);
        // Only the bytes that the log had at first have reached the disk.
        for (name, bytes) in backup {
            disk.change(&name, |content| content.truncate(bytes.len()));
        }
        disk.power_loss(&mut rng);
        let found = open(&disk, 2)
            .map(|(store, _)| contents(&store))
            .unwrap_or_default();
        assert!(
            states[acknowledged..].contains(&found),
            "seed {seed}: an acknowledged write is lost"
        );
    }
}

#[test]
fn a_rebuild_after_a_failed_flush_makes_all_writes_durable() {
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, 1).unwrap();
        let mut states = vec![Map::new()];
        disk.fail_at(rng.u64(1..30));
        run_process(&mut store, &mut rng, 60, &mut states);
        if store.is_broken() {
            assert!(store.flush().is_err(), "a broken log can't be flushed");
            // A call during the rebuild may fail as well.
            disk.fail_at(rng.u64(1..12));
            while store.rebuild(NOW).is_err() {}
        }
        store
            .flush()
            .unwrap_or_else(|_| store.rebuild(NOW).unwrap());
        assert_eq!(contents(&store), *states.last().unwrap(), "seed {seed}");
        drop(store);
        disk.power_loss(&mut rng);
        let (store, status) = open(&disk, 2).unwrap();
        assert_eq!(
            (contents(&store), status),
            (states.pop().unwrap(), RecoveryStatus::Whole),
            "seed {seed}"
        );
    }
}

#[test]
fn a_store_survives_a_disk_that_fills_up_during_a_rewrite() {
    for free_bytes in (0..6000).step_by(97) {
        let mut rng = Rng::with_seed(free_bytes as u64);
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, 1).unwrap();
        let mut states = vec![Map::new()];
        run_process(&mut store, &mut rng, 80, &mut states);
        store.flush().unwrap();
        disk.set_free_bytes(Some(free_bytes));
        while store.rewrite(NOW, 500).is_ok_and(|done| !done) {}
        disk.set_free_bytes(None);
        store
            .flush()
            .unwrap_or_else(|_| store.rebuild(NOW).unwrap());
        disk.power_loss(&mut rng);
        drop(store);
        let (store, _) = open(&disk, 2).unwrap_or_else(|e| panic!("{free_bytes}: {e}"));
        assert_eq!(contents(&store), *states.last().unwrap(), "{free_bytes}");
    }
}

/// Returns the disk of a store after several rewrites, and its state after each batch.
fn written_store(seed: u64) -> (FaultyDisk, Vec<Map>) {
    let mut rng = Rng::with_seed(seed);
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, 1).unwrap();
    let mut states = vec![Map::new()];
    for _ in 0..3 {
        run_process(&mut store, &mut rng, 100, &mut states);
        while !store.rewrite(NOW, 4000).unwrap() {}
    }
    run_process(&mut store, &mut rng, 100, &mut states);
    store.flush().unwrap();
    (disk, states)
}

/// Opens a damaged store, which must either recover one of its earlier states or be refused with a
/// reason. Returns whether it was opened.
fn open_damaged_store(disk: &FaultyDisk, states: &[Map], name: &str, damage: &str) -> bool {
    match Store::open(Box::new(disk.clone()), CONFIG, NOW, 9) {
        Ok((store, report)) => {
            let found_state = contents(&store);
            assert!(
                states.contains(&found_state),
                "{name}, {damage}: the store never had this state"
            );
            let is_complete = found_state == *states.last().unwrap();
            // Missing batches are reported, unless they look as if they had never been flushed.
            assert!(
                is_complete
                    || report.status != RecoveryStatus::Whole
                    || report.torn_bytes > 0
                    || damage.starts_with("cut"),
                "{name}, {damage}"
            );
            true
        }
        Err(e) => {
            assert!(e.to_string().len() > 30, "{e}");
            false
        }
    }
}

#[test]
fn a_store_with_any_cut_or_changed_byte_recovers_an_earlier_state_or_is_refused() {
    let (disk, states) = written_store(5);
    let backup = disk.backup();
    let (mut opened, mut refused) = (0, 0);
    for (name, bytes) in &backup {
        for offset in 0..bytes.len() {
            for kind in ["cut", "changed"] {
                let change = |bytes: &mut Vec<u8>| match kind {
                    "cut" => bytes.truncate(offset),
                    _ => bytes[offset] ^= 1 << (offset % 8),
                };
                disk.kill();
                let damaged = FaultyDisk::default();
                damaged.restore(&backup);
                damaged.change(name, change);
                if open_damaged_store(&damaged, &states, name, &format!("{kind} at {offset}")) {
                    opened += 1;
                } else {
                    refused += 1;
                }
            }
        }
    }
    assert!(
        opened > 1000 && refused > 50,
        "{opened} opened, {refused} refused"
    );
}

#[test]
fn a_restored_backup_and_an_emptied_directory_each_begin_a_new_incarnation() {
    let directory = tempfile::tempdir().unwrap();
    let original = directory.path().join("original");
    let backup = directory.path().join("backup");
    let open = |now| Store::open(Box::new(Directory::new(&original)), CONFIG, now, now);
    let put = |store: &mut Store, key: &str| {
        let mut batch = Batch::default();
        batch.put(key.into(), b"1".to_vec(), 0);
        store.write(batch);
        store.flush().unwrap();
    };
    let (mut store, report) = open(NOW).unwrap();
    assert_eq!(
        (report.status, report.start_number, report.complete_since_ms),
        (RecoveryStatus::New, 1, NOW)
    );
    put(&mut store, "a");
    assert!(
        matches!(open(NOW), Err(OpenError::InUse)),
        "a second process can't open the directory"
    );
    drop(store);
    let copy = |from: &std::path::Path, to: &std::path::Path| {
        std::fs::create_dir_all(to).unwrap();
        for file in std::fs::read_dir(from).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    };
    copy(&original, &backup);
    let (mut store, report) = open(NOW + 1).unwrap();
    assert_eq!(
        (report.status, report.start_number, report.complete_since_ms),
        (RecoveryStatus::Whole, 2, NOW)
    );
    put(&mut store, "b");
    drop(store);
    std::fs::remove_dir_all(&original).unwrap();
    copy(&backup, &original);
    let (store, report) = open(NOW + 2).unwrap();
    assert_eq!(
        (report.status, report.complete_since_ms, report.keys),
        (RecoveryStatus::Copy, NOW + 2, 1)
    );
    assert!(store.get(b"a").is_some() && store.get(b"b").is_none());
    drop(store);
    let (_, report) = open(NOW + 3).unwrap();
    assert_eq!(
        (report.status, report.complete_since_ms),
        (RecoveryStatus::Whole, NOW + 2),
        "the new incarnation continues at the next start"
    );
    std::fs::remove_dir_all(&original).unwrap();
    assert_eq!(open(NOW + 4).unwrap().1.status, RecoveryStatus::New);
}

#[test]
fn rewrites_drop_expired_keys_and_keep_the_store_within_its_budget() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, 1).unwrap();
    for number in 0..60_000u32 {
        let mut batch = Batch::default();
        let until_ms = if number % 2 == 0 { NOW - 1 } else { 0 };
        batch.put((number % 300).to_be_bytes().to_vec(), vec![7; 20], until_ms);
        store.write(batch);
        if number % 16 == 0 {
            store.flush().unwrap();
        }
        if store.should_rewrite() {
            store.rewrite(NOW, 4000).unwrap();
        }
        assert!(
            store.bytes() < CONFIG.budget,
            "{} bytes on disk",
            store.bytes()
        );
    }
    while store.should_rewrite() {
        store.rewrite(NOW, 4000).unwrap();
    }
    store.rebuild(NOW).unwrap();
    assert_eq!(store.len(), 150, "only keys that never expire are left");
}

#[derive(Clone, Debug)]
enum Operation {
    Put(u8, Vec<u8>),
    Remove(u8),
    Flush,
    Rewrite,
    Reopen,
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        4 => (0..20u8, proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(key, value)| Operation::Put(key, value)),
        2 => (0..20u8).prop_map(Operation::Remove),
        2 => Just(Operation::Flush),
        2 => Just(Operation::Rewrite),
        1 => Just(Operation::Reopen),
    ];
    proptest::collection::vec(operation, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Compares a store with a map across flushes, rewrites and clean restarts.
    #[test]
    fn a_store_has_the_same_keys_and_values_as_a_map(operations in operations()) {
        let disk = FaultyDisk::default();
        let mut map = Map::new();
        let (mut store, _) = open(&disk, 1).unwrap();
        for operation in operations {
            let mut batch = Batch::default();
            match operation {
                Operation::Put(key, value) => batch.put(vec![key], value, 0),
                Operation::Remove(key) => batch.remove(vec![key]),
                Operation::Flush => _ = store.flush().unwrap(),
                Operation::Rewrite => _ = store.rewrite(NOW, 100).unwrap(),
                Operation::Reopen => {
                    store.flush().unwrap();
                    drop(store);
                    disk.kill();
                    store = open(&disk, 1).unwrap().0;
                }
            }
            if !batch.writes.is_empty() {
                apply(&mut map, &batch);
                store.write(batch);
            }
            prop_assert_eq!(contents(&store), map.clone());
        }
    }
}

/// The queue accepts batches until it is full and then rejects them. No batch is reported durable
/// until the disk writes again.
#[test]
fn a_stalled_disk_blocks_the_thread_and_no_caller() {
    let disk = FaultyDisk::default();
    let (store, _) = open(&disk, 1).unwrap();
    let (sender, wakes) = std::sync::mpsc::channel();
    let mut worker = Worker::start(store, Box::new(move || _ = sender.send(()))).unwrap();
    disk.stall();
    let mut batch = Batch::default();
    batch.put(b"key".to_vec(), b"value".to_vec(), 0);
    // The thread may have received as many batches as the queue takes, in addition to those in the
    // queue.
    let accepted = std::iter::from_fn(|| worker.write(batch.clone()))
        .take(3 * MAX_QUEUED_BATCHES)
        .last()
        .unwrap();
    assert!(
        (MAX_QUEUED_BATCHES as u64..3 * MAX_QUEUED_BATCHES as u64).contains(&accepted),
        "{accepted}"
    );
    assert_eq!(worker.durable_ticket(), 0);
    disk.resume();
    while worker.durable_ticket() < accepted {
        wakes
            .recv_timeout(std::time::Duration::from_secs(20))
            .expect("a wake when more is durable");
    }
}
