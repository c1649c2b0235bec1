//! Clients that return to a spooled run, which is then attached to several calls: each of these
//! calls gets one final answer in its time, whatever happens to the run's engine, to the client that
//! started the run, or to the gateway. Guards against runs that nobody ends.

mod common;

use common::scripted::{Answer, Bulletin, Client, Command, Engine, EngineConnection, PATIENCE};
use common::spool::{operator_with_spool, read_error, read_part};
use common::{addresses, config, fields, start_emulators, GatewayProcess, QUERY};
use std::sync::mpsc::{channel, Receiver, Sender};

const FIRST_ID: &str = "0000000000000001";
const RETURNED_ID: &str = "0000000000000002";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const ROWS: &str = "a\tb\tc\n";
const LONG_WAIT_MS: &str = "15000";

/// The `serve` commands that the engines have received, each with the connection that it came on.
type Serves = Receiver<(EngineConnection, Command)>;

/// Forwards the first `serve` command on each connection to the test, which then owns the
/// connection.
fn forward_serves(engine: Engine, serves: Sender<(EngineConnection, Command)>) {
    std::thread::spawn(move || {
        while let Ok(mut connection) = engine.accept() {
            let serves = serves.clone();
            std::thread::spawn(move || {
                while let Ok(command) = connection.command() {
                    if command.verb() == "serve" {
                        let _ = serves.send((connection, command));
                        return;
                    }
                }
            });
        }
    });
}

/// Starts a gateway with a spool and two engines.
fn start() -> (GatewayProcess, Serves, Bulletin) {
    let (bulletin, engines) = start_emulators(2);
    let gateway = GatewayProcess::start_with_operator(
        &config(bulletin.address(), &addresses(&engines)),
        &operator_with_spool(""),
    );
    let (sender, serves) = channel();
    for engine in engines {
        forward_serves(engine, sender.clone());
    }
    (gateway, serves, bulletin)
}

fn next_serve(serves: &Serves) -> (EngineConnection, Command) {
    serves.recv_timeout(PATIENCE).expect("an attempt is sent")
}

fn send_load(client: &mut Client, id: &str, wait_ms: &str) {
    let mut fields = fields(id, wait_ms);
    fields.extend([("p", "1"), ("k", KEY)]);
    client.call(1, "load", &fields, QUERY).unwrap();
}

/// Starts a run whose client disconnects. Returns the attempt, and a second client whose call is
/// attached to the run.
fn start_run_and_return(
    gateway: &mut GatewayProcess,
    serves: &Serves,
) -> ((EngineConnection, Command), Client) {
    let mut first = gateway.client();
    send_load(&mut first, FIRST_ID, LONG_WAIT_MS);
    let attempt = next_serve(serves);
    drop(first);
    gateway.wait_for_counter("lost", 1);
    let mut returned = gateway.client();
    send_load(&mut returned, RETURNED_ID, LONG_WAIT_MS);
    gateway.wait_for_counter("taken", 2);
    (attempt, returned)
}

fn answer_with_rows((connection, command): &mut (EngineConnection, Command)) {
    connection
        .answer(command.id(), "OK", "count=1,ticks=80,footprint=12", ROWS)
        .unwrap();
}

// Guards against a run that nobody retries or ends because the client that started it has left
// (docs/incidents/run-without-owner.md).
#[test]
fn a_client_that_returned_is_served_after_its_run_has_lost_an_engine() {
    let (mut gateway, serves, _bulletin) = start();
    let ((connection, _), mut returned) = start_run_and_return(&mut gateway, &serves);
    drop(connection);
    answer_with_rows(&mut next_serve(&serves));
    assert_eq!(read_part(&mut returned).0, ROWS.as_bytes());
    let counters = gateway.counters();
    assert_eq!(
        ["taken", "lost", "served", "open", "sent"].map(|name| counters[name]),
        [2, 1, 1, 0, 2]
    );
}

// Guards against the same run if it may not be repeated: it has to fail, for all who ask for it.
#[test]
fn a_client_that_returned_is_told_of_the_failure_of_a_run_that_may_not_be_repeated() {
    let (mut gateway, serves, _bulletin) = start();
    let mut first = gateway.client();
    let mut fields = fields(FIRST_ID, LONG_WAIT_MS);
    fields.push(("p", "1"));
    first.call(1, "change", &fields, QUERY).unwrap();
    let (connection, _) = next_serve(&serves);
    drop(first);
    gateway.wait_for_counter("lost", 1);
    let mut returned = gateway.client();
    returned.ask(1, "again", &[("i", FIRST_ID)]).unwrap();
    returned.ask_health(2).unwrap();
    assert_eq!(
        returned.answer().unwrap(),
        Answer::Health { id: 2, well: true },
        "the query waits for the run"
    );
    drop(connection);
    assert_eq!(read_error(&mut returned).0, "Failed");
    let mut later = gateway.client();
    later.ask(1, "again", &[("i", FIRST_ID)]).unwrap();
    assert_eq!(read_error(&mut later).0, "Failed");
    let counters = gateway.counters();
    assert_eq!((counters["sent"], counters["spool_claims"]), (1, 0));
}

// Guards against a shutdown that closes connections with calls that wait for a run without answering
// them, because the client that started the run has left.
#[test]
fn a_stopping_gateway_answers_clients_that_returned_to_a_run() {
    let (mut gateway, serves, _bulletin) = start();
    let (_attempt, mut returned) = start_run_and_return(&mut gateway, &serves);
    gateway.terminate();
    assert_eq!(read_error(&mut returned).0, "TryLater");
    let (status, counters) = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    assert_eq!((counters["refused"], counters["open"]), (1, 0));
}

// Guards against a call that is attached to a run and gets no answer before its own time is up.
#[test]
fn an_attached_call_is_answered_in_its_own_time_while_the_run_goes_on() {
    let (mut gateway, serves, _bulletin) = start();
    let mut first = gateway.client();
    send_load(&mut first, FIRST_ID, LONG_WAIT_MS);
    let mut attempt = next_serve(&serves);
    let mut impatient = gateway.client();
    send_load(&mut impatient, RETURNED_ID, "400");
    assert_eq!(read_error(&mut impatient).0, "Failed");
    answer_with_rows(&mut attempt);
    assert_eq!(read_part(&mut first).0, ROWS.as_bytes());
    let counters = gateway.counters();
    assert_eq!(
        ["taken", "failed", "served", "open", "sent"].map(|name| counters[name]),
        [2, 1, 1, 0, 1]
    );
}

/// Starts a run with a first client and with a second one whose call is attached to it, lets the
/// first client leave, and asserts that the second one gets the result of the same run. `ended` is
/// the counter of how the first client's request ends.
fn assert_run_continues_after(leave: impl Fn(&mut Client), ended: &str) {
    let (mut gateway, serves, _bulletin) = start();
    let mut first = gateway.client();
    send_load(&mut first, FIRST_ID, LONG_WAIT_MS);
    let mut attempt = next_serve(&serves);
    let mut second = gateway.client();
    send_load(&mut second, RETURNED_ID, LONG_WAIT_MS);
    gateway.wait_for_counter("taken", 2);
    leave(&mut first);
    gateway.wait_for_counter(ended, 1);
    answer_with_rows(&mut attempt);
    assert_eq!(read_part(&mut second).0, ROWS.as_bytes());
    let counters = gateway.counters();
    assert_eq!(
        ["taken", ended, "served", "open", "sent"].map(|name| counters[name]),
        [2, 1, 1, 0, 1]
    );
}

// Guards against a refusal of an attached call, which promises that no effect happens, while the run
// goes on at its engine: the first client has only taken its own request back.
#[test]
fn an_attached_call_gets_the_result_after_the_first_client_has_cancelled() {
    assert_run_continues_after(|first| first.forget(1).unwrap(), "forgotten");
}

// Guards against an attached call that fails because the first client has sent something malformed.
#[test]
fn an_attached_call_gets_the_result_after_the_first_client_was_rejected() {
    let send_malformed = |first: &mut Client| {
        first.write_raw(&[0xc1; 8]).unwrap();
        assert_eq!(read_error(first).0, "Failed");
    };
    assert_run_continues_after(send_malformed, "failed");
}
