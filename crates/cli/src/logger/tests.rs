//! Lines that are dropped, cut and filtered.

use super::*;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Pipe {
    written: Arc<Mutex<Vec<u8>>>,
    full: bool,
}

impl Sink for Pipe {
    fn is_ready(&self) -> bool {
        !self.full
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        self.written.lock().unwrap().extend(line);
        Ok(())
    }
}

#[test]
fn lines_that_would_wait_or_are_too_many_are_dropped_and_counted() {
    static OWN: Lines = Lines::new();
    let pipe = Pipe::default();
    let mut guard = Guard {
        sink: pipe.clone(),
        lines: &OWN,
        json: false,
    };
    guard.sink.full = true;
    guard.write_all(b"waits\n").unwrap();
    guard.sink.full = false;
    guard.write_all(b"two\nlines\n").unwrap();
    let text = String::from_utf8(pipe.written.lock().unwrap().clone()).unwrap();
    assert!(
        text.contains("1 lines before this were dropped\n") && text.ends_with("two lines\n"),
        "{text}"
    );
    let many = Lines::new();
    assert_eq!((0..500).filter(|_| many.take(7)).count() as u64, MAX_LINES);
    assert!(many.take(8), "each second has its own");
    assert_eq!(guard.fit(&[b'x'; 9000]).len(), MAX_LINE);
    guard.json = true;
    let line: serde_json::Value = serde_json::from_slice(&guard.fit(&[b'x'; 9000])).unwrap();
    assert!(line["message"].as_str().unwrap().contains("9000"));
}

#[test]
fn the_environment_goes_before_the_operators_file_and_targets_before_the_rest() {
    let log = LogConfig {
        level: Some("warn".into()),
        targets: vec![("record".into(), "debug".into())],
        json: false,
    };
    let own = levels(None, &log);
    assert!(
        own.would_enable("record", &Level::DEBUG) && !own.would_enable("gateway", &Level::INFO)
    );
    assert!(levels(Some("debug"), &log).would_enable("gateway", &Level::DEBUG));
    assert!(levels(Some("nonsense=="), &log).would_enable("gateway", &Level::WARN));
    assert!(!levels(None, &LogConfig::default()).would_enable("gateway", &Level::DEBUG));
}
