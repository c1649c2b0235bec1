//! A toy for newcomers: two engines and the bulletin that `examples/gateway.json` names, in one process. The
//! engines answer every query with the same few rows, in two pages, after a tenth of a second.

mod standin;

use standin::{Bulletin, Engine, EngineEnd};
use std::collections::BTreeMap;
use std::thread::{sleep, spawn};
use std::time::Duration;

const PAGES: [&str; 2] = ["7\tshrimp\t3.4\n", "8\tokra\t4.1\n"];

fn main() -> std::io::Result<()> {
    let engines = [Engine::listen("127.0.0.1:7101")?, Engine::listen("127.0.0.1:7102")?];
    let bulletin = Bulletin::listen("127.0.0.1:7100")?;
    for engine in engines {
        println!("an engine listens on {}", engine.address());
        spawn(move || {
            while let Ok(end) = engine.accept() {
                spawn(move || run(end));
            }
        });
    }
    println!("the bulletin listens on {}", bulletin.address());
    while let Ok(mut end) = bulletin.accept() {
        println!("a gateway reads the bulletin after event {}", end.after);
        // There are no news, but a comment each second.
        spawn(move || {
            while end.comment().is_ok() {
                sleep(Duration::from_secs(1));
            }
        });
    }
    Ok(())
}

/// Serves one connection until it ends.
fn run(mut end: EngineEnd) -> std::io::Result<()> {
    let mut statements = BTreeMap::new();
    loop {
        let command = end.command()?;
        let id = command.id().to_string();
        match command.verb() {
            "serve" => {
                println!("{}: {}", command.words[2], String::from_utf8_lossy(&command.payload));
                sleep(Duration::from_millis(100));
                let fields = format!("count={},ticks=80,footprint=12,report=inflight:1", PAGES.len());
                end.answer(&id, "OK", &fields, PAGES[0])?;
                statements.insert(id, command.payload);
            }
            "read" => match command.words[2].parse::<usize>().ok().and_then(|page| PAGES.get(page)) {
                Some(rows) if statements.contains_key(&id) => {
                    end.answer(&id, "ROWS", &format!("pos={}", command.words[2]), rows)?
                }
                _ => end.answer(&id, "ERR", "-", "")?,
            },
            "gauges" | "health" => end.answer(&id, "UP", "report=inflight:0", "")?,
            "release" => _ = statements.remove(&id),
            _ => {}
        }
    }
}
