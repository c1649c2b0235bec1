//! A keyed load whose answer is lost after the engines' window is refused, and runs again.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::bulletin::Bulletin;
use review_standins::client::{Answer, Client};
use review_standins::engine::{Engine, Handler};
use review_standins::gateway::{config, Folder, Gateway};
use review_standins::record::Record;
use review_standins::settings::{self, Changes, LOAD_DEADLINE_MS, LOAD_WINDOW_MS, ZONES};
use review_standins::{finish, has_trouble, sleep_until, start_watchdog};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const CLASS: &str = "reading-load";
const STATEMENT: &str = "INSERT INTO readings_17.batches SELECT * FROM staging.rows";
/// The first run: longer than the window, and well within the aim of 4 s plus 2.5 times 7.5 s.
const FIRST_RUN: Duration = Duration::from_millis(15_400);
/// A later run, by the estimate on an idle engine.
const LATER_RUN: Duration = Duration::from_millis(7_500);

/// What all engines know of the keys: they drop a repeat for the window, counted from the first.
#[derive(Default)]
struct Keys {
    first_seen: HashMap<String, Instant>,
    serves: u32,
    /// How often the load with the key took effect.
    effects: u32,
    is_answer_lost: bool,
}

fn handler(keys: Arc<Mutex<Keys>>, record: Record) -> Handler {
    Arc::new(move |serve, reply| {
        let name = reply.engine().name.clone();
        let Some(key) = serve.field("replay").map(str::to_string) else {
            reply.answer("ERR", "-", "");
            return;
        };
        let (is_repeat, is_first) = {
            let mut keys = keys.lock().unwrap();
            keys.serves += 1;
            let now = Instant::now();
            let window = Duration::from_millis(LOAD_WINDOW_MS);
            let known = keys.first_seen.get(&key).copied();
            let is_repeat = known.is_some_and(|since| now < since + window);
            if !is_repeat {
                keys.first_seen.insert(key.clone(), now);
            }
            if let Some(since) = known {
                let after = (now - since).as_secs_f64();
                record.line(&format!(
                    "{name}: key {key} again, {after:.3} s after its first"
                ));
            }
            (is_repeat, keys.serves == 1)
        };
        if is_repeat {
            record.line(&format!("{name}: drops the repeat of key {key}"));
            reply.answer("OK", "count=1,ticks=15000,footprint=400", "a\tb\tc\n");
            return;
        }
        let time = if is_first { FIRST_RUN } else { LATER_RUN };
        let begun = Instant::now();
        while begun.elapsed() < time {
            std::thread::sleep(Duration::from_millis(500).min(time - begun.elapsed().min(time)));
            if reply.is_given_up() {
                record.line(&format!(
                    "{name}: key {key} given up, work stops, no effect"
                ));
                return;
            }
            let share = begun.elapsed().as_secs_f64() / time.as_secs_f64();
            if share < 1.0 {
                reply.answer("NOTE", &format!("remark=share,reading={share:.3}"), "");
            }
        }
        let loses_answer = {
            let mut keys = keys.lock().unwrap();
            keys.effects += 1;
            record.line(&format!(
                "{name}: key {key} TAKES EFFECT, time {}",
                keys.effects
            ));
            has_trouble() && !std::mem::replace(&mut keys.is_answer_lost, true)
        };
        if loses_answer {
            record.line(&format!(
                "{name}: the connection breaks off instead of the answer"
            ));
            reply.break_off();
        } else {
            reply.answer("OK", "count=1,ticks=15000,footprint=400", "a\tb\tc\n");
        }
    })
}

fn call(
    client: &mut Client,
    start: Instant,
    id: &str,
    is_retry: bool,
) -> Result<(Answer, u64), String> {
    let left = LOAD_DEADLINE_MS - start.elapsed().as_millis() as u64;
    let wait = left.to_string();
    let mut fields = vec![("i", id), ("d", &wait), ("t", "bayou-reefer"), ("k", KEY)];
    fields.extend([("h", "15000"), ("ram", "400")]);
    fields.extend(is_retry.then_some(("r", "1")));
    let number = client.call(CLASS, &fields, STATEMENT)?;
    let answer = client.wait_recorded(number, Duration::from_millis(left + 500));
    Ok((answer, start.elapsed().as_millis() as u64))
}

fn run(record: &Record) -> Result<bool, String> {
    let folder = Folder::create()?;
    let bulletin = Bulletin::start()?;
    let keys: Arc<Mutex<Keys>> = Arc::default();
    let mut engines = Vec::new();
    for index in 0..6 {
        let kind = if index < 4 { "std-16" } else { "std-12" };
        let handler = handler(keys.clone(), record.clone());
        let zone = ZONES[index % 3];
        let name = format!("s-{index}");
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
    let mut gateways = Vec::new();
    for me in 0..3 {
        let settings = settings::gulf(&Changes {
            peers: 3,
            me,
            load_group: "all",
            may_cancel: true,
            deadline_ms: LOAD_DEADLINE_MS,
            window_ms: LOAD_WINDOW_MS,
        });
        let name = format!("n{me}");
        let config = config(&name, bulletin.address, &hosts, &settings);
        gateways.push(Gateway::start(&name, &config, "", &folder, record)?);
    }
    let start = Instant::now();
    let mut client = Client::connect("client", gateways[0].address, record)?;
    let (answer, _) = call(&mut client, start, "9b1f03aa5c7e2d41", false)?;
    if keys.lock().unwrap().serves == 0 {
        return Err("the load never reached an engine".into());
    }
    // A refusal says that trying again is harmless: the client tries once more, as clients do, and
    // the front leads it to another gateway.
    if let Answer::Error(word, fields) = &answer {
        if word == "TryLater" {
            let wait = fields
                .get("w")
                .and_then(|text| text.parse().ok())
                .unwrap_or(100);
            sleep_until(start, start.elapsed() + Duration::from_millis(wait));
            let mut client = Client::connect("client again", gateways[1].address, record)?;
            call(&mut client, start, "9b1f03aa5c7e2d42", true)?;
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let effects = keys.lock().unwrap().effects;
    record.line(&format!("key {KEY} took effect {effects} times"));
    Ok(effects <= 1)
}

fn main() {
    start_watchdog();
    let record = Record::create();
    let result = run(&record);
    finish(result, &record)
}
