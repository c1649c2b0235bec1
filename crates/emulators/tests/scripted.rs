//! Guards against scripted engines that end too early, or never.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use eideryard_emulators::scripted::Engine;

/// Replaces [`eideryard_emulators::scripted::PATIENCE`], which is 20 s.
const SHORT_PATIENCE: Duration = Duration::from_millis(20);

fn engine_with_short_patience() -> Engine {
    let engine = Engine::listen("127.0.0.1:0").expect("a free port");
    socket2::SockRef::from(&engine.listener)
        .set_read_timeout(Some(SHORT_PATIENCE))
        .expect("an open socket");
    engine
}

fn is_answering(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let mut line = String::new();
    stream.write_all(b"health 7\r\n").is_ok()
        && BufReader::new(stream).read_line(&mut line).is_ok()
        && line.starts_with("7 UP")
}

/// Returns whether an engine still answers after it had no connection for ten times
/// [`SHORT_PATIENCE`].
fn outlasts_patience(engine: Engine, stop: Option<Arc<AtomicBool>>) -> bool {
    let address = engine.address();
    match stop {
        Some(stop) => engine.answer_until(stop, 1, String::new()),
        None => engine.answer_all(1, String::new()),
    }
    assert!(is_answering(address), "the engine should answer at first");
    std::thread::sleep(10 * SHORT_PATIENCE);
    is_answering(address)
}

#[test]
fn an_engine_with_a_stop_flag_outlasts_times_without_connections() {
    let stop = Arc::new(AtomicBool::new(false));
    assert!(outlasts_patience(
        engine_with_short_patience(),
        Some(stop.clone())
    ));
    stop.store(true, Ordering::Relaxed);
    assert!(
        !outlasts_patience(engine_with_short_patience(), Some(stop)),
        "the stop flag was set before the engine started"
    );
    assert!(!outlasts_patience(engine_with_short_patience(), None));
}
