//! Tests that lines are dropped, shortened and filtered by level.

use super::*;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Pipe {
    written: Arc<Mutex<Vec<u8>>>,
    is_full: bool,
}

impl Sink for Pipe {
    fn is_ready(&self) -> bool {
        !self.is_full
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        self.written.lock().unwrap().extend(line);
        Ok(())
    }
}

#[test]
fn lines_that_would_block_or_exceed_the_rate_are_dropped_and_counted() {
    static COUNTS: LineCounts = LineCounts::new();
    let pipe = Pipe::default();
    let mut writer = LimitedWriter {
        sink: pipe.clone(),
        lines: &COUNTS,
        json: false,
    };
    writer.sink.is_full = true;
    writer.write_all(b"waits\n").unwrap();
    writer.sink.is_full = false;
    writer.write_all(b"two\nlines\n").unwrap();
    let text = String::from_utf8(pipe.written.lock().unwrap().clone()).unwrap();
    assert!(
        text.contains("1 log lines before this one were dropped\n")
            && text.ends_with("two lines\n"),
        "{text}"
    );
    let counts = LineCounts::new();
    assert_eq!(
        (0..500).filter(|_| counts.count_line(7)).count() as u64,
        MAX_LINES_PER_SECOND
    );
    assert!(counts.count_line(8), "each second has its own limit");
    assert_eq!(writer.limit_line(&[b'x'; 9000]).len(), MAX_LINE_BYTES);
    writer.json = true;
    let line: serde_json::Value =
        serde_json::from_slice(&writer.limit_line(&[b'x'; 9000])).unwrap();
    assert!(line["message"].as_str().unwrap().contains("9000"));
}

#[test]
fn the_environment_overrides_the_operators_file_and_targets_override_the_level() {
    let config = LogConfig {
        level: Some("warn".into()),
        targets: vec![("record".into(), "debug".into())],
        json: false,
    };
    let filter = level_filter(None, &config);
    assert!(
        filter.would_enable("record", &Level::DEBUG)
            && !filter.would_enable("gateway", &Level::INFO)
    );
    assert!(level_filter(Some("debug"), &config).would_enable("gateway", &Level::DEBUG));
    assert!(level_filter(Some("nonsense=="), &config).would_enable("gateway", &Level::WARN));
    assert!(!level_filter(None, &LogConfig::default()).would_enable("gateway", &Level::DEBUG));
}
