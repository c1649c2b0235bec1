//! The result spool: engines are released as soon as their result is spooled, clients read pages by
//! tokens, and a repeated request gets the result of the first run. Guards against lost, mixed or
//! doubled results, and against engines that stay occupied by slow clients.

mod common;

use common::scripted::{Answer, Client, Engine, EngineConnection};
use common::spool::{operator_with_spool, read_error, read_part};
use common::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ID: &str = "0000000000000001";

/// Counts of what an emulated engine has done. Clones share the counts.
#[derive(Clone, Default)]
struct EngineCounts {
    runs: Arc<AtomicU64>,
    released: Arc<AtomicU64>,
}

impl EngineCounts {
    fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    fn released(&self) -> u64 {
        self.released.load(Ordering::SeqCst)
    }
}

fn page_rows(name: &str, run: u64, page: usize) -> String {
    (0..150)
        .map(|row| format!("{name}\t{run}-{page}-{row}\tsome text of a row\n"))
        .collect()
}

fn expected_result(name: &str, run: u64, pages: usize) -> Vec<u8> {
    (0..pages)
        .map(|page| page_rows(name, run, page))
        .collect::<String>()
        .into_bytes()
}

/// The page on whose request an engine closes its connection, and whether one of the engines that
/// share the flag has already done so.
type BreakOff = (usize, Arc<AtomicBool>);

fn serve(
    engine: Engine,
    name: &'static str,
    pages: usize,
    pause: Duration,
    break_off: Option<BreakOff>,
) -> EngineCounts {
    let counts = EngineCounts::default();
    let engine_counts = counts.clone();
    std::thread::spawn(move || {
        while let Ok(end) = engine.accept() {
            let (counts, break_off) = (engine_counts.clone(), break_off.clone());
            std::thread::spawn(move || {
                answer_commands(end, name, pages, pause, break_off, &counts);
            });
        }
    });
    counts
}

#[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
fn answer_commands(
    mut end: EngineConnection,
    name: &str,
    pages: usize,
    pause: Duration,
    break_off: Option<BreakOff>,
    counts: &EngineCounts,
) {
    let mut run = 0;
    while let Ok(command) = end.command() {
        let _ = match command.verb() {
            "serve" => {
                run = counts.runs.fetch_add(1, Ordering::SeqCst) + 1;
                std::thread::sleep(pause);
                end.answer(
                    command.id(),
                    "OK",
                    &format!("count={pages},ticks=80,footprint=12"),
                    &page_rows(name, run, 0),
                )
            }
            "read" => {
                let page: usize = command.words[2].parse().expect("a number");
                if break_off.as_ref().is_some_and(|(at, has_broken_off)| {
                    *at == page && !has_broken_off.swap(true, Ordering::SeqCst)
                }) {
                    return;
                }
                end.answer(
                    command.id(),
                    "ROWS",
                    &format!("pos={page}"),
                    &page_rows(name, run, page),
                )
            }
            "release" => {
                counts.released.fetch_add(1, Ordering::SeqCst);
                Ok(())
            }
            _ => Ok(()),
        };
    }
}

/// Starts a gateway with a spool, and one engine whose results have the given number of pages.
fn start_spooling_gateway(
    pages: usize,
    pause: Duration,
    operator_lines: &str,
) -> (GatewayProcess, EngineCounts, scripted::Bulletin) {
    let (bulletin, mut engines) = start_emulators(1);
    let gateway = GatewayProcess::start_with_operator(
        &config(bulletin.address(), &addresses(&engines)),
        &operator_with_spool(operator_lines),
    );
    let counts = serve(engines.remove(0), "e", pages, pause, None);
    (gateway, counts, bulletin)
}

fn send_call(client: &mut Client, number: u64, id: &str) {
    let mut fields = fields(id, "15000");
    fields.push(("p", "1"));
    // Each statement reads another table group, so that the requests go to different engines.
    let statement = format!("SELECT * FROM sales_{number}.orders");
    client
        .call(number, "report", &fields, statement.as_bytes())
        .expect("the gateway reads");
}

/// Reads the remaining pages of a result. Returns the whole result.
fn read_remaining_pages(
    client: &mut Client,
    id: &str,
    mut whole: Vec<u8>,
    mut token: String,
    mut has_more: bool,
) -> Vec<u8> {
    let mut number = 1000;
    while has_more {
        number += 1;
        client
            .ask(number, "page", &[("token", &token), ("i", id)])
            .expect("the gateway reads");
        let (body, next_token, has_next) = read_part(client);
        assert!(!body.is_empty() && body.len() <= 48_000);
        whole.extend(body);
        (token, has_more) = (next_token, has_next);
    }
    whole
}

#[test]
fn a_large_result_is_read_by_tokens_long_after_its_engine_is_free() {
    let directory = tempfile::tempdir().unwrap();
    // Far more than the memory of the spool, so that most of it is written to disk.
    let operator_lines = format!(
        "spool-dir \"{}\"\nspool-disk 64MB\nspool-result 32MB\n",
        directory.path().display()
    );
    let (mut gateway, counts, _bulletin) =
        start_spooling_gateway(1500, Duration::ZERO, &operator_lines);
    let mut client = gateway.client();
    send_call(&mut client, 1, ID);
    let (body, token, has_more) = read_part(&mut client);
    let counters = gateway.counters();
    assert_eq!(
        (counts.runs(), counts.released(), counters["spool_results"]),
        (1, 1, 1),
        "the engine was released"
    );
    assert!(
        counters["spool_memory"] <= 4 << 20 && counters["spool_disk"] > 0,
        "{counters:?}"
    );
    let whole = read_remaining_pages(&mut client, ID, body, token, has_more);
    assert!(
        whole == expected_result("e", 1, 1500),
        "{} bytes",
        whole.len()
    );
    assert_eq!((gateway.counters()["served"], counts.runs()), (1, 1));
    drop(gateway);
    assert_eq!(
        std::fs::read_dir(directory.path()).unwrap().count(),
        0,
        "files remain in the directory of the spool"
    );
}

#[test]
fn a_client_that_reconnects_gets_the_result_of_the_first_run() {
    let (gateway, counts, _bulletin) = start_spooling_gateway(40, Duration::from_millis(300), "");
    let mut first = gateway.client();
    send_call(&mut first, 1, ID);
    // The request has been sent to the engine, and its connection closes before the answer.
    while counts.runs() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(first);
    let mut clients = [gateway.client(), gateway.client()];
    for client in clients.iter_mut() {
        client.ask(7, "again", &[("i", ID)]).unwrap();
    }
    let results = clients.each_mut().map(|client| {
        let (body, token, has_more) = read_part(client);
        read_remaining_pages(client, ID, body, token, has_more)
    });
    assert!(
        results
            .iter()
            .all(|whole| *whole == expected_result("e", 1, 40)),
        "the same to the byte"
    );
    // The request is sent once more after the run has ended and both clients have read the result.
    let mut late = gateway.client();
    late.ask(8, "again", &[("i", ID)]).unwrap();
    let (body, token, has_more) = read_part(&mut late);
    assert!(read_remaining_pages(&mut late, ID, body, token, has_more) == results[0]);
    assert_eq!(counts.runs(), 1);
}

#[test]
fn requests_with_the_same_key_run_once_and_each_gets_the_result() {
    const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let (mut gateway, counts, _bulletin) =
        start_spooling_gateway(40, Duration::from_millis(300), "");
    let mut clients = [gateway.client(), gateway.client(), gateway.client()];
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("{:016x}", number + 1);
        let mut fields = fields(&id, "15000");
        fields.extend([("p", "1"), ("k", KEY)]);
        client.call(1, "load", &fields, QUERY).unwrap();
        // The third request is sent after the first two have been served.
        while number == 1 && gateway.counters()["served"] < 2 {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    let results = clients.each_mut().map(|client| {
        let (body, token, has_more) = read_part(client);
        read_remaining_pages(client, KEY, body, token, has_more)
    });
    assert!(
        results
            .iter()
            .all(|whole| *whole == expected_result("e", 1, 40)),
        "the same to the byte"
    );
    let counters = gateway.counters();
    assert_eq!(
        (
            counts.runs(),
            counters["taken"],
            counters["served"],
            counters["sent"]
        ),
        (1, 3, 3, 1)
    );
}

#[test]
fn a_result_contains_no_rows_of_a_run_that_broke_off() {
    let (bulletin, mut engines) = start_emulators(2);
    let gateway = GatewayProcess::start_with_operator(
        &config(bulletin.address(), &addresses(&engines)),
        &operator_with_spool(""),
    );
    let has_broken_off = Arc::new(AtomicBool::new(false));
    let mut engine = |name| {
        serve(
            engines.remove(0),
            name,
            40,
            Duration::ZERO,
            Some((7, has_broken_off.clone())),
        )
    };
    let counts = [("one", engine("one")), ("two", engine("two"))];
    let mut client = gateway.client();
    send_call(&mut client, 1, ID);
    let (body, token, has_more) = read_part(&mut client);
    let whole = read_remaining_pages(&mut client, ID, body, token, has_more);
    let runs: u64 = counts.iter().map(|(_, counts)| counts.runs()).sum();
    assert!(
        has_broken_off.load(Ordering::SeqCst) && runs == 2,
        "{runs} runs"
    );
    let of_one_run = |(name, counts): &(&str, EngineCounts)| {
        (1..=counts.runs()).any(|run| whole == expected_result(name, run, 40))
    };
    assert!(
        counts.iter().any(of_one_run),
        "the result contains rows of several runs"
    );
}

#[test]
fn foreign_tokens_and_expired_results_get_distinct_errors() {
    let (gateway, _counts, _bulletin) = start_spooling_gateway(
        40,
        Duration::ZERO,
        "spool-unclaimed 1s\nspool-delivered 1s\n",
    );
    let mut client = gateway.client();
    send_call(&mut client, 1, ID);
    let (_, token, _) = read_part(&mut client);
    let mut ask_page = |number, token: &str, id: &str| {
        client
            .ask(number, "page", &[("token", token), ("i", id)])
            .unwrap();
        client.answer().unwrap()
    };
    assert!(matches!(ask_page(2, &token, ID), Answer::Part { .. }));
    for (token, id) in [
        (token.as_str(), "0000000000000002"),
        ("nonsense", ID),
        ("", ID),
        (&token[1..], ID),
    ] {
        assert!(
            matches!(ask_page(3, token, id), Answer::Error { word, .. } if word == "Forged"),
            "{token} {id}"
        );
    }
    // The result expires without use.
    std::thread::sleep(Duration::from_millis(2500));
    assert!(matches!(ask_page(4, &token, ID), Answer::Error { word, .. } if word == "Gone"));
    client.ask(5, "again", &[("i", ID)]).unwrap();
    assert_eq!(read_error(&mut client).0, "Gone");
    client
        .ask(6, "again", &[("i", "00000000000000ff")])
        .unwrap();
    assert_eq!(read_error(&mut client).0, "Gone", "no run was started");
}

#[test]
fn results_that_will_not_fit_are_refused_before_sending_and_too_large_ones_fail_at_once() {
    let (mut gateway, counts, _bulletin) =
        start_spooling_gateway(400, Duration::ZERO, "spool-result 1MB\n");
    let mut client = gateway.client();
    for number in 1..=9u64 {
        send_call(&mut client, number, &format!("{number:016x}"));
        let (word, why) = read_error(&mut client);
        // After eight outcomes the gateway has learned the size; later requests with results of
        // this size are not sent to the engine.
        let word_then = if number <= 8 { "Failed" } else { "TryLater" };
        assert_eq!(
            (word.as_str(), why.as_str()),
            (word_then, "too-large"),
            "{number}"
        );
    }
    let counters = gateway.counters();
    assert_eq!(
        (
            counters["failed"],
            counters["refused"],
            counters["spool_claims"]
        ),
        (8, 1, 0),
        "{counters:?}"
    );
    assert_eq!(counts.runs(), 8);
    let mut late = gateway.client();
    late.ask(1, "again", &[("i", "0000000000000003")]).unwrap();
    assert_eq!(
        read_error(&mut late).0,
        "Failed",
        "a failure is answered again as well"
    );
    // A client that doesn't ask for pages gets the result in one message, as without a spool.
    let (plain, _plain_counts, _bulletin) = start_spooling_gateway(1, Duration::ZERO, "");
    let mut client = plain.client();
    client
        .call(1, "report", &fields(ID, "15000"), QUERY)
        .unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Result {
            id: 1,
            body: expected_result("e", 1, 1)
        }
    );
    client.ask(2, "page", &[("token", "x"), ("i", ID)]).unwrap();
    assert_eq!(read_error(&mut client).0, "Forged");
}

#[test]
fn without_a_spool_its_methods_are_invalid() {
    let (_bulletin, _engines, gateway, mut client) = start_one();
    client.ask(1, "again", &[("i", ID)]).unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Error { word, .. } if word == "Invalid"));
    drop(gateway);
}
