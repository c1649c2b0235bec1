//! Requests with one order key that come while the gateway stands still: are they run in the order
//! in which they were taken?

use std::thread::sleep;
use std::time::Duration;

use crate::client::{Answer, Client};
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Plan, Settings};
use crate::gateway::{free_address, Bulletin, Folder, Gateway, Start};
use crate::{Outcome, Run, Verdict};

const ROUNDS: usize = 3;
/// How long the gateway stands still; the pages name 300 to 2,000 ms.
const STALL: Duration = Duration::from_millis(1500);
const WORK: Duration = Duration::from_millis(400);

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
                Plan::Run(WORK, one_row(&serve.id))
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
        config: config(&site(), "n1", listen, bulletin.address, &hosts),
        operator: String::new(),
    };
    let gateway = Gateway::start(&start, record)?;
    for round in 0..ROUNDS {
        if let Some(how) = play_round(run, &gateway, &engines, round)? {
            return Ok(Verdict::Broken(how));
        }
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
            ("h", "800".to_string()),
            ("ram", "64".to_string()),
        ]
    };
    // A client that has a connection already.
    let mut with_connection = Client::connect(gateway.address)?;
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
    let mut newcomer = Client::connect(gateway.address)?;
    newcomer.call(
        1,
        "clock-load",
        &first,
        b"INSERT INTO hours_3.days VALUES (1)",
    )?;
    record.line(&format!(
        "sent load {first_id}, order key {order_key}, on a new connection"
    ));
    sleep(Duration::from_millis(600));
    let second = load(&second_id, 2 * round + 2);
    let second: Vec<(&str, &str)> = second.iter().map(|(n, v)| (*n, v.as_str())).collect();
    with_connection.call(
        2,
        "clock-load",
        &second,
        b"INSERT INTO hours_3.days VALUES (2)",
    )?;
    record.line(&format!(
        "sent load {second_id}, order key {order_key}, on a connection that was there, 600 ms later"
    ));
    sleep(STALL - Duration::from_millis(900));
    if run.has_trouble {
        gateway.signal("CONT");
    }
    let patience = Duration::from_secs(21);
    let first_answer = newcomer.answer(patience)?.map(|(_, answer)| answer);
    let second_answer = with_connection.answer(patience)?.map(|(_, answer)| answer);
    let describe = |answer: &Option<Answer>| match answer {
        Some(answer) => answer.describe(),
        None => "nothing".to_string(),
    };
    record.line(&format!(
        "answer to {first_id}: {}",
        describe(&first_answer)
    ));
    record.line(&format!(
        "answer to {second_id}: {}",
        describe(&second_answer)
    ));
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
