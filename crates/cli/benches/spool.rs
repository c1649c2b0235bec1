//! Measures how long results of 1 MB occupy an engine, for fast readers and for readers at 1 MB/s,
//! 10 KB/s and 1 KB/s, and the throughput of fast clients next to 300 slow ones. `cargo bench -p
//! eideryard-cli --bench spool` takes about a minute.

#[path = "../tests/common/mod.rs"]
mod common;

use common::scripted::{Answer, Client, Engine};
use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Pages of a result, each of about 5.9 KB: 1 MB.
const PAGES: usize = 175;
const RESULTS: usize = 60;

type OccupationTimes = Arc<Mutex<Vec<Duration>>>;

/// Serves an engine that answers at once. Returns how long each result occupied it, from the query
/// to the release.
fn serve_engine(engine: Engine, pages: usize) -> OccupationTimes {
    let times = OccupationTimes::default();
    let engine_times = times.clone();
    let page: String = (0..150)
        .map(|row| format!("some\t{row}\ttext of a row that is read\n"))
        .collect();
    std::thread::spawn(move || {
        while let Ok(mut end) = engine.accept() {
            let (times, page) = (engine_times.clone(), page.clone());
            std::thread::spawn(move || {
                let mut served_at = HashMap::new();
                while let Ok(command) = end.command() {
                    let id = command.id().to_string();
                    let _ = match command.verb() {
                        "serve" => {
                            served_at.insert(id.clone(), Instant::now());
                            end.answer(
                                &id,
                                "OK",
                                &format!("count={pages},ticks=5,footprint=12"),
                                &page,
                            )
                        }
                        "read" => {
                            end.answer(&id, "ROWS", &format!("pos={}", command.words[2]), &page)
                        }
                        "release" => {
                            let held = served_at.remove(&id).map(|at: Instant| at.elapsed());
                            times.lock().expect("no panic").extend(held);
                            Ok(())
                        }
                        _ => Ok(()),
                    };
                }
            });
        }
    });
    times
}

fn next_part(client: &mut Client) -> Option<(usize, String, bool)> {
    let Ok(Answer::Part { body, fields, .. }) = client.answer() else {
        return None;
    };
    let field = |name: &str| {
        fields
            .iter()
            .find(|(field_name, _)| field_name == name)
            .map(|(_, v)| v.clone())
            .unwrap_or_default()
    };
    Some((body.len(), field("token"), field("more") == "1"))
}

/// Reads one result at a rate in bytes per second, or as fast as possible if `rate` is `None`,
/// until the result ends or `stop` is set. Returns the number of bytes read.
fn read_result(client: &mut Client, id: &str, rate: Option<f64>, stop: &AtomicBool) -> usize {
    let mut fields = fields(id, "15000");
    fields.push(("p", "1"));
    client
        .call(1, "report", &fields, QUERY)
        .expect("the gateway reads");
    let Some((mut sum, mut token, mut has_more)) = next_part(client) else {
        return 0;
    };
    let (mut number, mut last) = (1, sum);
    while has_more && !stop.load(Ordering::Relaxed) {
        if let Some(rate) = rate {
            let until = Instant::now() + Duration::from_secs_f64(last as f64 / rate);
            while Instant::now() < until && !stop.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        number += 1;
        client
            .ask(number, "page", &[("token", &token), ("i", id)])
            .expect("the gateway reads");
        let Some((bytes, next_token, has_next)) = next_part(client) else {
            return sum;
        };
        (sum, last, token, has_more) = (sum + bytes, bytes, next_token, has_next);
    }
    sum
}

fn percentile(sorted: &[Duration], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1;
    sorted[at].as_secs_f64() * 1e3
}

fn start_gateway(
    pages: usize,
    directory: &std::path::Path,
) -> (GatewayProcess, OccupationTimes, scripted::Bulletin) {
    let (bulletin, mut engines) = start_emulators(1);
    let mut settings = config(bulletin.address(), &addresses(&engines));
    settings["settings"]["orgs"] = serde_json::json!([{"name": "acme", "quota-rps": 100000.0}]);
    let operator = format!(
        "spool-memory 64MB\nspool-key \"a secret for this bench\"\nspool-dir \"{}\"\nspool-disk 4GB\n",
        directory.display()
    );
    let gateway = GatewayProcess::start_with_operator(&settings, &operator);
    (gateway, serve_engine(engines.remove(0), pages), bulletin)
}

fn measure_occupation(name: &str, rate: Option<f64>) -> (f64, f64) {
    let directory = tempfile::tempdir().expect("a directory");
    let (gateway, times, _bulletin) = start_gateway(PAGES, directory.path());
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..RESULTS)
        .map(|number| {
            let (mut client, stop) = (gateway.client(), stop.clone());
            let thread = std::thread::spawn(move || {
                read_result(&mut client, &format!("{:016x}", number + 1), rate, &stop)
            });
            // Starts the readers one after the other, so that each time is that of a single result.
            std::thread::sleep(Duration::from_millis(40));
            thread
        })
        .collect();
    stop.store(true, Ordering::Relaxed);
    for reader in readers.into_iter() {
        _ = reader.join();
    }
    let mut times = times.lock().expect("no panic").clone();
    times.sort();
    let (median, p99) = (percentile(&times, 0.5), percentile(&times, 0.99));
    println!(
        "{name}: {} results, engine occupied for {median:.2} ms (median), {p99:.2} ms (99th percentile)",
        times.len()
    );
    (median, p99)
}

/// Returns how many results per second eight fast clients read while the given number of slow
/// clients also read.
fn throughput(slow: usize) -> f64 {
    let directory = tempfile::tempdir().expect("a directory");
    let (gateway, _times, _bulletin) = start_gateway(20, directory.path());
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..slow)
        .map(|number| {
            let (mut client, stop) = (gateway.client(), stop.clone());
            std::thread::spawn(move || {
                read_result(
                    &mut client,
                    &format!("{:016x}", 0xbb00_0000 + number),
                    Some(1024.0),
                    &stop,
                )
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1500));
    let result_count = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let fast: Vec<_> = (0..8u64)
        .map(|number| {
            let (address, result_count) = (gateway.address, result_count.clone());
            std::thread::spawn(move || {
                let mut client = Client::connect(address).expect("the gateway listens");
                let mut count = 0u64;
                while began.elapsed() < Duration::from_secs(5) {
                    count += 1;
                    let never = AtomicBool::new(false);
                    let id = format!("{:016x}", (number << 32) + 0x1000_0000 + count);
                    if read_result(&mut client, &id, None, &never) > 0 {
                        result_count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for thread in fast.into_iter() {
        _ = thread.join();
    }
    let rate = result_count.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for reader in readers.into_iter() {
        _ = reader.join();
    }
    rate
}

fn main() {
    // `cargo test` runs benches as well, without this argument.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    measure_occupation("warming up", None);
    let fast = measure_occupation("fast readers", None);
    for (name, rate) in [("1 MB/s", 1e6), ("10 KB/s", 1e4), ("1 KB/s", 1e3)] {
        let (median, p99) = measure_occupation(name, Some(rate));
        println!(
            "  relative to fast readers: median {:.2}, 99th percentile {:.2}",
            median / fast.0,
            p99 / fast.1
        );
    }
    for round in 1..=3 {
        let (without, with) = (throughput(0), throughput(300));
        println!(
            "round {round}: {without:.0} results per second alone, {with:.0} next to 300 slow readers, ratio {:.3}",
            with / without
        );
    }
}
