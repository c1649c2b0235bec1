//! Writes an event log of ten million entries and measures the time and peak memory of verifying it
//! and of writing the report page. `cargo bench -p eideryard-cli --bench day`.

#[path = "../../event-log/tests/common/mod.rs"]
mod common;

use common::{config, served_request_entries, start_segment_if_needed};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::Recorder;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const ENTRIES: u64 = 10_000_000;

/// Returns the peak resident memory of a process in MB, as reported by the kernel.
fn peak_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? / 1024)
}

fn run(name: &str, arguments: &[&str]) {
    let started = Instant::now();
    let mut child = Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .args(arguments)
        .stdout(Stdio::null())
        .spawn()
        .expect("the program runs");
    let mut memory = 0;
    while child
        .try_wait()
        .expect("the program can be waited for")
        .is_none()
    {
        memory = peak_memory(child.id()).unwrap_or(memory).max(memory);
        std::thread::sleep(Duration::from_millis(2));
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{name}: {seconds:.2} s, {:.1} million entries per second, {memory} MB",
        ENTRIES as f64 / seconds / 1e6
    );
}

fn main() {
    // `cargo test` runs benches as well, without this argument.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let directory = tempfile::tempdir().expect("a directory");
    let records = directory.path().join("records");
    let config = eideryard_event_log::Config {
        max_total_bytes: 1 << 30,
        ..config("g1", 8 << 20)
    };
    let mut recorder =
        Recorder::start(config, Box::new(Directory(records.clone()))).expect("a thread");
    let (mut written, mut number) = (0, 100);
    while written < ENTRIES {
        for (at, entry) in served_request_entries(number) {
            start_segment_if_needed(&mut recorder, at);
            recorder.record(at, entry.as_ref());
            written += 1;
        }
        number += 1;
        if number % 2000 == 0 {
            // Lets the writer thread keep up, so that no entry is dropped.
            std::thread::sleep(Duration::from_millis(4));
        }
    }
    drop(recorder);
    std::thread::sleep(Duration::from_millis(500));
    let records = records.display().to_string();
    let page = directory.path().join("page.html").display().to_string();
    run("verify", &["records", "verify", &records]);
    run("report", &["report", &records, "--out", &page]);
    let span = ["--from", "1796147875", "--to", "1796147935"];
    run(
        "report of a minute",
        &[&["report", &records, "--out", &page][..], &span].concat(),
    );
}
