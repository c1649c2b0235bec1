//! Reconnecting to a discovery server that closes connections. A server that only greets must not
//! be reconnected to in a tight loop.

use super::*;
use crate::connection::PendingWakes;
use calloop::EventLoop;
use std::io::{Read, Write};

/// Connects the watch to the listener, sends `text` as the body of the response, closes the
/// connection and lets the watch read until its stream has ended.
fn serve_stream_and_close(
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
fn reconnects_are_delayed_until_the_server_sends_an_event() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let event_loop: EventLoop<'_, PendingWakes> = EventLoop::try_new().unwrap();
    let address = listener.local_addr().unwrap();
    let (mut watch, mut deadlines) = (
        DiscoveryWatch::new(&event_loop.handle(), address, 0, SILENCE_TIMEOUT, 7),
        Deadlines::new(),
    );
    let retry_delays = [
        ": hello\n\n",
        ": hello\n\n",
        "data: {\"no\":1}\n\n",
        ": hello\n\n",
    ]
    .map(|text| {
        serve_stream_and_close(&mut watch, &listener, &mut deadlines, text);
        deadlines.next()
    });
    assert!(
        retry_delays[0] == Some(0) && retry_delays[1] > Some(0) && retry_delays[2] == Some(0),
        "{retry_delays:?}"
    );
    assert!(retry_delays[3] > Some(0), "{retry_delays:?}");
}
