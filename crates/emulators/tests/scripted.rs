//! Stand-ins that are moved by hand: how long they last.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use eideryard_emulators::scripted::Engine;

/// In place of the patience of 20 s.
const PATIENCE: Duration = Duration::from_millis(20);

fn impatient() -> Engine {
    let engine = Engine::listen("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&engine.listener)
        .set_read_timeout(Some(PATIENCE))
        .expect("an open socket");
    engine
}

fn answers(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut line = String::new();
    stream.write_all(b"health 7\r\n").is_ok()
        && BufReader::new(stream).read_line(&mut line).is_ok()
        && line.starts_with("7 UP")
}

/// Whether one still answers after many times the patience without a connection.
fn lasts(engine: Engine, stop: Option<Arc<AtomicBool>>) -> bool {
    let address = engine.address();
    match stop {
        Some(stop) => engine.answer_until(stop, 1, String::new()),
        None => engine.answer_all(1, String::new()),
    }
    assert!(answers(address), "it answers at first");
    std::thread::sleep(10 * PATIENCE);
    answers(address)
}

#[test]
fn an_engine_that_answers_until_it_is_told_to_stop_outlasts_times_without_connections() {
    let stop = Arc::new(AtomicBool::new(false));
    assert!(lasts(impatient(), Some(stop.clone())));
    stop.store(true, Ordering::Relaxed);
    assert!(
        !lasts(impatient(), Some(stop)),
        "it was told to before it began"
    );
    assert!(!lasts(impatient(), None));
}
