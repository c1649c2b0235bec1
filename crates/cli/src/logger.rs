//! The structured log on standard error: lines of text or JSON, with levels by target. A line that
//! would block, or that exceeds the limit of lines per second, is dropped and counted, so that
//! logging never blocks the program.

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

/// Maximum length of a line, in bytes. A pipe that polls as writable accepts a whole write of this
/// length.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum number of lines per second, so that a repeating fault doesn't fill the disk that the log
/// is stored on.
const MAX_LINES_PER_SECOND: u64 = 200;

/// Installs the logger. `environment` is the value of `EIDERYARD_LOG`: a level, or levels by target
/// as in `info,eideryard_gateway=debug`. It takes precedence over the operator's file. Without
/// either, the level is info.
pub fn start(environment: Option<&str>, log: &LogConfig) {
    let json = log.json;
    let writer = move || LimitedWriter {
        sink: Stderr,
        lines: &LINE_COUNTS,
        json,
    };
    let level_filter = level_filter(environment, log);
    let layer = tracing_subscriber::fmt::layer();
    // This fails only if a logger is already installed, which then stays in use.
    let _ = if json {
        let layer = layer
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(true);
        tracing_subscriber::registry()
            .with(layer.with_writer(writer))
            .with(level_filter)
            .try_init()
    } else {
        let layer = layer
            .with_ansi(false)
            .event_format(TextFormat)
            .with_writer(writer);
        tracing_subscriber::registry()
            .with(layer)
            .with(level_filter)
            .try_init()
    };
}

fn level_filter(environment: Option<&str>, log: &LogConfig) -> Targets {
    let level = |text: &str| text.parse::<LevelFilter>().ok();
    let default_level = log
        .level
        .as_deref()
        .and_then(level)
        .unwrap_or(LevelFilter::INFO);
    let targets = log
        .targets
        .iter()
        .filter_map(|(target, text)| Some((target.clone(), level(text)?)));
    let configured = Targets::new()
        .with_default(default_level)
        .with_targets(targets);
    environment
        .and_then(|environment| environment.parse().ok())
        .unwrap_or(configured)
}

/// Formats an event as one line: Unix seconds, level, the fields of its spans, the message.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
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
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = match *event.metadata().level() {
            Level::ERROR => "error",
            Level::WARN => "warn",
            Level::INFO => "info",
            Level::DEBUG => "debug",
            Level::TRACE => "trace",
        };
        write!(
            out,
            "{}.{:03} {level} ",
            since_epoch.as_secs(),
            since_epoch.subsec_millis()
        )?;
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

/// Where log lines are written to: standard error, or a substitute in tests.
trait Sink {
    /// Returns whether a line can be written without blocking.
    fn is_ready(&self) -> bool;
    fn write(&mut self, line: &[u8]) -> io::Result<()>;
}

struct Stderr;

impl Sink for Stderr {
    fn is_ready(&self) -> bool {
        let stderr = rustix::stdio::stderr();
        let mut poll_fds = [PollFd::new(&stderr, PollFlags::OUT)];
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        poll(&mut poll_fds, Some(&no_wait)).is_ok()
            && poll_fds[0].revents().contains(PollFlags::OUT)
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        io::stderr().write_all(line)
    }
}

/// Counts written and dropped lines, for all threads.
struct LineCounts {
    /// Number of lines dropped since the last notice about dropped lines.
    dropped: AtomicU64,
    /// The Unix second in which the lines counted by `lines` were written.
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineCounts {
    const fn new() -> Self {
        LineCounts {
            dropped: AtomicU64::new(0),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Counts a line that is written in the Unix second `second`. Returns whether the line is
    /// within the limit.
    fn count_line(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

static LINE_COUNTS: LineCounts = LineCounts::new();

/// Writer between the formatter and standard error that limits the rate and length of lines.
struct LimitedWriter<S> {
    sink: S,
    lines: &'static LineCounts,
    json: bool,
}

impl<S: Sink> LimitedWriter<S> {
    /// Limits a formatted event to one line that fits into one write.
    fn limit_line(&self, line: &[u8]) -> Vec<u8> {
        if self.json {
            let is_short = line.len() <= MAX_LINE_BYTES;
            let notice = || {
                format!(
                    "{{\"level\":\"WARN\",\"message\":\"a log line of {} bytes was dropped: it is too long\"}}\n",
                    line.len()
                )
            };
            return if is_short {
                line.to_vec()
            } else {
                notice().into_bytes()
            };
        }
        let text = String::from_utf8_lossy(line);
        let mut text = text.trim_end_matches('\n').replace(['\n', '\r'], " ");
        let mut cut = text.len().min(MAX_LINE_BYTES - 1);
        while !text.is_char_boundary(cut) {
            cut -= 1;
        }
        text.truncate(cut);
        text.push('\n');
        text.into_bytes()
    }

    /// Returns the log line that reports how many lines were dropped.
    fn dropped_notice(&self, count: u64, second: u64) -> String {
        if self.json {
            format!(
            "{{\"level\":\"WARN\",\"message\":\"log lines before this one were dropped\",\"dropped\":{count}}}\n"
        )
        } else {
            format!("{second}.000 warn {count} log lines before this one were dropped\n")
        }
    }
}

impl<S: Sink> Write for LimitedWriter<S> {
    /// Writes one event: the formatter calls this once for each event, with the whole line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let second = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        if !self.lines.count_line(second) || !self.sink.is_ready() {
            self.lines.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let mut out = Vec::new();
        if let count @ 1.. = self.lines.dropped.swap(0, Ordering::Relaxed) {
            out.extend(self.dropped_notice(count, second).bytes());
        }
        out.extend(self.limit_line(line));
        // An error in writing the log can't be reported anywhere.
        let _ = self.sink.write(&out);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
