//! The stream from service discovery stalls, breaks off or is replaced in the middle of an event.
//! Guards against a lost, doubled or outdated endpoint list.

mod common;

use common::scripted::{Answer, BulletinStream, Engine};
use common::{addresses, config, host, send_query, start_emulators, GatewayProcess};
use serde_json::json;
use std::net::SocketAddr;

fn list_event(number: u64, whole: bool, hosts: &[(&str, SocketAddr, &str)]) -> String {
    let hosts: Vec<_> = hosts
        .iter()
        .map(|(name, at, health)| host(name, *at, health))
        .collect();
    json!({"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}}).to_string()
}

fn expect_query_served_by(gateway: &GatewayProcess, engine: &Engine) {
    let mut client = gateway.client();
    let (mut end, serve) = send_query(&mut client, engine);
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
}

/// The connection is accepted, but not even the head of a response arrives: the gateway reconnects.
#[test]
fn a_stream_without_a_response_is_replaced() {
    let (bulletin, engines) = start_emulators(1);
    let gateway = GatewayProcess::start(&config(bulletin.address(), &addresses(&engines)));
    let (_silent, _) = bulletin.listener.accept().unwrap();
    let mut again = bulletin.accept().unwrap();
    assert_eq!(again.after, 1);
    again
        .event(
            2,
            &list_event(2, false, &[("s-0", engines[0].address(), "up")]),
        )
        .unwrap();
    expect_query_served_by(&gateway, &engines[0]);
}

/// Half an event arrives and the stream stalls. After the gateway has reconnected, the rest arrives
/// on the old stream, and the new stream sends the event with other content.
#[test]
fn the_rest_of_a_stalled_event_is_not_read_from_the_old_stream() {
    let (bulletin, engines) = start_emulators(2);
    let mut gateway = GatewayProcess::start(&config(bulletin.address(), &addresses(&engines[..1])));
    let mut old = bulletin.accept().unwrap();
    let drained = list_event(2, false, &[("s-0", engines[0].address(), "draining")]);
    let (half, rest) = drained.split_at(drained.len() / 2);
    old.write_raw(format!("id: 2\ndata: {half}").as_bytes())
        .unwrap();
    let mut new: BulletinStream = bulletin.accept().unwrap();
    assert_eq!(new.after, 1, "the incomplete event is requested again");
    let _ = old.write_raw(format!("{rest}\n\n").as_bytes());
    let moved = [
        ("s-0", engines[0].address(), "draining"),
        ("s-1", engines[1].address(), "up"),
    ];
    new.event(2, &list_event(2, false, &moved)).unwrap();
    gateway.wait_for_counter("list_events", 1);
    expect_query_served_by(&gateway, &engines[1]);
}

/// Events older than the last one applied change nothing, even with a complete list. A newer
/// complete list is applied despite the gap in the event numbers.
#[test]
fn an_older_list_changes_nothing_and_a_newer_complete_one_is_applied_despite_a_gap() {
    let (bulletin, engines) = start_emulators(2);
    let mut gateway = GatewayProcess::start(&config(bulletin.address(), &addresses(&engines[..1])));
    let mut stream = bulletin.accept().unwrap();
    let (first, second) = (engines[0].address(), engines[1].address());
    stream
        .event(
            2,
            &list_event(
                2,
                false,
                &[("s-0", first, "draining"), ("s-1", second, "up")],
            ),
        )
        .unwrap();
    stream
        .event(1, &list_event(1, true, &[("s-0", first, "up")]))
        .unwrap();
    stream
        .event(2, &list_event(2, true, &[("s-0", first, "up")]))
        .unwrap();
    stream
        .event(
            9,
            &list_event(
                9,
                true,
                &[("s-0", first, "draining"), ("s-1", second, "up")],
            ),
        )
        .unwrap();
    gateway.wait_for_counter("list_events", 2);
    expect_query_served_by(&gateway, &engines[1]);
    drop(stream);
    assert_eq!(bulletin.accept().unwrap().after, 9);
}

/// The bulletin's address changes. Events that its old stream still sends are ignored, even if they
/// were written before the stream was closed.
#[test]
fn an_old_stream_is_ignored_after_the_bulletin_has_moved() {
    let (old, engines) = start_emulators(1);
    let mut configured = config(old.address(), &addresses(&engines[..1]));
    let mut gateway = GatewayProcess::start(&configured);
    let mut stream = old.accept().unwrap();
    let (new, _) = start_emulators(0);
    configured["bulletin"] = json!(new.address().to_string());
    // The gateway finds the event and the signal in the same poll.
    gateway.pause();
    gateway.reload(Some(&configured.to_string()));
    stream.event(2, &list_event(2, false, &[])).unwrap();
    gateway.resume();
    let mut next = new.accept().unwrap();
    let after = next.after;
    assert!(after == 1 || after == 2, "{after}");
    let _ = stream.event(
        3,
        &list_event(3, false, &[("s-0", engines[0].address(), "draining")]),
    );
    for number in after + 1..=3 {
        next.event(number, &list_event(number, false, &[])).unwrap();
    }
    gateway.wait_for_counter("list_events", 2);
    let counted = gateway.counters();
    assert_eq!(counted["list_connections"], 2);
    expect_query_served_by(&gateway, &engines[0]);
}

/// A gateway that has just started uses the engines of its configuration at once, even if the
/// bulletin can't be reached or sends nothing.
#[test]
fn a_restarted_gateway_serves_while_the_bulletin_is_unreachable_or_silent() {
    let (bulletin, engines) = start_emulators(1);
    let silent_address = bulletin.address();
    for address in [silent_address, common::scripted::unused_address()] {
        let gateway = GatewayProcess::start(&config(address, &addresses(&engines)));
        let mut client = gateway.client();
        client.ask_health(1).unwrap();
        assert_eq!(
            client.answer().unwrap(),
            Answer::Health { id: 1, well: true }
        );
        expect_query_served_by(&gateway, &engines[0]);
    }
}
