//! Requests with one order key that come while the gateway stands still: are they run in the order
//! in which they were taken?

use std::thread::sleep;
use std::time::Duration;

use crate::client::Client;
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Plan, Settings};
use crate::gateway::{free_address, start_others, Bulletin, Folder, Gateway, Start};
use crate::{Outcome, Run, Verdict};

const ROUNDS: usize = 3;
/// How long the gateway stands still; the pages name 300 to 2,000 ms.
const STALL: Duration = Duration::from_millis(1500);
/// Work of a load and of a look-up, as the site has them on average.
const WORK: Duration = Duration::from_millis(2500);
const SHORT: Duration = Duration::from_millis(60);
/// Time between two stalls; the pages name 2 to 4 s.
const PAUSE: Duration = Duration::from_millis(2500);

const ZONE: &str = "ub-room-1";

fn site() -> Site {
    let class = |name, deadline_ms, repeat, in_order, threads, is_load| Class {
        name,
        aim_ms: deadline_ms / 8,
        deadline_ms,
        repeat,
        group: "all",
        window_ms: 15_000,
        in_order,
        threads,
        is_load,
    };
    Site {
        classes: vec![
            class("lookup", 2_000, "pure", false, 1, false),
            class("report", 20_000, "pure", false, 4, false),
            class("clock-load", 25_000, "token", true, 2, true),
        ],
        tenant: "khangai-build",
        may_cancel: true,
        max_attempts: 4,
        note_ms: 0,
        zones: vec![ZONE],
        gateways: 3,
        order_pause_ms: 0,
        drain_grace_ms: 500,
        memory_mb: 192,
        sockets: 1024,
    }
}

pub fn run(run: &Run) -> Outcome {
    let record = &run.record;
    let folder = Folder::create()?;
    let bulletin = Bulletin::start(record)?;
    let engines: Vec<Engine> = ["e1", "e2", "e3"]
        .iter()
        .map(|name| {
            let settings = Settings {
                runs_on: false,
                notes: Duration::ZERO,
                group: None,
            };
            Engine::start(name, record, settings, |serve| {
                let is_load = serve.class == "clock-load";
                Plan::Run(if is_load { WORK } else { SHORT }, one_row(&serve.id))
            })
        })
        .collect::<Result<_, _>>()?;
    let hosts: Vec<String> = engines
        .iter()
        .map(|engine| host(engine, ZONE, "up"))
        .collect();
    let start_of = |index: u32, listen| Start {
        root: run.root.clone(),
        folder: folder.0.clone(),
        name: format!("n{}", index + 1),
        listen,
        config: config(&site(), index, listen, bulletin.address, &hosts),
        operator: String::new(),
    };
    let gateway = Gateway::start(&start_of(0, free_address()?), record)?;
    let count = site().gateways;
    let _others = start_others(count, record, |index| Ok(start_of(index, free_address()?)))?;
    for round in 0..ROUNDS {
        if let Some(how) = play_round(run, &gateway, &engines, round)? {
            return Ok(Verdict::Broken(how));
        }
        sleep(PAUSE);
    }
    Ok(Verdict::Held)
}

fn play_round(
    run: &Run,
    gateway: &Gateway,
    engines: &[Engine],
    round: usize,
) -> Result<Option<String>, Box<dyn std::error::Error>> {
    let record = &run.record;
    let order_key = format!("site-{round}");
    let first_id = format!("00000000000a{round:04x}");
    let second_id = format!("00000000000b{round:04x}");
    let load = |id: &str, key: usize| {
        vec![
            ("i", id.to_string()),
            ("d", "20000".to_string()),
            ("t", "khangai-build".to_string()),
            ("k", format!("{key:032x}")),
            ("o", order_key.clone()),
            ("h", "5000".to_string()),
            ("ram", "64".to_string()),
        ]
    };
    // A client that has a connection already.
    let name = "client with a connection";
    let mut with_connection = Client::noted(gateway.address, name, record)?;
    let id = format!("00000000000c{round:04x}");
    let fields = [
        ("i", &*id),
        ("d", "2000"),
        ("t", "khangai-build"),
        ("h", "60"),
    ];
    with_connection.call(1, "lookup", &fields, b"SELECT * FROM hours_3.days")?;
    let answer = with_connection.answer(Duration::from_secs(5))?;
    if !answer.is_some_and(|(_, answer)| answer.is_served()) {
        return Err("the look-up before was not served".into());
    }
    if run.has_trouble {
        gateway.signal("STOP");
    }
    sleep(Duration::from_millis(300));
    let first = load(&first_id, 2 * round + 1);
    let first: Vec<(&str, &str)> = first.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let mut newcomer = Client::noted(gateway.address, "client on a new connection", record)?;
    newcomer.call(
        1,
        "clock-load",
        &first,
        b"INSERT INTO hours_3.days VALUES (1)",
    )?;
    sleep(Duration::from_millis(600));
    let second = load(&second_id, 2 * round + 2);
    let second: Vec<(&str, &str)> = second.iter().map(|(n, v)| (*n, v.as_str())).collect();
    with_connection.call(
        2,
        "clock-load",
        &second,
        b"INSERT INTO hours_3.days VALUES (2)",
    )?;
    sleep(STALL - Duration::from_millis(900));
    if run.has_trouble {
        gateway.signal("CONT");
    }
    let patience = Duration::from_secs(21);
    newcomer.answer(patience)?;
    with_connection.answer(patience)?;
    let sends = |id: &str| -> Vec<Duration> {
        let served = engines.iter().flat_map(Engine::served);
        served
            .filter(|serve| serve.id == id)
            .map(|serve| serve.at)
            .collect()
    };
    let (first_sends, second_sends) = (sends(&first_id), sends(&second_id));
    // The first request is over for the client when it was answered without a run; then nothing
    // has to wait for it.
    let (Some(first_sent), Some(second_sent)) = (first_sends.first(), second_sends.first()) else {
        return Ok(None);
    };
    Ok((second_sent < first_sent).then(|| {
        format!(
            "round {round}: {second_id} began {:.0} ms before {first_id}, which was taken 600 ms \
             earlier and has the same order key",
            (*first_sent - *second_sent).as_secs_f64() * 1e3
        )
    }))
}
