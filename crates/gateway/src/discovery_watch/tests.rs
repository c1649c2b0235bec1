//! When a discovery server that greets and breaks off is called again.

use super::*;
use crate::connection::PendingWakes;
use calloop::EventLoop;
use std::io::{Read, Write};

/// Lets the watch read until its stream has ended.
fn streamed(
    watch: &mut DiscoveryWatch,
    listener: &std::net::TcpListener,
    deadlines: &mut Deadlines,
    text: &str,
) {
    let (mut counters, mut items) = (Counters::default(), Vec::new());
    watch.connect(0, deadlines, &mut counters);
    let (mut stream, _) = listener.accept().unwrap();
    while watch
        .stream
        .as_ref()
        .is_some_and(|stream| stream.connection.written == 0)
    {
        watch.read(0, deadlines, &mut counters, &mut items);
    }
    assert!(stream.read(&mut [0; 512]).unwrap() > 0);
    stream
        .write_all(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes())
        .unwrap();
    drop(stream);
    while watch.has_connection() {
        watch.read(0, deadlines, &mut counters, &mut items);
    }
}

#[test]
fn server_that_accepts_and_breaks_off_is_called_after_delays_until_it_sends_an_event() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events: EventLoop<'_, PendingWakes> = EventLoop::try_new().unwrap();
    let address = listener.local_addr().unwrap();
    let (mut watch, mut deadlines) = (
        DiscoveryWatch::new(&events.handle(), address, 0, SILENCE_TIMEOUT, 7),
        Deadlines::new(),
    );
    let pauses = [
        ": hello\n\n",
        ": hello\n\n",
        "data: {\"no\":1}\n\n",
        ": hello\n\n",
    ]
    .map(|text| {
        streamed(&mut watch, &listener, &mut deadlines, text);
        deadlines.next()
    });
    assert!(
        pauses[0] == Some(0) && pauses[1] > Some(0) && pauses[2] == Some(0),
        "{pauses:?}"
    );
    assert!(pauses[3] > Some(0), "{pauses:?}");
}
