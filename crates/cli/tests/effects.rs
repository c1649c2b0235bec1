//! Safe, keyed and unsafe requests, each with every way in which an attempt can fail. Guards
//! against a second run of an unsafe request: once the first byte of an attempt was sent, there may
//! be no second attempt.

mod common;

use common::scripted::{Answer, Bulletin, Client, Engine, EngineConnection};
use common::{
    addresses, config, fields, host, next_command, start_emulators, GatewayProcess, QUERY,
};
use serde_json::{json, Value};

const ID: &str = "0000000000000001";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const CLASSES: [&str; 3] = ["report", "load", "change"];

struct Stage {
    _bulletin: Bulletin,
    engine: Engine,
    gateway: GatewayProcess,
    client: Client,
}

/// Starts a gateway with one engine. Its client has sent a request of the given class.
fn start_with_request(class: &str, wait: &str, change: impl Fn(&mut Value)) -> Stage {
    let (bulletin, mut engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    change(&mut configured);
    let gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    let mut request_fields = fields(ID, wait);
    if class == "load" {
        request_fields.push(("k", KEY));
    }
    client.call(1, class, &request_fields, QUERY).unwrap();
    Stage {
        _bulletin: bulletin,
        engine: engines.remove(0),
        gateway,
        client,
    }
}

impl Stage {
    fn accept_request(&mut self) -> EngineConnection {
        let mut end = self.engine.accept().unwrap();
        assert_eq!(next_command(&mut end, "serve").id(), ID);
        end
    }

    /// Answers a second attempt. Asserts that the client is served and that `sent` attempts were
    /// sent.
    fn assert_repeated(mut self, sent: u64) {
        let mut end = self.accept_request();
        end.answer(ID, "OK", "count=1", "a\tb\tc\n").unwrap();
        assert!(matches!(
            self.client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
        assert_eq!(self.gateway.counters()["sent"], sent);
    }

    /// Asserts that the request has failed after a single attempt.
    fn assert_failed(mut self) {
        let answer = self.client.answer().unwrap();
        assert!(
            matches!(&answer, Answer::Error { id: 1, word, .. } if word == "Failed"),
            "{answer:?}"
        );
        assert_eq!(self.gateway.counters()["sent"], 1);
    }
}

#[test]
fn a_connection_reset_repeats_all_but_unsafe_requests() {
    for class in CLASSES {
        let mut stage = start_with_request(class, "15000", |_| ());
        drop(stage.accept_request());
        if class == "change" {
            stage.assert_failed();
        } else {
            stage.assert_repeated(2);
        }
    }
}

/// The connection stays open, and the engine sends only the beginning of an answer.
#[test]
fn an_unfinished_answer_repeats_all_but_unsafe_requests() {
    for class in CLASSES {
        let shorten_timeout = |configuration: &mut Value| {
            configuration["settings"]["limits"]["dial-timeout-us"] = json!(100_000);
        };
        let mut stage = start_with_request(class, "15000", shorten_timeout);
        let mut end = stage.accept_request();
        end.write_raw(format!("{ID} OK count=1 4000\r\na\tb").as_bytes())
            .unwrap();
        if class == "change" {
            stage.assert_failed();
        } else {
            stage.assert_repeated(2);
        }
    }
}

/// The engine answers BUSY without running the request, and sends the same answer again when the
/// next attempt is running. The second answer must not end that attempt.
#[test]
fn a_late_second_answer_does_not_end_the_next_attempt() {
    for class in CLASSES {
        let mut stage = start_with_request(class, "15000", |_| ());
        let mut end = stage.accept_request();
        end.answer(ID, "BUSY", "-", "").unwrap();
        let mut again = stage
            .engine
            .accept()
            .unwrap_or_else(|e| panic!("{class}: {e} {:?}", stage.gateway.counters()));
        assert_eq!(next_command(&mut again, "serve").id(), ID);
        end.answer(ID, "BUSY", "-", "").unwrap();
        end.answer(ID, "OK", "count=1", "x\ty\tz\n").unwrap();
        stage.gateway.wait_for_counter("full", 1);
        again.answer(ID, "OK", "count=1", "a\tb\tc\n").unwrap();
        let answer = stage.client.answer().unwrap();
        assert_eq!(
            answer,
            Answer::Result {
                id: 1,
                body: b"a\tb\tc\n".to_vec()
            },
            "{class}"
        );
        assert_eq!(stage.gateway.counters()["sent"], 2);
    }
}

/// A refused connection proves that nothing ran, so requests of every class go to the other engine.
#[test]
fn a_refused_connection_sends_every_class_to_another_engine() {
    for class in CLASSES {
        let unused_address = common::scripted::unused_address();
        let mut stage = start_with_request(class, "15000", |configuration| {
            let hosts = configuration["known"]["items"][0]["roster"]["hosts"]
                .as_array_mut()
                .unwrap();
            hosts.push(host("s-nobody", unused_address, "up"));
        });
        let mut end = stage.accept_request();
        end.answer(ID, "OK", "count=1", "a\tb\tc\n").unwrap();
        assert!(matches!(
            stage.client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
        let counters = stage.gateway.counters();
        assert_eq!(counters["sent"], 1 + counters["no_connection"]);
    }
}

/// The engine doesn't answer within the request's deadline. The client gets one final answer, which
/// invites a retry only if a second run does no harm. A later answer from the engine changes
/// nothing.
#[test]
fn an_engine_that_exceeds_the_deadline_causes_one_final_answer() {
    for (class, word) in [
        ("report", "TryLater"),
        ("load", "TryLater"),
        ("change", "Failed"),
    ] {
        let mut stage = start_with_request(class, "500", |_| ());
        let mut end = stage.accept_request();
        let answer = stage.client.answer().unwrap();
        assert!(
            matches!(&answer, Answer::Error { id: 1, word: answered, .. } if answered == word),
            "{class}: {answer:?}"
        );
        end.answer(ID, "OK", "count=1", "a\tb\tc\n").unwrap();
        stage.client.ask_health(2).unwrap();
        assert_eq!(
            stage.client.answer().unwrap(),
            Answer::Health { id: 2, well: true },
            "no second answer"
        );
        assert_eq!(stage.gateway.counters()["sent"], 1);
    }
}

/// Hedged requests are permitted, but an unsafe request still has only one attempt, even if its
/// engine is silent while the other one responds.
#[test]
fn an_unsafe_request_is_not_hedged_when_its_engine_is_silent() {
    let (bulletin, engines) = start_emulators(2);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["limits"]["may-duplicate"] = json!(true);
    configured["settings"]["extra"]["note-period-us"] = json!(50_000);
    let mut gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    client
        .call(1, "change", &fields(ID, "3000"), QUERY)
        .unwrap();
    let answer = client.answer().unwrap();
    assert!(
        matches!(&answer, Answer::Error { id: 1, word, .. } if word == "Failed"),
        "{answer:?}"
    );
    assert_eq!(gateway.counters()["sent"], 1);
}

/// Requests of a sequential class carry an order key in addition to their idempotency key. Requests
/// with the same order key run one at a time; those with another key or none run concurrently.
#[test]
fn requests_with_the_same_order_key_run_one_at_a_time() {
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["grades"][1]["sequential"] = json!(true);
    let mut gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    let ids = [
        "0000000000000001",
        "0000000000000002",
        "0000000000000003",
        "0000000000000004",
    ];
    let keys = ids.map(|id| format!("{id}{id}"));
    let orders = [
        Some("0000ccb1d26c6c8b"),
        Some("0000ccb1d26c6c8b"),
        Some("000204fb92eb08f5"),
        None,
    ];
    for (number, ((id, key), order)) in ids.iter().zip(&keys).zip(orders).enumerate() {
        let mut request_fields = fields(id, "15000");
        request_fields.push(("k", key));
        request_fields.extend(order.map(|order| ("o", order)));
        client
            .call(number as u64 + 1, "load", &request_fields, QUERY)
            .unwrap();
    }
    gateway.wait_for_counter("taken", 4);
    let mut end = engines[0].accept().unwrap();
    let first: Vec<String> = (0..3)
        .map(|_| next_command(&mut end, "serve").id().to_string())
        .collect();
    assert_eq!(first, [ids[0], ids[2], ids[3]]);
    assert_eq!(gateway.counters()["sent"], 3);
    end.answer(ids[0], "OK", "count=1", "a\tb\tc\n").unwrap();
    let second = next_command(&mut end, "serve");
    assert_eq!(
        (second.id(), second.field("replay")),
        (ids[1], Some(keys[1].as_str()))
    );
    for id in &ids[1..] {
        end.answer(id, "OK", "count=1", "a\tb\tc\n").unwrap();
    }
    for _ in ids {
        assert!(matches!(client.answer().unwrap(), Answer::Result { .. }));
    }
}

/// Cancels are forbidden, and an attempt times out. The attempt is nevertheless cancelled at the
/// engine before the next request with the same order key is sent, since otherwise the two would
/// run concurrently.
#[test]
fn a_timed_out_attempt_is_cancelled_before_the_next_of_its_order() {
    let (bulletin, engines) = start_emulators(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["grades"][1]["sequential"] = json!(true);
    configured["settings"]["limits"]["may-cancel"] = json!(false);
    let gateway = GatewayProcess::start(&configured);
    let mut client = gateway.client();
    let second = "0000000000000002";
    for (number, id, wait) in [(1, ID, "500"), (2, second, "15000")] {
        let key = format!("{id}{id}");
        let mut request_fields = fields(id, wait);
        request_fields.extend([("k", key.as_str()), ("o", "0000ccb1d26c6c8b")]);
        client.call(number, "load", &request_fields, QUERY).unwrap();
    }
    let mut end = engines[0].accept().unwrap();
    let commands: Vec<_> = std::iter::from_fn(|| end.command().ok())
        .filter(|command| command.verb() != "weigh")
        .take(3)
        .collect();
    let commands: Vec<_> = commands
        .iter()
        .map(|command| (command.verb(), command.id()))
        .collect();
    assert_eq!(commands, [("serve", ID), ("cancel", ID), ("serve", second)]);
    end.answer(second, "OK", "count=1", "a\tb\tc\n").unwrap();
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Error { id: 1, .. }
    ));
    assert!(matches!(
        client.answer().unwrap(),
        Answer::Result { id: 2, .. }
    ));
}
