//! Engines whose good answers come spoilt now and then: does the gateway live on?

use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::client::Client;
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Plan, Settings};
use crate::gateway::{free_address, Bulletin, Folder, Gateway, Start};
use crate::{Outcome, Run, Verdict};

/// Requests of the run, one each 50 ms.
const REQUESTS: u32 = 60;
/// The answer to the look-up with this number comes spoilt.
const SPOILT: u32 = 20;

const ZONE: &str = "bldg-a";

fn site() -> Site {
    let class = |name, deadline_ms, repeat, threads, is_load| Class {
        name,
        aim_ms: deadline_ms / 5,
        deadline_ms,
        repeat,
        group: "all",
        window_ms: 15_000,
        in_order: false,
        threads,
        is_load,
    };
    Site {
        classes: vec![
            class("reading-lookup", 4_000, "pure", 1, false),
            class("history-report", 20_000, "pure", 2, false),
            class("reading-load", 25_000, "token", 2, true),
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

pub fn run(run: &Run) -> Outcome {
    let record = &run.record;
    let folder = Folder::create()?;
    let bulletin = Bulletin::start(record)?;
    let count: &'static AtomicU32 = Box::leak(Box::new(AtomicU32::new(0)));
    let has_trouble = run.has_trouble;
    let engines: Vec<Engine> = ["e1", "e2", "e3"]
        .iter()
        .map(|name| {
            let settings = Settings {
                runs_on: false,
                notes: Duration::ZERO,
                group: None,
            };
            Engine::start(name, record, settings, move |serve| {
                if serve.class == "history-report" {
                    return Plan::Run(Duration::from_millis(2000), one_row(&serve.id));
                }
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                let time = Duration::from_millis(150);
                if has_trouble && number == SPOILT {
                    Plan::Spoilt(time, "count=1,ticks=150,footprint=nan", one_row(&serve.id))
                } else {
                    Plan::Run(time, one_row(&serve.id))
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
    let mut gateway = Gateway::start(&start, record)?;
    let mut client = Client::noted(gateway.address, "client", record)?;
    // A long report that is open meanwhile, on a connection of its own.
    let mut other = Client::noted(gateway.address, "other client", record)?;
    let mut unanswered = Vec::new();
    for number in 1..=REQUESTS {
        let id = format!("00000000001a{number:04x}");
        let fields = [
            ("i", &*id),
            ("d", "4000"),
            ("t", "bayou-reefer"),
            ("h", "150"),
            ("ram", "64"),
        ];
        if client
            .call(
                number,
                "reading-lookup",
                &fields,
                b"SELECT * FROM temps_3.now",
            )
            .is_ok()
        {
            unanswered.push(number);
        }
        if number == SPOILT {
            let id = "00000000001b0001";
            let fields = [
                ("i", id),
                ("d", "20000"),
                ("t", "bayou-reefer"),
                ("h", "2000"),
            ];
            other.call(1, "history-report", &fields, b"SELECT * FROM temps_4.days")?;
        }
        sleep(Duration::from_millis(50));
        while let Ok(Some((answered, _))) = client.answer(Duration::from_millis(1)) {
            unanswered.retain(|number| *number != answered);
        }
        if !gateway.is_running() {
            break;
        }
    }
    while let Ok(Some((answered, _))) = client.answer(Duration::from_millis(1000)) {
        unanswered.retain(|number| *number != answered);
    }
    record.line(&format!("{} look-ups have no answer", unanswered.len()));
    if gateway.is_running() {
        return Ok(if unanswered.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken(format!("{} look-ups have no answer", unanswered.len()))
        });
    }
    record.line(&format!(
        "the gateway's log ends with:\n{}",
        start.log_end()
    ));
    let other = other.answer(Duration::from_millis(500));
    record.line(&format!("the other client's report: {other:?}"));
    Ok(Verdict::Broken(format!(
        "the gateway's process has ended by itself; {} look-ups have no answer, nor has the report \
         of another client",
        unanswered.len()
    )))
}
