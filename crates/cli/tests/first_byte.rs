//! Changes between the decision to send an attempt and its first byte. Slow connecting or a full
//! socket buffer delays this byte until the change has happened. Guards against attempts that begin
//! although the request has ended or the engine may no longer be used.

mod common;

use common::scripted::{Answer, Client, Engine, EngineConnection, FullQueueEngine};
use common::{
    addresses, config, fields, host, next_command, start_emulators, GatewayProcess, QUERY,
};
use serde_json::{json, Value};
use std::net::SocketAddr;

const FIRST: &str = "0000000000000001";
const SECOND: &str = "0000000000000002";

/// Starts a gateway whose connection attempts to the first engine don't complete until the test
/// frees that engine's queue. Also returns the other engines.
fn start_with_held_dials(
    more: usize,
    change: impl Fn(&mut Value),
) -> (
    common::scripted::Bulletin,
    FullQueueEngine,
    Vec<Engine>,
    GatewayProcess,
) {
    let (bulletin, others) = start_emulators(more);
    let held = Engine::with_full_queue().unwrap();
    let all: Vec<SocketAddr> = std::iter::once(held.engine.address())
        .chain(addresses(&others))
        .collect();
    let mut configured = config(bulletin.address(), &all);
    change(&mut configured);
    (bulletin, held, others, GatewayProcess::start(&configured))
}

fn answer_with_one_page(end: &mut EngineConnection, id: &str) {
    end.answer(id, "OK", "count=1", "a\tb\tc\n").unwrap();
}

/// The client closes its connection or forgets the request, with and without permission to cancel.
/// In each case, the first request that the engine receives comes from another client.
#[test]
fn a_request_whose_client_disconnects_during_the_dial_is_never_sent() {
    for (may_cancel, closes_connection) in
        [(false, true), (false, false), (true, true), (true, false)]
    {
        let set_may_cancel = |configuration: &mut Value| {
            configuration["settings"]["limits"]["may-cancel"] = json!(may_cancel);
        };
        let (_bulletin, mut held, _, mut gateway) = start_with_held_dials(0, set_may_cancel);
        let mut leaving_client = gateway.client();
        leaving_client
            .call(1, "report", &fields(FIRST, "15000"), QUERY)
            .unwrap();
        gateway.wait_for_counter("dials", 1);
        if closes_connection {
            drop(leaving_client);
            gateway.wait_for_counter("lost", 1);
        } else {
            leaving_client.forget(1).unwrap();
            gateway.wait_for_counter("forgotten", 1);
        }
        let mut staying_client = gateway.client();
        staying_client
            .call(2, "report", &fields(SECOND, "15000"), QUERY)
            .unwrap();
        gateway.wait_for_counter("sent", 2);
        held.free_queue().unwrap();
        let mut end = held.engine.accept().unwrap();
        let serve = next_command(&mut end, "serve");
        assert_eq!(
            serve.id(),
            SECOND,
            "cancels {may_cancel}, the client closed {closes_connection}"
        );
        answer_with_one_page(&mut end, SECOND);
        assert!(matches!(
            staying_client.answer().unwrap(),
            Answer::Result { id: 2, .. }
        ));
        let counters = gateway.counters();
        assert_eq!((counters["unsent"], counters["requests"]), (1, 0));
    }
}

/// While the gateway is connecting, service discovery lists the engine as draining, as removed or
/// with another address; another process may listen at the old address. The request goes to the
/// listed engine.
#[test]
fn no_request_begins_at_an_engine_that_drained_was_removed_or_moved_during_the_dial() {
    for state in ["draining", "removed", "moved"] {
        let shorten_idle_time = |configuration: &mut Value| {
            configuration["settings"]["limits"]["conn-idle-us"] = json!(200_000);
        };
        let (bulletin, mut held, _, mut gateway) = start_with_held_dials(0, shorten_idle_time);
        let mut stream = bulletin.accept().unwrap();
        let other = Engine::listen("127.0.0.1:0").unwrap();
        let mut client = gateway.client();
        client
            .call(1, "report", &fields(FIRST, "15000"), QUERY)
            .unwrap();
        gateway.wait_for_counter("dials", 1);
        let hosts = match state {
            "moved" => vec![host("s-0", other.address(), "up")],
            _ => vec![
                host("s-0", held.engine.address(), state),
                host("s-1", other.address(), "up"),
            ],
        };
        let item = json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": hosts}});
        stream.event(2, &item.to_string()).unwrap();
        gateway.wait_for_counter("list_events", 1);
        held.free_queue().unwrap();
        let closed = held
            .engine
            .accept()
            .unwrap()
            .command()
            .map(|command| command.words);
        assert!(closed.is_err(), "{state}: the engine received {closed:?}");
        let mut end = other.accept().unwrap();
        assert_eq!(next_command(&mut end, "serve").id(), FIRST);
        answer_with_one_page(&mut end, FIRST);
        assert!(matches!(
            client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
    }
}

/// The first attempt may have run. The window in which engines retain the key ends while the
/// gateway is connecting for the second attempt.
#[test]
fn a_keyed_retry_does_not_begin_after_its_window() {
    let shorten_window = |configuration: &mut Value| {
        configuration["settings"]["grades"][1]["window-us"] = json!(400_000);
        configuration["settings"]["limits"]["conn-idle-us"] = json!(200_000);
    };
    let (_bulletin, mut held, _, mut gateway) = start_with_held_dials(0, shorten_window);
    let mut client = gateway.client();
    let mut keyed = fields(FIRST, "15000");
    keyed.push(("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    client.call(1, "load", &keyed, QUERY).unwrap();
    held.free_queue().unwrap();
    let mut end = held.engine.accept().unwrap();
    assert_eq!(next_command(&mut end, "serve").id(), FIRST);
    held.fill_queue().unwrap();
    drop(end);
    gateway.wait_for_counter("dials", 2);
    // Connecting takes at least a second: the full queue dropped the first SYN, and the kernel
    // doesn't retransmit a SYN sooner.
    held.free_queue().unwrap();
    let mut end = held.engine.accept().unwrap();
    let closed = end.command().map(|command| command.words);
    assert!(closed.is_err(), "the engine received {closed:?}");
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "TryLater")
    );
    let counters = gateway.counters();
    assert_eq!(
        (counters["broken"], counters["unsent"], counters["sent"]),
        (1, 1, 2)
    );
}

/// An unsafe request that is withdrawn before its first byte was sent never ran and may be resent.
/// Once its first byte was sent, the request is neither refused nor sent a second time.
#[test]
fn an_unsafe_request_is_sent_again_only_if_it_never_began() {
    let (bulletin, mut held, _, mut gateway) = start_with_held_dials(0, |_| ());
    let mut stream = bulletin.accept().unwrap();
    let other = Engine::listen("127.0.0.1:0").unwrap();
    let mut client = gateway.client();
    client
        .call(1, "change", &fields(FIRST, "15000"), QUERY)
        .unwrap();
    gateway.wait_for_counter("dials", 1);
    let hosts = [
        host("s-0", held.engine.address(), "draining"),
        host("s-1", other.address(), "up"),
    ];
    let item = json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": hosts}});
    stream.event(2, &item.to_string()).unwrap();
    gateway.wait_for_counter("list_events", 1);
    held.free_queue().unwrap();
    let mut end = other.accept().unwrap();
    assert_eq!(next_command(&mut end, "serve").id(), FIRST);
    // The connection ends while the request runs.
    drop(end);
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "Failed")
    );
    assert_eq!(gateway.counters()["sent"], 2);
}

/// Cancels are forbidden and the engine doesn't read. Requests that wait behind the full buffer
/// must not be sent after their client has disconnected.
#[test]
fn requests_behind_a_full_buffer_are_dropped_with_their_client() {
    const SENT: u64 = 14;
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["limits"]["may-cancel"] = json!(false);
    let mut gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    // More than the buffers of a connection take while the engine doesn't read.
    let mut statement = QUERY.to_vec();
    statement.resize(1_000_000, b' ');
    for number in 1..=SENT {
        let id = format!("{number:016x}");
        client
            .call(number, "report", &fields(&id, "15000"), &statement)
            .unwrap();
    }
    let mut end = engines[0].accept().unwrap();
    gateway.wait_for_counter("sent", SENT);
    drop(client);
    gateway.wait_for_counter("lost", SENT);
    let mut received = 0;
    // Once this request arrives, the engine has read all requests that were sent before this one.
    let mut after = Client::connect(gateway.address).unwrap();
    after
        .call(1, "report", &fields("00000000000000ff", "15000"), QUERY)
        .unwrap();
    while next_command(&mut end, "serve").id() != "00000000000000ff" {
        received += 1;
    }
    assert!(
        received < SENT,
        "the engine received {received} requests, some of them after their client had disconnected"
    );
}
