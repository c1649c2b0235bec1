//! Counters of the main loop, printed on SIGUSR1 and at the end. Their names in the log stand in
//! the table [`GROUPS`], independent of the names of the fields.

use eideryard::interface::Outcome;
use std::fmt;

/// Everything that is counted since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    pub connections: u64,
    pub bytes_in: u64,
    pub health_checks: u64,
    pub closed: ClosedConnections,
    /// Requests taken; each ends as one of the six that follow, or is open.
    pub received: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub invalid: u64,
    /// Of those refused, the ones whose statements found no room here.
    pub statement_memory_full: u64,
    pub abandoned: u64,
    pub undelivered: u64,
    /// Answers, of those above, that were sent after the request's deadline.
    pub answered_late: u64,
    /// Attempts sent to engines; each ends with one outcome, or is in flight.
    pub attempts_sent: u64,
    pub attempts: AttemptOutcomes,
    pub result_pages: u64,
    pub progress_reports: u64,
    pub rank_updates: u64,
    pub probes: u64,
    pub dials: u64,
    pub dials_failed: u64,
    /// Dials for which this side had too few descriptors or too little memory.
    pub dials_out_of_resources: u64,
    pub discovery_events: u64,
    pub discovery_connections: u64,
    pub reloads: u64,
    pub reloads_failed: u64,
}

/// Connections of clients that this side ended, by reason.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClosedConnections {
    /// It sent something that can't be decoded, or two open requests had one number.
    pub malformed: u64,
    /// No request, or only a part of one, for too long.
    pub idle_timeout: u64,
    /// Its incomplete messages took more than its share of the memory for them.
    pub too_much_unread: u64,
    /// It didn't read its answers, which took more than its share of the memory for them.
    pub not_reading: u64,
    /// It was idle when descriptors ran short.
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
    /// Counts the end of an attempt.
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
    /// Requests taken that have no end yet.
    pub fn open_requests(&self) -> u64 {
        let ended = self.served
            + self.refused
            + self.failed
            + self.invalid
            + self.abandoned
            + self.undelivered;
        self.received - ended
    }
}

/// A counter: its name in the log, and its value.
type Counter = (&'static str, fn(&Counters) -> u64);
/// A word that begins a group of counters in the log, and the counters.
type Group = (&'static str, &'static [Counter]);

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
    /// Every counter by its name.
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
