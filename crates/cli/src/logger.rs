//! The structured log, on standard error: lines of text or JSON, levels by target. A line that
//! can't be written at once, or is one too many in its second, is dropped and counted, so that the
//! log never holds the program up.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use eideryard_operator_config::LogConfig;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

#[cfg(test)]
mod tests;

/// A pipe that is ready takes a write of this length whole.
const MAX_LINE: usize = 4096;
/// Lines in one second, so that a fault that repeats doesn't fill the disk behind the pipe.
const MAX_LINES: u64 = 200;

/// Starts to log. `EIDERYARD_LOG` (a level, or levels by target as in
/// `info,eideryard_gateway=debug`) goes before the operator's file; what neither names is logged
/// from info on.
pub fn start(named: Option<&str>, log: &LogConfig) {
    let json = log.json;
    let guard = move || Guard {
        sink: Stderr,
        lines: &LINES,
        json,
    };
    let levels = levels(named, log);
    let layer = tracing_subscriber::fmt::layer();
    // It fails only where a logger is set already, which then stays.
    let _ = if json {
        let layer = layer
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(true);
        tracing_subscriber::registry()
            .with(layer.with_writer(guard))
            .with(levels)
            .try_init()
    } else {
        let layer = layer.with_ansi(false).event_format(Text).with_writer(guard);
        tracing_subscriber::registry()
            .with(layer)
            .with(levels)
            .try_init()
    };
}

fn levels(named: Option<&str>, log: &LogConfig) -> Targets {
    let level = |text: &str| text.parse::<LevelFilter>().ok();
    let usual = log
        .level
        .as_deref()
        .and_then(level)
        .unwrap_or(LevelFilter::INFO);
    let targets = log
        .targets
        .iter()
        .filter_map(|(target, text)| Some((target.clone(), level(text)?)));
    let own = Targets::new().with_default(usual).with_targets(targets);
    named.and_then(|named| named.parse().ok()).unwrap_or(own)
}

/// One line a record: seconds, level, the spans' fields, the message.
struct Text;

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = match *event.metadata().level() {
            Level::ERROR => "error",
            Level::WARN => "warn",
            Level::INFO => "info",
            Level::DEBUG => "debug",
            Level::TRACE => "trace",
        };
        write!(out, "{}.{:03} {level} ", at.as_secs(), at.subsec_millis())?;
        for span in context
            .event_scope()
            .into_iter()
            .flat_map(|scope| scope.from_root())
        {
            let extensions = span.extensions();
            let fields = extensions.get::<tracing_subscriber::fmt::FormattedFields<N>>();
            write!(
                out,
                "{}{{{}}} ",
                span.name(),
                fields.map_or("", |fields| fields.fields.as_str())
            )?;
        }
        context.format_fields(out.by_ref(), event)?;
        writeln!(out)
    }
}

/// Where lines go, and whether it takes one now.
trait Sink {
    fn is_ready(&self) -> bool;
    fn write(&mut self, line: &[u8]) -> io::Result<()>;
}

struct Stderr;

impl Sink for Stderr {
    fn is_ready(&self) -> bool {
        let stderr = rustix::stdio::stderr();
        let mut wanted = [PollFd::new(&stderr, PollFlags::OUT)];
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        poll(&mut wanted, Some(&at_once)).is_ok() && wanted[0].revents().contains(PollFlags::OUT)
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        io::stderr().write_all(line)
    }
}

struct Lines {
    dropped: AtomicU64,
    /// The second that is counted, and the lines in it.
    second: AtomicU64,
    lines: AtomicU64,
}

impl Lines {
    const fn new() -> Self {
        Lines {
            dropped: AtomicU64::new(0),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Whether one more may be written in this second.
    fn take(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES
    }
}

static LINES: Lines = Lines::new();

/// The layer between the formats and standard error.
struct Guard<S> {
    sink: S,
    lines: &'static Lines,
    json: bool,
}

impl<S: Sink> Guard<S> {
    /// A line as it may go out: one line, whole in one write.
    fn fit(&self, line: &[u8]) -> Vec<u8> {
        if self.json {
            let short = line.len() <= MAX_LINE;
            let instead = || {
                format!(
                    "{{\"level\":\"WARN\",\"message\":\"a line of {} bytes was left out\"}}\n",
                    line.len()
                )
            };
            return if short {
                line.to_vec()
            } else {
                instead().into_bytes()
            };
        }
        let text = String::from_utf8_lossy(line);
        let mut text = text.trim_end_matches('\n').replace(['\n', '\r'], " ");
        let mut cut = text.len().min(MAX_LINE - 1);
        while !text.is_char_boundary(cut) {
            cut -= 1;
        }
        text.truncate(cut);
        text.push('\n');
        text.into_bytes()
    }

    fn dropped(&self, count: u64, second: u64) -> String {
        if self.json {
            format!(
            "{{\"level\":\"WARN\",\"message\":\"lines before this were dropped\",\"dropped\":{count}}}\n"
        )
        } else {
            format!("{second}.000 warn {count} lines before this were dropped\n")
        }
    }
}

impl<S: Sink> Write for Guard<S> {
    /// Called once for each line, with all of it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let second = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        if !self.lines.take(second) || !self.sink.is_ready() {
            self.lines.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let mut out = Vec::new();
        if let count @ 1.. = self.lines.dropped.swap(0, Ordering::Relaxed) {
            out.extend(self.dropped(count, second).bytes());
        }
        out.extend(self.fit(line));
        // There is nowhere to tell of a log that can't be written.
        let _ = self.sink.write(&out);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
