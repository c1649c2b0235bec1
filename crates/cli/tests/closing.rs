//! What crosses the end of a client's connection: a shutdown, an eviction, descriptors that run
//! short. The process is held still where two things must be there at once.

mod common;

use common::standin::{self, Answer, Bulletin, Client};
use common::{addresses, called, config, fields, next, stand_ins, up, Running, QUERY};
use rustix::process::Signal;
use serde_json::json;
use std::io::ErrorKind;

const SECOND: &str = "0000000000000002";

fn is_over(client: &mut Client) -> ErrorKind {
    client.answer().unwrap_err().kind()
}

/// A resting connection is half-closed and read on: what crosses that is passed over, and nothing
/// is reset.
#[test]
fn what_a_client_says_after_the_shutdown_of_its_connection_is_not_sent_on() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    gateway.terminate();
    assert_eq!(is_over(&mut client), ErrorKind::UnexpectedEof);
    client
        .call(2, "report", &fields(SECOND, "15000"), QUERY)
        .unwrap();
    // The process still stands, so what came is read, and the end of the stream stays what it was.
    gateway.until("bytes_in", both_calls());
    assert_eq!(is_over(&mut client), ErrorKind::UnexpectedEof);
    drop(client);
    let (status, counted) = gateway.ended();
    assert!(status.success(), "{status}");
    assert_eq!(
        (counted["taken"], counted["sent"], counted["served"]),
        (1, 1, 1)
    );
}

/// What the client of the test above has written in all.
fn both_calls() -> u64 {
    let calls = [(1, "0000000000000001"), (2, SECOND)];
    calls
        .map(|(number, id)| {
            standin::call(number, "report", &fields(id, "15000"), QUERY).len() as u64
        })
        .iter()
        .sum()
}

/// Half a request is there when others are shut; its rest comes later, and it is served before its
/// connection ends.
#[test]
fn a_request_that_is_half_there_when_the_others_are_shut_is_served() {
    let (_bulletin, engines, mut gateway, mut resting) = up();
    let mut slow = gateway.client();
    let call = standin::call(1, "report", &fields(SECOND, "15000"), QUERY);
    slow.write_raw(&call[..call.len() / 2]).unwrap();
    resting.ask_health(1).unwrap();
    resting.answer().unwrap();
    gateway.until("bytes_in", call.len() as u64 / 2 + health_bytes());
    gateway.terminate();
    assert_eq!(is_over(&mut resting), ErrorKind::UnexpectedEof);
    slow.write_raw(&call[call.len() / 2..]).unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        slow.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert_eq!(is_over(&mut slow), ErrorKind::UnexpectedEof);
    drop(resting);
    let (status, counted) = gateway.ended();
    assert!(status.success(), "{status}");
    assert_eq!((counted["taken"], counted["served"]), (1, 1));
}

fn health_bytes() -> u64 {
    // [0, 1, "isWell", [{}]]
    1 + 1 + 1 + 7 + 1 + 1
}

/// A long message has begun; its rest comes while the process is held, for longer than a message
/// may take. All of it is there when the process goes on, more than it reads at one look.
#[test]
fn a_message_whose_rest_is_there_is_not_held_to_be_late() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let mut statement = QUERY.to_vec();
    statement.resize(400_000, b' ');
    let call = standin::call(1, "report", &fields(SECOND, "15000"), &statement);
    client.write_raw(&call[..1000]).unwrap();
    gateway.until("bytes_in", 1000);
    gateway.pause();
    client.write_raw(&call[1000..]).unwrap();
    // The bound on silence is the program's own: the process sleeps through it.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    gateway.go_on();
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
}

/// Signals in all the orders that a supervisor may send them in, at once, with a request open.
#[test]
fn signals_that_cross_cost_no_request() {
    const ORDERS: [&[Signal]; 4] = [
        &[Signal::HUP, Signal::TERM],
        &[Signal::TERM, Signal::HUP],
        &[Signal::TERM, Signal::TERM, Signal::HUP],
        &[Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM],
    ];
    for order in ORDERS {
        let (_bulletin, engines, gateway, mut client) = up();
        let (mut end, serve) = called(&mut client, &engines[0]);
        gateway.pause();
        for signal in order.iter() {
            gateway.signal(*signal);
        }
        let mut late = gateway.client();
        late.call(2, "report", &fields(SECOND, "15000"), QUERY)
            .unwrap();
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        gateway.go_on();
        let second = next(&mut end, "serve");
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
        let (status, counted) = gateway.ended();
        assert!(status.success(), "{order:?}: {status}");
        assert_eq!((counted["served"], counted["taken"]), (2, 2), "{order:?}");
    }
}

/// The one that would be evicted has asked, and nobody has looked yet: the new connection was seen
/// first.
#[test]
fn a_connection_is_not_evicted_over_a_request_that_has_come() {
    let (bulletin, mut engines) = stand_ins(1);
    let mut few = config(bulletin.address(), &addresses(&engines));
    few["limits"]["sockets"] = json!(64);
    let gateway = Running::start(&few);
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
    gateway.go_on();
    assert!(matches!(
        idle[0].answer().unwrap(),
        Answer::Result { id: 2, .. }
    ));
    assert_eq!(new.answer().unwrap(), Answer::Health { id: 1, well: true });
    assert_eq!(
        is_over(&mut idle[1]),
        ErrorKind::UnexpectedEof,
        "the next one gives way"
    );
}

/// A client that doesn't read is told that its answers end, and what it says meanwhile resets
/// nothing.
#[test]
fn a_client_that_does_not_read_is_half_closed_and_what_it_says_is_passed_over() {
    let (bulletin, mut engines) = stand_ins(1);
    let mut small = config(bulletin.address(), &addresses(&engines));
    small["limits"]["memory_mb"] = json!(1);
    let mut gateway = Running::start(&small);
    engines.remove(0).answer_all(8, "a\tb\tc\n".repeat(1000));
    let mut deaf = gateway.client();
    let mut number = 0u64;
    while gateway.counters()["deaf"] == 0 {
        let id = format!("{number:016x}");
        deaf.call(number, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        number += 1;
        while number.is_multiple_of(32) && gateway.counters()["open"] > 0 {}
    }
    let _ = deaf.write_raw(&[0xc1; 512]);
    let mut served = 0;
    let last = loop {
        match deaf.answer() {
            Ok(Answer::Result { .. }) => served += 1,
            Ok(_) => {}
            Err(e) => break e.kind(),
        }
    };
    assert_ne!(
        last,
        ErrorKind::ConnectionReset,
        "after {served} of {number} answers"
    );
}

/// Idle clients hold all that they may, the bulletin can't be reached, and the system gives no
/// descriptor beyond the limit: dials to engines and to the bulletin still get theirs, and each
/// client that asks is served.
#[test]
fn idle_clients_at_the_real_limit_leave_descriptors_for_engines_and_the_bulletin() {
    const LIMIT: u64 = 64;
    let (bulletin, mut engines) = stand_ins(3);
    let mut few = config(bulletin.address(), &addresses(&engines));
    few["limits"]["sockets"] = json!(LIMIT);
    let address = bulletin.address();
    drop(bulletin);
    let mut gateway = Running::start_within(&few, LIMIT);
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
    gateway.until("list_events", 1);
    let counted = gateway.counters();
    assert_eq!(
        (
            counted["served"],
            counted["dials_short"],
            counted["no_connection"]
        ),
        (12, 0, 0)
    );
}
