//! Measures the store: commits per second and the 99th percentile of commit times by group size,
//! recovery time by number of keys, bytes per key, and the effect of rewriting on commits. Each
//! figure is compared in the same run with a baseline that appends to one file, flushes, and
//! rewrites the whole file when it is long. `cargo bench -p eideryard-store` takes about a minute.
//! The figures depend on the machine's disk.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use eideryard_store::{Batch, Config, Directory, Store};

const NOW: u64 = 1_800_000_000_000;
const CONFIG: Config = Config { budget: 4 << 30 };
const RUN_TIME: Duration = Duration::from_millis(1500);

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
        .expect("the store is opened")
        .0
}

fn median_and_p99(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Commits groups of writes for [`RUN_TIME`]. Returns the writes per second, and the median and the
/// 99th percentile of the commit times.
fn measure_commits(group: u64, mut commit: impl FnMut(u64, u64)) -> (f64, Duration, Duration) {
    let (started_at, mut times, mut number) = (Instant::now(), Vec::new(), 0);
    while started_at.elapsed() < RUN_TIME {
        let commit_at = Instant::now();
        commit(number, group);
        number += group;
        times.push(commit_at.elapsed());
    }
    let rate = number as f64 / started_at.elapsed().as_secs_f64();
    let (median, p99) = median_and_p99(times);
    (rate, median, p99)
}

/// The baseline: one file that is flushed at each commit.
struct Baseline(File);

fn baseline_path(path: &Path) -> std::path::PathBuf {
    path.join("plain")
}

impl Baseline {
    fn open(path: &Path) -> Self {
        Baseline(
            OpenOptions::new()
                .create(true)
                .append(true)
                .open(baseline_path(path))
                .expect("the baseline's file is opened"),
        )
    }

    fn commit(&mut self, from: u64, group: u64) {
        let mut bytes = Vec::new();
        for number in from..from + group {
            bytes.extend_from_slice(&key(number));
            bytes.extend_from_slice(&VALUE);
        }
        self.0.write_all(&bytes).expect("the group is written");
        self.0.sync_data().expect("the group is flushed");
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
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

#[expect(clippy::too_many_lines, reason = "a linear sequence of measurements")]
fn main() {
    for group in [1, 8, 64] {
        let directory = tempfile::tempdir().expect("a temporary directory is created");
        let mut store = open(directory.path());
        let (rate, median, p99) = measure_commits(group, |from, group| {
            (from..from + group).for_each(|number| _ = store.write(batch(number)));
            store.flush().expect("the batches are flushed");
        });
        let mut baseline = Baseline::open(directory.path());
        let (baseline_rate, baseline_median, baseline_p99) =
            measure_commits(group, |from, group| baseline.commit(from, group));
        println!(
            "groups of {group}: {rate:.0} writes/s, median {median:.0?}, 99% {p99:.0?}; \
             baseline {baseline_rate:.0}/s, {baseline_median:.0?}, {baseline_p99:.0?}"
        );
    }
    for count in [1_000_000u64, 100_000, 10_000] {
        let directory = tempfile::tempdir().expect("a temporary directory is created");
        let mut baseline = Baseline::open(directory.path());
        baseline.commit(0, count);
        drop(baseline);
        let bytes_before = resident_bytes();
        let mut store = open(directory.path());
        for number in 0..count {
            store.write(batch(number));
            if number % 1000 == 0 {
                store.flush().expect("the batches are flushed");
            }
        }
        store.flush().expect("the batches are flushed");
        let log_bytes = store.bytes();
        let memory_bytes = resident_bytes().saturating_sub(bytes_before);
        drop(store);
        let started_at = Instant::now();
        let store = open(directory.path());
        let recovery_time = started_at.elapsed();
        let snapshot_bytes = {
            let mut store = store;
            store.rebuild(NOW).expect("the store is rewritten");
            store.bytes()
        };
        println!(
            "{count} keys: recovered from the log in {recovery_time:.2?}; {:.1} bytes per key in \
             the log, {:.1} in a snapshot, {:.0} in memory",
            log_bytes as f64 / count as f64,
            snapshot_bytes as f64 / count as f64,
            memory_bytes as f64 / count as f64
        );
        let started_at = Instant::now();
        let bytes =
            std::fs::read(baseline_path(directory.path())).expect("the baseline's file is read");
        let map: std::collections::BTreeMap<Vec<u8>, Vec<u8>> = bytes
            .chunks_exact(40)
            .map(|pair| (pair[..19].to_vec(), pair[19..].to_vec()))
            .collect();
        println!(
            "  baseline: {:.0?} for {} keys of 40 bytes, without checksums",
            started_at.elapsed(),
            map.len()
        );
    }
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let mut store = open(directory.path());
    (0..200_000).for_each(|number| _ = store.write(batch(number)));
    store.flush().expect("the batches are flushed");
    while !store.rewrite(NOW, 1 << 20).expect("the store is rewritten") {}
    let mut next_number = 0;
    let mut commit = |store: &mut Store| {
        (next_number..next_number + 8).for_each(|number| _ = store.write(batch(number % 200_000)));
        next_number += 8;
        store.flush().expect("the batches are flushed");
    };
    let (_, median, p99) = measure_commits(8, |_, _| commit(&mut store));
    // Rewrites as the worker does: in slices of 16 KB between commits, at 8 MB per second. The next
    // commit may have to wait for a slice.
    let mut last_slice_at = Instant::now();
    let (_, rewrite_median, rewrite_p99) = measure_commits(8, |_, _| {
        commit(&mut store);
        if last_slice_at.elapsed() >= Duration::from_millis(2) {
            last_slice_at = Instant::now();
            _ = store.rewrite(NOW, 16 << 10);
        }
    });
    println!(
        "groups of 8 over 200,000 keys: median {median:.0?}, 99% {p99:.0?}; during a rewrite \
         {rewrite_median:.0?}, {rewrite_p99:.0?}"
    );
    let started_at = Instant::now();
    store.rebuild(NOW).expect("the store is rewritten");
    println!(
        "baseline, which rewrites everything at once: commits wait {:.0?}",
        started_at.elapsed()
    );
}
