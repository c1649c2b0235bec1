//! What changes between the decision to send an attempt and its first byte: a dial that comes up
//! late, or a socket buffer that is full, holds the byte back until the test has had the change
//! happen.

mod common;

use common::standin::{Answer, Client, Engine, EngineConnection, FullQueueEngine};
use common::{addresses, config, fields, host, next, stand_ins, Running, QUERY};
use serde_json::{json, Value};
use std::net::SocketAddr;

const FIRST: &str = "0000000000000001";
const SECOND: &str = "0000000000000002";

/// A gateway whose dials to the first engine wait, and the other engines.
fn behind_held(
    more: usize,
    change: impl Fn(&mut Value),
) -> (
    common::standin::Bulletin,
    FullQueueEngine,
    Vec<Engine>,
    Running,
) {
    let (bulletin, others) = stand_ins(more);
    let held = Engine::with_full_queue().unwrap();
    let all: Vec<SocketAddr> = std::iter::once(held.engine.address())
        .chain(addresses(&others))
        .collect();
    let mut configured = config(bulletin.address(), &all);
    change(&mut configured);
    (bulletin, held, others, Running::start(&configured))
}

fn answers(end: &mut EngineConnection, id: &str) {
    end.answer(id, "OK", "count=1", "a\tb\tc\n").unwrap();
}

/// Gone by its connection's end and by a forget, where cancels are allowed and where they aren't:
/// in each case the first that the engine gets is the request of another client.
#[test]
fn a_request_whose_client_has_gone_during_the_dial_is_never_sent() {
    for (may_cancel, closes) in [(false, true), (false, false), (true, true), (true, false)] {
        let forbid = |own: &mut Value| own["settings"]["limits"]["may-cancel"] = json!(may_cancel);
        let (_bulletin, mut held, _, mut gateway) = behind_held(0, forbid);
        let mut leaves = gateway.client();
        leaves
            .call(1, "report", &fields(FIRST, "15000"), QUERY)
            .unwrap();
        gateway.until("dials", 1);
        if closes {
            drop(leaves);
            gateway.until("lost", 1);
        } else {
            leaves.forget(1).unwrap();
            gateway.until("forgotten", 1);
        }
        let mut stays = gateway.client();
        stays
            .call(2, "report", &fields(SECOND, "15000"), QUERY)
            .unwrap();
        gateway.until("sent", 2);
        held.free_queue().unwrap();
        let mut end = held.engine.accept().unwrap();
        let serve = next(&mut end, "serve");
        assert_eq!(
            serve.id(),
            SECOND,
            "cancels {may_cancel}, the client closed {closes}"
        );
        answers(&mut end, SECOND);
        assert!(matches!(
            stays.answer().unwrap(),
            Answer::Result { id: 2, .. }
        ));
        let counted = gateway.counters();
        assert_eq!((counted["unsent"], counted["requests"]), (1, 0));
    }
}

/// Told during the dial to drain, to be gone, or to have another address, where somebody else may
/// run by now: it goes to the engine that is there.
#[test]
fn nothing_begins_at_an_engine_that_drains_is_gone_or_has_moved_since_the_dial() {
    for state in ["draining", "removed", "moved"] {
        let idle = |own: &mut Value| own["settings"]["limits"]["conn-idle-us"] = json!(200_000);
        let (bulletin, mut held, _, mut gateway) = behind_held(0, idle);
        let mut stream = bulletin.accept().unwrap();
        let other = Engine::listen("127.0.0.1:0").unwrap();
        let mut client = gateway.client();
        client
            .call(1, "report", &fields(FIRST, "15000"), QUERY)
            .unwrap();
        gateway.until("dials", 1);
        let hosts = match state {
            "moved" => vec![host("s-0", other.address(), "up")],
            _ => vec![
                host("s-0", held.engine.address(), state),
                host("s-1", other.address(), "up"),
            ],
        };
        let item = json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": hosts}});
        stream.event(2, &item.to_string()).unwrap();
        gateway.until("list_events", 1);
        held.free_queue().unwrap();
        let closed = held
            .engine
            .accept()
            .unwrap()
            .command()
            .map(|command| command.words);
        assert!(closed.is_err(), "{state}: it got {closed:?}");
        let mut end = other.accept().unwrap();
        assert_eq!(next(&mut end, "serve").id(), FIRST);
        answers(&mut end, FIRST);
        assert!(matches!(
            client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
    }
}

/// The first try may have run; the engines forget its key while the second one's dial is under way.
#[test]
fn a_repeat_does_not_begin_after_its_window() {
    let short = |own: &mut Value| {
        own["settings"]["grades"][1]["window-us"] = json!(400_000);
        own["settings"]["limits"]["conn-idle-us"] = json!(200_000);
    };
    let (_bulletin, mut held, _, mut gateway) = behind_held(0, short);
    let mut client = gateway.client();
    let mut keyed = fields(FIRST, "15000");
    keyed.push(("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    client.call(1, "load", &keyed, QUERY).unwrap();
    held.free_queue().unwrap();
    let mut end = held.engine.accept().unwrap();
    assert_eq!(next(&mut end, "serve").id(), FIRST);
    held.fill_queue().unwrap();
    drop(end);
    gateway.until("dials", 2);
    // The dial takes a second at least: the system asks again no sooner.
    held.free_queue().unwrap();
    let mut end = held.engine.accept().unwrap();
    let closed = end.command().map(|command| command.words);
    assert!(closed.is_err(), "it got {closed:?}");
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "TryLater")
    );
    let counted = gateway.counters();
    assert_eq!(
        (counted["broken"], counted["unsent"], counted["sent"]),
        (1, 1, 2)
    );
}

/// What is unsafe to repeat: withdrawn before its first byte it never ran, so it may be sent again,
/// and no refusal or second attempt follows on one that began.
#[test]
fn an_unsafe_request_is_sent_again_only_where_it_never_began() {
    let (bulletin, mut held, _, mut gateway) = behind_held(0, |_| ());
    let mut stream = bulletin.accept().unwrap();
    let other = Engine::listen("127.0.0.1:0").unwrap();
    let mut client = gateway.client();
    client
        .call(1, "change", &fields(FIRST, "15000"), QUERY)
        .unwrap();
    gateway.until("dials", 1);
    let hosts = [
        host("s-0", held.engine.address(), "draining"),
        host("s-1", other.address(), "up"),
    ];
    let item = json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": hosts}});
    stream.event(2, &item.to_string()).unwrap();
    gateway.until("list_events", 1);
    held.free_queue().unwrap();
    let mut end = other.accept().unwrap();
    assert_eq!(next(&mut end, "serve").id(), FIRST);
    // Reset under a request that has begun.
    drop(end);
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "Failed")
    );
    assert_eq!(gateway.counters()["sent"], 2);
}

/// Cancels are forbidden and the engine doesn't read: what waits behind the full buffer isn't for
/// it any more.
#[test]
fn what_waits_behind_a_full_buffer_goes_with_its_client() {
    const SENT: u64 = 14;
    let (bulletin, engines) = stand_ins(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["limits"]["may-cancel"] = json!(false);
    let mut gateway = Running::start(&configured);
    let mut client = gateway.client();
    // More than a connection takes while its other end doesn't read.
    let mut statement = QUERY.to_vec();
    statement.resize(1_000_000, b' ');
    for number in 1..=SENT {
        let id = format!("{number:016x}");
        client
            .call(number, "report", &fields(&id, "15000"), &statement)
            .unwrap();
    }
    let mut end = engines[0].accept().unwrap();
    gateway.until("sent", SENT);
    drop(client);
    gateway.until("lost", SENT);
    let mut whole = 0;
    // The last of them, so that all before it have been read.
    let mut after = Client::connect(gateway.address).unwrap();
    after
        .call(1, "report", &fields("00000000000000ff", "15000"), QUERY)
        .unwrap();
    while next(&mut end, "serve").id() != "00000000000000ff" {
        whole += 1;
    }
    assert!(
        whole < SENT,
        "{whole} requests came to the engine after their client had gone"
    );
}
