//! A keyed load that is long in flight while the store's log is rewritten, and whose gateway is then
//! killed and started again: is it sent again after the time for which engines remember its key?

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Group, Keys, Plan, Serve, Settings};
use crate::gateway::{free_address, start_others, Bulletin, Folder, Gateway, Start};
use crate::record::Record;
use crate::{Outcome, Run, Verdict};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const ZONES: [&str; 3] = ["bldg-a", "bldg-b", "bldg-c"];
/// Work of the long load, and of the others and of a further attempt.
const LONG: Duration = Duration::from_millis(17_000);
const SHORT: Duration = Duration::from_millis(20);
const AGAIN: Duration = Duration::from_millis(500);
/// How long engines remember a key.
const WINDOW: Duration = Duration::from_millis(3000);
/// When the gateway is killed, after the long load.
const KILLED_AFTER: Duration = Duration::from_millis(15_000);
/// How long the gateway is away; the pages name 1 to 8 s.
const AWAY: Duration = Duration::from_millis(1000);
/// How long the client waits once its gateway can be reached again; the site has 100 to 600 ms.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The class's give-up time, over all tries.
const GIVE_UP: Duration = Duration::from_millis(25_000);
/// Clients that send short loads, one each `PACE`: 33 a second, 6.3% of the 520 requests a second
/// that a gateway of the site gets on its busiest day.
const OTHERS: u32 = 8;
const PACE: Duration = Duration::from_millis(240);
/// Short loads before the long one; the log is rewritten after some 860.
const LOADS_BEFORE: u32 = 480;
/// Slack of the rules on sockets.
const SLACK: Duration = Duration::from_millis(50);

fn site() -> Site {
    let class = |name, aim_ms, deadline_ms, repeat, threads| Class {
        name,
        aim_ms,
        deadline_ms,
        repeat,
        group: "zone",
        window_ms: WINDOW.as_millis() as u64,
        in_order: false,
        threads,
        is_load: repeat == "token",
    };
    Site {
        classes: vec![
            class("reading-lookup", 800, 4_000, "pure", 1),
            class("history-report", 3_000, 20_000, "pure", 2),
            class("reading-load", 4_000, 25_000, "token", 2),
        ],
        tenant: "bayou-reefer",
        may_cancel: false,
        max_attempts: 5,
        note_ms: 500,
        zones: ZONES.to_vec(),
        gateways: 3,
        order_pause_ms: 0,
        drain_grace_ms: 500,
        memory_mb: 192,
        sockets: 1024,
    }
}

fn is_long(serve: &Serve) -> bool {
    serve.field("replay") == Some(KEY)
}

fn start_engines(run: &Run) -> std::io::Result<Vec<Engine>> {
    let keys: Keys = Arc::default();
    let was_sent = Arc::new(AtomicBool::new(false));
    (0..6)
        .map(|number: usize| {
            let zone = ZONES[number % ZONES.len()];
            let settings = Settings {
                runs_on: true,
                notes: Duration::from_millis(500),
                group: Some(Group {
                    name: zone.to_string(),
                    keys: keys.clone(),
                    window: WINDOW,
                }),
            };
            let was_sent = was_sent.clone();
            let name = format!("e{}-{zone}", number + 1);
            Engine::start(&name, &run.record, settings, move |serve| {
                if !is_long(serve) {
                    Plan::Run(SHORT, one_row(&serve.id))
                } else if was_sent.swap(true, Ordering::SeqCst) {
                    Plan::Run(AGAIN, one_row(&serve.id))
                } else {
                    Plan::Run(LONG, one_row(&serve.id))
                }
            })
        })
        .collect()
}

pub fn run(run: &Run) -> Outcome {
    let record = &run.record;
    let folder = Folder::create()?;
    let bulletin = Bulletin::start(record)?;
    let engines = start_engines(run)?;
    let hosts = engines.iter().enumerate();
    let hosts: Vec<String> = hosts
        .map(|(number, engine)| host(engine, ZONES[number % ZONES.len()], "up"))
        .collect();
    let store_of = |index: u32| folder.0.join(format!("store-{index}"));
    let start_of = |index: u32, listen| Start {
        root: run.root.clone(),
        folder: folder.0.clone(),
        name: format!("n{}", index + 1),
        listen,
        config: config(&site(), index, listen, bulletin.address, &hosts),
        operator: format!(
            "store-dir \"{}\"\nstore-budget 1MB\n",
            store_of(index).display()
        ),
    };
    let start = start_of(0, free_address()?);
    let mut gateway = Gateway::start(&start, record)?;
    let count = site().gateways;
    let _beside = start_others(count, record, |index| Ok(start_of(index, free_address()?)))?;
    // A store that is older than the longest window and 2 s knows all that was sent.
    thread::sleep(WINDOW + Duration::from_secs(3));
    let others = Others::start(&gateway, record);
    let mut segments = Vec::new();
    let mut note_segments = || {
        let found = segments_of(&store_of(0));
        if found != segments {
            record.line(&format!("segments of the store: {}", found.join(" ")));
            segments = found;
        }
        thread::sleep(Duration::from_millis(100));
    };
    while others.sent() < LOADS_BEFORE {
        note_segments();
    }
    let mut client = Client::noted(gateway.address, "client", record)?;
    send_load(&mut client, "9b1f03aa5c7e2d41", GIVE_UP, false)?;
    let sent_at = record.now();
    while record.now() < sent_at + KILLED_AFTER {
        note_segments();
    }
    record.line(&format!("{} short loads were sent", others.stop()));
    if run.has_trouble {
        gateway.kill();
        thread::sleep(AWAY);
        gateway = Gateway::start(&start, record)?;
        thread::sleep(RETRY_AFTER);
        client = Client::noted(gateway.address, "client", record)?;
        let left = (sent_at + GIVE_UP).saturating_sub(record.now());
        send_load(&mut client, "9b1f03aa5c7e2d42", left, true)?;
    }
    let left = (sent_at + GIVE_UP).saturating_sub(record.now());
    client.answer(left)?;
    // The first run may still go on.
    thread::sleep((sent_at + LONG + Duration::from_secs(1)).saturating_sub(record.now()));
    Ok(judge(&engines))
}

fn judge(engines: &[Engine]) -> Verdict {
    let mut sent: Vec<Serve> = engines.iter().flat_map(Engine::served).collect();
    sent.retain(is_long);
    sent.sort_by_key(|serve| serve.at);
    let effects = engines.iter().flat_map(Engine::effects);
    let effects = effects.filter(is_long).count();
    let (Some(first), Some(last)) = (sent.first(), sent.last()) else {
        return Verdict::Held;
    };
    if last.at > first.at + WINDOW + SLACK {
        return Verdict::Broken(format!(
            "the load was sent again {:.0} ms after it was first sent, and engines remember its key \
             for 3,000 ms; it took effect {effects} times",
            (last.at - first.at).as_secs_f64() * 1e3
        ));
    }
    Verdict::Held
}

fn segments_of(store: &std::path::Path) -> Vec<String> {
    let entries = std::fs::read_dir(store).into_iter().flatten().flatten();
    let names = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".seg")).collect();
    names.sort();
    names
}

fn send_load(client: &mut Client, id: &str, wait: Duration, is_retry: bool) -> std::io::Result<()> {
    let wait_ms = wait.as_millis().to_string();
    let mut fields = vec![
        ("i", id),
        ("d", &*wait_ms),
        ("t", "bayou-reefer"),
        ("k", KEY),
        ("h", "1000"),
        ("ram", "64"),
    ];
    if is_retry {
        fields.push(("r", "1"));
    }
    let statement = b"INSERT INTO temps_17.readings VALUES (1)";
    client.call(1, "reading-load", &fields, statement)?;
    Ok(())
}

/// Other clients, which send one short load after the other.
struct Others {
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU32>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Others {
    fn start(gateway: &Gateway, record: &Record) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicU32::new(0));
        let threads = (0..OTHERS).map(|number| {
            let (address, is_over, sent) = (gateway.address, is_over.clone(), sent.clone());
            let record = record.clone();
            thread::spawn(move || {
                let name = format!("other client {}", number + 1);
                let Ok(mut client) = Client::noted(address, &name, &record) else {
                    return;
                };
                let mut call = 0;
                thread::sleep(PACE / OTHERS * number);
                let mut next_at = record.now();
                while !is_over.load(Ordering::SeqCst) {
                    call += 1;
                    if send_short(&mut client, number, call).is_err() {
                        return;
                    }
                    sent.fetch_add(1, Ordering::SeqCst);
                    if !matches!(client.answer(Duration::from_secs(9)), Ok(Some(_))) {
                        return;
                    }
                    next_at += PACE;
                    thread::sleep(next_at.saturating_sub(record.now()));
                }
            })
        });
        let threads = threads.collect();
        Others {
            is_over,
            sent,
            threads,
        }
    }

    fn sent(&self) -> u32 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Returns how many loads were sent.
    fn stop(self) -> u32 {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.load(Ordering::SeqCst)
    }
}

fn send_short(client: &mut Client, number: u32, call: u32) -> std::io::Result<()> {
    let id = format!("0000000{number:02x}{call:07x}");
    let key = format!("00000000000000000000000{number:02x}{call:07x}");
    let fields = [
        ("i", &*id),
        ("d", "20000"),
        ("t", "bayou-reefer"),
        ("k", &*key),
        ("h", "50"),
        ("ram", "16"),
    ];
    let statement = format!("INSERT INTO temps_{}.readings VALUES (2)", 20 + call % 40);
    client.call(call, "reading-load", &fields, statement.as_bytes())
}
