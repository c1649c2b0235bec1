//! Cancelling attempts before any byte of them is written.

use super::engine_connection::OutputRange;
use super::*;
use crate::connection::PendingWakes;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use calloop::EventLoop;
use eideryard_engine_protocol::ServeCommand;

const NOW: Micros = 1_000_000;

fn serve(id: &str) -> ServeCommand<'_> {
    let statement = b"SELECT 1";
    ServeCommand {
        id,
        class: "report",
        wait_ms: 900,
        key: None,
        grant_mb: 64,
        rank: Some(2),
        statement,
    }
}

/// Three requests are waiting to be written and the second is cancelled. Guards against sending the
/// bytes or the deferred rank of the cancelled one, and against wrong offsets for the request after
/// it.
#[test]
fn cancelled_unwritten_attempt_leaves_no_bytes_and_no_rank() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let event_loop: EventLoop<'_, PendingWakes> = EventLoop::try_new().unwrap();
    let limits = Limits {
        dial_timeout: NOW,
        idle_timeout: 0,
        progress_interval: 0,
        max_streams: 32,
        max_connections: 8,
    };
    let mut engines = Engines::new(&event_loop.handle(), limits);
    let (mut deadlines, mut counters, mut events) =
        (Deadlines::new(), Counters::default(), Vec::new());
    let mut context = EngineContext {
        now: NOW,
        deadlines: &mut deadlines,
        counters: &mut counters,
        events: &mut events,
    };
    engines.update_endpoint(5, listener.local_addr().ok(), 0, &mut context);
    let mut requests = Table::new();
    let mut connections = ["a", "b", "c"].map(|id| {
        let target = AttemptTarget {
            request: requests.insert(()),
            attempt: 0,
            is_spooled: false,
        };
        engines.send(5, target, &serve(id), &mut context).unwrap()
    });
    connections.sort();
    assert_eq!(
        (connections[0], context.counters.dials),
        (connections[2], 1),
        "one connection carries all three"
    );
    assert!(
        engines.update_rank(connections[0], "b", 1) && engines.update_rank(connections[0], "c", 0)
    );
    assert!(!engines.cancel_attempt(connections[0], "b", &mut context));
    let mut expected = Vec::new();
    for id in ["a", "c"].iter() {
        serve(id).write(&mut expected);
    }
    let connection = engines.table.get_mut(connections[0]).unwrap();
    assert_eq!(connection.stream.output.filled(), expected);
    assert_eq!(
        connection.open_attempts["c"].output,
        OutputRange {
            begin: expected.len() as u64 / 2,
            end: expected.len() as u64
        }
    );
    // Once everything is written, the deferred rank follows.
    connection.stream.written = expected.len() as u64;
    connection.stream.output.clear();
    let _ = connection.send_deferred_ranks();
    assert_eq!(connection.open_attempts["c"].deferred_rank, None);
    assert!(events.is_empty());
}
