//! The failures that a store is for: a crash within any call, power lost with writes torn and
//! reordered, bytes cut and changed, a full disk, a failed flush, an old copy, a second process.

use std::collections::BTreeMap;

use eideryard_store::faulty::Faulty;
use eideryard_store::{Batch, Config, Directory, OpenError, RecoveryStatus, Store};
use fastrand::Rng;
use proptest::prelude::*;

const NOW: u64 = 1_800_000_000_000;
const PLAN: Config = Config { budget: 1 << 20 };

type Map = BTreeMap<Vec<u8>, Vec<u8>>;

fn open(disk: &Faulty, random: u64) -> Result<(Store, RecoveryStatus), OpenError> {
    Store::open(Box::new(disk.clone()), PLAN, NOW, random)
        .map(|(store, found)| (store, found.status))
}

fn held(store: &Store) -> Map {
    store
        .prefix(b"")
        .map(|(key, value)| (key.to_vec(), value.bytes.to_vec()))
        .collect()
}

/// A small batch over few keys, so that most are overwritten and removed.
fn batch(rng: &mut Rng) -> Batch {
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

/// One process's life on a disk: writes, flushes and rewrites until something fails. Gives all
/// states that it went through, one for each batch, and the place of the one that it was told was
/// durable.
fn live(store: &mut Store, rng: &mut Rng, batches: usize, states: &mut Vec<Map>) -> usize {
    let (mut acknowledged, first) = (states.len() - 1, store.durable());
    let base = states.len() - 1;
    for _ in 0..batches {
        let batch = batch(rng);
        let mut map = states.last().unwrap().clone();
        apply(&mut map, &batch);
        store.write(batch);
        states.push(map);
        if rng.u8(0..3) == 0 {
            match store.flush() {
                Ok(durable) => acknowledged = base + (durable - first) as usize,
                Err(_) => return acknowledged,
            }
        }
        if rng.u8(0..8) == 0 && store.rewrite(NOW, 200).is_err() {
            return acknowledged;
        }
    }
    acknowledged
}

/// A crash within every call, twice in a row, recovery itself included: what was acknowledged is
/// there, and nothing that was never written.
fn crashes(seed: u64, power: bool) {
    let mut rng = Rng::with_seed(seed);
    let disk = Faulty::default();
    let (mut states, mut acknowledged) = (vec![Map::new()], 0);
    for life in 0..4 {
        // Mostly soon, so that recovery and the first calls of a life are hit often.
        disk.crash_at(if rng.bool() {
            rng.u64(1..12)
        } else {
            rng.u64(1..120)
        });
        if let Ok((mut store, trust)) = open(&disk, seed + life) {
            assert!(
                matches!(trust, RecoveryStatus::New | RecoveryStatus::Whole),
                "seed {seed}, life {life}: {trust:?}"
            );
            let found = held(&store);
            let place = states
                .iter()
                .skip(acknowledged)
                .position(|state| *state == found);
            let place = place.unwrap_or_else(|| {
                let earlier = states.iter().rposition(|state| *state == found);
                panic!(
                    "seed {seed}, life {life}: an acknowledged write is lost: state {earlier:?} of {}, {acknowledged} \
                     was acknowledged; files {:?}",
                    states.len(),
                    disk.saved().iter().map(|(n, b)| (n.clone(), b.len())).collect::<Vec<_>>()
                )
            });
            states.truncate(acknowledged + place + 1);
            acknowledged = live(&mut store, &mut rng, 60, &mut states);
        }
        if power {
            disk.power_loss(&mut rng);
        } else {
            disk.kill();
        }
    }
    let (store, trust) = open(&disk, seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    assert!(
        matches!(trust, RecoveryStatus::New | RecoveryStatus::Whole),
        "seed {seed}: {trust:?}"
    );
    assert!(
        states[acknowledged..].contains(&held(&store)),
        "seed {seed}: an acknowledged write is lost"
    );
}

/// `EIDERYARD_SEEDS` plays more.
#[test]
fn a_crash_within_any_call_loses_nothing_acknowledged_and_invents_nothing() {
    let seeds = std::env::var("EIDERYARD_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(4000);
    (0..seeds).for_each(|seed| crashes(seed, seed % 4 != 0));
}

/// The planted bug that the test above is for: a disk that says it flushed and did not.
#[test]
#[should_panic(expected = "acknowledged write is lost")]
fn a_flush_that_does_nothing_is_noticed() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let disk = Faulty::default();
        let (mut store, _) = open(&disk, 1).unwrap();
        let mut states = vec![Map::new()];
        let saved = disk.saved();
        let acknowledged = live(&mut store, &mut rng, 30, &mut states);
        drop(store);
        // What the log held at first is all that reached the disk.
        for (name, bytes) in saved {
            disk.change(&name, |now| now.truncate(bytes.len()));
        }
        disk.power_loss(&mut rng);
        let found = open(&disk, 2)
            .map(|(store, _)| held(&store))
            .unwrap_or_default();
        assert!(
            states[acknowledged..].contains(&found),
            "seed {seed}: an acknowledged write is lost"
        );
    }
}

#[test]
fn a_failed_flush_is_not_believed_and_a_rescue_makes_all_durable() {
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let disk = Faulty::default();
        let (mut store, _) = open(&disk, 1).unwrap();
        let mut states = vec![Map::new()];
        disk.fail_at(rng.u64(1..30));
        live(&mut store, &mut rng, 60, &mut states);
        if store.is_broken() {
            assert!(store.flush().is_err(), "a broken log takes nothing");
            // The next call may fail as well.
            disk.fail_at(rng.u64(1..12));
            while store.rescue(NOW).is_err() {}
        }
        store.flush().unwrap_or_else(|_| store.rescue(NOW).unwrap());
        assert_eq!(held(&store), *states.last().unwrap(), "seed {seed}");
        drop(store);
        disk.power_loss(&mut rng);
        let (store, trust) = open(&disk, 2).unwrap();
        assert_eq!(
            (held(&store), trust),
            (states.pop().unwrap(), RecoveryStatus::Whole),
            "seed {seed}"
        );
    }
}

#[test]
fn a_disk_that_is_full_within_a_rewrite_keeps_what_it_had_and_goes_on_with_room() {
    for room in (0..6000).step_by(97) {
        let mut rng = Rng::with_seed(room as u64);
        let disk = Faulty::default();
        let (mut store, _) = open(&disk, 1).unwrap();
        let mut states = vec![Map::new()];
        live(&mut store, &mut rng, 80, &mut states);
        store.flush().unwrap();
        disk.room(Some(room));
        while store.rewrite(NOW, 500).is_ok_and(|done| !done) {}
        disk.room(None);
        store.flush().unwrap_or_else(|_| store.rescue(NOW).unwrap());
        disk.power_loss(&mut rng);
        drop(store);
        let (store, _) = open(&disk, 2).unwrap_or_else(|e| panic!("{room}: {e}"));
        assert_eq!(held(&store), *states.last().unwrap(), "{room}");
    }
}

/// A store of some thousand writes, through a rewrite, with its states.
fn written(seed: u64) -> (Faulty, Vec<Map>) {
    let mut rng = Rng::with_seed(seed);
    let disk = Faulty::default();
    let (mut store, _) = open(&disk, 1).unwrap();
    let mut states = vec![Map::new()];
    for _ in 0..3 {
        live(&mut store, &mut rng, 100, &mut states);
        while !store.rewrite(NOW, 4000).unwrap() {}
    }
    live(&mut store, &mut rng, 100, &mut states);
    store.flush().unwrap();
    (disk, states)
}

/// Whatever byte is cut at or changed, of whatever file: the state of some time, or a refusal in
/// words.
fn damaged(disk: &Faulty, states: &[Map], name: &str, what: &str) -> bool {
    match Store::open(Box::new(disk.clone()), PLAN, NOW, 9) {
        Ok((store, found)) => {
            let found_state = held(&store);
            assert!(
                states.contains(&found_state),
                "{name}, {what}: a state that never was"
            );
            let whole = found_state == *states.last().unwrap();
            // What is missing is said, unless it looks as if it was never flushed.
            assert!(
                whole
                    || found.status != RecoveryStatus::Whole
                    || found.torn > 0
                    || what.starts_with("cut"),
                "{name}, {what}"
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
fn every_byte_cut_and_every_byte_changed_is_survived_or_refused() {
    let (disk, states) = written(5);
    let saved = disk.saved();
    let (mut opened, mut refused) = (0, 0);
    for (name, bytes) in &saved {
        for at in 0..bytes.len() {
            for what in ["cut", "changed"] {
                let change = |bytes: &mut Vec<u8>| match what {
                    "cut" => bytes.truncate(at),
                    _ => bytes[at] ^= 1 << (at % 8),
                };
                disk.kill();
                let other = Faulty::default();
                other.put_back(&saved);
                other.change(name, change);
                let went = damaged(&other, &states, name, &format!("{what} at {at}"));
                *(if went { &mut opened } else { &mut refused }) += 1;
            }
        }
    }
    assert!(
        opened > 1000 && refused > 50,
        "{opened} opened, {refused} refused"
    );
}

#[test]
fn a_copy_put_back_is_another_life_and_so_is_a_wiped_directory() {
    let directory = tempfile::tempdir().unwrap();
    let (own, old) = (directory.path().join("own"), directory.path().join("old"));
    let plan = Config { budget: 1 << 20 };
    let open = |now| Store::open(Box::new(Directory::new(&own)), plan, now, now);
    let put = |store: &mut Store, key: &str| {
        let mut batch = Batch::default();
        batch.put(key.into(), b"1".to_vec(), 0);
        store.write(batch);
        store.flush().unwrap();
    };
    let (mut store, found) = open(NOW).unwrap();
    assert_eq!(
        (found.status, found.start, found.life_ms),
        (RecoveryStatus::New, 1, NOW)
    );
    put(&mut store, "a");
    assert!(
        matches!(open(NOW), Err(OpenError::InUse)),
        "two processes on one directory"
    );
    drop(store);
    let copy = |from: &std::path::Path, to: &std::path::Path| {
        std::fs::create_dir_all(to).unwrap();
        for file in std::fs::read_dir(from).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    };
    copy(&own, &old);
    let (mut store, found) = open(NOW + 1).unwrap();
    assert_eq!(
        (found.status, found.start, found.life_ms),
        (RecoveryStatus::Whole, 2, NOW)
    );
    put(&mut store, "b");
    drop(store);
    std::fs::remove_dir_all(&own).unwrap();
    copy(&old, &own);
    let (store, found) = open(NOW + 2).unwrap();
    assert_eq!(
        (found.status, found.life_ms, found.keys),
        (RecoveryStatus::Copy, NOW + 2, 1)
    );
    assert!(store.get(b"a").is_some() && store.get(b"b").is_none());
    drop(store);
    let (_, found) = open(NOW + 3).unwrap();
    assert_eq!(
        (found.status, found.life_ms),
        (RecoveryStatus::Whole, NOW + 2),
        "from then on it is its own life"
    );
    std::fs::remove_dir_all(&own).unwrap();
    assert_eq!(open(NOW + 4).unwrap().1.status, RecoveryStatus::New);
}

#[test]
fn what_has_expired_goes_with_a_rewrite_and_the_log_stays_within_its_budget() {
    let disk = Faulty::default();
    let (mut store, _) = open(&disk, 1).unwrap();
    for number in 0..60_000u32 {
        let mut batch = Batch::default();
        let until_ms = if number % 2 == 0 { NOW - 1 } else { 0 };
        batch.put((number % 300).to_be_bytes().to_vec(), vec![7; 20], until_ms);
        store.write(batch);
        if number % 16 == 0 {
            store.flush().unwrap();
        }
        if store.wants_rewriting() {
            store.rewrite(NOW, 4000).unwrap();
        }
        assert!(
            store.bytes() < PLAN.budget,
            "{} bytes on disk",
            store.bytes()
        );
    }
    while store.wants_rewriting() {
        store.rewrite(NOW, 4000).unwrap();
    }
    store.rescue(NOW).unwrap();
    assert_eq!(store.len(), 150, "those that never expire");
}

#[derive(Clone, Debug)]
enum Op {
    Put(u8, Vec<u8>),
    Remove(u8),
    Flush,
    Rewrite,
    Reopen,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (0..20u8, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(k, v)| Op::Put(k, v)),
        2 => (0..20u8).prop_map(Op::Remove),
        2 => Just(Op::Flush),
        2 => Just(Op::Rewrite),
        1 => Just(Op::Reopen),
    ];
    proptest::collection::vec(op, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Against a plain map, through flushes, rewrites and clean restarts.
    #[test]
    fn it_holds_what_a_plain_map_holds(ops in ops()) {
        let disk = Faulty::default();
        let mut map = Map::new();
        let (mut store, _) = open(&disk, 1).unwrap();
        for op in ops {
            let mut batch = Batch::default();
            match op {
                Op::Put(key, value) => batch.put(vec![key], value, 0),
                Op::Remove(key) => batch.remove(vec![key]),
                Op::Flush => _ = store.flush().unwrap(),
                Op::Rewrite => _ = store.rewrite(NOW, 100).unwrap(),
                Op::Reopen => {
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
            prop_assert_eq!(held(&store), map.clone());
        }
    }
}

/// A disk that stalls holds the store's thread and nobody else: batches are taken up to the queue's
/// end, then refused, nothing is called durable, and all of it is once the disk writes again.
#[test]
fn a_disk_that_stalls_holds_its_thread_and_no_caller() {
    use eideryard_store::worker::{Worker, MAX_WAITING};
    let disk = Faulty::default();
    let (store, _) = open(&disk, 1).unwrap();
    let (told, heard) = std::sync::mpsc::channel();
    let mut worker = Worker::start(store, Box::new(move || _ = told.send(()))).unwrap();
    disk.stall(true);
    let mut one = Batch::default();
    one.put(b"key".to_vec(), b"value".to_vec(), 0);
    // The thread may hold as many again as the queue.
    let taken = std::iter::from_fn(|| worker.write(one.clone()))
        .take(3 * MAX_WAITING)
        .last()
        .unwrap();
    assert!(
        (MAX_WAITING as u64..3 * MAX_WAITING as u64).contains(&taken),
        "{taken}"
    );
    assert_eq!(worker.durable(), 0);
    disk.stall(false);
    while worker.durable() < taken {
        heard
            .recv_timeout(std::time::Duration::from_secs(20))
            .expect("it is told when more is durable");
    }
}
