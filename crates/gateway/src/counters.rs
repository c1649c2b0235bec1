//! Counters of the main loop, printed on SIGUSR1 and at the end. Their names in the log stand in
//! the table [`GROUPS`], independent of the names of the fields.

use eideryard::interface::Outcome;
use std::fmt;

/// Everything that is counted since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    pub connections: u64,
    pub bytes_in: u64,
    pub health_asked: u64,
    pub ended: ClosedConnections,
    /// Requests taken; each ends as one of the six that follow, or is open.
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub invalid: u64,
    /// Of those refused, the ones whose statements found no room here.
    pub no_room: u64,
    pub forgotten: u64,
    pub lost: u64,
    /// Answers, of those above, that were sent after the request's deadline.
    pub late: u64,
    /// Attempts sent to engines; each ends with one outcome, or is in flight.
    pub sent: u64,
    pub attempts: AttemptOutcomes,
    pub pages: u64,
    pub notes: u64,
    pub ranks: u64,
    pub probes: u64,
    pub dials: u64,
    pub dials_failed: u64,
    /// Dials for which this side had too few descriptors or too little memory.
    pub dials_short: u64,
    pub list_events: u64,
    pub list_connections: u64,
    pub reloads: u64,
    pub reloads_failed: u64,
}

/// Connections of clients that this side ended, by reason.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClosedConnections {
    /// It sent something that can't be decoded, or two open requests had one number.
    pub malformed: u64,
    /// No request, or only a part of one, for too long.
    pub silent: u64,
    /// Its incomplete messages took more than its share of the memory for them.
    pub hoarding: u64,
    /// It didn't read its answers, which took more than its share of the memory for them.
    pub deaf: u64,
    /// It was idle when descriptors ran short.
    pub evicted: u64,
}

/// Attempts that have ended, by outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptOutcomes {
    pub answered: u64,
    pub error: u64,
    pub full: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    pub broken: u64,
    pub cancelled: u64,
    pub unsent: u64,
}

impl AttemptOutcomes {
    /// Counts the end of an attempt.
    pub fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Answered => &mut self.answered,
            Outcome::Error => &mut self.error,
            Outcome::AtCapacity => &mut self.full,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::NoConnection => &mut self.no_connection,
            Outcome::Broken => &mut self.broken,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.unsent,
        } += 1;
    }
}

impl Counters {
    /// Requests taken that have no end yet.
    pub fn open(&self) -> u64 {
        let ended =
            self.served + self.refused + self.failed + self.invalid + self.forgotten + self.lost;
        self.taken - ended
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
            ("taken", |c| c.taken),
            ("served", |c| c.served),
            ("refused", |c| c.refused),
            ("failed", |c| c.failed),
            ("invalid", |c| c.invalid),
            ("forgotten", |c| c.forgotten),
            ("lost", |c| c.lost),
            ("open", Counters::open),
            ("late", |c| c.late),
            ("no_room", |c| c.no_room),
        ],
    ),
    (
        "attempts ",
        &[
            ("sent", |c| c.sent),
            ("answered", |c| c.attempts.answered),
            ("error", |c| c.attempts.error),
            ("full", |c| c.attempts.full),
            ("timed_out", |c| c.attempts.timed_out),
            ("no_connection", |c| c.attempts.no_connection),
            ("broken", |c| c.attempts.broken),
            ("cancelled", |c| c.attempts.cancelled),
            ("unsent", |c| c.attempts.unsent),
        ],
    ),
    (
        "",
        &[
            ("pages", |c| c.pages),
            ("notes", |c| c.notes),
            ("ranks", |c| c.ranks),
            ("probes", |c| c.probes),
            ("dials", |c| c.dials),
            ("dials_failed", |c| c.dials_failed),
            ("dials_short", |c| c.dials_short),
        ],
    ),
    (
        "clients ",
        &[
            ("connections", |c| c.connections),
            ("bytes_in", |c| c.bytes_in),
            ("health_asked", |c| c.health_asked),
        ],
    ),
    (
        "ended ",
        &[
            ("malformed", |c| c.ended.malformed),
            ("silent", |c| c.ended.silent),
            ("hoarding", |c| c.ended.hoarding),
            ("deaf", |c| c.ended.deaf),
            ("evicted", |c| c.ended.evicted),
        ],
    ),
    (
        "bulletin ",
        &[
            ("list_events", |c| c.list_events),
            ("list_connections", |c| c.list_connections),
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
    pub fn pairs(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
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
