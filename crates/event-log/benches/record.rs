//! Measures the cost of the event log: recording entries on the event loop's thread, the size of an
//! entry, and decoding and reading entries. Size and encoding are compared with plain JSON lines.
//! The entries are those of a typical request. Run with `cargo bench -p eideryard-event-log`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{config, served_request_entries, start_segment_if_needed, START};
use divan::counter::{BytesCount, ItemsCount};
use divan::Bencher;
use eideryard::interface::*;
use eideryard_event_log::codec::{Context, Decoder};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::{Entry, MergedReader, Recorder};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::io::Write;

/// Counts the allocations by each thread.
struct Counting;

thread_local!(static ALLOCATIONS: Cell<u64> = const { Cell::new(0) });

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // Fails for a thread that is ending, whose allocations don't matter.
        let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn entries(count: u64) -> Vec<(Micros, Entry)> {
    (100..100 + count / 11)
        .flat_map(served_request_entries)
        .collect()
}

/// Writes an entry as one line of JSON, as a text log of the same events would contain it.
fn write_json_line(out: &mut Vec<u8>, at: Micros, entry: &Entry) {
    // Writing to a vector cannot fail.
    let _ = match entry.as_ref() {
        EntryRef::Event(event) => writeln!(out, "{{\"at\":{at},\"in\":\"{event:?}\"}}"),
        EntryRef::Action(action) => writeln!(out, "{{\"at\":{at},\"out\":\"{action:?}\"}}"),
        EntryRef::Host(host) => writeln!(out, "{{\"at\":{at},\"host\":\"{host:?}\"}}"),
    };
}

fn main() {
    print_sizes();
    divan::main();
}

/// Prints the figures that need no timing: bytes per entry, and allocations while recording.
fn print_sizes() {
    let entries = entries(110_000);
    let (mut bytes, mut context, mut json) = (Vec::new(), Context::new(START), Vec::new());
    for (at, entry) in &entries {
        context.encode(&mut bytes, *at, entry.as_ref());
        write_json_line(&mut json, *at, entry);
    }
    let bytes_per_entry = |bytes: &[u8]| bytes.len() as f64 / entries.len() as f64;
    println!(
        "bytes per entry: {:.1}, as JSON lines {:.1}",
        bytes_per_entry(&bytes),
        bytes_per_entry(&json)
    );
    let directory = tempfile::tempdir().expect("a directory");
    let mut recorder = start_recorder(directory.path());
    let allocations_before = ALLOCATIONS.get();
    for (at, entry) in &entries {
        recorder.record(*at, entry.as_ref());
    }
    println!(
        "allocations while {} entries were recorded: {}",
        entries.len(),
        ALLOCATIONS.get() - allocations_before
    );
}

fn start_recorder(directory: &std::path::Path) -> Recorder {
    let config = config("bench", 1 << 30);
    let mut recorder =
        Recorder::start(config, Box::new(Directory(directory.into()))).expect("a thread");
    start_segment_if_needed(&mut recorder, START);
    recorder
}

/// Records 11,000 entries per sample on the event loop's thread, while the writer thread runs.
#[divan::bench(sample_count = 200)]
fn record(bencher: Bencher<'_, '_>) {
    let entries = entries(11_000);
    let directory = tempfile::tempdir().expect("a directory");
    let mut recorder = start_recorder(directory.path());
    // Gives the writer as much time as it has between two polls of the sockets, so that no entry
    // is dropped.
    let pause = || std::thread::sleep(std::time::Duration::from_millis(4));
    bencher
        .counter(ItemsCount::new(entries.len()))
        .with_inputs(pause)
        .bench_local_values(|()| {
            for (at, entry) in &entries {
                recorder.record(*at, entry.as_ref());
            }
        });
    assert!(!recorder.needs_segment(START), "entries were dropped");
}

/// Encodes entries without recorder and writer.
#[divan::bench(sample_count = 200)]
fn encode(bencher: Bencher<'_, '_>) {
    let entries = entries(11_000);
    let mut out = Vec::with_capacity(1 << 20);
    bencher
        .counter(ItemsCount::new(entries.len()))
        .bench_local(|| {
            out.clear();
            let mut context = Context::new(START);
            for (at, entry) in entries.iter() {
                context.encode(&mut out, *at, entry.as_ref());
            }
        });
}

#[divan::bench(sample_count = 200)]
fn encode_json_lines(bencher: Bencher<'_, '_>) {
    let entries = entries(11_000);
    let mut out = Vec::with_capacity(4 << 20);
    bencher
        .counter(ItemsCount::new(entries.len()))
        .bench_local(|| {
            out.clear();
            for (at, entry) in entries.iter() {
                write_json_line(&mut out, *at, entry);
            }
        });
}

#[divan::bench(sample_count = 200)]
fn decode(bencher: Bencher<'_, '_>) {
    let entries = entries(11_000);
    let (mut bytes, mut context) = (Vec::new(), Context::new(START));
    for (at, entry) in entries.iter() {
        context.encode(&mut bytes, *at, entry.as_ref());
    }
    bencher
        .counter(ItemsCount::new(entries.len()))
        .counter(BytesCount::new(bytes.len()))
        .bench_local(|| {
            let mut decoder = Decoder::new(&bytes, Context::new(START));
            let mut count = 0;
            while let Ok(Some(_)) = decoder.next_entry() {
                count += 1;
            }
            assert_eq!(count, entries.len());
        });
}

/// Reads two gateways' logs of 550,000 entries each from files, verifies checksums and merges them
/// by time.
#[divan::bench(sample_count = 5)]
fn read_two_records(bencher: Bencher<'_, '_>) {
    let directory = tempfile::tempdir().expect("a directory");
    let entries = entries(550_000);
    for name in ["g1", "g2"] {
        let config = eideryard_event_log::Config {
            name: name.into(),
            ..config(name, 8 << 20)
        };
        let mut recorder = Recorder::start(config, Box::new(Directory(directory.path().into())))
            .expect("a thread");
        for (number, (at, entry)) in entries.iter().enumerate() {
            start_segment_if_needed(&mut recorder, *at);
            recorder.record(*at, entry.as_ref());
            if number % 20_000 == 0 {
                // Lets the writer keep up, so that no entry is dropped.
                std::thread::sleep(std::time::Duration::from_millis(5));
            }
        }
    }
    bencher
        .counter(ItemsCount::new(2 * entries.len()))
        .bench_local(|| {
            let mut merged =
                MergedReader::open(&[directory.path().into()]).expect("the event logs");
            let mut count = 0;
            while merged.next_entry().expect("undamaged event logs").is_some() {
                count += 1;
            }
            assert!(count >= 2 * entries.len());
        });
}
