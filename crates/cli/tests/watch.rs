//! The watch on the list of engines, where its stream goes wrong between two bytes.

mod common;

use common::standin::{Answer, BulletinStream, Engine};
use common::{addresses, called, config, host, stand_ins, Running};
use serde_json::json;
use std::net::SocketAddr;

fn change(no: u64, whole: bool, hosts: &[(&str, SocketAddr, &str)]) -> String {
    let hosts: Vec<_> = hosts
        .iter()
        .map(|(name, at, health)| host(name, *at, health))
        .collect();
    json!({"no": no, "roster": {"seq": no, "whole": whole, "hosts": hosts}}).to_string()
}

fn served_by(gateway: &Running, engine: &Engine) {
    let mut client = gateway.client();
    let (mut end, serve) = called(&mut client, engine);
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
}

/// It is connected, and not even the head of a response comes: the watch is asked for anew.
#[test]
fn a_stream_that_says_nothing_at_all_is_given_up() {
    let (bulletin, engines) = stand_ins(1);
    let gateway = Running::start(&config(bulletin.address(), &addresses(&engines)));
    let (_silent, _) = bulletin.listener.accept().unwrap();
    let mut again = bulletin.accept().unwrap();
    assert_eq!(again.after, 1);
    again
        .event(2, &change(2, false, &[("s-0", engines[0].address(), "up")]))
        .unwrap();
    served_by(&gateway, &engines[0]);
}

/// Half an event, then nothing; once the watch stands anew the rest of the old one comes, with
/// other words.
#[test]
fn the_rest_of_an_event_that_fell_silent_is_not_taken_from_the_old_stream() {
    let (bulletin, engines) = stand_ins(2);
    let mut gateway = Running::start(&config(bulletin.address(), &addresses(&engines[..1])));
    let mut old = bulletin.accept().unwrap();
    let drained = change(2, false, &[("s-0", engines[0].address(), "draining")]);
    let (half, rest) = drained.split_at(drained.len() / 2);
    old.write_raw(format!("id: 2\ndata: {half}").as_bytes())
        .unwrap();
    let mut new: BulletinStream = bulletin.accept().unwrap();
    assert_eq!(new.after, 1, "what came by halves isn't known");
    let _ = old.write_raw(format!("{rest}\n\n").as_bytes());
    let moved = [
        ("s-0", engines[0].address(), "draining"),
        ("s-1", engines[1].address(), "up"),
    ];
    new.event(2, &change(2, false, &moved)).unwrap();
    gateway.until("list_events", 1);
    served_by(&gateway, &engines[1]);
}

/// Lists that are older than what is known, whole ones too, change nothing; a newer whole one
/// bridges a gap.
#[test]
fn an_older_list_changes_nothing_and_a_newer_whole_one_bridges_a_gap() {
    let (bulletin, engines) = stand_ins(2);
    let mut gateway = Running::start(&config(bulletin.address(), &addresses(&engines[..1])));
    let mut stream = bulletin.accept().unwrap();
    let (first, second) = (engines[0].address(), engines[1].address());
    stream
        .event(
            2,
            &change(
                2,
                false,
                &[("s-0", first, "draining"), ("s-1", second, "up")],
            ),
        )
        .unwrap();
    stream
        .event(1, &change(1, true, &[("s-0", first, "up")]))
        .unwrap();
    stream
        .event(2, &change(2, true, &[("s-0", first, "up")]))
        .unwrap();
    stream
        .event(
            9,
            &change(
                9,
                true,
                &[("s-0", first, "draining"), ("s-1", second, "up")],
            ),
        )
        .unwrap();
    gateway.until("list_events", 2);
    served_by(&gateway, &engines[1]);
    drop(stream);
    assert_eq!(bulletin.accept().unwrap().after, 9);
}

/// The bulletin moves; what its old stream still says counts no more, though it was written before
/// it closed.
#[test]
fn an_old_stream_is_not_heard_after_a_move() {
    let (old, engines) = stand_ins(1);
    let mut configured = config(old.address(), &addresses(&engines[..1]));
    let mut gateway = Running::start(&configured);
    let mut stream = old.accept().unwrap();
    let (new, _) = stand_ins(0);
    configured["bulletin"] = json!(new.address().to_string());
    // The event is there at the same look as the signal.
    gateway.pause();
    gateway.reload(Some(&configured.to_string()));
    stream.event(2, &change(2, false, &[])).unwrap();
    gateway.go_on();
    let mut next = new.accept().unwrap();
    let after = next.after;
    assert!(after == 1 || after == 2, "{after}");
    let _ = stream.event(
        3,
        &change(3, false, &[("s-0", engines[0].address(), "draining")]),
    );
    for no in after + 1..=3 {
        next.event(no, &change(no, false, &[])).unwrap();
    }
    gateway.until("list_events", 2);
    let counted = gateway.counters();
    assert_eq!(counted["list_connections"], 2);
    served_by(&gateway, &engines[0]);
}

/// Known engines are used at once by a process that has just started, whatever the bulletin does.
#[test]
fn a_restarted_gateway_is_ready_and_serves_with_the_bulletin_away_or_mute() {
    let (bulletin, engines) = stand_ins(1);
    let mute = bulletin.address();
    for address in [mute, common::standin::unused_address()] {
        let gateway = Running::start(&config(address, &addresses(&engines)));
        let mut client = gateway.client();
        client.ask_health(1).unwrap();
        assert_eq!(
            client.answer().unwrap(),
            Answer::Health { id: 1, well: true }
        );
        served_by(&gateway, &engines[0]);
    }
}
