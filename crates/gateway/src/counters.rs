//! Counters of the main loop, logged on SIGUSR1 and at the end of the process. Their names in the
//! log are an interface for scripts and are fixed in the table [`GROUPS`], independently of the
//! names of the fields.

use eideryard::interface::Outcome;
use std::fmt;

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Client connections that were accepted.
    pub connections: u64,
    /// Bytes that were received from clients.
    pub bytes_in: u64,
    /// Health checks by clients that were answered.
    pub health_checks: u64,
    pub closed: ClosedConnections,
    /// Requests that were received. Each of them is open or has ended as `served`, `refused`,
    /// `failed`, `invalid`, `abandoned` or `undelivered`.
    pub received: u64,
    /// Requests that were answered with a result.
    pub served: u64,
    /// Requests that were rejected without being run; the client may retry.
    pub refused: u64,
    /// Requests that were answered with an error because they failed.
    pub failed: u64,
    /// Requests with an invalid field, or on a connection that no longer accepts requests.
    pub invalid: u64,
    /// The part of `refused` for which there was no memory for the statement.
    pub statement_memory_full: u64,
    /// Requests that the client has cancelled.
    pub abandoned: u64,
    /// Requests whose connection ended before the answer could be sent.
    pub undelivered: u64,
    /// Answers that were sent after the request's deadline. They are also counted by one of the
    /// counters above.
    pub answered_late: u64,
    /// Attempts that were sent to engines. Each of them is in flight or has ended with an outcome.
    pub attempts_sent: u64,
    pub attempts: AttemptOutcomes,
    /// Result pages that engines sent, not counting the first page of each result.
    pub result_pages: u64,
    /// Progress reports that engines sent.
    pub progress_reports: u64,
    /// New ranks that were sent for running attempts.
    pub rank_updates: u64,
    /// Probes that were sent to engines.
    pub probes: u64,
    /// Attempts to open a connection to an engine.
    pub dials: u64,
    /// The part of `dials` that failed for a reason other than a lack of resources on this host.
    pub dials_failed: u64,
    /// The part of `dials` for which the gateway lacked descriptors or memory.
    pub dials_out_of_resources: u64,
    /// New events that service discovery sent.
    pub discovery_events: u64,
    /// Attempts to open a connection to service discovery.
    pub discovery_connections: u64,
    /// Reloads of the configuration that succeeded.
    pub reloads: u64,
    /// Reloads of the configuration that failed.
    pub reloads_failed: u64,
}

/// Client connections that the gateway closed, by reason.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClosedConnections {
    /// The client sent a message that can't be decoded, or two open requests with the same message
    /// ID.
    pub malformed: u64,
    /// The client sent no request, or only part of a message, within the time limit.
    pub idle_timeout: u64,
    /// The client's incomplete message took more than its share of the memory for unread bytes.
    pub too_much_unread: u64,
    /// The client didn't read its answers, which took more than its share of the memory for unsent
    /// bytes.
    pub not_reading: u64,
    /// The connection was idle when descriptors ran out.
    pub evicted: u64,
}

/// Attempts that have ended, by outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptOutcomes {
    pub answered: u64,
    pub error: u64,
    pub at_capacity: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    pub broken: u64,
    pub cancelled: u64,
    pub not_sent: u64,
}

impl AttemptOutcomes {
    /// Counts an attempt that ended with this outcome.
    pub fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Answered => &mut self.answered,
            Outcome::Error => &mut self.error,
            Outcome::AtCapacity => &mut self.at_capacity,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::NoConnection => &mut self.no_connection,
            Outcome::Broken => &mut self.broken,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        } += 1;
    }
}

impl Counters {
    /// Returns the number of received requests that have not ended.
    pub fn open_requests(&self) -> u64 {
        let ended_requests = self.served
            + self.refused
            + self.failed
            + self.invalid
            + self.abandoned
            + self.undelivered;
        self.received - ended_requests
    }
}

/// The name of a counter in the log and a function that reads its value.
type Counter = (&'static str, fn(&Counters) -> u64);
/// The prefix of a group of counters in the log, and the counters in the group.
type Group = (&'static str, &'static [Counter]);

/// All counters in the order of the log line. Scripts match the names, so a name in the log must
/// not change even if a field is renamed.
const GROUPS: &[Group] = &[
    (
        "requests ",
        &[
            ("taken", |c| c.received),
            ("served", |c| c.served),
            ("refused", |c| c.refused),
            ("failed", |c| c.failed),
            ("invalid", |c| c.invalid),
            ("forgotten", |c| c.abandoned),
            ("lost", |c| c.undelivered),
            ("open", Counters::open_requests),
            ("late", |c| c.answered_late),
            ("no_room", |c| c.statement_memory_full),
        ],
    ),
    (
        "attempts ",
        &[
            ("sent", |c| c.attempts_sent),
            ("answered", |c| c.attempts.answered),
            ("error", |c| c.attempts.error),
            ("full", |c| c.attempts.at_capacity),
            ("timed_out", |c| c.attempts.timed_out),
            ("no_connection", |c| c.attempts.no_connection),
            ("broken", |c| c.attempts.broken),
            ("cancelled", |c| c.attempts.cancelled),
            ("unsent", |c| c.attempts.not_sent),
        ],
    ),
    (
        "",
        &[
            ("pages", |c| c.result_pages),
            ("notes", |c| c.progress_reports),
            ("ranks", |c| c.rank_updates),
            ("probes", |c| c.probes),
            ("dials", |c| c.dials),
            ("dials_failed", |c| c.dials_failed),
            ("dials_short", |c| c.dials_out_of_resources),
        ],
    ),
    (
        "clients ",
        &[
            ("connections", |c| c.connections),
            ("bytes_in", |c| c.bytes_in),
            ("health_asked", |c| c.health_checks),
        ],
    ),
    (
        "ended ",
        &[
            ("malformed", |c| c.closed.malformed),
            ("silent", |c| c.closed.idle_timeout),
            ("hoarding", |c| c.closed.too_much_unread),
            ("deaf", |c| c.closed.not_reading),
            ("evicted", |c| c.closed.evicted),
        ],
    ),
    (
        "bulletin ",
        &[
            ("list_events", |c| c.discovery_events),
            ("list_connections", |c| c.discovery_connections),
        ],
    ),
    (
        "",
        &[
            ("reloads", |c| c.reloads),
            ("reloads_failed", |c| c.reloads_failed),
        ],
    ),
];

impl Counters {
    /// Iterates over all counters, as the name in the log and the value.
    pub fn named_values(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        GROUPS
            .iter()
            .flat_map(|(_, counters)| counters.iter())
            .map(|(name, value)| (*name, value(self)))
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (word, counters)) in GROUPS.iter().enumerate() {
            let separator = if index > 0 { "; " } else { "" };
            let pairs: Vec<String> = counters
                .iter()
                .map(|(name, value)| format!("{name}={}", value(self)))
                .collect();
            write!(f, "{separator}{word}{}", pairs.join(" "))?;
        }
        Ok(())
    }
}
