//! Graceful shutdown in stated phases; pure: times and what is left in, steps out.
//!
//! *Serving* until the signal; *draining*: all that comes is still taken and served, as clients go
//! on coming for a while; *closing*: no new connection, and each connection that rests is
//! half-closed and read on until its other end has closed; *ending*: what is still open gets its
//! final answer; *over*: the process may end.

use eideryard::interface::Micros;

/// New connections come for at most 0.4 s after the signal, and requests on open ones for 0.2 s
/// more; who closes later than this has waited for all.
const LAST_CLIENT_TIMEOUT: Micros = 700_000;
/// The process may be killed after the longest wait of a client, at most so long, and
/// `LAST_CLIENTS`.
const MAX_STOP_TIME: Micros = 3_000_000;
/// What is still open so long before that gets its answer then, and half as long before that all is
/// over: an answer that isn't out by then has a client that doesn't read.
const STOP_MARGIN: Micros = 200_000;

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No signal has come.
    #[default]
    Serving,
    /// All that comes is still served.
    Draining,
    /// No new connection; those that rest are closed.
    Closing,
    /// What is still open gets its final answer.
    Ending,
    /// The process may end.
    Finished,
}

/// What the gateway still has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Requests without a final answer.
    pub requests: usize,
    /// Connections of clients, also those that are half-closed.
    pub connections: usize,
}

/// What is to be done now, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Take in what waits to connect, then no more; half-close what rests, now and whenever one
    /// comes to rest.
    CloseIdle,
    /// Answer what is open.
    AnswerOpen,
    /// End the process.
    Exit,
}

/// The state of the shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Phase,
    /// When the phases that wait for nothing else begin: closing, ending, over.
    phase_starts: [Micros; 3],
}

impl Shutdown {
    /// The signal. False: it came before, which changes nothing.
    pub fn begin(&mut self, now: Micros, longest_wait: Micros) -> bool {
        if self.phase != Phase::Serving {
            return false;
        }
        let kill_deadline = now + LAST_CLIENT_TIMEOUT + longest_wait.min(MAX_STOP_TIME);
        let ending_at = kill_deadline - STOP_MARGIN;
        self.phase_starts = [
            ending_at.min(now + LAST_CLIENT_TIMEOUT),
            ending_at,
            kill_deadline - STOP_MARGIN / 2,
        ];
        self.phase = Phase::Draining;
        true
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When what is taken from now on must have its answer at the latest.
    pub fn last_answer(&self) -> Option<Micros> {
        (self.phase != Phase::Serving).then_some(self.phase_starts[1])
    }

    /// When a look is due though nothing else happens.
    pub fn phase_starts(&self) -> [Micros; 3] {
        self.phase_starts
    }

    /// The next step, if one is due by now; the host asks again until there is none.
    pub fn next_step(&mut self, now: Micros, remaining: Remaining) -> Option<ShutdownStep> {
        let [closing_at, ending_at, finished_at] = self.phase_starts;
        let done = remaining == Remaining::default();
        let (phase, step) = match self.phase {
            Phase::Draining if now >= closing_at => (Phase::Closing, ShutdownStep::CloseIdle),
            Phase::Closing if now >= ending_at => (Phase::Ending, ShutdownStep::AnswerOpen),
            Phase::Closing if done => (Phase::Finished, ShutdownStep::Exit),
            Phase::Ending if done || now >= finished_at => (Phase::Finished, ShutdownStep::Exit),
            _ => return None,
        };
        self.phase = phase;
        Some(step)
    }
}
