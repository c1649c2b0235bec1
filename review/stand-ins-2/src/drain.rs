//! A bulletin that takes some seconds until it begins to answer: does a gateway go on sending to an
//! engine that drains?

use std::thread::sleep;
use std::time::Duration;

use crate::client::Client;
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Plan, Settings};
use crate::gateway::{free_address, Bulletin, Folder, Gateway, Start};
use crate::{Outcome, Run, Verdict};

/// How long the bulletin takes until it begins to answer a request.
const SLOW: Duration = Duration::from_millis(2600);
/// When an engine begins to drain.
const DRAINS_AT: Duration = Duration::from_millis(6000);
/// What the bulletin has to tell counts as told by then, whether or not it arrived.
const TOLD_AFTER: Duration = Duration::from_millis(7000);
const GRACE: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(50);
/// How long the run goes on after the drain.
const WATCHED: Duration = Duration::from_millis(20_000);
const AT_A_TIME: u32 = 4;
const GROUPS: u32 = 12;
/// Pause between two such groups of requests.
const PAUSE: Duration = Duration::from_millis(100);

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
        order_pause_ms: 0,
        drain_grace_ms: 500,
        memory_mb: 192,
        sockets: 1024,
    }
}

pub fn run(run: &Run) -> Outcome {
    let record = &run.record;
    let folder = Folder::create()?;
    let delay = if run.has_trouble {
        SLOW
    } else {
        Duration::ZERO
    };
    let bulletin = Bulletin::start_slow(record, delay)?;
    let engines: Vec<Engine> = ["e1", "e2", "e3"]
        .iter()
        .map(|name| {
            let settings = Settings {
                runs_on: false,
                notes: Duration::ZERO,
            };
            Engine::start(name, record, settings, |serve| {
                Plan::Run(Duration::from_millis(150), one_row(&serve.id))
            })
        })
        .collect::<Result<_, _>>()?;
    let hosts: Vec<String> = engines.iter().map(|engine| host(engine, 0, "up")).collect();
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
    let mut client = Client::connect(gateway.address)?;
    let mut drains_at = None;
    let mut number = 0;
    while drains_at.is_none_or(|at| record.now() < at + WATCHED) {
        if drains_at.is_none() && record.now() >= DRAINS_AT {
            let item = host(&engines[0], 0, "draining");
            bulletin.tell(&format!(
                r#"{{"no":2,"roster":{{"seq":2,"whole":false,"hosts":[{item}]}}}}"#
            ));
            record.line("event 2 is in the bulletin: e1 drains");
            drains_at = Some(record.now());
        }
        // Some at a time, over several table groups, so that each engine is used.
        for _ in 0..AT_A_TIME {
            number += 1;
            let id = format!("00000000000f{number:04x}");
            let fields = [
                ("i", &*id),
                ("d", "4000"),
                ("t", "bayou-reefer"),
                ("h", "150"),
            ];
            let statement = format!("SELECT * FROM temps_{}.now", number % GROUPS);
            client.call(number, "reading-lookup", &fields, statement.as_bytes())?;
        }
        for _ in 0..AT_A_TIME {
            // A slow bulletin is nothing that a client sees; its answers don't matter here.
            let answer = client.answer(Duration::from_secs(5))?;
            answer.ok_or("no answer to a look-up")?;
        }
        sleep(PAUSE);
    }
    let drains_at = drains_at.unwrap_or_default();
    let allowed_until = drains_at + TOLD_AFTER + GRACE + SLACK;
    let late: Vec<Duration> = engines[0]
        .served()
        .iter()
        .map(|serve| serve.at)
        .filter(|at| *at > allowed_until)
        .collect();
    Ok(match late.last() {
        Some(last) => Verdict::Broken(format!(
            "e1 got {} new requests more than 7,550 ms after its drain was in the bulletin, the \
             last one after {:.0} ms",
            late.len(),
            (*last - drains_at).as_secs_f64() * 1e3
        )),
        None => Verdict::Held,
    })
}
