//! How long engines are held by results of 1 MB, with readers at 1 MB/s, 10 KB/s and 1 KB/s beside
//! fast ones, and what fast clients get beside 300 slow ones. `cargo bench -p eideryard-cli --bench
//! spool`: about a minute.

#[path = "../tests/common/mod.rs"]
mod common;

use common::standin::{Answer, Client, Engine};
use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Pages of a result, each of about 5.9 KB: 1 MB.
const PAGES: usize = 175;
const RESULTS: usize = 60;

type Holds = Arc<Mutex<Vec<Duration>>>;

/// An engine that answers at once and notes how long each result held it.
fn engine(engine: Engine, pages: usize) -> Holds {
    let holds = Holds::default();
    let own = holds.clone();
    let page: String = (0..150)
        .map(|row| format!("some\t{row}\ttext of a row that is read\n"))
        .collect();
    std::thread::spawn(move || {
        while let Ok(mut end) = engine.accept() {
            let (holds, page) = (own.clone(), page.clone());
            std::thread::spawn(move || {
                let mut begun = HashMap::new();
                while let Ok(command) = end.command() {
                    let id = command.id().to_string();
                    let _ = match command.verb() {
                        "serve" => {
                            begun.insert(id.clone(), Instant::now());
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
                            let held = begun.remove(&id).map(|at: Instant| at.elapsed());
                            holds.lock().expect("no panic").extend(held);
                            Ok(())
                        }
                        _ => Ok(()),
                    };
                }
            });
        }
    });
    holds
}

fn next(client: &mut Client) -> Option<(usize, String, bool)> {
    let Ok(Answer::Part { body, fields, .. }) = client.answer() else {
        return None;
    };
    let field = |name: &str| {
        fields
            .iter()
            .find(|(own, _)| own == name)
            .map(|(_, v)| v.clone())
            .unwrap_or_default()
    };
    Some((body.len(), field("token"), field("more") == "1"))
}

/// Reads one result at a rate in bytes a second, or as fast as it comes; until it ends or is told
/// to stop.
fn read(client: &mut Client, id: &str, rate: Option<f64>, stop: &AtomicBool) -> usize {
    let mut fields = fields(id, "15000");
    fields.push(("p", "1"));
    client
        .call(1, "report", &fields, QUERY)
        .expect("the gateway reads");
    let Some((mut sum, mut token, mut more)) = next(client) else {
        return 0;
    };
    let (mut number, mut last) = (1, sum);
    while more && !stop.load(Ordering::Relaxed) {
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
        let Some((bytes, following, goes_on)) = next(client) else {
            return sum;
        };
        (sum, last, token, more) = (sum + bytes, bytes, following, goes_on);
    }
    sum
}

fn percentile(sorted: &[Duration], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1;
    sorted[at].as_secs_f64() * 1e3
}

fn started(pages: usize, directory: &std::path::Path) -> (Running, Holds, standin::Bulletin) {
    let (bulletin, mut engines) = stand_ins(1);
    let mut settings = config(bulletin.address(), &addresses(&engines));
    settings["settings"]["orgs"] = serde_json::json!([{"name": "acme", "quota-rps": 100000.0}]);
    let operator = format!(
        "spool-memory 64MB\nspool-key \"a secret for this bench\"\nspool-dir \"{}\"\nspool-disk 4GB\n",
        directory.display()
    );
    let gateway = Running::start_with(&settings, &operator);
    (gateway, engine(engines.remove(0), pages), bulletin)
}

fn hold(name: &str, rate: Option<f64>) -> (f64, f64) {
    let directory = tempfile::tempdir().expect("a directory");
    let (gateway, holds, _bulletin) = started(PAGES, directory.path());
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..RESULTS)
        .map(|number| {
            let (mut client, stop) = (gateway.client(), stop.clone());
            let thread = std::thread::spawn(move || {
                read(&mut client, &format!("{:016x}", number + 1), rate, &stop)
            });
            // One after the other, so that each hold is that of one result.
            std::thread::sleep(Duration::from_millis(40));
            thread
        })
        .collect();
    stop.store(true, Ordering::Relaxed);
    for reader in readers.into_iter() {
        _ = reader.join();
    }
    let mut holds = holds.lock().expect("no panic").clone();
    holds.sort();
    let (median, most) = (percentile(&holds, 0.5), percentile(&holds, 0.99));
    println!(
        "{name}: {} results, engine held for {median:.2} ms (median), {most:.2} ms (99%)",
        holds.len()
    );
    (median, most)
}

/// Results a second that eight fast clients get, beside so many slow ones.
fn throughput(slow: usize) -> f64 {
    let directory = tempfile::tempdir().expect("a directory");
    let (gateway, _holds, _bulletin) = started(20, directory.path());
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..slow)
        .map(|number| {
            let (mut client, stop) = (gateway.client(), stop.clone());
            std::thread::spawn(move || {
                read(
                    &mut client,
                    &format!("{:016x}", 0xbb00_0000 + number),
                    Some(1024.0),
                    &stop,
                )
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1500));
    let done = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let fast: Vec<_> = (0..8u64)
        .map(|number| {
            let (address, done) = (gateway.address, done.clone());
            std::thread::spawn(move || {
                let mut client = Client::connect(address).expect("the gateway listens");
                let mut count = 0u64;
                while began.elapsed() < Duration::from_secs(5) {
                    count += 1;
                    let never = AtomicBool::new(false);
                    let id = format!("{:016x}", (number << 32) + 0x1000_0000 + count);
                    if read(&mut client, &id, None, &never) > 0 {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for thread in fast.into_iter() {
        _ = thread.join();
    }
    let rate = done.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for reader in readers.into_iter() {
        _ = reader.join();
    }
    rate
}

fn main() {
    // Cargo tests benches too, with a word that asks for nothing.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    hold("warming up", None);
    let fast = hold("fast readers", None);
    for (name, rate) in [("1 MB/s", 1e6), ("10 KB/s", 1e4), ("1 KB/s", 1e3)] {
        let (median, most) = hold(name, Some(rate));
        println!(
            "  against fast ones: median {:.2}, 99% {:.2}",
            median / fast.0,
            most / fast.1
        );
    }
    for round in 1..=3 {
        let (without, with) = (throughput(0), throughput(300));
        println!(
            "round {round}: {without:.0} results a second alone, {with:.0} beside 300 slow readers, {:.3}",
            with / without
        );
    }
}
