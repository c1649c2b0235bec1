//! The project's logger: one line a record on standard error. A line that can't be written at once, or is one
//! too many in its second, is dropped and counted, so that the log never holds the program up.

use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// A pipe that is ready takes a write of this length whole.
const MOST_LINE: usize = 4096;
/// Lines in one second, so that a fault that repeats doesn't fill the disk behind the pipe.
const MOST_LINES: u64 = 200;

struct Logger {
    dropped: AtomicU64,
    /// The second that is counted, and the lines in it.
    second: AtomicU64,
    lines: AtomicU64,
}

static LOGGER: Logger =
    Logger { dropped: AtomicU64::new(0), second: AtomicU64::new(0), lines: AtomicU64::new(0) };

/// Starts to log from a level on, named as by `EIDERYARD_LOG`: error, warn, info (without a name), debug,
/// trace.
pub fn start(level: Option<&str>) {
    let level = level.and_then(|level| level.parse().ok()).unwrap_or(LevelFilter::Info);
    // It fails only where a logger is set already, which then stays.
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(level);
    }
}

fn ready() -> bool {
    let stderr = rustix::stdio::stderr();
    let mut wanted = [PollFd::new(&stderr, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut wanted, Some(&at_once)).is_ok() && wanted[0].revents().contains(PollFlags::OUT)
}

fn name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (seconds, millis) = (at.as_secs(), at.subsec_millis());
        if self.second.swap(seconds, Ordering::Relaxed) != seconds {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= MOST_LINES || !ready() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut line = format!("{seconds}.{millis:03} {} {}", name(record.level()), record.args());
        if let dropped @ 1.. = self.dropped.swap(0, Ordering::Relaxed) {
            line.push_str(&format!(" ({dropped} lines before this were dropped)"));
        }
        line = line.replace(['\n', '\r'], " ");
        let mut cut = line.len().min(MOST_LINE - 1);
        while !line.is_char_boundary(cut) {
            cut -= 1;
        }
        line.truncate(cut);
        line.push('\n');
        // There is nowhere to tell of a log that can't be written.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}
