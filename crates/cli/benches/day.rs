//! A long record: ten million entries, written, read and made a page of, with the most memory that
//! it took. `cargo bench -p eideryard-cli --bench day`.

#[path = "../../event-log/tests/common/mod.rs"]
mod common;

use common::{config, served_request_entries, start_segment_if_needed};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::Recorder;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const ENTRIES: u64 = 10_000_000;

/// The most memory that a process has held, in MB, by the system's own account.
fn most_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? / 1024)
}

fn run(what: &str, words: &[&str]) {
    let began = Instant::now();
    let mut child = Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .args(words)
        .stdout(Stdio::null())
        .spawn()
        .expect("the program runs");
    let mut memory = 0;
    while child.try_wait().expect("it can be waited for").is_none() {
        memory = most_memory(child.id()).unwrap_or(memory).max(memory);
        std::thread::sleep(Duration::from_millis(2));
    }
    let took = began.elapsed().as_secs_f64();
    println!(
        "{what}: {took:.2} s, {:.1} million entries a second, {memory} MB",
        ENTRIES as f64 / took / 1e6
    );
}

fn main() {
    // Cargo tests benches too, with a word that asks for nothing.
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
            // The writer keeps up, so that nothing is left out.
            std::thread::sleep(Duration::from_millis(4));
        }
    }
    drop(recorder);
    std::thread::sleep(Duration::from_millis(500));
    let records = records.display().to_string();
    let page = directory.path().join("page.html").display().to_string();
    run("verify", &["records", "verify", &records]);
    run("report", &["report", &records, "--out", &page]);
    let part = ["--from", "1796147875", "--to", "1796147935"];
    run(
        "report of a minute",
        &[&["report", &records, "--out", &page][..], &part].concat(),
    );
}
