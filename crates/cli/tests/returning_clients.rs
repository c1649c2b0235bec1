//! Runs of spooled results that several calls wait for. Each call gets one final answer in its time,
//! whatever happens to the run's engine, to the gateway or to the other calls. Guards against runs
//! that nobody ends (docs/incidents/run-without-owner.md).

mod common;

use common::scripted::{Answer, Bulletin, Client, Command, Engine, EngineConnection, PATIENCE};
use common::spool::{operator_with_spool, read_error};
use common::{addresses, config, fields, start_emulators, GatewayProcess, QUERY};
use std::sync::mpsc::{channel, Receiver, Sender};

const FIRST_ID: &str = "0000000000000001";
const RETURNED_ID: &str = "0000000000000002";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const ROWS: &str = "a\tb\tc\n";
const GOOD_END: &str = "count=1,ticks=80,footprint=12";
const LONG_WAIT_MS: &str = "15000";
const SHORT_WAIT_MS: &str = "1500";

/// An attempt that an engine has received: its command, and the connection that it came on.
struct Attempt(EngineConnection, Command);

impl Attempt {
    fn answer(&mut self, word: &str, fields: &str, payload: &str) {
        let Attempt(connection, command) = self;
        connection
            .answer(command.id(), word, fields, payload)
            .unwrap();
    }
}

/// Forwards the first attempt on each connection to the test, which then owns the connection.
fn forward_attempts(engine: Engine, attempts: Sender<Attempt>) {
    std::thread::spawn(move || {
        while let Ok(mut connection) = engine.accept() {
            let attempts = attempts.clone();
            std::thread::spawn(move || {
                while let Ok(command) = connection.command() {
                    if command.verb() == "serve" {
                        let _ = attempts.send(Attempt(connection, command));
                        return;
                    }
                }
            });
        }
    });
}

/// A gateway with a spool for results of the least maximum size, and two engines.
struct Fleet {
    gateway: GatewayProcess,
    attempts: Receiver<Attempt>,
    _bulletin: Bulletin,
}

impl Fleet {
    fn start() -> Self {
        let (bulletin, engines) = start_emulators(2);
        let gateway = GatewayProcess::start_with_operator(
            &config(bulletin.address(), &addresses(&engines)),
            &operator_with_spool("spool-result 48KB\n"),
        );
        let (sender, attempts) = channel();
        for engine in engines {
            forward_attempts(engine, sender.clone());
        }
        Fleet {
            gateway,
            attempts,
            _bulletin: bulletin,
        }
    }

    fn next_attempt(&self) -> Attempt {
        let attempt = self.attempts.recv_timeout(PATIENCE);
        attempt.expect("an attempt is sent")
    }

    fn send_load(&self, id: &str, wait_ms: &str) -> Client {
        let mut client = self.gateway.client();
        let mut fields = fields(id, wait_ms);
        fields.extend([("p", "1"), ("k", KEY)]);
        client.call(1, "load", &fields, QUERY).unwrap();
        client
    }

    fn assert_counters(&mut self, expected: &[(&str, u64)], case: &str) {
        let counters = self.gateway.counters();
        for (name, value) in expected {
            assert_eq!(counters[*name], *value, "{name} after {case}");
        }
    }
}

/// Returns "served" for the expected result, or else the word of the error.
fn read_end(client: &mut Client) -> String {
    match client.answer().expect("an answer") {
        Answer::Part { body, .. } if body == ROWS.as_bytes() => "served".to_string(),
        Answer::Error { word, .. } => word,
        other => panic!("{other:?}"),
    }
}

/// What happens to a run after its first client has disconnected and a second one has returned.
/// Returns the attempt if its connection stays open.
type Trouble = fn(&mut Fleet, Attempt) -> Option<Attempt>;

/// Sends pages until the gateway cancels the attempt.
fn send_too_many_pages(mut attempt: Attempt) {
    let page = ROWS.repeat(1000);
    attempt.answer("OK", "count=99,ticks=80,footprint=12", &page);
    while let Ok(command) = attempt.0.command() {
        if command.verb() != "read" {
            return;
        }
        attempt.answer("ROWS", &format!("pos={}", command.words[2]), &page);
    }
}

// Guards against a run that is neither retried nor ended because its first client has left.
#[test]
fn a_client_that_returned_to_a_run_gets_its_end() {
    let reset: Trouble = |_, _| None;
    let error: Trouble = |_, mut attempt| {
        attempt.answer("ERR", "-", "");
        Some(attempt)
    };
    let at_capacity: Trouble = |_, mut attempt| {
        attempt.answer("BUSY", "-", "");
        Some(attempt)
    };
    let damaged_page: Trouble = |_, mut attempt| {
        attempt.answer("OK", GOOD_END, "half a row");
        Some(attempt)
    };
    let too_large: Trouble = |_, attempt| {
        send_too_many_pages(attempt);
        None
    };
    let silence: Trouble = |_, attempt| Some(attempt);
    let shutdown: Trouble = |fleet, attempt| {
        fleet.gateway.terminate();
        Some(attempt)
    };
    let cases = [
        ("a reset", LONG_WAIT_MS, reset, "served"),
        ("an error", LONG_WAIT_MS, error, "served"),
        ("an engine at capacity", LONG_WAIT_MS, at_capacity, "served"),
        ("a damaged page", LONG_WAIT_MS, damaged_page, "served"),
        (
            "a result that is too large",
            LONG_WAIT_MS,
            too_large,
            "Failed",
        ),
        ("silence", SHORT_WAIT_MS, silence, "TryLater"),
        ("a shutdown", LONG_WAIT_MS, shutdown, "TryLater"),
    ];
    for (case, wait_ms, trouble, end) in cases {
        let mut fleet = Fleet::start();
        let first = fleet.send_load(FIRST_ID, wait_ms);
        let attempt = fleet.next_attempt();
        drop(first);
        fleet.gateway.wait_for_counter("lost", 1);
        let mut returned = fleet.send_load(RETURNED_ID, LONG_WAIT_MS);
        fleet.gateway.wait_for_counter("taken", 2);
        let _open_attempt = trouble(&mut fleet, attempt);
        let _retry = (end == "served").then(|| {
            let mut retry = fleet.next_attempt();
            retry.answer("OK", GOOD_END, ROWS);
            retry
        });
        assert_eq!(read_end(&mut returned), end, "{case}");
        let tables = [("open", 0), ("requests", 0), ("spool_calls", 0)];
        if case == "a shutdown" {
            let (status, counters) = fleet.gateway.wait_for_exit();
            assert!(status.success() && counters["open"] == 0, "{status}");
        } else {
            fleet.assert_counters(&tables, case);
        }
    }
}

// Guards against the same for a run that may not be repeated: it fails, for all who ask for it.
#[test]
fn a_query_for_a_run_that_may_not_be_repeated_gets_its_failure() {
    let mut fleet = Fleet::start();
    let mut first = fleet.gateway.client();
    let mut fields = fields(FIRST_ID, LONG_WAIT_MS);
    fields.push(("p", "1"));
    first.call(1, "change", &fields, QUERY).unwrap();
    let attempt = fleet.next_attempt();
    drop(first);
    let mut queries = [fleet.gateway.client(), fleet.gateway.client()];
    for query in &mut queries {
        query.ask(1, "again", &[("i", FIRST_ID)]).unwrap();
    }
    fleet.gateway.wait_for_counter("spool_calls", 2);
    drop(attempt);
    let mut later = fleet.gateway.client();
    for query in &mut queries {
        assert_eq!(read_error(query).0, "Failed");
    }
    later.ask(1, "again", &[("i", FIRST_ID)]).unwrap();
    assert_eq!(read_error(&mut later).0, "Failed");
    fleet.assert_counters(&[("sent", 1), ("spool_claims", 0), ("spool_calls", 0)], "");
}

/// How a call leaves its run: how long it may wait, what its client does, and the counter of this
/// end.
type Leave = (&'static str, fn(Client), &'static str);

// Guards against calls of one run that end with each other: an attached call that outlives its own
// time, a false refusal or failure after the first client has left, and calls that have gone but
// are still counted among those that wait.
#[test]
fn each_call_that_waits_for_a_run_ends_by_itself() {
    const CALLS_THAT_LEAVE: u64 = 20;
    let forget: Leave = (
        LONG_WAIT_MS,
        |mut client| client.forget(1).unwrap(),
        "forgotten",
    );
    let disconnect: Leave = (LONG_WAIT_MS, drop, "lost");
    let read_failure = |mut client: Client| assert_eq!(read_error(&mut client).0, "Failed");
    let wait: Leave = ("100", read_failure, "failed");
    let send_malformed: Leave = (
        LONG_WAIT_MS,
        |mut client| {
            client.write_raw(&[0xc1; 8]).unwrap();
            assert_eq!(read_error(&mut client).0, "Failed");
        },
        "failed",
    );
    for (wait_ms, leave, ended) in [forget, disconnect, send_malformed] {
        let mut fleet = Fleet::start();
        let first = fleet.send_load(FIRST_ID, wait_ms);
        let mut attempt = fleet.next_attempt();
        let mut second = fleet.send_load(RETURNED_ID, LONG_WAIT_MS);
        fleet.gateway.wait_for_counter("taken", 2);
        leave(first);
        fleet.gateway.wait_for_counter(ended, 1);
        attempt.answer("OK", GOOD_END, ROWS);
        assert_eq!(read_end(&mut second), "served", "the first was {ended}");
        fleet.assert_counters(&[("served", 1), ("open", 0), ("sent", 1)], ended);
    }
    for (wait_ms, leave, ended) in [forget, disconnect, send_malformed, wait] {
        let mut fleet = Fleet::start();
        let mut first = fleet.send_load(FIRST_ID, LONG_WAIT_MS);
        let mut attempt = fleet.next_attempt();
        for number in 1..=CALLS_THAT_LEAVE {
            let client = fleet.send_load(&format!("{number:015x}f"), wait_ms);
            fleet.gateway.wait_for_counter("taken", 1 + number);
            leave(client);
            fleet.gateway.wait_for_counter(ended, number);
        }
        fleet.assert_counters(&[("open", 1), ("spool_calls", 0)], ended);
        attempt.answer("OK", GOOD_END, ROWS);
        assert_eq!(read_end(&mut first), "served", "others were {ended}");
        fleet.assert_counters(&[("served", 1), ("open", 0), ("sent", 1)], ended);
    }
}
