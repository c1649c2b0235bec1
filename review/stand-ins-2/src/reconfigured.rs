//! Keyed loads whose gateway is killed and started again with its store and a configuration that has
//! one more class: are they sent again where no engine drops them as repeats?

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::client::Client;
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Group, Keys, Plan, Serve, Settings};
use crate::gateway::{free_address, start_others, Bulletin, Folder, Gateway, Start};
use crate::{Outcome, Run, Verdict};

const ZONES: [&str; 3] = ["bldg-a", "bldg-b", "bldg-c"];
const LOADS: usize = 6;
const WORK: Duration = Duration::from_millis(3000);
/// When the gateway is killed, after the loads.
const KILLED_AFTER: Duration = Duration::from_millis(1000);
/// How long the gateway is away; the pages name 1 to 8 s.
const AWAY: Duration = Duration::from_millis(1500);
/// The class's give-up time, over all tries.
const GIVE_UP: Duration = Duration::from_millis(25_000);
/// How long engines remember a key, as the site has it.
const WINDOW: Duration = Duration::from_millis(15_000);
/// How long the client waits once its gateway can be reached again; the site has 100 to 600 ms.
const RETRY_AFTER: Duration = Duration::from_millis(300);

fn site(with_new_class: bool) -> Site {
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
    let mut classes = vec![
        class("reading-lookup", 800, 4_000, "pure", 1),
        class("history-report", 3_000, 20_000, "pure", 2),
        class("reading-load", 4_000, 25_000, "token", 2),
    ];
    if with_new_class {
        classes.insert(0, class("door-status", 800, 4_000, "pure", 1));
    }
    Site {
        classes,
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

fn zone_of(engine: usize) -> &'static str {
    ZONES[engine % ZONES.len()]
}

fn start_engines(run: &Run) -> std::io::Result<Vec<Engine>> {
    let keys: Keys = Arc::default();
    (0..6)
        .map(|number| {
            let settings = Settings {
                runs_on: true,
                notes: Duration::from_millis(500),
                group: Some(Group {
                    name: zone_of(number).to_string(),
                    keys: keys.clone(),
                    window: WINDOW,
                }),
            };
            let name = format!("e{}-{}", number + 1, zone_of(number));
            Engine::start(&name, &run.record, settings, |serve| {
                Plan::Run(WORK, one_row(&serve.id))
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
        .map(|(number, engine)| host(engine, zone_of(number), "up"))
        .collect();
    let listen = free_address()?;
    let start_of = |index: u32, listen| Start {
        root: run.root.clone(),
        folder: folder.0.clone(),
        name: format!("n{}", index + 1),
        listen,
        config: config(&site(false), index, listen, bulletin.address, &hosts),
        operator: format!(
            "store-dir \"{}\"\n",
            folder.0.join(format!("store-{index}")).display()
        ),
    };
    let mut start = start_of(0, listen);
    let mut gateway = Gateway::start(&start, record)?;
    let count = site(false).gateways;
    let _others = start_others(count, record, |index| Ok(start_of(index, free_address()?)))?;
    // A store that is older than the longest window and 2 s knows all that was sent.
    sleep(WINDOW + Duration::from_secs(3));
    let mut client = Client::noted(gateway.address, "client", record)?;
    for number in 0..LOADS {
        send_load(&mut client, number, GIVE_UP, false)?;
    }
    let sent_at = record.now();
    if !run.has_trouble {
        take_answers(&mut client, Duration::from_secs(20));
        return Ok(judge(&engines));
    }
    sleep(KILLED_AFTER);
    gateway.kill();
    take_answers(&mut client, Duration::from_secs(1));
    sleep((sent_at + KILLED_AFTER + AWAY).saturating_sub(record.now()));
    // `TROUBLE=kill` leaves the configuration as it is, for comparison.
    if std::env::var("TROUBLE").as_deref() != Ok("kill") {
        record.line("the configuration has one more class, `door-status`, before the others");
        start.config = config(&site(true), 0, listen, bulletin.address, &hosts);
    }
    gateway = Gateway::start(&start, record)?;
    let mut client = Client::noted(gateway.address, "client", record)?;
    sleep(RETRY_AFTER);
    let left = (sent_at + GIVE_UP).saturating_sub(record.now());
    for number in (0..LOADS).rev() {
        send_load(&mut client, number, left, true)?;
    }
    take_answers(&mut client, left);
    Ok(judge(&engines))
}

fn key_of(number: usize) -> String {
    format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3{number:04x}")
}

fn send_load(
    client: &mut Client,
    number: usize,
    wait: Duration,
    is_retry: bool,
) -> std::io::Result<()> {
    let (id, key) = (
        format!("9b1f03aa5c7e{}{number:03x}", u8::from(is_retry)),
        key_of(number),
    );
    let wait_ms = wait.as_millis().to_string();
    let mut fields = vec![
        ("i", &*id),
        ("d", &*wait_ms),
        ("t", "bayou-reefer"),
        ("k", &*key),
        ("h", "3000"),
        ("ram", "64"),
    ];
    if is_retry {
        fields.push(("r", "1"));
    }
    let statement = format!("INSERT INTO temps_{}.readings VALUES (1)", number + 20);
    client.call(
        number as u32 + 1,
        "reading-load",
        &fields,
        statement.as_bytes(),
    )?;
    Ok(())
}

fn take_answers(client: &mut Client, patience: Duration) {
    for _ in 0..LOADS {
        if !matches!(client.answer(patience), Ok(Some(_))) {
            return;
        }
    }
}

/// Returns whether a load was sent again out of the zone whose engines drop its repeats.
fn judge(engines: &[Engine]) -> Verdict {
    let zone = |serve: &Serve| {
        let zone = serve.engine.split_once('-');
        zone.map(|(_, zone)| zone.to_string()).unwrap_or_default()
    };
    let (mut elsewhere, mut twice) = (0, 0);
    for number in 0..LOADS {
        let key = key_of(number);
        let has_key = |serve: &Serve| serve.field("replay") == Some(key.as_str());
        let mut sent: Vec<Serve> = engines.iter().flat_map(Engine::served).collect();
        sent.retain(has_key);
        sent.sort_by_key(|serve| serve.at);
        let effects = engines.iter().flat_map(Engine::effects);
        let Some(first) = sent.first() else {
            continue;
        };
        elsewhere += usize::from(sent.iter().any(|serve| zone(serve) != zone(first)));
        twice += usize::from(effects.filter(has_key).count() > 1);
    }
    if elsewhere > 0 {
        return Verdict::Broken(format!(
            "of {LOADS} loads that may have run, {elsewhere} were sent again out of their zone; \
             {twice} took effect twice"
        ));
    }
    Verdict::Held
}
