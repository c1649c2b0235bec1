//! Messages that cross the end of a client's connection, which is caused by a shutdown, an eviction
//! or a lack of descriptors. Where the gateway must find two events in one poll, its process is
//! paused until both have happened. Guards against lost requests and connection resets.

mod common;

use common::scripted::{self, Answer, Bulletin, Client, EngineConnection};
use common::{
    addresses, config, fields, next_command, send_query, start_emulators, start_one,
    GatewayProcess, QUERY,
};
use rustix::process::Signal;
use serde_json::json;
use std::io::ErrorKind;

const SECOND: &str = "0000000000000002";

fn end_kind(client: &mut Client) -> ErrorKind {
    client.answer().unwrap_err().kind()
}

/// An idle connection is half-closed, and the gateway keeps reading: a request that crosses the end
/// is ignored, and the connection isn't reset.
#[test]
fn a_request_after_the_shutdown_of_its_connection_is_ignored() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    gateway.terminate();
    assert_eq!(end_kind(&mut client), ErrorKind::UnexpectedEof);
    client
        .call(2, "report", &fields(SECOND, "15000"), QUERY)
        .unwrap();
    // The process is still running, so it reads the call, and the client still sees a regular end
    // of the connection.
    gateway.wait_for_counter("bytes_in", sent_bytes());
    assert_eq!(end_kind(&mut client), ErrorKind::UnexpectedEof);
    drop(client);
    let (status, counters) = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    assert_eq!(
        (counters["taken"], counters["sent"], counters["served"]),
        (1, 1, 1)
    );
}

/// Returns the number of bytes that the client in the test above has sent.
fn sent_bytes() -> u64 {
    let calls = [(1, "0000000000000001"), (2, SECOND)];
    calls
        .map(|(number, id)| {
            scripted::call(number, "report", &fields(id, "15000"), QUERY).len() as u64
        })
        .iter()
        .sum()
}

/// Half of a request has arrived when idle connections are shut down. The rest arrives later, and
/// the request is served before its connection ends.
#[test]
fn a_request_that_is_incomplete_at_the_shutdown_is_served() {
    let (_bulletin, engines, mut gateway, mut idle) = start_one();
    let mut incomplete = gateway.client();
    let call = scripted::call(1, "report", &fields(SECOND, "15000"), QUERY);
    incomplete.write_raw(&call[..call.len() / 2]).unwrap();
    idle.ask_health(1).unwrap();
    idle.answer().unwrap();
    gateway.wait_for_counter("bytes_in", call.len() as u64 / 2 + health_request_bytes());
    gateway.terminate();
    assert_eq!(end_kind(&mut idle), ErrorKind::UnexpectedEof);
    incomplete.write_raw(&call[call.len() / 2..]).unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        incomplete.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert_eq!(end_kind(&mut incomplete), ErrorKind::UnexpectedEof);
    drop(idle);
    let (status, counters) = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    assert_eq!((counters["taken"], counters["served"]), (1, 1));
}

fn health_request_bytes() -> u64 {
    // [0, 1, "isWell", [{}]]
    1 + 1 + 1 + 7 + 1 + 1
}

/// The rest of a long message arrives while the process is paused for longer than a message may
/// take. When the process is resumed, the whole message has arrived, which is more than the process
/// reads in one poll.
#[test]
fn a_message_whose_rest_has_arrived_is_not_timed_out() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let mut statement = QUERY.to_vec();
    statement.resize(400_000, b' ');
    let call = scripted::call(1, "report", &fields(SECOND, "15000"), &statement);
    client.write_raw(&call[..1000]).unwrap();
    gateway.wait_for_counter("bytes_in", 1000);
    gateway.pause();
    client.write_raw(&call[1000..]).unwrap();
    // The time limit for a message is built into the program, so the process is paused for longer
    // than that limit.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    gateway.resume();
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
}

/// SIGHUP and SIGTERM arrive together, in either order, while a request is open.
#[test]
fn signals_that_arrive_together_lose_no_request() {
    const ORDERS: [&[Signal]; 4] = [
        &[Signal::HUP, Signal::TERM],
        &[Signal::TERM, Signal::HUP],
        &[Signal::TERM, Signal::TERM, Signal::HUP],
        &[Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM],
    ];
    for order in ORDERS {
        let (_bulletin, engines, gateway, mut client) = start_one();
        let (mut end, serve) = send_query(&mut client, &engines[0]);
        gateway.pause();
        for signal in order.iter() {
            gateway.signal(*signal);
        }
        let mut late = gateway.client();
        late.call(2, "report", &fields(SECOND, "15000"), QUERY)
            .unwrap();
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        gateway.resume();
        let second = next_command(&mut end, "serve");
        end.answer(second.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        assert!(matches!(
            client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
        assert!(matches!(
            late.answer().unwrap(),
            Answer::Result { id: 2, .. }
        ));
        drop((client, late));
        let (status, counters) = gateway.wait_for_exit();
        assert!(status.success(), "{order:?}: {status}");
        assert_eq!((counters["served"], counters["taken"]), (2, 2), "{order:?}");
    }
}

/// The connection that would be evicted has sent a request. The gateway hasn't read this request
/// yet, since it handles the new connection first.
#[test]
fn a_connection_with_an_unread_request_is_not_evicted() {
    let (bulletin, mut engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["sockets"] = json!(64);
    let gateway = GatewayProcess::start(&configured);
    engines.remove(0).answer_all(1, "a\tb\tc\n".into());
    let mut idle: Vec<Client> = (0..32).map(|_| gateway.client()).collect();
    for client in &mut idle {
        client.ask_health(1).unwrap();
        client.answer().unwrap();
    }
    gateway.pause();
    let mut new = gateway.client();
    new.ask_health(1).unwrap();
    idle[0]
        .call(2, "report", &fields(SECOND, "15000"), QUERY)
        .unwrap();
    gateway.resume();
    assert!(matches!(
        idle[0].answer().unwrap(),
        Answer::Result { id: 2, .. }
    ));
    assert_eq!(new.answer().unwrap(), Answer::Health { id: 1, well: true });
    assert_eq!(
        end_kind(&mut idle[1]),
        ErrorKind::UnexpectedEof,
        "the next idle connection is evicted"
    );
}

/// The connection of a client that doesn't read is half-closed. Bytes that the client sends
/// meanwhile must not reset the connection.
#[test]
fn a_client_that_does_not_read_is_half_closed_and_its_messages_are_ignored() {
    let (bulletin, mut engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["memory_mb"] = json!(1);
    let mut gateway = GatewayProcess::start(&configured);
    engines.remove(0).answer_all(8, "a\tb\tc\n".repeat(1000));
    let mut client = gateway.client();
    let mut number = 0u64;
    while gateway.counters()["deaf"] == 0 {
        let id = format!("{number:016x}");
        client
            .call(number, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        number += 1;
        while number.is_multiple_of(32) && gateway.counters()["open"] > 0 {}
    }
    let _ = client.write_raw(&[0xc1; 512]);
    let mut served = 0;
    let end = loop {
        match client.answer() {
            Ok(Answer::Result { .. }) => served += 1,
            Ok(_) => {}
            Err(e) => break e.kind(),
        }
    };
    assert_ne!(
        end,
        ErrorKind::ConnectionReset,
        "after {served} of {number} answers"
    );
}

/// Idle clients use all descriptors that clients may use, the bulletin can't be reached, and the
/// kernel grants no descriptor above the limit. Connections to engines and to the bulletin still
/// get descriptors, and each client with a request is served.
#[test]
fn idle_clients_at_the_descriptor_limit_leave_descriptors_for_engines_and_the_bulletin() {
    const LIMIT: u64 = 64;
    let (bulletin, mut engines) = start_emulators(3);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["sockets"] = json!(LIMIT);
    let address = bulletin.address();
    drop(bulletin);
    let mut gateway = GatewayProcess::start_with_descriptors(&configured, LIMIT);
    engines
        .drain(..)
        .for_each(|engine| engine.answer_all(1, "a\tb\tc\n".into()));
    let ask = |_| {
        let mut client = gateway.client();
        client.ask_health(1).unwrap();
        assert_eq!(
            client.answer().unwrap(),
            Answer::Health { id: 1, well: true }
        );
        client
    };
    let mut idle: Vec<Client> = (0..2 * LIMIT).map(ask).collect();
    for number in 1..=12u64 {
        let id = format!("{number:016x}");
        let statement = format!("SELECT * FROM sales_{number}.orders");
        let client = idle.last_mut().unwrap();
        client
            .call(
                number,
                "report",
                &fields(&id, "15000"),
                statement.as_bytes(),
            )
            .unwrap();
        assert!(
            matches!(client.answer().unwrap(), Answer::Result { .. }),
            "{number}"
        );
    }
    let bulletin = Bulletin::listen(&address.to_string()).unwrap();
    let mut stream = bulletin.accept().unwrap();
    stream
        .event(2, r#"{"no":2,"roster":{"seq":2,"hosts":[]}}"#)
        .unwrap();
    gateway.wait_for_counter("list_events", 1);
    let counters = gateway.counters();
    assert_eq!(
        (
            counters["served"],
            counters["dials_short"],
            counters["no_connection"]
        ),
        (12, 0, 0)
    );
}

/// A request waits for room at an engine. Its client leaves in the same poll in which an answer
/// frees room. Guards against room that stays reserved for the request, which was never sent.
#[test]
fn a_queued_request_whose_client_leaves_reserves_no_room() {
    const ROUNDS: u64 = 3;
    const RUNNING: u64 = 2;
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    // One core has room for two requests.
    configured["settings"]["extra"]["kind-cores"] = json!([1]);
    let mut gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    let call_next = |client: &mut Client, number: u64| {
        let id = format!("{number:016x}");
        client
            .call(number, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
    };
    // Skips a request that was sent before its client has left.
    let serve_of = |end: &mut EngineConnection, number: u64| loop {
        let serve = next_command(end, "serve");
        if serve.id() == format!("{number:016x}") {
            return serve;
        }
    };
    call_next(&mut client, 1);
    let mut end = engines[0].accept().unwrap();
    let mut running = vec![serve_of(&mut end, 1)];
    for number in 2..=RUNNING {
        call_next(&mut client, number);
        running.push(serve_of(&mut end, number));
    }
    for round in 0..ROUNDS {
        let mut leaving = gateway.client();
        call_next(&mut leaving, 100 + round);
        gateway.wait_for_counter("taken", RUNNING + 2 * round + 1);
        gateway.pause();
        let ended = running.remove(0);
        end.answer(ended.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        drop(leaving);
        gateway.resume();
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
        let number = RUNNING + 1 + round;
        call_next(&mut client, number);
        running.push(serve_of(&mut end, number));
    }
    let counters = gateway.counters();
    assert_eq!((counters["open"], counters["requests"]), (RUNNING, RUNNING));
}
