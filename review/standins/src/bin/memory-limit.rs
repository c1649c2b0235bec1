//! Loads with statements of up to 1 MB take a gateway over its memory limit, and the platform kills it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins::bulletin::Bulletin;
use review_standins::client::{Answer, Client};
use review_standins::engine::{Engine, Handler};
use review_standins::gateway::{config, Folder, Gateway};
use review_standins::record::Record;
use review_standins::settings::{self, Changes, LOAD_DEADLINE_MS, LOAD_WINDOW_MS, ZONES};
use review_standins::{finish, has_trouble, start_watchdog};

/// The least limit that the pages name.
const MEMORY_MB: u64 = 32;
/// The sizes of the statements, one after the other, each from a client of its own.
const STATEMENTS: [usize; 4] = [200_000, 500_000, 1_000_000, 1_000_000];
/// The same without the disruption.
const SMALL_STATEMENTS: [usize; 4] = [2_000, 5_000, 10_000, 10_000];
const LOOKUPS: u64 = 20;

/// The memory of a process in kB: now, and at most so far. Pages of files, which it shares with
/// other processes of the program, are left out.
fn memory_kb(process: u32) -> Option<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = |name: &str| -> Option<u64> {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    let files = value("RssFile:")?;
    Some((value("RssAnon:")?, value("VmHWM:")?.saturating_sub(files)))
}

/// The platform: kills the gateway once it was over its limit.
fn watch_memory(process: u32, was_killed: Arc<AtomicBool>, record: Record) {
    std::thread::spawn(move || {
        let mut reported = 0;
        while let Some((now, most)) = memory_kb(process) {
            if most > reported + 2_000 {
                record.line(&format!(
                    "platform: the gateway has {now} kB, at most {most} kB"
                ));
                reported = most;
            }
            if most > MEMORY_MB * 1024 && !was_killed.swap(true, Ordering::SeqCst) {
                record.line(&format!(
                    "platform: {most} kB are over the limit of {MEMORY_MB} MB, the gateway is killed"
                ));
                let _ = std::process::Command::new("/bin/sh")
                    .args(["-c", &format!("kill -KILL {process}")])
                    .status();
                return;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
}

/// A batch of readings: sensor, degrees, door.
fn batch(bytes: usize) -> String {
    let mut statement = String::from("INSERT INTO readings_17.batches VALUES ");
    while statement.len() + 8 < bytes {
        statement.push_str("(7,4,1),");
    }
    statement.push_str("(7,4,1)");
    statement
}

/// An engine that takes a second for everything.
fn handler(record: Record) -> Handler {
    Arc::new(move |serve, reply| {
        let name = reply.engine().name.clone();
        std::thread::sleep(Duration::from_secs(1));
        if !reply.is_given_up() {
            let bytes = serve.statement.len();
            record.line(&format!(
                "{name}: {} has run, a statement of {bytes} bytes",
                serve.id
            ));
            reply.answer("OK", "count=1,ticks=150,footprint=50", "a\tb\tc\n");
        }
    })
}

fn run(record: &Record) -> Result<bool, String> {
    let folder = Folder::create()?;
    let bulletin = Bulletin::start()?;
    let mut engines = Vec::new();
    for index in 0..6 {
        let kind = if index < 4 { "std-16" } else { "std-12" };
        let zone = ZONES[index % 3];
        let name = format!("s-{index}");
        let handler = handler(record.clone());
        engines.push(Engine::start(
            &name,
            zone,
            kind,
            index as u32 % 3,
            record,
            handler,
        )?);
    }
    let hosts: Vec<String> = engines.iter().map(|engine| engine.host("up")).collect();
    let settings = settings::gulf(&Changes {
        peers: 3,
        me: 0,
        load_group: "all",
        may_cancel: true,
        deadline_ms: LOAD_DEADLINE_MS,
        window_ms: LOAD_WINDOW_MS,
    });
    let limit = format!("\"memory_mb\":{MEMORY_MB}");
    let config = config("n0", bulletin.address, &hosts, &settings);
    let config = config.replace("\"memory_mb\":192", &limit);
    let gateway = Gateway::start("n0", &config, "", &folder, record)?;
    let was_killed: Arc<AtomicBool> = Arc::default();
    watch_memory(gateway.process(), was_killed.clone(), record.clone());

    // Other clients' lookups, always some of them open.
    let address = gateway.address;
    let lookup_record = record.clone();
    let lookups = std::thread::spawn(move || -> Result<u64, String> {
        let mut client = Client::connect("lookups", address, &lookup_record)?;
        let mut calls = Vec::new();
        for index in 0..LOOKUPS {
            let id = format!("9b1f03aa5c7f{index:04x}");
            let fields = [
                ("i", id.as_str()),
                ("d", "4000"),
                ("t", "pinecrest-cold"),
                ("h", "150"),
            ];
            let statement = format!("SELECT * FROM sensors_{index}.latest");
            match client.call("reading-lookup", &fields, &statement) {
                Ok(call) => calls.push(call),
                Err(_) => break,
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        let answers = calls
            .into_iter()
            .map(|call| client.wait_recorded(call, Duration::from_secs(5)));
        Ok(answers
            .filter(|answer| matches!(answer, Answer::Closed | Answer::Nothing))
            .count() as u64)
    });

    let sizes = if has_trouble() {
        STATEMENTS
    } else {
        SMALL_STATEMENTS
    };
    for (index, bytes) in sizes.iter().enumerate() {
        let Ok(mut client) = Client::connect(&format!("load {index}"), address, record) else {
            break;
        };
        let (id, key) = (
            format!("9b1f03aa5c7e{index:04x}"),
            format!("{:032x}", 0x5c0f_6e00 + index),
        );
        let fields = [
            ("i", id.as_str()),
            ("d", "20000"),
            ("t", "bayou-reefer"),
            ("k", key.as_str()),
        ];
        let fields: Vec<_> = fields
            .into_iter()
            .chain([("h", "4000"), ("ram", "400")])
            .collect();
        let begun = Instant::now();
        record.line(&format!(
            "load {index} sends reading-load {fields:?}, a statement of {bytes} bytes"
        ));
        let Ok(call) = client.call_quietly("reading-load", &fields, &batch(*bytes)) else {
            break;
        };
        let answer = client.wait_recorded(call, Duration::from_secs(8));
        if matches!(answer, Answer::Closed) {
            break;
        }
        std::thread::sleep(Duration::from_millis(1_200).saturating_sub(begun.elapsed()));
    }
    let lost = lookups.join().map_err(|_| "the lookups failed")??;
    let was_killed = was_killed.load(Ordering::SeqCst);
    record.line(&format!(
        "gateway killed: {was_killed}; lookups without an answer: {lost}"
    ));
    Ok(!was_killed)
}

fn main() {
    start_watchdog();
    let record = Record::create();
    let result = run(&record);
    finish(result, &record)
}
