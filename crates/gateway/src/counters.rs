//! What came in, went out and was answered, by outcome; printed on SIGUSR1 and at the end.

use eideryard::interface::Outcome;
use std::fmt;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    pub connections: u64,
    pub bytes_in: u64,
    pub health_asked: u64,
    pub ended: Ended,
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
    /// Answers, of those above, that came after the client's time.
    pub late: u64,
    /// Attempts sent to engines; each ends with one outcome, or is out.
    pub sent: u64,
    pub attempts: Attempts,
    pub pages: u64,
    pub notes: u64,
    pub ranks: u64,
    pub probes: u64,
    pub dials: u64,
    pub dials_failed: u64,
    /// Dials that something was short for on this side.
    pub dials_short: u64,
    pub list_events: u64,
    pub list_connections: u64,
    pub reloads: u64,
    pub reloads_failed: u64,
}

/// Connections of clients that this side ended, by reason.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ended {
    /// What it held can't be read, or two open requests had one number.
    pub malformed: u64,
    /// No request, or only a part of one, for too long.
    pub silent: u64,
    /// Messages that aren't whole took more than its part of the memory for them.
    pub hoarding: u64,
    /// It didn't read its answers, which took more than its part of the memory for them.
    pub deaf: u64,
    /// It was idle when descriptors ran short.
    pub evicted: u64,
}

/// Attempts that are over, by outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempts {
    pub answered: u64,
    pub error: u64,
    pub full: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    pub broken: u64,
    pub cancelled: u64,
    pub unsent: u64,
}

impl Attempts {
    pub fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Answered => &mut self.answered,
            Outcome::Error => &mut self.error,
            Outcome::Full => &mut self.full,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::NoConnection => &mut self.no_connection,
            Outcome::Broken => &mut self.broken,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::Unsent => &mut self.unsent,
        } += 1;
    }
}

impl Counters {
    /// Requests taken that have no end yet.
    pub fn open(&self) -> u64 {
        let ended = self.served + self.refused + self.failed + self.invalid + self.forgotten + self.lost;
        self.taken - ended
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counters { taken, served, refused, failed, invalid, forgotten, lost, .. } = self;
        write!(
            f,
            "requests taken={taken} served={served} refused={refused} failed={failed} invalid={invalid}"
        )?;
        write!(f, " forgotten={forgotten} lost={lost} open={} late={}", self.open(), self.late)?;
        write!(f, " no_room={}", self.no_room)?;
        let a = &self.attempts;
        write!(f, "; attempts sent={} answered={} error={} full={}", self.sent, a.answered, a.error, a.full)?;
        write!(f, " timed_out={} no_connection={}", a.timed_out, a.no_connection)?;
        write!(f, " broken={} cancelled={} unsent={}", a.broken, a.cancelled, a.unsent)?;
        write!(f, "; pages={} notes={} ranks={} probes={}", self.pages, self.notes, self.ranks, self.probes)?;
        write!(f, " dials={} dials_failed={}", self.dials, self.dials_failed)?;
        write!(f, " dials_short={}", self.dials_short)?;
        write!(f, "; clients connections={} bytes_in={}", self.connections, self.bytes_in)?;
        write!(f, " health_asked={}", self.health_asked)?;
        let Ended { malformed, silent, hoarding, deaf, evicted } = self.ended;
        write!(f, "; ended malformed={malformed} silent={silent} hoarding={hoarding}")?;
        write!(f, " deaf={deaf} evicted={evicted}")?;
        write!(f, "; bulletin events={} connections={}", self.list_events, self.list_connections)?;
        write!(f, "; reloads={} reloads_failed={}", self.reloads, self.reloads_failed)
    }
}
