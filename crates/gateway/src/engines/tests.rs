//! Attempts that are withdrawn from a connection before they begin.

use super::*;
use crate::connection::Wakes;
use calloop::EventLoop;

const NOW: Micros = 1_000_000;

fn serve(id: &str) -> Serve<'_> {
    let statement = b"SELECT 1";
    Serve {
        id,
        class: "report",
        wait_ms: 900,
        key: None,
        grant_mb: 64,
        rank: Some(2),
        statement,
    }
}

/// Three requests wait to be written; the second is taken back, and the rank it was to get goes
/// with it.
#[test]
fn what_is_given_up_unwritten_leaves_nothing_behind() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events: EventLoop<'_, Wakes> = EventLoop::try_new().unwrap();
    let limits = Limits {
        dial_timeout: NOW,
        idle: 0,
        note_period: 0,
        streams: 32,
        connections: 8,
    };
    let mut engines = Engines::new(&events.handle(), limits);
    let (mut due, mut counters, mut heard) = (Deadlines::new(), Counters::default(), Vec::new());
    engines.listed(5, listener.local_addr().ok(), 0, &mut due, &mut heard);
    let mut requests = Table::new();
    let mut conns = ["a", "b", "c"].map(|id| {
        let tried = (requests.insert(()), 0, false);
        engines
            .send(NOW, 5, tried, &serve(id), &mut due, &mut counters)
            .unwrap()
    });
    conns.sort();
    assert_eq!(
        (conns[0], counters.dials),
        (conns[2], 1),
        "one connection carries all three"
    );
    assert!(engines.weigh(conns[0], "b", 1) && engines.weigh(conns[0], "c", 0));
    assert!(!engines.give_up(NOW, conns[0], "b", &mut due, &mut heard));
    let mut expected = Vec::new();
    for id in ["a", "c"].iter() {
        serve(id).write(&mut expected);
    }
    let conn = engines.table.get_mut(conns[0]).unwrap();
    assert_eq!(conn.connection.output.filled(), expected);
    assert_eq!(
        conn.open["c"].sent,
        (expected.len() as u64 / 2, expected.len() as u64)
    );
    // Once all is out, the rank that came too early follows.
    conn.connection.written = expected.len() as u64;
    conn.connection.output.clear();
    let _ = conn.tell_later_ranks();
    assert_eq!(conn.open["c"].later_rank, None);
    assert!(heard.is_empty());
}
