//! A request of an unsafe class with a key, whose gateway is killed and started again: is it run a
//! second time when its client comes again? Played with the same configuration and a client that
//! comes late ([`run_late`]), and with one more class in the configuration of the second start
//! ([`run_reconfigured`]).

use std::thread::sleep;
use std::time::Duration;

use crate::client::Client;
use crate::config::{config, host, Class, Site};
use crate::engine::{one_row, Engine, Plan, Settings};
use crate::gateway::{free_address, Bulletin, Folder, Gateway, Start};
use crate::{Outcome, Run, Verdict};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const FIRST: &str = "9b1f03aa5c7e2d41";
const RETRY: &str = "9b1f03aa5c7e2d42";
const WORK: Duration = Duration::from_millis(3000);
/// When the gateway is killed, after the request.
const KILLED_AFTER: Duration = Duration::from_millis(1000);
/// How long the gateway is away; the pages name 1 to 8 s.
const AWAY: Duration = Duration::from_millis(1500);
/// When the client comes again, after its first try; it gives up after 15 s in all.
const LATE: Duration = Duration::from_millis(11_000);
const SOON: Duration = Duration::from_millis(4_000);

/// The deployment; `with_new_class` puts one more class before the others.
fn site(with_new_class: bool) -> Site {
    let class = |name, deadline_ms, repeat, threads| Class {
        name,
        aim_ms: deadline_ms / 8,
        deadline_ms,
        repeat,
        group: "all",
        window_ms: 5_000,
        in_order: false,
        threads,
        is_load: false,
    };
    let mut classes = vec![
        class("reading-lookup", 4_000, "pure", 1),
        class("load-report", 15_000, "side_effect", 2),
    ];
    if with_new_class {
        classes.insert(0, class("door-status", 4_000, "pure", 1));
    }
    Site {
        classes,
        tenant: "delta-reefer",
        may_cancel: false,
        max_attempts: 4,
        note_ms: 500,
        order_pause_ms: 0,
        drain_grace_ms: 250,
        memory_mb: 192,
        sockets: 1024,
    }
}

pub fn run_late(run: &Run) -> Outcome {
    play(run, LATE, false)
}

pub fn run_reconfigured(run: &Run) -> Outcome {
    // `TROUBLE=kill` leaves the configuration as it is, for comparison.
    let is_changed = std::env::var("TROUBLE").as_deref() != Ok("kill");
    play(run, SOON, is_changed)
}

fn play(run: &Run, retry_after: Duration, is_changed: bool) -> Outcome {
    let record = &run.record;
    let folder = Folder::create()?;
    let bulletin = Bulletin::start(record)?;
    let engines: Vec<Engine> = ["e1", "e2"]
        .iter()
        .map(|name| {
            let settings = Settings {
                runs_on: true,
                notes: Duration::from_millis(500),
            };
            Engine::start(name, record, settings, |serve| {
                Plan::Run(WORK, one_row(&serve.id))
            })
        })
        .collect::<Result<_, _>>()?;
    let hosts: Vec<String> = engines.iter().map(|engine| host(engine, 0, "up")).collect();
    let listen = free_address()?;
    let mut start = Start {
        root: run.root.clone(),
        folder: folder.0.clone(),
        name: "n1".to_string(),
        listen,
        config: config(&site(false), "n1", listen, bulletin.address, &hosts),
        operator: format!("store-dir \"{}\"\n", folder.0.join("store").display()),
    };
    let gateway = Gateway::start(&start, record)?;
    // A store that is older than the longest window and 2 s knows all that was sent.
    sleep(Duration::from_millis(8_000));
    fn fields<'a>(id: &'a str, left: &'a str) -> Vec<(&'a str, &'a str)> {
        vec![
            ("i", id),
            ("d", left),
            ("t", "delta-reefer"),
            ("k", KEY),
            ("h", "3000"),
            ("ram", "64"),
        ]
    }
    let statement = b"UPDATE loads_17.releases SET released = released + 1";
    let mut client = Client::connect(gateway.address)?;
    client.call(1, "load-report", &fields(FIRST, "15000"), statement)?;
    let sent_at = record.now();
    record.line(&format!("sent unsafe request {FIRST} with key {KEY}"));
    if !run.has_trouble {
        let answer = client.answer(Duration::from_secs(15))?;
        let answer = answer.map(|(_, answer)| answer.describe());
        record.line(&format!("answer: {answer:?}"));
        return Ok(judge(&engines));
    }
    sleep(KILLED_AFTER);
    gateway.kill();
    match client.answer(Duration::from_secs(1)) {
        Ok(answer) => record.line(&format!("the client got {answer:?}")),
        Err(e) => record.line(&format!("the client's connection has ended: {e}")),
    }
    sleep((sent_at + KILLED_AFTER + AWAY).saturating_sub(record.now()));
    if is_changed {
        record.line("the configuration has one more class, `door-status`, before the others");
        start.config = config(&site(true), "n1", listen, bulletin.address, &hosts);
    }
    let gateway = Gateway::start(&start, record)?;
    sleep((sent_at + retry_after).saturating_sub(record.now()));
    let mut client = Client::connect(gateway.address)?;
    let left = Duration::from_secs(15)
        .saturating_sub(retry_after)
        .as_millis()
        .to_string();
    let mut again = fields(RETRY, &left);
    again.push(("r", "1"));
    client.call(1, "load-report", &again, statement)?;
    record.line(&format!(
        "the client comes again: {RETRY} with key {KEY}, r=1"
    ));
    let answer = client.answer(Duration::from_secs(15).saturating_sub(retry_after))?;
    let answer = answer.map(|(_, answer)| answer.describe());
    record.line(&format!("answer: {answer:?}"));
    Ok(judge(&engines))
}

fn judge(engines: &[Engine]) -> Verdict {
    let with_key = |serve: &&crate::engine::Serve| serve.field("replay") == Some(KEY);
    let served: Vec<_> = engines.iter().flat_map(Engine::served).collect();
    let sent = served.iter().filter(with_key).count();
    let effects = engines.iter().flat_map(Engine::effects);
    let effects = effects.filter(|effect| with_key(&effect)).count();
    if sent > 1 {
        return Verdict::Broken(format!(
            "engines were sent the unsafe request {sent} times, and ran it to its end {effects} \
             times; none of them ever said that it had not run"
        ));
    }
    Verdict::Held
}
