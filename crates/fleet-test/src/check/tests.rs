//! Builders of small histories for the tests of the rules.

use super::*;

pub fn facts() -> Facts {
    let text =
        "class booking {\n effect keyed\n scope cell\n window 1s\n}\nclass ledger {\n ordered\n}\n\
                engines 2 e {\n cores 4\n}\n";
    let mut facts = Facts::from_scenario(&Scenario::read("facts", text).expect("it can be read"));
    facts.engines[0].name = "e1".into();
    facts.engines[1].name = "e2".into();
    facts
}

pub fn checked(events: &[TimedEvent]) -> Verdict {
    check(&facts(), events, &[], &[])
}

fn tried(class: &str, id: u64, key: &str, gateway: &str, number: u64) -> Try {
    let (load, marked, wait) = ("all".into(), number > 0, 2_000_000);
    let (class, key, gateway) = (class.into(), key.into(), gateway.into());
    Try {
        load,
        class,
        id,
        key,
        gateway,
        number,
        marked,
        wait,
    }
}

pub fn try_sent(at: Micros, id: u64, key: &str, gateway: &str, number: u64) -> TimedEvent {
    TimedEvent {
        at,
        event: Event::TrySent(tried("booking", id, key, gateway, number)),
    }
}

pub fn ordered_try_sent(at: Micros, id: u64, key: &str) -> TimedEvent {
    TimedEvent {
        at,
        event: Event::TrySent(tried("ledger", id, key, "g1", 0)),
    }
}

pub fn try_ended(at: Micros, id: u64, outcome: TryOutcome) -> TimedEvent {
    TimedEvent {
        at,
        event: Event::TryEnded {
            id,
            outcome,
            advice: None,
        },
    }
}

pub fn effect(at: Micros, engine: &str, id: u64) -> TimedEvent {
    TimedEvent {
        at,
        event: Event::Effect {
            engine: engine.into(),
            id,
            key: "".into(),
        },
    }
}

pub fn query_began(at: Micros, engine: &str, id: u64, work: f64) -> TimedEvent {
    let (engine, class, key) = (engine.into(), "booking".into(), "".into());
    TimedEvent {
        at,
        event: Event::QueryStarted {
            engine,
            id,
            class,
            key,
            work,
        },
    }
}

pub fn gateway(at: Micros, name: &str, change: ProcessChange) -> TimedEvent {
    TimedEvent {
        at,
        event: Event::Gateway {
            gateway: name.into(),
            change,
        },
    }
}

pub fn link(at: Micros, from: &str, to: &str, fault: &'static str, begins: bool) -> TimedEvent {
    TimedEvent {
        at,
        event: Event::Link {
            from: from.into(),
            to: to.into(),
            fault,
            begins,
        },
    }
}
