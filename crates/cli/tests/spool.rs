//! Spooled results on loopback: engines are free at once, clients read by tokens, whoever comes
//! again gets the answer of the one run.

mod common;

use common::standin::{Answer, Client, Engine, EngineConnection};
use common::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ID: &str = "0000000000000001";

/// An engine whose results have so many pages; its rows tell its name and the run. It counts runs
/// and releases.
#[derive(Clone, Default)]
struct Seen {
    runs: Arc<AtomicU64>,
    released: Arc<AtomicU64>,
}

impl Seen {
    fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    fn released(&self) -> u64 {
        self.released.load(Ordering::SeqCst)
    }
}

fn rows(name: &str, run: u64, page: usize) -> String {
    (0..150)
        .map(|row| format!("{name}\t{run}-{page}-{row}\tsome text of a row\n"))
        .collect()
}

fn result(name: &str, run: u64, pages: usize) -> Vec<u8> {
    (0..pages)
        .map(|page| rows(name, run, page))
        .collect::<String>()
        .into_bytes()
}

/// The page at which the first of some engines that it is asked of dies.
type Dies = (usize, Arc<AtomicBool>);

fn serve(
    engine: Engine,
    name: &'static str,
    pages: usize,
    pause: Duration,
    dies: Option<Dies>,
) -> Seen {
    let seen = Seen::default();
    let own = seen.clone();
    std::thread::spawn(move || {
        while let Ok(end) = engine.accept() {
            let (seen, dies) = (own.clone(), dies.clone());
            std::thread::spawn(move || answers(end, name, pages, pause, dies, &seen));
        }
    });
    seen
}

#[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
fn answers(
    mut end: EngineConnection,
    name: &str,
    pages: usize,
    pause: Duration,
    dies: Option<Dies>,
    seen: &Seen,
) {
    let mut run = 0;
    while let Ok(command) = end.command() {
        let _ = match command.verb() {
            "serve" => {
                run = seen.runs.fetch_add(1, Ordering::SeqCst) + 1;
                std::thread::sleep(pause);
                end.answer(
                    command.id(),
                    "OK",
                    &format!("count={pages},ticks=80,footprint=12"),
                    &rows(name, run, 0),
                )
            }
            "read" => {
                let page: usize = command.words[2].parse().expect("a number");
                if dies
                    .as_ref()
                    .is_some_and(|(at, died)| *at == page && !died.swap(true, Ordering::SeqCst))
                {
                    return;
                }
                end.answer(
                    command.id(),
                    "ROWS",
                    &format!("pos={page}"),
                    &rows(name, run, page),
                )
            }
            "release" => {
                seen.released.fetch_add(1, Ordering::SeqCst);
                Ok(())
            }
            _ => Ok(()),
        };
    }
}

fn operator(more: &str) -> String {
    format!("spool-memory 4MB\nspool-key \"a secret for tests only\"\n{more}")
}

/// A gateway with a spool in front of one engine with results of so many pages.
fn started(pages: usize, pause: Duration, more: &str) -> (Running, Seen, standin::Bulletin) {
    let (bulletin, mut engines) = stand_ins(1);
    let gateway = Running::start_with(
        &config(bulletin.address(), &addresses(&engines)),
        &operator(more),
    );
    let seen = serve(engines.remove(0), "e", pages, pause, None);
    (gateway, seen, bulletin)
}

fn call(client: &mut Client, number: u64, id: &str) {
    let mut fields = fields(id, "15000");
    fields.push(("p", "1"));
    // Another table group each, so that they go to different engines.
    let statement = format!("SELECT * FROM sales_{number}.orders");
    client
        .call(number, "report", &fields, statement.as_bytes())
        .expect("the gateway reads");
}

fn field(fields: &[(String, String)], name: &str) -> String {
    fields
        .iter()
        .find(|(own, _)| own == name)
        .map(|(_, value)| value.clone())
        .unwrap_or_default()
}

fn part(client: &mut Client) -> (Vec<u8>, String, bool) {
    match client.answer().expect("an answer") {
        Answer::Part { body, fields, .. } => {
            (body, field(&fields, "token"), field(&fields, "more") == "1")
        }
        other => panic!("{other:?}"),
    }
}

fn error(client: &mut Client) -> (String, String) {
    match client.answer().expect("an answer") {
        Answer::Error { word, fields, .. } => (word, field(&fields, "why")),
        other => panic!("{other:?}"),
    }
}

/// The rest of a result behind a part.
fn rest(
    client: &mut Client,
    id: &str,
    mut whole: Vec<u8>,
    mut token: String,
    mut more: bool,
) -> Vec<u8> {
    let mut number = 1000;
    while more {
        number += 1;
        client
            .ask(number, "page", &[("token", &token), ("i", id)])
            .expect("the gateway reads");
        let (body, next, goes_on) = part(client);
        assert!(!body.is_empty() && body.len() <= 48_000);
        whole.extend(body);
        (token, more) = (next, goes_on);
    }
    whole
}

#[test]
fn a_large_result_is_read_by_tokens_long_after_its_engine_is_free() {
    let directory = tempfile::tempdir().unwrap();
    // Far more than the memory of the spool: most of it goes through the disk.
    let more = format!(
        "spool-dir \"{}\"\nspool-disk 64MB\nspool-result 32MB\n",
        directory.path().display()
    );
    let (mut gateway, seen, _bulletin) = started(1500, Duration::ZERO, &more);
    let mut client = gateway.client();
    call(&mut client, 1, ID);
    let (body, token, goes_on) = part(&mut client);
    let counted = gateway.counters();
    assert_eq!(
        (seen.runs(), seen.released(), counted["spool_results"]),
        (1, 1, 1),
        "the engine is free"
    );
    assert!(
        counted["spool_memory"] <= 4 << 20 && counted["spool_disk"] > 0,
        "{counted:?}"
    );
    let whole = rest(&mut client, ID, body, token, goes_on);
    assert!(whole == result("e", 1, 1500), "{} bytes", whole.len());
    assert_eq!((gateway.counters()["served"], seen.runs()), (1, 1));
    drop(gateway);
    assert_eq!(
        std::fs::read_dir(directory.path()).unwrap().count(),
        0,
        "nothing is left behind"
    );
}

#[test]
fn whoever_comes_again_gets_the_answer_of_the_one_run() {
    let (gateway, seen, _bulletin) = started(40, Duration::from_millis(300), "");
    let mut first = gateway.client();
    call(&mut first, 1, ID);
    // Sent, and the connection is gone before the answer.
    while seen.runs() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(first);
    let mut clients = [gateway.client(), gateway.client()];
    for client in clients.iter_mut() {
        client.ask(7, "again", &[("i", ID)]).unwrap();
    }
    let wholes = clients.each_mut().map(|client| {
        let (body, token, more) = part(client);
        rest(client, ID, body, token, more)
    });
    assert!(
        wholes.iter().all(|whole| *whole == result("e", 1, 40)),
        "the same to the byte"
    );
    // And once more, when all is over.
    let mut late = gateway.client();
    late.ask(8, "again", &[("i", ID)]).unwrap();
    let (body, token, more) = part(&mut late);
    assert!(rest(&mut late, ID, body, token, more) == wholes[0]);
    assert_eq!(seen.runs(), 1);
}

#[test]
fn a_key_that_comes_again_runs_once_and_each_call_has_its_answer() {
    const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let (mut gateway, seen, _bulletin) = started(40, Duration::from_millis(300), "");
    let mut clients = [gateway.client(), gateway.client(), gateway.client()];
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("{:016x}", number + 1);
        let mut fields = fields(&id, "15000");
        fields.extend([("p", "1"), ("k", KEY)]);
        client.call(1, "load", &fields, QUERY).unwrap();
        // The third is sent when the first has its answer.
        while number == 1 && gateway.counters()["served"] < 2 {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    let wholes = clients.each_mut().map(|client| {
        let (body, token, more) = part(client);
        rest(client, KEY, body, token, more)
    });
    assert!(
        wholes.iter().all(|whole| *whole == result("e", 1, 40)),
        "the same to the byte"
    );
    let counted = gateway.counters();
    assert_eq!(
        (
            seen.runs(),
            counted["taken"],
            counted["served"],
            counted["sent"]
        ),
        (1, 3, 3, 1)
    );
}

#[test]
fn an_engine_that_dies_half_way_leaves_no_row_of_its_run() {
    let (bulletin, mut engines) = stand_ins(2);
    let gateway = Running::start_with(
        &config(bulletin.address(), &addresses(&engines)),
        &operator(""),
    );
    let died = Arc::new(AtomicBool::new(false));
    let mut engine = |name| {
        serve(
            engines.remove(0),
            name,
            40,
            Duration::ZERO,
            Some((7, died.clone())),
        )
    };
    let seen = [("one", engine("one")), ("two", engine("two"))];
    let mut client = gateway.client();
    call(&mut client, 1, ID);
    let (body, token, more) = part(&mut client);
    let whole = rest(&mut client, ID, body, token, more);
    let runs: u64 = seen.iter().map(|(_, seen)| seen.runs()).sum();
    assert!(died.load(Ordering::SeqCst) && runs == 2, "{runs} runs");
    let of_one_run =
        |(name, seen): &(&str, Seen)| (1..=seen.runs()).any(|run| whole == result(name, run, 40));
    assert!(seen.iter().any(of_one_run), "rows of one run");
}

#[test]
fn tokens_of_others_and_results_of_the_past_get_a_clear_error() {
    let (gateway, _seen, _bulletin) = started(
        40,
        Duration::ZERO,
        "spool-unclaimed 1s\nspool-delivered 1s\n",
    );
    let mut client = gateway.client();
    call(&mut client, 1, ID);
    let (_, token, _) = part(&mut client);
    let mut ask = |number, token: &str, id: &str| {
        client
            .ask(number, "page", &[("token", token), ("i", id)])
            .unwrap();
        client.answer().unwrap()
    };
    assert!(matches!(ask(2, &token, ID), Answer::Part { .. }));
    for (token, id) in [
        (token.as_str(), "0000000000000002"),
        ("nonsense", ID),
        ("", ID),
        (&token[1..], ID),
    ] {
        assert!(
            matches!(ask(3, token, id), Answer::Error { word, .. } if word == "Forged"),
            "{token} {id}"
        );
    }
    // Nobody uses it any more.
    std::thread::sleep(Duration::from_millis(2500));
    assert!(matches!(ask(4, &token, ID), Answer::Error { word, .. } if word == "Gone"));
    client.ask(5, "again", &[("i", ID)]).unwrap();
    assert_eq!(error(&mut client).0, "Gone");
    client
        .ask(6, "again", &[("i", "00000000000000ff")])
        .unwrap();
    assert_eq!(error(&mut client).0, "Gone", "asking starts no run");
}

#[test]
fn what_will_not_fit_is_refused_before_it_is_sent_and_what_grows_too_large_fails_at_once() {
    let (mut gateway, seen, _bulletin) = started(400, Duration::ZERO, "spool-result 1MB\n");
    let mut client = gateway.client();
    for number in 1..=9u64 {
        call(&mut client, number, &format!("{number:016x}"));
        let (word, why) = error(&mut client);
        // Eight outcomes teach the size; from then on nothing is sent for it.
        let word_then = if number <= 8 { "Failed" } else { "TryLater" };
        assert_eq!(
            (word.as_str(), why.as_str()),
            (word_then, "too-large"),
            "{number}"
        );
    }
    let counted = gateway.counters();
    assert_eq!(
        (
            counted["failed"],
            counted["refused"],
            counted["spool_claims"]
        ),
        (8, 1, 0),
        "{counted:?}"
    );
    assert_eq!(seen.runs(), 8);
    let mut late = gateway.client();
    late.ask(1, "again", &[("i", "0000000000000003")]).unwrap();
    assert_eq!(error(&mut late).0, "Failed", "the answer of a failure too");
    // Without the field nothing is new: a result of one message comes as ever.
    let (plain, _small, _bulletin) = started(1, Duration::ZERO, "");
    let mut client = plain.client();
    client
        .call(1, "report", &fields(ID, "15000"), QUERY)
        .unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Result {
            id: 1,
            body: result("e", 1, 1)
        }
    );
    client.ask(2, "page", &[("token", "x"), ("i", ID)]).unwrap();
    assert_eq!(error(&mut client).0, "Forged");
}

#[test]
fn without_a_spool_its_methods_are_not_there() {
    let (_bulletin, _engines, gateway, mut client) = up();
    client.ask(1, "again", &[("i", ID)]).unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Error { word, .. } if word == "Invalid"));
    drop(gateway);
}
