//! Tests of the whole program on loopback. Emulated engines, clients and service discovery do what
//! each test scripts. All tests wait for events, and none asserts a duration.

mod common;

use common::scripted::{self, Answer, Client, Engine};
use common::{
    addresses, config, fields, host, next_command, run_to_failure, send_query, start_emulators,
    start_one, GatewayProcess, QUERY,
};
use serde_json::json;
use std::io::ErrorKind;

fn is_failure(answer: &Answer, number: u64) -> bool {
    matches!(answer, Answer::Error { id, word, .. } if *id == number && word == "Failed")
}

fn is_invalid(answer: &Answer, number: u64) -> bool {
    matches!(answer, Answer::Error { id, word, .. } if *id == number && word == "Invalid")
}

fn is_refusal(answer: &Answer) -> bool {
    matches!(answer, Answer::Error { word, .. } if word == "TryLater")
}

#[test]
fn a_query_is_sent_with_its_parameters_and_its_pages_are_returned_as_one_result() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    client
        .call(7, "report", &fields("9b1f03aa5c7e2d41", "15000"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
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
    assert_eq!(next_command(&mut end, "read").words[2], "1");
    assert_eq!(next_command(&mut end, "read").words[2], "2");
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
    assert_eq!(next_command(&mut end, "release").id(), serve.id());
    let counters = gateway.counters();
    let expected = [
        ("taken", 1),
        ("served", 1),
        ("sent", 1),
        ("answered", 1),
        ("pages", 2),
        ("notes", 1),
    ];
    for (name, count) in expected.into_iter() {
        assert_eq!(counters[name], count, "{name}");
    }
}

#[test]
fn a_key_is_forwarded_unchanged_and_a_keyed_request_without_one_is_invalid() {
    let (_bulletin, engines, _gateway, mut client) = start_one();
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
        next_command(&mut end, "serve").field("replay"),
        Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    );
}

#[test]
fn an_invalid_request_gets_an_error_and_its_connection_stays_open() {
    let (_bulletin, _engines, mut gateway, mut client) = start_one();
    let without = |name: &str| {
        fields("0000000000000001", "9000")
            .into_iter()
            .filter(|(field, _)| *field != name)
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
fn an_undecodable_message_ends_all_open_requests_of_its_connection() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    client.write_raw(b"\xc1\xc1\xc1").unwrap();
    assert!(is_failure(&client.answer().unwrap(), 1));
    assert_eq!(next_command(&mut end, "cancel").id(), serve.id());
    assert_eq!(
        client.answer().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
    // The answers to two open requests with the same number can't be told apart, and a message
    // above the size limit isn't read.
    let oversized = [
        &[
            0x94, 0, 1, 0xa1, b'x', 0x92, 0x80, 0xc6, 0x03, 0x93, 0x87, 0,
        ][..],
        &[0; 100_000],
    ]
    .concat();
    let first = scripted::call(1, "report", &fields("0000000000000002", "15000"), QUERY);
    let again = scripted::call(1, "report", &fields("0000000000000003", "15000"), QUERY);
    for bytes in [oversized, [first, again].concat()] {
        let mut client = gateway.client();
        client.write_raw(&bytes).unwrap();
        client.until_closed();
    }
    let counters = gateway.counters();
    assert_eq!(
        (counters["malformed"], counters["open"], counters["served"]),
        (3, 0, 0)
    );
}

#[test]
fn requests_that_violate_the_protocol_are_invalid_and_the_others_are_served() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let id = |number: u64| format!("{number:016x}");
    let calls = (1..=40)
        .map(|number| scripted::call(number, "report", &fields(&id(number), "15000"), QUERY));
    client
        .write_raw(&calls.collect::<Vec<_>>().concat())
        .unwrap();
    for number in 33..=40 {
        assert!(
            is_invalid(&client.answer().unwrap(), number),
            "a connection may have 32 open requests"
        );
    }
    // The id of an open request and, below, the id of an ended one are reused on another
    // connection.
    let mut other = gateway.client();
    other
        .call(
            1,
            "report",
            &fields(&id(7), "15000"),
            b"SELECT * FROM sales_18.orders",
        )
        .unwrap();
    assert!(is_invalid(&other.answer().unwrap(), 1));
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    other
        .call(2, "report", &fields(serve.id(), "15000"), QUERY)
        .unwrap();
    assert!(is_invalid(&other.answer().unwrap(), 2));
    // A request that arrives together with the `forget` message for it is never counted as taken.
    let call = scripted::call(3, "report", &fields(&id(41), "15000"), QUERY);
    other
        .write_raw(&[call, scripted::forget(3)].concat())
        .unwrap();
    other.ask_health(4).unwrap();
    assert_eq!(
        other.answer().unwrap(),
        Answer::Health { id: 4, well: true }
    );
    let counters = gateway.counters();
    assert_eq!(
        (counters["taken"], counters["invalid"], counters["served"]),
        (42, 10, 1)
    );
}

#[test]
fn connections_without_a_complete_message_are_closed_and_idle_ones_are_not() {
    let (_bulletin, _engines, mut gateway, mut idle_client) = start_one();
    idle_client.ask_health(1).unwrap();
    assert_eq!(
        idle_client.answer().unwrap(),
        Answer::Health { id: 1, well: true }
    );
    let mut partial = gateway.client();
    partial
        .write_raw(&scripted::call(1, "report", &fields("0000000000000002", "15000"), QUERY)[..60])
        .unwrap();
    let mut only_forgets = gateway.client();
    only_forgets.forget(9).unwrap();
    for mut client in [gateway.client(), partial, only_forgets] {
        client.until_closed();
    }
    idle_client.ask_health(2).unwrap();
    assert_eq!(
        idle_client.answer().unwrap(),
        Answer::Health { id: 2, well: true }
    );
    assert_eq!(gateway.counters()["silent"], 3);
}

#[test]
fn requests_that_cannot_end_in_time_are_refused_and_overload_refusals_carry_a_retry_time() {
    let (_bulletin, _engines, gateway, mut client) = start_one();
    client
        .call(1, "report", &fields("0000000000000001", "20"), QUERY)
        .unwrap();
    assert!(is_refusal(&client.answer().unwrap()));
    // More work than the engine can finish in time: some requests are rejected with a retry-after
    // hint.
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
    // The last requests would wait longest, so they are rejected.
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
fn an_unsafe_request_that_may_have_run_fails() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    client
        .call(1, "change", &fields("0000000000000001", "15000"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "ERR", "-", "").unwrap();
    assert!(
        matches!(client.answer().unwrap(), Answer::Error { id: 1, word, .. } if word == "Failed")
    );
    assert_eq!(gateway.counters()["failed"], 1);
}

#[test]
fn a_forgotten_request_is_cancelled_at_the_engine_and_gets_no_answer() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    client.forget(1).unwrap();
    assert_eq!(next_command(&mut end, "cancel").id(), serve.id());
    // An answer that crosses the cancel on the wire is ignored, and the result is released.
    end.answer(serve.id(), "OK", "count=2", "a\tb\tc\n")
        .unwrap();
    assert_eq!(next_command(&mut end, "release").id(), serve.id());
    client.ask_health(2).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 2, well: true }
    );
    assert_eq!(gateway.counters()["forgotten"], 1);
}

#[test]
fn the_requests_of_a_disconnected_client_are_cancelled() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    drop(client);
    assert_eq!(next_command(&mut end, "cancel").id(), serve.id());
    assert_eq!(gateway.counters()["lost"], 1);
}

#[test]
fn an_engine_that_refuses_connections_is_avoided() {
    let (bulletin, engines) = start_emulators(2);
    let mut closed = addresses(&engines);
    let [_, good] = <[Engine; 2]>::try_from(engines).ok().unwrap();
    closed[1] = good.address();
    let mut gateway = GatewayProcess::start(&config(bulletin.address(), &closed));
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
        let serve = next_command(&mut end, "serve");
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
    }
    for _ in 1..=8 {
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    }
    let counters = gateway.counters();
    assert_eq!(
        (counters["served"], counters["sent"]),
        (8, 8 + counters["no_connection"])
    );
}

#[test]
fn a_request_is_sent_again_after_its_engine_has_closed_the_connection() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (end, _) = send_query(&mut client, &engines[0]);
    drop(end);
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    let counters = gateway.counters();
    assert_eq!(
        (counters["broken"], counters["answered"], counters["sent"]),
        (1, 1, 2)
    );
}

#[test]
fn a_request_at_a_silent_engine_is_cancelled_and_refused_in_time() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    client
        .call(1, "report", &fields("0000000000000001", "400"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    assert!(is_refusal(&client.answer().unwrap()));
    assert_eq!(next_command(&mut end, "cancel").id(), serve.id());
    let counters = gateway.counters();
    assert_eq!(
        (counters["refused"], counters["open"], counters["late"]),
        (1, 0, 0)
    );
}

#[test]
fn a_lost_page_fails_the_attempt_and_no_partial_result_reaches_the_client() {
    let (_bulletin, engines, _gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    end.answer(serve.id(), "OK", "count=2", "half\tof\tit\n")
        .unwrap();
    next_command(&mut end, "read");
    end.answer(serve.id(), "ERR", "-", "").unwrap();
    // The next attempt uses another connection: a duplicate of the error answer could be taken for
    // the end of this attempt.
    let mut end = engines[0].accept().unwrap();
    let again = next_command(&mut end, "serve");
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
fn an_engine_that_sends_no_valid_answer_loses_its_connection() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, _) = send_query(&mut client, &engines[0]);
    end.write_raw(b"HTTP/1.1 400 Bad Request\r\n\r\n").unwrap();
    let mut end = engines[0].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert_eq!(gateway.counters()["broken"], 1);
}

#[test]
fn unexpected_and_repeated_answers_are_ignored() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    client
        .call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    let other = next_command(&mut end, "serve");
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
    // The other request continues on the same connection.
    end.answer(other.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 2, .. }
    ));
    assert_eq!(gateway.counters()["broken"], 0);
}

#[test]
fn a_duplicate_answer_does_not_end_a_later_attempt() {
    let (_bulletin, engines, _gateway, mut client) = start_one();
    let (mut end, serve) = send_query(&mut client, &engines[0]);
    for _ in 0..2 {
        end.answer(serve.id(), "ERR", "-", "").unwrap();
    }
    let mut again = engines[0].accept().unwrap();
    let serve = next_command(&mut again, "serve");
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
fn a_malformed_answer_closes_its_connection_and_no_partial_result_is_served() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let long = "x".repeat(8000);
    let malformed = [
        "ID OK - 6\r\na\tb\tc\n\r\n",               // no number of pages
        "ID OK count=0 6\r\na\tb\tc\n\r\n",         // no pages at all
        "ID OK count=1 4\r\na\tb\n\r\n",            // two columns
        "ID OK count=1 5\r\na\tb\tc\r\n",           // half a row
        "ID OK count=1 9\r\na\tb\tc\n\r\n\r\n\r\n", // longer than its announced length
        "ID OK count=1 3000000000\r\na\tb\tc\n",    // longer than any result may be
        "\x1b\x07 noise \r\n",                      // no answer
        long.as_str(),                              // a line without an end
        "ID OK count=1 600\r\na\tb\tc\n",           // ends before its announced length
        "ID OK count=2 6\r\na\tb\tc\n\r\nID ROWS pos=7 6\r\nd\te\tf\n\r\n", // a page that doesn't exist
    ];
    let mut end: Option<scripted::EngineConnection> = None;
    for (number, bytes) in malformed.iter().enumerate() {
        let id = format!("{:016x}", number + 1);
        client
            .call(1, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        let mut first = end.take().unwrap_or_else(|| engines[0].accept().unwrap());
        assert_eq!(next_command(&mut first, "serve").id(), id);
        first
            .write_raw(bytes.replace("ID", &id).as_bytes())
            .unwrap();
        first.until_closed();
        let end = end.insert(engines[0].accept().unwrap());
        let serve = next_command(end, "serve");
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
    assert_eq!(gateway.counters()["broken"], malformed.len() as u64);
}

#[test]
fn a_silent_engine_connection_is_replaced() {
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["limits"]["dial-timeout-us"] = json!(100_000);
    let gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    client
        .call(1, "report", &fields("0000000000000001", "900"), QUERY)
        .unwrap();
    let mut silent = engines[0].accept().unwrap();
    next_command(&mut silent, "serve");
    assert!(is_refusal(&client.answer().unwrap()));
    client
        .call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    next_command(&mut engines[0].accept().unwrap(), "serve");
    silent.until_closed();
}

/// An engine stops reading. Requests that remained in the send buffer used to be sent after their
/// final answer.
#[test]
fn a_request_is_not_sent_after_its_final_answer() {
    const SENT: u64 = 14;
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    // More than the buffers of a connection take while the engine doesn't read.
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
        assert!(is_refusal(&client.answer().unwrap()));
    }
    let mut received = 0;
    while let Ok(command) = end.command() {
        received += (command.verb() == "serve") as u64;
    }
    let counters = gateway.counters();
    assert!(
        counters["unsent"] > 0,
        "the kernel's buffers took all requests"
    );
    assert!(
        received < SENT,
        "the engine received {received} requests, some of them after their answers"
    );
}

#[test]
fn the_bulletin_is_reconnected_after_its_stream_ends_and_after_a_gap() {
    let (bulletin, engines) = start_emulators(2);
    let known = [engines[0].address()];
    let mut gateway = GatewayProcess::start(&config(bulletin.address(), &known));
    let list_event = |event_number: u64, hosts: Vec<serde_json::Value>| {
        json!({"no": event_number, "roster": {"seq": event_number, "whole": false, "hosts": hosts}})
            .to_string()
    };
    let mut end = bulletin.accept().unwrap();
    assert_eq!(end.after, 1);
    end.event(
        2,
        &list_event(2, vec![host("s-new", engines[1].address(), "up")]),
    )
    .unwrap();
    drop(end);
    let mut end = bulletin.accept().unwrap();
    assert_eq!(end.after, 2);
    // Event 3 is missing, so the gateway discards the stream and requests the missing events.
    end.event(4, &list_event(4, vec![])).unwrap();
    let mut end = bulletin.accept().unwrap();
    assert_eq!(end.after, 2);
    end.event(
        3,
        &list_event(3, vec![host("s-0", engines[0].address(), "removed")]),
    )
    .unwrap();
    end.event(4, &list_event(4, vec![])).unwrap();
    drop(end);
    assert_eq!(bulletin.accept().unwrap().after, 4);
    // The engine that was known at the start has been removed, so the query goes to the new one.
    let mut client = gateway.client();
    client
        .call(1, "report", &fields("0000000000000001", "15000"), QUERY)
        .unwrap();
    let mut end = engines[1].accept().unwrap();
    let serve = next_command(&mut end, "serve");
    end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    assert_eq!(gateway.counters()["list_events"], 3);
}

#[test]
fn sighup_connects_to_the_bulletin_of_the_new_configuration() {
    let (old, engines) = start_emulators(2);
    let mut configured = config(old.address(), &addresses(&engines[..1]));
    let mut gateway = GatewayProcess::start(&configured);
    let mut stream = old.accept().unwrap();
    stream
        .event(2, r#"{"no":2,"roster":{"seq":2,"hosts":[]}}"#)
        .unwrap();
    // An invalid configuration is reported, and the old one stays in force.
    let partial = configured.to_string()[..200].to_string();
    configured["bulletin"] = json!("nowhere");
    for (text, expected) in [
        (Some(partial.as_str()), "EOF"),
        (None, "configuration"),
        (Some(&*configured.to_string()), "'bulletin'"),
    ] {
        gateway.reload(text);
        let line = gateway.wait_for_line("configuration not reloaded");
        assert!(line.contains(expected), "{line}");
    }
    // The bulletin moves to an address at which nothing listens, and then at once to another
    // address. The new stream continues after the last event number, and the old connection is
    // closed.
    let (mut new, _) = start_emulators(0);
    for next in [scripted::unused_address(), new.address()] {
        configured["bulletin"] = json!(next.to_string());
        gateway.reload(Some(&configured.to_string()));
        gateway.wait_for_line("configuration reloaded: connecting to the bulletin at");
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
    let (mut engine, serve) = send_query(&mut client, &engines[1]);
    engine
        .answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
        .unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 1, .. }
    ));
    // One more reload while the gateway shuts down.
    gateway.terminate();
    (new, _) = start_emulators(0);
    configured["bulletin"] = json!(new.address().to_string());
    gateway.reload(Some(&configured.to_string()));
    assert_eq!(new.accept().unwrap().after, 3);
    let (status, counters) = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    assert_eq!((counters["reloads"], counters["reloads_failed"]), (3, 3));
}

#[test]
fn connections_to_an_engine_that_has_restarted_are_closed() {
    let (bulletin, engines) = start_emulators(1);
    let gateway = GatewayProcess::start(&config(bulletin.address(), &addresses(&engines)));
    let mut stream = bulletin.accept().unwrap();
    let mut client = gateway.client();
    let (mut silent, _) = send_query(&mut client, &engines[0]);
    // The engine's machine failed without closing its connections, and the engine was restarted:
    // its start time is later than the time at which the connection was opened.
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
fn sigterm_finishes_open_requests_and_accepts_new_ones_meanwhile() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    let (mut end, first) = send_query(&mut client, &engines[0]);
    gateway.terminate();
    let mut late = Client::connect(gateway.address).unwrap();
    late.ask_health(1).unwrap();
    assert_eq!(
        late.answer().unwrap(),
        Answer::Health { id: 1, well: false }
    );
    late.call(2, "report", &fields("0000000000000002", "15000"), QUERY)
        .unwrap();
    let second = next_command(&mut end, "serve");
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
    let (status, counters) = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    assert_eq!((counters["served"], counters["open"]), (2, 0));
}

#[test]
fn a_stopping_gateway_refuses_requests_that_its_engine_never_answers() {
    let (_bulletin, engines, mut gateway, mut client) = start_one();
    client
        .call(1, "report", &fields("0000000000000001", "20000"), QUERY)
        .unwrap();
    let mut end = engines[0].accept().unwrap();
    next_command(&mut end, "serve");
    gateway.terminate();
    assert!(is_refusal(&client.answer().unwrap()));
    let (status, counters) = gateway.wait_for_exit();
    assert!(status.success(), "{status}");
    assert_eq!((counters["refused"], counters["open"]), (1, 0));
}

#[test]
fn a_client_that_does_not_read_does_not_delay_shutdown() {
    const ROUNDS: u64 = 12;
    let (_bulletin, mut engines, mut gateway, mut client) = start_one();
    // Large results of eight pages each, far more than the buffers of a connection take.
    engines.remove(0).answer_all(8, "a\tb\tc\n".repeat(1000));
    for number in 0..32 * ROUNDS {
        let id = format!("{number:016x}");
        client
            .call(number, "report", &fields(&id, "15000"), QUERY)
            .unwrap();
        while number % 32 == 31 && gateway.counters()["open"] > 0 {}
    }
    gateway.terminate();
    let (status, counters) = gateway.wait_for_exit();
    assert!(
        status.success() && counters["open"] == 0,
        "{status} {counters:?}"
    );
}

#[test]
fn incomplete_messages_share_one_memory_limit() {
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["memory_mb"] = json!(1);
    let mut gateway = GatewayProcess::start(&configured);
    // A body of 900,000 bytes is announced, and a third of it is sent.
    let mut incomplete_client = gateway.client();
    let head = [
        0x94, 0, 1, 0xa6, b'r', b'e', b'p', b'o', b'r', b't', 0x92, 0x80, 0xc6, 0, 0x0d, 0xbb, 0xa0,
    ];
    let _ = incomplete_client.write_raw(&[&head[..], &[b' '; 300_000]].concat());
    incomplete_client.until_closed();
    let mut client = gateway.client();
    client.ask_health(1).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 1, well: true }
    );
    assert_eq!(gateway.counters()["hoarding"], 1);
}

#[test]
fn idle_clients_are_disconnected_when_descriptors_run_out() {
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["limits"]["sockets"] = json!(64);
    let gateway = GatewayProcess::start(&configured);
    let mut idle: Vec<Client> = (0..32).map(|_| gateway.client()).collect();
    for client in &mut idle {
        client.ask_health(1).unwrap();
        client.answer().unwrap();
    }
    // The table is full. Two more clients are accepted, and those idle for longest are
    // disconnected.
    let mut new_clients: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    for client in &mut new_clients {
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

/// New engines keep appearing under new names, some at the address of a former engine, and clients
/// keep opening new connections. Guards against tables that grow with all names and connections
/// ever seen.
#[test]
fn no_table_grows_with_the_number_of_former_engines_and_clients() {
    const GENERATIONS: u64 = 300;
    let (bulletin, engines) = start_emulators(2);
    let mut gateway = GatewayProcess::start(&config(bulletin.address(), &addresses(&engines[..1])));
    let mut stream = bulletin.accept().unwrap();
    let mut former = host("s-0", engines[0].address(), "removed");
    for number in 0..GENERATIONS {
        let address = engines[number as usize % 2].address();
        let (name, event_number) = (format!("s-{number:08x}"), number + 2);
        let hosts = [former, host(&name, address, "up")];
        let item = json!({"no": event_number, "roster": {"seq": event_number, "whole": false, "hosts": hosts}});
        stream.event(event_number, &item.to_string()).unwrap();
        former = host(&name, address, "removed");
        // The query must go to the engine that is listed now, on a new connection even if a former
        // engine had the same address.
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
        let serve = next_command(&mut end, "serve");
        assert_eq!(serve.id(), id);
        end.answer(serve.id(), "OK", "count=1", "a\tb\tc\n")
            .unwrap();
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    }
    let counters = gateway.counters();
    assert_eq!(
        (counters["served"], counters["ids"]),
        (GENERATIONS, GENERATIONS)
    );
    for (name, limit) in [
        ("engines", 2),
        ("engine_conns", 2),
        ("engine_names", 2),
        ("requests", 1),
        ("clients", 4),
        ("deadlines", 8),
    ] {
        assert!(counters[name] <= limit, "{name}: {}", counters[name]);
    }
}

#[test]
fn a_lack_of_descriptors_does_not_count_as_an_engine_failure() {
    let (bulletin, engines) = start_emulators(3);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    // These limits leave descriptors for only one connection to an engine.
    configured["limits"]["sockets"] = json!(50);
    let mut gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    for engine in engines.into_iter() {
        engine.answer_all(1, "a\tb\tc\n".into());
    }
    // An idle connection is closed to free its descriptor for a connection that is needed.
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
    let counters = gateway.counters();
    assert_eq!(
        (
            counters["engine_conns"],
            counters["no_connection"],
            counters["served"]
        ),
        (1, 0, 12)
    );
}

#[test]
fn an_invalid_configuration_is_reported_and_prevents_the_start() {
    let (bulletin, engines) = start_emulators(1);
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
    for (path, value, expected) in cases {
        let mut invalid = good.clone();
        *invalid.pointer_mut(path).expect(path) = value;
        let (status, line) = run_to_failure(&invalid);
        assert!(
            !status.success() && line.contains(expected),
            "{path}: {line}"
        );
    }
}

#[test]
fn a_gateway_is_healthy_once_its_endpoint_list_is_known() {
    let (bulletin, engines) = start_emulators(1);
    let mut empty = config(bulletin.address(), &[]);
    empty["known"] = json!({"no": 0, "items": []});
    let gateway = GatewayProcess::start(&empty);
    let mut client = gateway.client();
    client.ask_health(1).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 1, well: false }
    );
    // The request waits until an engine is listed.
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
    next_command(&mut engines[0].accept().unwrap(), "serve");
    client.ask_health(3).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        Answer::Health { id: 3, well: true }
    );
}
