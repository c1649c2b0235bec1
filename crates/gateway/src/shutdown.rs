//! Graceful shutdown in stated phases; pure: times and what is left in, steps out.
//!
//! *Serving* until the signal; *draining*: all that comes is still taken and served, as clients go
//! on coming for a while; *closing*: no new connection, and each connection that rests is
//! half-closed and read on until its other end has closed; *ending*: what is still open gets its
//! final answer; *over*: the process may end.

use eideryard::interface::Micros;

/// New connections come for at most 0.4 s after the signal, and requests on open ones for 0.2 s
/// more; who closes later than this has waited for all.
const LAST_CLIENTS: Micros = 700_000;
/// The process may be killed after the longest wait of a client, at most so long, and
/// `LAST_CLIENTS`.
const LONGEST_STOP: Micros = 3_000_000;
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
    Over,
}

/// What the gateway still has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Left {
    /// Requests without a final answer.
    pub requests: usize,
    /// Connections of clients, also those that are half-closed.
    pub connections: usize,
}

/// What is to be done now, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Take in what waits to connect, then no more; half-close what rests, now and whenever one
    /// comes to rest.
    Close,
    /// Answer what is open.
    End,
    /// End the process.
    Leave,
}

/// The state of the shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Phase,
    /// When the phases that wait for nothing else begin: closing, ending, over.
    bounds: [Micros; 3],
}

impl Shutdown {
    /// The signal. False: it came before, which changes nothing.
    pub fn begin(&mut self, now: Micros, longest_wait: Micros) -> bool {
        if self.phase != Phase::Serving {
            return false;
        }
        let killed_at = now + LAST_CLIENTS + longest_wait.min(LONGEST_STOP);
        let ends_at = killed_at - STOP_MARGIN;
        self.bounds = [
            ends_at.min(now + LAST_CLIENTS),
            ends_at,
            killed_at - STOP_MARGIN / 2,
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
        (self.phase != Phase::Serving).then_some(self.bounds[1])
    }

    /// When a look is due though nothing else happens.
    pub fn due(&self) -> [Micros; 3] {
        self.bounds
    }

    /// The next step, if one is due by now; the host asks again until there is none.
    pub fn next(&mut self, now: Micros, left: Left) -> Option<Step> {
        let [closes_at, ends_at, leaves_at] = self.bounds;
        let done = left == Left::default();
        let (phase, step) = match self.phase {
            Phase::Draining if now >= closes_at => (Phase::Closing, Step::Close),
            Phase::Closing if now >= ends_at => (Phase::Ending, Step::End),
            Phase::Closing if done => (Phase::Over, Step::Leave),
            Phase::Ending if done || now >= leaves_at => (Phase::Over, Step::Leave),
            _ => return None,
        };
        self.phase = phase;
        Some(step)
    }
}
