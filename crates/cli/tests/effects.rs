//! Effects: each class of effect against each way in which an attempt can go wrong. What is unsafe
//! to repeat comes to an engine once, unless no byte of it ever went out.

mod common;

use common::standin::{Answer, Bulletin, Client, Engine, EngineConnection};
use common::{addresses, config, fields, host, next, stand_ins, Running, QUERY};
use serde_json::{json, Value};

const ID: &str = "0000000000000001";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const CLASSES: [&str; 3] = ["report", "load", "change"];

struct Stage {
    _bulletin: Bulletin,
    engine: Engine,
    gateway: Running,
    client: Client,
}

/// A gateway before one engine, and a client that has asked for one of the classes.
fn asked(class: &str, wait: &str, change: impl Fn(&mut Value)) -> Stage {
    let (bulletin, mut engines) = stand_ins(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    change(&mut configured);
    let gateway = Running::start(&configured);
    let mut client = gateway.client();
    let mut given = fields(ID, wait);
    if class == "load" {
        given.push(("k", KEY));
    }
    client.call(1, class, &given, QUERY).unwrap();
    Stage {
        _bulletin: bulletin,
        engine: engines.remove(0),
        gateway,
        client,
    }
}

impl Stage {
    fn begun(&mut self) -> EngineConnection {
        let mut end = self.engine.accept().unwrap();
        assert_eq!(next(&mut end, "serve").id(), ID);
        end
    }

    /// A repeat comes, is answered, and its client is served.
    fn repeated(mut self, sent: u64) {
        let mut end = self.begun();
        end.answer(ID, "OK", "count=1", "a\tb\tc\n").unwrap();
        assert!(matches!(
            self.client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
        assert_eq!(self.gateway.counters()["sent"], sent);
    }

    /// It has failed, and nothing came a second time.
    fn failed(mut self) {
        let answer = self.client.answer().unwrap();
        assert!(
            matches!(&answer, Answer::Error { id: 1, word, .. } if word == "Failed"),
            "{answer:?}"
        );
        assert_eq!(self.gateway.counters()["sent"], 1);
    }
}

#[test]
fn reset_under_a_request_that_has_begun() {
    for class in CLASSES {
        let mut stage = asked(class, "15000", |_| ());
        drop(stage.begun());
        if class == "change" {
            stage.failed();
        } else {
            stage.repeated(2);
        }
    }
}

/// The connection stands, and an answer begins that never ends.
#[test]
fn an_answer_that_never_ends() {
    for class in CLASSES {
        let soon = |own: &mut Value| own["settings"]["limits"]["dial-timeout-us"] = json!(100_000);
        let mut stage = asked(class, "15000", soon);
        let mut end = stage.begun();
        end.write_raw(format!("{ID} OK count=1 4000\r\na\tb").as_bytes())
            .unwrap();
        if class == "change" {
            stage.failed();
        } else {
            stage.repeated(2);
        }
    }
}

/// Turned away unseen, and the same said once more some time later, when the next attempt is out:
/// no class takes the second word for the end of that.
#[test]
fn a_second_answer_that_comes_late() {
    for class in CLASSES {
        let mut stage = asked(class, "15000", |_| ());
        let mut end = stage.begun();
        end.answer(ID, "BUSY", "-", "").unwrap();
        let mut again = stage
            .engine
            .accept()
            .unwrap_or_else(|e| panic!("{class}: {e} {:?}", stage.gateway.counters()));
        assert_eq!(next(&mut again, "serve").id(), ID);
        end.answer(ID, "BUSY", "-", "").unwrap();
        end.answer(ID, "OK", "count=1", "x\ty\tz\n").unwrap();
        stage.gateway.until("full", 1);
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

/// Refused connections prove that nothing ran: each class goes on to the engine that is there.
#[test]
fn a_connection_that_is_refused() {
    for class in CLASSES {
        let nobody = common::standin::unused_address();
        let mut stage = asked(class, "15000", |own| {
            let hosts = own["known"]["items"][0]["roster"]["hosts"]
                .as_array_mut()
                .unwrap();
            hosts.push(host("s-nobody", nobody, "up"));
        });
        let mut end = stage.begun();
        end.answer(ID, "OK", "count=1", "a\tb\tc\n").unwrap();
        assert!(matches!(
            stage.client.answer().unwrap(),
            Answer::Result { id: 1, .. }
        ));
        let counted = stage.gateway.counters();
        assert_eq!(counted["sent"], 1 + counted["no_connection"]);
    }
}

/// It hangs for good, the wait is short: one final answer, refused only where a repeat does no
/// harm, and what comes after it changes nothing.
#[test]
fn an_engine_that_hangs_past_the_wait() {
    for (class, word) in [
        ("report", "TryLater"),
        ("load", "TryLater"),
        ("change", "Failed"),
    ] {
        let mut stage = asked(class, "500", |_| ());
        let mut end = stage.begun();
        let answer = stage.client.answer().unwrap();
        assert!(
            matches!(&answer, Answer::Error { id: 1, word: own, .. } if own == word),
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

/// Second copies are permitted in general: what is unsafe still has one attempt out, also while its
/// engine is mute beside one that speaks.
#[test]
fn a_mute_engine_gets_no_second_copy_of_what_is_unsafe() {
    let (bulletin, engines) = stand_ins(2);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["limits"]["may-duplicate"] = json!(true);
    configured["settings"]["extra"]["note-period-us"] = json!(50_000);
    let mut gateway = Running::start(&configured);
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

/// Requests of an ordered class bear the key of their order beside that of their effect: those of
/// one order run one at a time, whatever their other keys, those of another beside them, and one
/// without keeps nobody back.
#[test]
fn requests_of_one_order_run_one_at_a_time() {
    let (bulletin, engines) = stand_ins(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["grades"][1]["sequential"] = json!(true);
    let mut gateway = Running::start(&configured);
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
        let mut given = fields(id, "15000");
        given.push(("k", key));
        given.extend(order.map(|order| ("o", order)));
        client
            .call(number as u64 + 1, "load", &given, QUERY)
            .unwrap();
    }
    gateway.until("taken", 4);
    let mut end = engines[0].accept().unwrap();
    let first: Vec<String> = (0..3)
        .map(|_| next(&mut end, "serve").id().to_string())
        .collect();
    assert_eq!(first, [ids[0], ids[2], ids[3]]);
    assert_eq!(gateway.counters()["sent"], 3);
    end.answer(ids[0], "OK", "count=1", "a\tb\tc\n").unwrap();
    let second = next(&mut end, "serve");
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

/// Cancels are forbidden, and an attempt's time is up: it is given up on the wire too, before the
/// next of its order is sent, which would else find it out there.
#[test]
fn an_attempt_whose_time_is_up_is_given_up_before_the_next_of_its_order() {
    let (bulletin, engines) = stand_ins(1);
    let mut configured = config(bulletin.address(), &addresses(&engines));
    configured["settings"]["grades"][1]["sequential"] = json!(true);
    configured["settings"]["limits"]["may-cancel"] = json!(false);
    let gateway = Running::start(&configured);
    let mut client = gateway.client();
    let second = "0000000000000002";
    for (number, id, wait) in [(1, ID, "500"), (2, second, "15000")] {
        let key = format!("{id}{id}");
        let mut given = fields(id, wait);
        given.extend([("k", key.as_str()), ("o", "0000ccb1d26c6c8b")]);
        client.call(number, "load", &given, QUERY).unwrap();
    }
    let mut end = engines[0].accept().unwrap();
    let said: Vec<_> = std::iter::from_fn(|| end.command().ok())
        .filter(|own| own.verb() != "weigh")
        .take(3)
        .collect();
    let said: Vec<_> = said.iter().map(|own| (own.verb(), own.id())).collect();
    assert_eq!(said, [("serve", ID), ("cancel", ID), ("serve", second)]);
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
