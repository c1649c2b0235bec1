//! A client disconnects and returns to its spooled run; the engine dies; the client is never answered.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::bulletin::Bulletin;
use review_standins::client::{Answer, Client};
use review_standins::engine::{Engine, Handler};
use review_standins::gateway::{config, Folder, Gateway};
use review_standins::record::Record;
use review_standins::settings::{self, Changes, LOAD_DEADLINE_MS, LOAD_WINDOW_MS, ZONES};
use review_standins::{finish, has_trouble, sleep_until, start_watchdog};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30311";
const STATEMENT: &str = "INSERT INTO readings_17.batches SELECT * FROM staging.rows";
const OPERATOR: &str = "spool-memory 16MB\nspool-key \"a secret for this test only\"\n";
/// How long the client waits over all its tries: 80% of the class's 25 s.
const WAIT_MS: u64 = 20_000;
/// The list tells of the engine's end after this time; the site's figures are 0.53 to 4.8 s.
const NOTICE: Duration = Duration::from_millis(2_000);
/// The time after the client's own in which an answer is not lost yet.
const GRACE_MS: u64 = 500;
const RUN: Duration = Duration::from_millis(4_000);

type FirstEngine = Arc<Mutex<Option<Engine>>>;

fn handler(first: FirstEngine, record: Record) -> Handler {
    Arc::new(move |serve, reply| {
        let name = reply.engine().name.clone();
        first
            .lock()
            .unwrap()
            .get_or_insert_with(|| reply.engine().clone());
        let begun = Instant::now();
        while begun.elapsed() < RUN {
            std::thread::sleep(Duration::from_millis(100));
            if reply.engine().is_dead() || reply.is_given_up() {
                record.line(&format!("{name}: request {} is given up", serve.id));
                return;
            }
        }
        record.line(&format!("{name}: request {} has run", serve.id));
        reply.answer("OK", "count=1,ticks=4000,footprint=400", "a\tb\tc\n");
    })
}

fn call(client: &mut Client, start: Instant, id: &str, is_retry: bool) -> Result<u64, String> {
    let wait = (WAIT_MS - start.elapsed().as_millis() as u64).to_string();
    let mut fields = vec![("i", id), ("d", &wait), ("t", "bayou-reefer"), ("k", KEY)];
    fields.extend([("h", "8000"), ("ram", "400"), ("p", "1")]);
    fields.extend(is_retry.then_some(("r", "1")));
    client.call("reading-load", &fields, STATEMENT)
}

fn run(record: &Record) -> Result<bool, String> {
    let folder = Folder::create()?;
    let bulletin = Bulletin::start()?;
    let first: FirstEngine = Arc::default();
    let mut engines = Vec::new();
    for index in 0..6 {
        let kind = if index < 4 { "std-16" } else { "std-12" };
        let handler = handler(first.clone(), record.clone());
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
    let settings = settings::gulf(&Changes {
        peers: 3,
        me: 0,
        load_group: "all",
        may_cancel: true,
        deadline_ms: LOAD_DEADLINE_MS,
        window_ms: LOAD_WINDOW_MS,
    });
    let config = config("n0", bulletin.address, &hosts, &settings);
    let gateway = Gateway::start("n0", &config, OPERATOR, &folder, record)?;
    let start = Instant::now();

    let mut client = Client::connect("client", gateway.address, record)?;
    call(&mut client, start, "9b1f03aa5c7e2d51", false)?;
    sleep_until(start, Duration::from_millis(1_000));
    client.close();
    sleep_until(start, Duration::from_millis(1_300));
    let mut returned = Client::connect("client returned", gateway.address, record)?;
    let number = call(&mut returned, start, "9b1f03aa5c7e2d52", true)?;

    sleep_until(start, Duration::from_millis(2_500));
    let Some(engine) = first.lock().unwrap().clone() else {
        return Err("the load never reached an engine".into());
    };
    if has_trouble() {
        record.line(&format!("engine {} dies", engine.name));
        engine.die();
        std::thread::sleep(NOTICE);
        record.line("the list tells that the engine is gone");
        let host = engine.host("removed");
        bulletin.publish(
            2,
            &format!(r#"{{"no":2,"roster":{{"seq":1,"whole":false,"hosts":[{host}]}}}}"#),
        );
    }
    let left = Duration::from_millis(WAIT_MS + GRACE_MS).saturating_sub(start.elapsed());
    let answer = returned.wait_recorded(number, left);
    let is_lost = matches!(answer, Answer::Nothing | Answer::Closed);
    if is_lost {
        record.line("the returned client has no answer half a second after its time");
        // For the record only, the verdict stands: whether the answer comes later, and what a call
        // with the same key gets then.
        returned.wait_recorded(number, Duration::from_secs(15));
        let mut later = Client::connect("client later", gateway.address, record)?;
        let fields = [
            ("i", "9b1f03aa5c7e2d53"),
            ("d", "4000"),
            ("t", "bayou-reefer"),
            ("k", KEY),
        ];
        let fields: Vec<_> = fields
            .into_iter()
            .chain([("h", "2000"), ("p", "1"), ("r", "1")])
            .collect();
        let number = later.call("reading-load", &fields, STATEMENT)?;
        later.wait_recorded(number, Duration::from_millis(4_500));
        gateway.signal("USR1");
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(!is_lost)
}

fn main() {
    start_watchdog();
    let record = Record::create();
    let result = run(&record);
    finish(result, &record)
}
