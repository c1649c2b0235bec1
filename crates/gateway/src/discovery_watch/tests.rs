//! When a bulletin that greets and breaks off is called again.

use super::*;
use crate::connection::Wakes;
use calloop::EventLoop;
use std::io::{Read, Write};

/// Lets the watch read until its stream has ended.
fn streamed(watch: &mut Watch, listener: &std::net::TcpListener, due: &mut Deadlines, text: &str) {
    let (mut counters, mut items) = (Counters::default(), Vec::new());
    watch.call(0, due, &mut counters);
    let (mut stream, _) = listener.accept().unwrap();
    while watch
        .connection
        .as_ref()
        .is_some_and(|(connection, _)| connection.written == 0)
    {
        watch.read(0, due, &mut counters, &mut items);
    }
    assert!(stream.read(&mut [0; 512]).unwrap() > 0);
    stream
        .write_all(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes())
        .unwrap();
    drop(stream);
    while watch.is_up() {
        watch.read(0, due, &mut counters, &mut items);
    }
}

#[test]
fn a_bulletin_that_greets_and_breaks_off_is_called_after_pauses_until_it_tells_something() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events: EventLoop<'_, Wakes> = EventLoop::try_new().unwrap();
    let address = listener.local_addr().unwrap();
    let (mut watch, mut due) = (
        Watch::new(&events.handle(), address, 0, SILENCE, 7),
        Deadlines::new(),
    );
    let pauses = [
        ": hello\n\n",
        ": hello\n\n",
        "data: {\"no\":1}\n\n",
        ": hello\n\n",
    ]
    .map(|text| {
        streamed(&mut watch, &listener, &mut due, text);
        due.next()
    });
    assert!(
        pauses[0] == Some(0) && pauses[1] > Some(0) && pauses[2] == Some(0),
        "{pauses:?}"
    );
    assert!(pauses[3] > Some(0), "{pauses:?}");
}
