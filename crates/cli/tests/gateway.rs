//! The whole program on loopback, against stand-ins that do what each test says. Everything waits
//! for an event; nothing asserts a time.

mod common;

use common::standin::{self, Answer, Client, Engine};
use common::{
    addresses, called, config, fields, host, next, refused_start, stand_ins, up, Running, QUERY,
};
use serde_json::json;
use std::io::ErrorKind;

fn failed(answer: &Answer, number: u64) -> bool {
    matches!(answer, Answer::Error { id, word, .. } if *id == number && word == "Failed")
}

fn invalid(answer: &Answer, number: u64) -> bool {
    matches!(answer, Answer::Error { id, word, .. } if *id == number && word == "Invalid")
}

fn refused(answer: &Answer) -> bool {
    matches!(answer, Answer::Error { word, .. } if word == "TryLater")
}

#[test]
fn a_query_is_sent_with_its_terms_and_its_pages_come_back_as_one_result() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    client
        .call(7, "report", &fields("9b1f03aa5c7e2d41", "15000"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    assert_eq!(
        (serve.id(), serve.payload.as_slice()),
        ("9b1f03aa5c7e2d41", QUERY)
    );
    assert_eq!(serve.field("profile"), Some("report"));
    assert_eq!(
        serve.field("heap"),
        Some("120"),
        "a quarter over the estimate"
    );
    assert!(serve.field("order").is_some() && serve.field("replay").is_none());
    let wait: u64 = serve.field("max").unwrap().parse().unwrap();
    assert!((1..15_000).contains(&wait), "{wait}");
    end.answer(serve.id(), "NOTE", "remark=share,reading=0.5", "")
        .unwrap();
    end.answer(
        serve.id(),
        "OK",
        "count=3,ticks=80,footprint=90,report=inflight:1;x1:0.2",
        "a\tb\tc\n",
    )
    .unwrap();
    assert_eq!(next(&mut end, "read").words[2], "1");
    assert_eq!(next(&mut end, "read").words[2], "2");
    end.answer(serve.id(), "ROWS", "pos=2", "g\th\ti\n")
        .unwrap();
    end.answer(serve.id(), "ROWS", "pos=1", "d\te\tf\n")
        .unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Result {
            id: 7,
            body: b"a\tb\tc\nd\te\tf\ng\th\ti\n".to_vec()
        }
    );
    assert_eq!(next(&mut end, "release").id(), serve.id());
    let counted = gateway.counters();
    let expected = [
        ("taken", 1),
        ("served", 1),
        ("sent", 1),
        ("answered", 1),
        ("pages", 2),
        ("notes", 1),
    ];
    for (name, count) in expected.into_iter() {
        assert_eq!(counted[name], count, "{name}");
    }
}

#[test]
fn a_key_goes_on_unchanged_and_a_keyed_request_without_one_is_an_error() {
    let (_bulletin, engines, _gateway, mut client) = up();
    client
        .call(1, "load", &fields("0000000000000001", "15000"), QUERY)
        .unwrap();
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "Invalid")
    );
    let mut with_key = fields("0000000000000002", "15000");
    with_key.push(("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    client.call(2, "load", &with_key, QUERY).unwrap();
    let mut end = engines[0].accept().unwrap();
    assert_eq!(
        next(&mut end, "serve").field("replay"),
        Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    );
}

#[test]
fn what_cannot_be_used_gets_an_error_and_the_connection_goes_on() {
    let (_bulletin, _engines, mut gateway, mut client) = up();
    let without = |name: &str| {
        fields("0000000000000001", "9000")
            .into_iter()
            .filter(|(own, _)| *own != name)
            .collect::<Vec<_>>()
    };
    client
        .call(1, "nonsense", &fields("0000000000000001", "9000"), QUERY)
        .unwrap();
    for (id, name) in [(2, "i"), (3, "d"), (4, "t")] {
        client.call(id, "report", &without(name), QUERY).unwrap();
    }
    client
        .call(
            5,
            "report",
            &[("i", "a b"), ("d", "9000"), ("t", "acme")],
            QUERY,
        )
        .unwrap();
    client
        .write_raw(&[0x94, 0, 6, 0xa1, b'x', 0x91, 5])
        .unwrap();
    for expected in 1..=6 {
        let answer = client.answer().unwrap();
        assert!(
            matches!(&answer, Answer::Error { id, word, .. } if *id == expected && word == "Invalid"),
            "{answer:?}"
        );
    }
    client.ask_health(7).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 7, well: true }
    );
    assert_eq!(gateway.counters()["invalid"], 6);
}

#[test]
fn what_cannot_be_read_ends_all_that_is_open_on_its_connection() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    client.write_raw(b"\xc1\xc1\xc1").unwrap();
    assert!(failed(&client.answer().unwrap(), 1));
    assert_eq!(next(&mut end, "cancel").id(), serve.id());
    assert_eq!(
        client.answer().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
    // Two open requests of one number can't be answered apart, and a message beyond all bounds
    // isn't read.
    let huge = [
        &[
            0x94, 0, 1, 0xa1, b'x', 0x92, 0x80, 0xc6, 0x03, 0x93, 0x87, 0,
        ][..],
        &[0; 100_000],
    ]
    .concat();
    let same = standin::call(1, "report", &fields("0000000000000002", "15000"), QUERY);
    let again = standin::call(1, "report", &fields("0000000000000003", "15000"), QUERY);
    for bytes in [huge, [same, again].concat()] {
        let mut client = gateway.client();
        client.write_raw(&bytes).unwrap();
        client.until_closed();
    }
    let counted = gateway.counters();
    assert_eq!(
        (counted["malformed"], counted["open"], counted["served"]),
        (3, 0, 0)
    );
}

#[test]
fn what_goes_beyond_the_protocol_is_an_error_while_the_rest_goes_on() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let id = |number: u64| format!("{number:016x}");
    let calls = (1..=40)
        .map(|number| standin::call(number, "report", &fields(&id(number), "15000"), QUERY));
    client
        .write_raw(&calls.collect::<Vec<_>>().concat())
        .unwrap();
    for number in 33..=40 {
        assert!(
            invalid(&client.answer().unwrap(), number),
            "a connection carries 32 open requests"
        );
    }
    // Ids of open requests, and of those that were, on another connection.
    let mut other = gateway.client();
    other
        .call(
            1,
            "report",
            &fields(&id(7), "15000"),
            b"SELECT * FROM sales_18.orders",
        )
        .unwrap();
    assert!(invalid(&other.answer().unwrap(), 1));
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    other
        .call(2, "report", &fields(serve.id(), "15000"), QUERY)
        .unwrap();
    assert!(invalid(&other.answer().unwrap(), 2));
    // What is taken back with its request is never taken.
    let call = standin::call(3, "report", &fields(&id(41), "15000"), QUERY);
    other
        .write_raw(&[call, standin::forget(3)].concat())
        .unwrap();
    other.ask_health(4).unwrap();
    assert_eq!(
        other.answer().unwrap(),
        Answer::Health { id: 4, well: true }
    );
    let counted = gateway.counters();
    assert_eq!(
        (counted["taken"], counted["invalid"], counted["served"]),
        (42, 10, 1)
    );
}

#[test]
fn a_connection_that_says_nothing_or_stops_half_way_is_closed_and_an_idle_one_is_not() {
    let (_bulletin, _engines, mut gateway, mut asked) = up();
    asked.ask_health(1).unwrap();
    assert_eq!(
        asked.answer().unwrap(),
        Answer::Health { id: 1, well: true }
    );
    let mut half = gateway.client();
    half.write_raw(&standin::call(1, "report", &fields("0000000000000002", "15000"), QUERY)[..60])
        .unwrap();
    let mut only_forgets = gateway.client();
    only_forgets.forget(9).unwrap();
    for mut client in [gateway.client(), half, only_forgets] {
        client.until_closed();
    }
    asked.ask_health(2).unwrap();
    assert_eq!(
        asked.answer().unwrap(),
        Answer::Health { id: 2, well: true }
    );
    assert_eq!(gateway.counters()["silent"], 3);
}

#[test]
fn what_cannot_end_in_time_is_refused_and_an_overload_says_when_to_come_back() {
    let (_bulletin, _engines, gateway, mut client) = up();
    client
        .call(1, "report", &fields("0000000000000001", "20"), QUERY)
        .unwrap();
    assert!(refused(&client.answer().unwrap()));
    // Far more work than the engine can do in time: some give way, told when to come back.
    let mut clients = vec![client];
    for number in 0..200u64 {
        let id = format!("{number:015x}f");
        let heavy = [
            ("i", id.as_str()),
            ("d", "15000"),
            ("t", "acme"),
            ("h", "900"),
            ("ram", "500"),
        ];
        if number % 30 == 29 {
            clients.push(gateway.client());
        }
        clients
            .last_mut()
            .unwrap()
            .call(number, "report", &heavy, QUERY)
            .unwrap();
    }
    // The last ones would wait longest.
    let mut client = clients.pop().unwrap();
    let Answer::Error { word, fields, .. } = client.answer().unwrap() else {
        panic!("a refusal")
    };
    assert_eq!(word, "TryLater");
    let [(name, wait)] = &fields[..] else {
        panic!("one field: {fields:?}")
    };
    assert!(
        name == "w" && (1..=1000).contains(&wait.parse::<u64>().unwrap()),
        "{name}={wait}"
    );
}

#[test]
fn an_unsafe_request_that_may_have_run_has_failed() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    client
        .call(1, "change", &fields("0000000000000001", "15000"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "ERR", "-", "").unwrap();
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "Failed")
    );
    assert_eq!(gateway.counters()["failed"], 1);
}

#[test]
fn a_request_that_is_forgotten_is_given_up_at_the_engine_and_gets_no_answer() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    client.forget(1).unwrap();
    assert_eq!(next(&mut end, "cancel").id(), serve.id());
    // An answer that crossed the cancel is passed over, and its pages are given back.
    end.answer(serve.id(), "OK", "count=2", "a\tb\tc\n")
        .unwrap();
    assert_eq!(next(&mut end, "release").id(), serve.id());
    client.ask_health(2).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 2, well: true }
    );
    assert_eq!(gateway.counters()["forgotten"], 1);
}

#[test]
fn a_client_that_goes_away_leaves_nothing_running() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    drop(client);
    assert_eq!(next(&mut end, "cancel").id(), serve.id());
    assert_eq!(gateway.counters()["lost"], 1);
}

#[test]
fn an_engine_that_refuses_connections_is_passed_by() {
    let (bulletin, engines) = stand_ins(2);
    let mut closed = addresses(&engines);
    let [_, good] = <[Engine; 2]>::try_from(engines).ok().unwrap();
    closed[1] = good.address();
    let mut gateway = Running::start(&config(bulletin.address(), &closed));
    let mut client = gateway.client();
    for number in 1..=8u64 {
        let id = format!("{number:016x}");
        let statement = format!("SELECT * FROM sales_{number}.orders");
        client
            .call(
                number,
                "report",
                &fields(&id, "15000"),
                statement.as_bytes(),
            )
            .unwrap();
    }
    let mut end = good.accept().unwrap();
    for _ in 1..=8 {
        let serve = next(&mut end, "serve");
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
    }
    for _ in 1..=8 {
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    }
    let counted = gateway.counters();
    assert_eq!(
        (counted["served"], counted["sent"]),
        (8, 8 + counted["no_connection"])
    );
}

#[test]
fn an_engine_that_dies_in_the_middle_costs_an_attempt() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (end, _) = called(&mut client, &engines[0]);
    drop(end);
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    let counted = gateway.counters();
    assert_eq!(
        (counted["broken"], counted["answered"], counted["sent"]),
        (1, 1, 2)
    );
}

#[test]
fn a_silent_engine_is_given_up_and_the_client_is_refused_in_time() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    client
        .call(1, "report", &fields("0000000000000001", "400"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    assert!(refused(&client.answer().unwrap()));
    assert_eq!(next(&mut end, "cancel").id(), serve.id());
    let counted = gateway.counters();
    assert_eq!(
        (counted["refused"], counted["open"], counted["late"]),
        (1, 0, 0)
    );
}

#[test]
fn a_lost_page_is_an_attempt_that_failed_and_no_half_result_reaches_the_client() {
    let (_bulletin, engines, _gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    end.answer(serve.id(), "OK", "count=2", "half\tof\tit\n")
        .unwrap();
    next(&mut end, "read");
    end.answer(serve.id(), "ERR", "-", "").unwrap();
    // Not on the same connection: a second copy of that end could be taken for the end of this
    // attempt.
    let mut end = engines[0].accept().unwrap();
    let again = next(&mut end, "serve");
    assert_eq!(again.id(), serve.id());
    end.answer(again.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Result {
            id: 1,
            body: b"a\tb\tc\n".to_vec()
        }
    );
}

#[test]
fn an_engine_that_says_no_answer_loses_its_connection() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, _) = called(&mut client, &engines[0]);
    end.write_raw(b"HTTP/1.1 400 Bad Request\r\n\r\n").unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert_eq!(gateway.counters()["broken"], 1);
}

#[test]
fn more_than_belongs_to_an_answer_does_no_harm() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    client
        .call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    let other = next(&mut end, "serve");
    end.answer("ffffffffffffffff", "OK", "count=3", "x\ty\tz\n")
        .unwrap();
    for _ in 0..2 {
        end.answer(serve.id(), "OK", "count=3", "a\tb\tc\n")
            .unwrap();
    }
    for page in ["1", "1", "2", "2"] {
        end.answer(serve.id(), "ROWS", &format!("pos={page}"), "d\te\tf\n")
            .unwrap();
    }
    let body = b"a\tb\tc\nd\te\tf\nd\te\tf\n".to_vec();
    assert_eq!(client.answer().unwrap(), Answer::Result { id: 1, body });
    // The other request goes on, there.
    end.answer(other.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 2, .. }
    ));
    assert_eq!(gateway.counters()["broken"], 0);
}

#[test]
fn a_late_copy_is_not_taken_for_the_end_of_a_later_attempt() {
    let (_bulletin, engines, _gateway, mut client) = up();
    let (mut end, serve) = called(&mut client, &engines[0]);
    for _ in 0..2 {
        end.answer(serve.id(), "ERR", "-", "").unwrap();
    }
    let mut again = engines[0].accept().unwrap();
    let serve = next(&mut again, "serve");
    end.answer(serve.id(), "OK", "count=1", "of\tno\tuse\n")
        .unwrap();
    again
        .answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Result {
            id: 1,
            body: b"a\tb\tc\n".to_vec()
        }
    );
}

#[test]
fn a_spoilt_answer_costs_its_connection_and_no_half_result_is_served() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let long = "x".repeat(8000);
    let spoilt = [
        "ID OK - 6\r\na\tb\tc\n\r\n",               // no number of pages
        "ID OK count=0 6\r\na\tb\tc\n\r\n",         // none at all
        "ID OK count=1 4\r\na\tb\n\r\n",            // two columns
        "ID OK count=1 5\r\na\tb\tc\r\n",           // half a row
        "ID OK count=1 9\r\na\tb\tc\n\r\n\r\n\r\n", // longer than it is
        "ID OK count=1 3000000000\r\na\tb\tc\n",    // longer than anything
        "\x1b\x07 noise \r\n",                      // no answer
        long.as_str(),                              // a line without an end
        "ID OK count=1 600\r\na\tb\tc\n",           // it stops short
        "ID OK count=2 6\r\na\tb\tc\n\r\nID ROWS pos=7 6\r\nd\te\tf\n\r\n", // a page that isn't there
    ];
    let mut end: Option<standin::EngineConnection> = None;
    for (number, bytes) in spoilt.iter().enumerate() {
        let id = format!("{:016x}", number + 1);
        client
            .call(1, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        let mut first = end.take().unwrap_or_else(|| engines[0].accept().unwrap());
        assert_eq!(next(&mut first, "serve").id(), id);
        first
            .write_raw(bytes.replace("ID", &id).as_bytes())
            .unwrap();
        first.until_closed();
        let end = end.insert(engines[0].accept().unwrap());
        let serve = next(end, "serve");
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        assert_eq!(
            client.answer().unwrap(),
            Answer::Result {
                id: 1,
                body: b"a\tb\tc\n".to_vec()
            }
        );
    }
    assert_eq!(gateway.counters()["broken"], spoilt.len() as u64);
}

#[test]
fn a_connection_that_has_fallen_silent_is_replaced() {
    let (bulletin, engines) = stand_ins(1);
    let mut noting = config(bulletin.address(), &addresses(&engines));
    noting["settings"]["limits"]["dial-timeout-us"] = json!(100_000);
    let gateway = Running::start(&noting);
    let mut client = gateway.client();
    client
        .call(1, "report", &fields("0000000000000001", "900"), QUERY)
        .unwrap();
    let mut silent = engines[0].accept().unwrap();
    next(&mut silent, "serve");
    assert!(refused(&client.answer().unwrap()));
    client
        .call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    next(&mut engines[0].accept().unwrap(), "serve");
    silent.until_closed();
}

/// Found on a day when an engine stopped reading: requests left in the buffer went out after their
/// final answer.
#[test]
fn nothing_goes_out_for_a_request_after_its_answer() {
    const SENT: u64 = 14;
    let (_bulletin, engines, mut gateway, mut client) = up();
    // More than a connection takes while its other end doesn't read.
    let mut statement = QUERY.to_vec();
    statement.resize(1_000_000, b' ');
    for number in 1..=SENT {
        let id = format!("{number:016x}");
        client
            .call(number, "report", &fields(&id, "1500"), &statement)
            .unwrap();
    }
    let mut end = engines[0].accept().unwrap();
    for _ in 1..=SENT {
        assert!(refused(&client.answer().unwrap()));
    }
    let mut whole = 0;
    while let Ok(command) = end.command() {
        whole += (command.verb() == "serve") as u64;
    }
    let counted = gateway.counters();
    assert!(
        counted["unsent"] > 0,
        "the buffers of the system took everything"
    );
    assert!(
        whole < SENT,
        "{whole} requests came to the engine after their answers"
    );
}

#[test]
fn the_bulletin_is_called_again_after_its_end_and_after_a_gap() {
    let (bulletin, engines) = stand_ins(2);
    let known = [engines[0].address()];
    let mut gateway = Running::start(&config(bulletin.address(), &known));
    let change = |no: u64, hosts: Vec<serde_json::Value>| {
        json!({"no": no, "roster": {"seq": no, "whole": false, "hosts": hosts}}).to_string()
    };
    let mut end = bulletin.accept().unwrap();
    assert_eq!(end.after, 1);
    end.event(
        2,
        &change(2, vec![host("s-new", engines[1].address(), "up")]),
    )
    .unwrap();
    drop(end);
    let mut end = bulletin.accept().unwrap();
    assert_eq!(end.after, 2);
    // Event 3 is missing: the stream can't be trusted, and the gateway asks for what it lacks.
    end.event(4, &change(4, vec![])).unwrap();
    let mut end = bulletin.accept().unwrap();
    assert_eq!(end.after, 2);
    end.event(
        3,
        &change(3, vec![host("s-0", engines[0].address(), "removed")]),
    )
    .unwrap();
    end.event(4, &change(4, vec![])).unwrap();
    drop(end);
    assert_eq!(bulletin.accept().unwrap().after, 4);
    // The engine that was known at the start has gone, so the query finds the new one.
    let mut client = gateway.client();
    client
        .call(1, "report", &fields("0000000000000001", "15000"), QUERY)
        .unwrap();
    let mut end = engines[1].accept().unwrap();
    let serve = next(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert_eq!(gateway.counters()["list_events"], 3);
}

#[test]
fn sighup_moves_the_link_to_the_bulletin_of_the_new_configuration() {
    let (old, engines) = stand_ins(2);
    let mut configured = config(old.address(), &addresses(&engines[..1]));
    let mut gateway = Running::start(&configured);
    let mut stream = old.accept().unwrap();
    stream
        .event(2, r#"{"no":2,"roster":{"seq":2,"hosts":[]}}"#)
        .unwrap();
    // What can't be used is named, and the old configuration stays.
    let half = configured.to_string()[..200].to_string();
    configured["bulletin"] = json!("nowhere");
    for (text, words) in [
        (Some(half.as_str()), "EOF"),
        (None, "configuration"),
        (Some(&*configured.to_string()), "'bulletin'"),
    ] {
        gateway.reload(text);
        let line = gateway.line_with("configuration not reloaded");
        assert!(line.contains(words), "{line}");
    }
    // A bulletin that isn't there yet, and at once another: the numbers go on, and the old link
    // ends.
    let (mut new, _) = stand_ins(0);
    for next in [standin::unused_address(), new.address()] {
        configured["bulletin"] = json!(next.to_string());
        gateway.reload(Some(&configured.to_string()));
        gateway.line_with("configuration reloaded: connecting to the bulletin at");
    }
    let mut end = new.accept().unwrap();
    assert_eq!(end.after, 2);
    assert!(stream.wait_for_close());
    let hosts = vec![
        host("s-new", engines[1].address(), "up"),
        host("s-0", engines[0].address(), "removed"),
    ];
    end.event(
        3,
        &json!({"no": 3, "roster": {"seq": 3, "hosts": hosts}}).to_string(),
    )
    .unwrap();
    let mut client = gateway.client();
    let (mut engine, serve) = called(&mut client, &engines[1]);
    engine
        .answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    // One more while it stops.
    gateway.terminate();
    (new, _) = stand_ins(0);
    configured["bulletin"] = json!(new.address().to_string());
    gateway.reload(Some(&configured.to_string()));
    assert_eq!(new.accept().unwrap().after, 3);
    let (status, counted) = gateway.ended();
    assert!(status.success(), "{status}");
    assert_eq!((counted["reloads"], counted["reloads_failed"]), (3, 3));
}

#[test]
fn a_connection_to_a_process_that_has_restarted_is_not_waited_for() {
    let (bulletin, engines) = stand_ins(1);
    let gateway = Running::start(&config(bulletin.address(), &addresses(&engines)));
    let mut stream = bulletin.accept().unwrap();
    let mut client = gateway.client();
    let (mut silent, _) = called(&mut client, &engines[0]);
    // The machine vanished without a word, and its engine runs again: started long after that
    // connection.
    let mut again = host("s-0", engines[0].address(), "up");
    again["born_ms"] = json!(4_000_000_000_000u64);
    let item = json!({"no": 2, "roster": {"seq": 2, "whole": false, "hosts": [again]}});
    stream.event(2, &item.to_string()).unwrap();
    assert_eq!(
        silent.command().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
}

#[test]
fn sigterm_finishes_what_is_open_and_takes_what_still_comes() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    let (mut end, first) = called(&mut client, &engines[0]);
    gateway.terminate();
    let mut late = Client::connect(gateway.address).unwrap();
    late.ask_health(1).unwrap();
    assert_eq!(
        late.answer().unwrap(),
        Answer::Health { id: 1, well: false }
    );
    late.call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    let second = next(&mut end, "serve");
    for serve in [&first, &second] {
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
    }
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert!(matches!(
        late.answer().unwrap(),
        Answer::Result { id: 2, .. }
    ));
    let (status, counted) = gateway.ended();
    assert!(status.success(), "{status}");
    assert_eq!((counted["served"], counted["open"]), (2, 0));
}

#[test]
fn what_an_engine_never_answers_is_answered_before_a_stopping_gateway_is_killed() {
    let (_bulletin, engines, mut gateway, mut client) = up();
    client
        .call(1, "report", &fields("0000000000000001", "20000"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    next(&mut end, "serve");
    gateway.terminate();
    assert!(refused(&client.answer().unwrap()));
    let (status, counted) = gateway.ended();
    assert!(status.success(), "{status}");
    assert_eq!((counted["refused"], counted["open"]), (1, 0));
}

#[test]
fn a_client_that_does_not_read_holds_no_stop_up() {
    const ROUNDS: u64 = 12;
    let (_bulletin, mut engines, mut gateway, mut deaf) = up();
    // Longest results, of eight pages each, far more than the buffers of a connection take.
    engines.remove(0).answer_all(8, "a\tb\tc\n".repeat(1000));
    for number in 0..32 * ROUNDS {
        let id = format!("{number:016x}");
        deaf.call(number, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        while number % 32 == 31 && gateway.counters()["open"] > 0 {}
    }
    gateway.terminate();
    let (status, counted) = gateway.ended();
    assert!(
        status.success() && counted["open"] == 0,
        "{status} {counted:?}"
    );
}

#[test]
fn messages_that_are_not_whole_have_a_bound_for_all_together() {
    let (bulletin, engines) = stand_ins(1);
    let mut small = config(bulletin.address(), &addresses(&engines));
    small["limits"]["memory_mb"] = json!(1);
    let mut gateway = Running::start(&small);
    // A body of 900,000 bytes is announced, a third of it comes.
    let mut hoarder = gateway.client();
    let head = [
        0x94, 0, 1, 0xa6, b'r', b'e', b'p', b'o', b'r', b't', 0x92, 0x80, 0xc6, 0, 0x0d, 0xbb, 0xa0,
    ];
    let _ = hoarder.write_raw(&[&head[..], &[b' '; 300_000]].concat());
    hoarder.until_closed();
    let mut client = gateway.client();
    client.ask_health(1).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 1, well: true }
    );
    assert_eq!(gateway.counters()["hoarding"], 1);
}

#[test]
fn idle_clients_give_way_when_descriptors_run_short() {
    let (bulletin, engines) = stand_ins(1);
    let mut few = config(bulletin.address(), &addresses(&engines));
    few["limits"]["sockets"] = json!(64);
    let gateway = Running::start(&few);
    let mut idle: Vec<Client> = (0..32).map(|_| gateway.client()).collect();
    for client in &mut idle {
        client.ask_health(1).unwrap();
        client.answer().unwrap();
    }
    // The table is full; two more are taken in, and those that asked for nothing for longest go.
    let mut more: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    for client in &mut more {
        client.ask_health(2).unwrap();
        assert_eq!(
            client.answer().unwrap(),
            Answer::Health { id: 2, well: true }
        );
    }
    assert_eq!(
        idle[0].answer().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
    assert_eq!(
        idle[1].answer().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
}

/// All day engines come under new names, some where another one was, and clients on new
/// connections.
#[test]
fn no_table_grows_with_generations_of_engines_and_clients() {
    const GENERATIONS: u64 = 300;
    let (bulletin, engines) = stand_ins(2);
    let mut gateway = Running::start(&config(bulletin.address(), &addresses(&engines[..1])));
    let mut stream = bulletin.accept().unwrap();
    let mut before = host("s-0", engines[0].address(), "removed");
    for number in 0..GENERATIONS {
        let address = engines[number as usize % 2].address();
        let (name, no) = (format!("s-{number:08x}"), number + 2);
        let hosts = [before, host(&name, address, "up")];
        let item = json!({"no": no, "roster": {"seq": no, "whole": false, "hosts": hosts}});
        stream.event(no, &item.to_string()).unwrap();
        before = host(&name, address, "removed");
        // A query shows that the change has come: it goes to the engine that is listed now, on a
        // new connection also where the address is that of one that has gone.
        let mut client = gateway.client();
        let id = format!("{number:016x}");
        loop {
            client.ask_health(1).unwrap();
            client.answer().unwrap();
            if gateway.counters()["list_events"] == number + 1 {
                break;
            }
        }
        client
            .call(2, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        let mut end = engines[number as usize % 2].accept().unwrap();
        let serve = next(&mut end, "serve");
        assert_eq!(serve.id(), id);
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    }
    let counted = gateway.counters();
    assert_eq!(
        (counted["served"], counted["ids"]),
        (GENERATIONS, GENERATIONS)
    );
    for (name, most) in [
        ("engines", 2),
        ("engine_conns", 2),
        ("engine_names", 2),
        ("requests", 1),
        ("clients", 4),
        ("deadlines", 8),
    ] {
        assert!(counted[name] <= most, "{name}: {}", counted[name]);
    }
}

#[test]
fn descriptors_that_run_short_are_not_held_against_an_engine() {
    let (bulletin, engines) = stand_ins(3);
    let mut few = config(bulletin.address(), &addresses(&engines));
    // One connection to engines is all that these limits leave.
    few["limits"]["sockets"] = json!(50);
    let mut gateway = Running::start(&few);
    let mut client = gateway.client();
    for engine in engines.into_iter() {
        engine.answer_all(1, "a\tb\tc\n".into());
    }
    // An idle connection gives way to one that is needed.
    for number in 1..=12u64 {
        let id = format!("{number:016x}");
        let statement = format!("SELECT * FROM sales_{number}.orders");
        client
            .call(
                number,
                "report",
                &fields(&id, "15000"),
                statement.as_bytes(),
            )
            .unwrap();
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    }
    let counted = gateway.counters();
    assert_eq!(
        (
            counted["engine_conns"],
            counted["no_connection"],
            counted["served"]
        ),
        (1, 0, 12)
    );
}

#[test]
fn a_configuration_that_cannot_be_used_is_named_and_ends_the_start() {
    let (bulletin, engines) = stand_ins(1);
    let good = config(bulletin.address(), &addresses(&engines));
    let cases = [
        ("/listen", json!("nowhere"), "'listen' is 'nowhere'"),
        ("/seed", json!("xyz"), "'seed' is 'xyz'"),
        (
            "/known/items/0/roster/hosts/0/health",
            json!("odd"),
            "'known'",
        ),
        ("/settings/grades", json!([]), "setting 'grades' is missing"),
        (
            "/settings/limits",
            json!({}),
            "setting 'limits.dial-timeout-us' is missing",
        ),
        (
            "/settings/grades/1/aim-us",
            json!("soon"),
            "setting 'grades.1.aim-us' has the value 'soon'",
        ),
        ("/limits/sockets", json!(-4), "'limits.sockets' is -4"),
    ];
    for (path, value, words) in cases {
        let mut bad = good.clone();
        *bad.pointer_mut(path).expect(path) = value;
        let (status, said) = refused_start(&bad);
        assert!(!status.success() && said.contains(words), "{path}: {said}");
    }
}

#[test]
fn a_gateway_is_well_once_its_list_is_known() {
    let (bulletin, engines) = stand_ins(1);
    let mut empty = config(bulletin.address(), &[]);
    empty["known"] = json!({"no": 0, "items": []});
    let gateway = Running::start(&empty);
    let mut client = gateway.client();
    client.ask_health(1).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 1, well: false }
    );
    // Held until there is an engine.
    client
        .call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    let hosts = vec![host("s-0", engines[0].address(), "up")];
    let item = json!({"no": 1, "roster": {"seq": 0, "whole": true, "hosts": hosts}});
    bulletin
        .accept()
        .unwrap()
        .event(1, &item.to_string())
        .unwrap();
    next(&mut engines[0].accept().unwrap(), "serve");
    client.ask_health(3).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 3, well: true }
    );
}
