//! Commits a second and their 99th percentile by group size, recovery by size, bytes a key, and
//! what rewriting does to commits; each beside the plain way (append to one file and flush, rewrite
//! it whole when it is long) in one run. `cargo bench -p eideryard-store`: about a minute. Figures
//! are those of the machine's own disk.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use eideryard_store::{Batch, Config, Directory, Store};

const NOW: u64 = 1_800_000_000_000;
const CONFIG: Config = Config { budget: 4 << 30 };
const LASTS: Duration = Duration::from_millis(1500);

fn key(number: u64) -> Vec<u8> {
    let mut key = b"i\0\x01".to_vec();
    key.extend_from_slice(
        &(number as u128)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
            .to_be_bytes(),
    );
    key
}

const VALUE: [u8; 21] = [7; 21];

fn batch(number: u64) -> Batch {
    let mut batch = Batch::default();
    batch.put(key(number), VALUE.to_vec(), NOW + 60_000);
    batch
}

fn open(path: &Path) -> Store {
    Store::open(Box::new(Directory::new(path)), CONFIG, NOW, 1)
        .expect("a store")
        .0
}

fn percentile(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Commits of a group each until the time is over; between them `more` is done.
fn commits(group: u64, mut commit: impl FnMut(u64, u64)) -> (f64, Duration, Duration) {
    let (began, mut times, mut number) = (Instant::now(), Vec::new(), 0);
    while began.elapsed() < LASTS {
        let at = Instant::now();
        commit(number, group);
        number += group;
        times.push(at.elapsed());
    }
    let rate = number as f64 / began.elapsed().as_secs_f64();
    let (median, slow) = percentile(times);
    (rate, median, slow)
}

/// The plain way: one file, a flush for each commit.
struct Plain(File);

fn plain_path(path: &Path) -> std::path::PathBuf {
    path.join("plain")
}

impl Plain {
    fn open(path: &Path) -> Self {
        Plain(
            OpenOptions::new()
                .create(true)
                .append(true)
                .open(plain_path(path))
                .expect("a file"),
        )
    }

    fn commit(&mut self, from: u64, group: u64) {
        let mut bytes = Vec::new();
        for number in from..from + group {
            bytes.extend_from_slice(&key(number));
            bytes.extend_from_slice(&VALUE);
        }
        self.0.write_all(&bytes).expect("it is written");
        self.0.sync_data().expect("it is flushed");
    }
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0");
    line.trim()
        .trim_end_matches(" kB")
        .trim()
        .parse::<u64>()
        .unwrap_or(0)
        * 1024
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, told from its beginning to its end"
)]
fn main() {
    for group in [1, 8, 64] {
        let directory = tempfile::tempdir().expect("a directory");
        let mut store = open(directory.path());
        let (rate, median, slow) = commits(group, |from, group| {
            (from..from + group).for_each(|number| _ = store.write(batch(number)));
            store.flush().expect("it is flushed");
        });
        let mut plain = Plain::open(directory.path());
        let (plain_rate, plain_median, plain_slow) =
            commits(group, |from, group| plain.commit(from, group));
        println!(
            "groups of {group}: {rate:.0} writes/s, median {median:.0?}, 99% {slow:.0?}; plain {plain_rate:.0}/s, \
             {plain_median:.0?}, {plain_slow:.0?}"
        );
    }
    for count in [1_000_000u64, 100_000, 10_000] {
        let directory = tempfile::tempdir().expect("a directory");
        let mut plain = Plain::open(directory.path());
        plain.commit(0, count);
        drop(plain);
        let before = resident();
        let mut store = open(directory.path());
        for number in 0..count {
            store.write(batch(number));
            if number % 1000 == 0 {
                store.flush().expect("it is flushed");
            }
        }
        store.flush().expect("it is flushed");
        let disk = store.bytes();
        let memory = resident().saturating_sub(before);
        drop(store);
        let at = Instant::now();
        let store = open(directory.path());
        let took = at.elapsed();
        let snapshot = {
            let mut store = store;
            store.rebuild(NOW).expect("it is rewritten");
            store.bytes()
        };
        println!(
            "{count} keys: recovered from the log in {took:.2?}; {:.1} bytes a key in the log, {:.1} in a snapshot, {:.0} \
             in memory",
            disk as f64 / count as f64,
            snapshot as f64 / count as f64,
            memory as f64 / count as f64
        );
        let at = Instant::now();
        let bytes = std::fs::read(plain_path(directory.path())).expect("the plain file");
        let map: std::collections::BTreeMap<Vec<u8>, Vec<u8>> = bytes
            .chunks_exact(40)
            .map(|pair| (pair[..19].to_vec(), pair[19..].to_vec()))
            .collect();
        println!(
            "  the plain way: {:.0?} for {} keys of 40 bytes, without checksums",
            at.elapsed(),
            map.len()
        );
    }
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = open(directory.path());
    (0..200_000).for_each(|number| _ = store.write(batch(number)));
    store.flush().expect("it is flushed");
    while !store.rewrite(NOW, 1 << 20).expect("it is rewritten") {}
    let mut next = 0;
    let mut commit = |store: &mut Store| {
        (next..next + 8).for_each(|number| _ = store.write(batch(number % 200_000)));
        next += 8;
        store.flush().expect("it is flushed");
    };
    let (_, median, slow) = commits(8, |_, _| commit(&mut store));
    // As the worker does: a slice of 16 KB between commits at 8 MB a second, which the next commit
    // may wait for.
    let mut sliced = Instant::now();
    let (_, busy_median, busy_slow) = commits(8, |_, _| {
        commit(&mut store);
        if sliced.elapsed() >= Duration::from_millis(2) {
            sliced = Instant::now();
            _ = store.rewrite(NOW, 16 << 10);
        }
    });
    println!(
        "groups of 8 over 200,000 keys: median {median:.0?}, 99% {slow:.0?}; while it is rewritten \
         {busy_median:.0?}, {busy_slow:.0?}"
    );
    let at = Instant::now();
    store.rebuild(NOW).expect("it is rewritten");
    println!(
        "the plain way rewrites all of it at once: commits wait {:.0?}",
        at.elapsed()
    );
}
