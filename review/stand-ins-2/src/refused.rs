//! A keyed load whose answer is lost: does its client, which is told that trying again is harmless and
//! tries again, have it run twice?

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Answer, Client};
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Group, Keys, Plan, Serve, Settings};
use crate::gateway::{free_address, Bulletin, Folder, Gateway, Start};
use crate::record::Record;
use crate::{Outcome, Run, Verdict};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const ZONE: &str = "bldg-a";
/// Work of the load; the site has 2,700 to 5,500 ms on average.
const WORK: Duration = Duration::from_millis(4000);
/// How long engines remember a key.
const WINDOW: Duration = Duration::from_millis(3000);
/// The class's give-up time, over all tries.
const GIVE_UP: Duration = Duration::from_millis(25_000);
/// Wait of the first try: 80% of the give-up time.
const FIRST_WAIT: Duration = Duration::from_millis(20_000);

fn site() -> Site {
    let class = |name, aim_ms, deadline_ms, repeat, threads, is_load| Class {
        name,
        aim_ms,
        deadline_ms,
        repeat,
        group: "all",
        window_ms: WINDOW.as_millis() as u64,
        in_order: false,
        threads,
        is_load,
    };
    Site {
        classes: vec![
            class("reading-lookup", 800, 4_000, "pure", 1, false),
            class("history-report", 3_000, 20_000, "pure", 2, false),
            class("reading-load", 4_000, 25_000, "token", 2, true),
        ],
        tenant: "bayou-reefer",
        may_cancel: true,
        max_attempts: 5,
        note_ms: 500,
        zones: vec![ZONE],
        gateways: 1,
        order_pause_ms: 0,
        drain_grace_ms: 500,
        memory_mb: 192,
        sockets: 1024,
    }
}

fn is_load(serve: &Serve) -> bool {
    serve.field("replay") == Some(KEY)
}

pub fn run(run: &Run) -> Outcome {
    let record = &run.record;
    let folder = Folder::create()?;
    let bulletin = Bulletin::start(record)?;
    let keys: Keys = Arc::default();
    let has_lost_one = Arc::new(AtomicBool::new(!run.has_trouble));
    let engines: Vec<Engine> = ["e1", "e2", "e3", "e4", "e5", "e6"]
        .iter()
        .map(|name| {
            let settings = Settings {
                runs_on: false,
                notes: Duration::from_millis(500),
                group: Some(Group {
                    name: "all".to_string(),
                    keys: keys.clone(),
                    window: WINDOW,
                }),
            };
            let has_lost_one = has_lost_one.clone();
            Engine::start(name, record, settings, move |serve| {
                if !is_load(serve) {
                    Plan::Run(Duration::from_millis(100), one_row(&serve.id))
                } else if has_lost_one.swap(true, Ordering::SeqCst) {
                    Plan::Run(WORK, one_row(&serve.id))
                } else {
                    Plan::Lost(WORK)
                }
            })
        })
        .collect::<Result<_, _>>()?;
    let hosts: Vec<String> = engines
        .iter()
        .map(|engine| host(engine, ZONE, "up"))
        .collect();
    let listen = free_address()?;
    let start = Start {
        root: run.root.clone(),
        folder: folder.0.clone(),
        name: "n1".to_string(),
        listen,
        config: config(&site(), 0, listen, bulletin.address, &hosts),
        operator: String::new(),
    };
    let gateway = Gateway::start(&start, record)?;
    let others = Others::start(&gateway, record)?;
    thread::sleep(Duration::from_secs(1));
    let began = record.now();
    let left = |now: Duration| (began + GIVE_UP).saturating_sub(now);
    let mut answer = try_load(run, &gateway, "9b1f03aa5c7e2d41", FIRST_WAIT, false)?;
    if answer.as_ref().is_some_and(Answer::is_refused) {
        // A refusal may say how long to stay away.
        thread::sleep(Duration::from_millis(500));
        let wait = left(record.now());
        answer = try_load(run, &gateway, "9b1f03aa5c7e2d42", wait, true)?;
    }
    let described = answer.map(|answer| answer.describe());
    record.line(&format!("the client ends with {described:?}"));
    others.stop();
    let effects: Vec<Serve> = engines
        .iter()
        .flat_map(Engine::effects)
        .filter(is_load)
        .collect();
    if effects.len() > 1 {
        return Ok(Verdict::Broken(format!(
            "the load with key {KEY} took effect {} times",
            effects.len()
        )));
    }
    Ok(Verdict::Held)
}

fn try_load(
    run: &Run,
    gateway: &Gateway,
    id: &str,
    wait: Duration,
    is_retry: bool,
) -> Result<Option<Answer>, Box<dyn std::error::Error>> {
    let record = &run.record;
    let wait_ms = wait.as_millis().to_string();
    let mut fields = vec![
        ("i", id),
        ("d", &*wait_ms),
        ("t", "bayou-reefer"),
        ("k", KEY),
        ("h", "4000"),
        ("ram", "64"),
    ];
    if is_retry {
        fields.push(("r", "1"));
    }
    let mut client = Client::noted(gateway.address, "client", record)?;
    let statement = b"INSERT INTO temps_17.readings VALUES (1)";
    client.call(1, "reading-load", &fields, statement)?;
    let answer = client.answer(wait + Duration::from_millis(500))?;
    let answer = answer.map(|(_, answer)| answer);
    Ok(answer)
}

/// Another client, with some look-ups all the time, so that every engine is seen to be alive.
struct Others {
    is_over: Arc<Mutex<bool>>,
    thread: thread::JoinHandle<()>,
}

impl Others {
    fn start(gateway: &Gateway, record: &Record) -> std::io::Result<Self> {
        let is_over = Arc::new(Mutex::new(false));
        let stop = is_over.clone();
        let mut client = Client::noted(gateway.address, "other client", record)?;
        let thread = thread::spawn(move || {
            for round in 0.. {
                if *stop.lock().unwrap() {
                    return;
                }
                for number in 0..8 {
                    let call = round * 8 + number + 1;
                    let id = format!("00000000001c{call:04x}");
                    let fields = [
                        ("i", &*id),
                        ("d", "4000"),
                        ("t", "bayou-reefer"),
                        ("h", "100"),
                    ];
                    let statement = format!("SELECT * FROM temps_{}.now", call % 12);
                    let class = "reading-lookup";
                    if client
                        .call(call, class, &fields, statement.as_bytes())
                        .is_err()
                    {
                        return;
                    }
                }
                for _ in 0..8 {
                    if !matches!(client.answer(Duration::from_secs(5)), Ok(Some(_))) {
                        return;
                    }
                }
                thread::sleep(Duration::from_millis(150));
            }
        });
        Ok(Others { is_over, thread })
    }

    fn stop(self) {
        *self.is_over.lock().unwrap() = true;
        let _ = self.thread.join();
    }
}
