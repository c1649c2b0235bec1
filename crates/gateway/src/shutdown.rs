//! Graceful shutdown in phases. This state machine has no side effects: the main loop passes in the
//! time and the number of open requests and connections, and takes the steps that it returns.
//!
//! - *serving*: until the signal;
//! - *draining*: requests and connections are still accepted, because clients continue to send for
//!   a while;
//! - *closing*: no new connections are accepted, and each idle connection is half-closed and read
//!   until the client has closed it;
//! - *ending*: open requests get their final answers;
//! - *finished*: the process may exit.

use eideryard::interface::Micros;

/// The duration of draining. Clients open connections for at most 0.4 s after the signal and send
/// requests on open connections for another 0.2 s, so no request arrives after this time.
const LAST_CLIENT_TIMEOUT: Micros = 700_000;
/// Upper limit on the longest wait of a client in the computation of the kill time: the process may
/// be killed after [`LAST_CLIENT_TIMEOUT`] plus that wait.
const MAX_STOP_TIME: Micros = 3_000_000;
/// How long before the kill open requests get their final answers. The process exits half this time
/// before the kill, since a client that has not received its answer by then isn't reading.
const STOP_MARGIN: Micros = 200_000;

/// A phase of the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No signal has been received.
    #[default]
    Serving,
    /// New connections and requests are still accepted.
    Draining,
    /// No new connections are accepted, and idle ones are closed.
    Closing,
    /// Open requests get their final answers.
    Ending,
    /// The process may exit.
    Finished,
}

/// The open requests and connections of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Requests without a final answer.
    pub requests: usize,
    /// Client connections, including half-closed ones.
    pub connections: usize,
}

/// An action that the main loop must take once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Accept the pending connections, then stop accepting; half-close connections that are idle or
    /// become idle later.
    CloseIdleConnections,
    /// Give all open requests their final answers.
    AnswerOpenRequests,
    /// Exit the process.
    Exit,
}

/// The state of the shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Phase,
    /// The latest times at which the phases closing, ending and finished start; zeros before the
    /// signal.
    phase_starts: [Micros; 3],
}

impl Shutdown {
    /// Starts the shutdown after a signal. `longest_wait` is the longest time that any client waits
    /// for an answer. Returns false and changes nothing if the shutdown has already started.
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

    /// Returns the current phase; it changes in [`Shutdown::begin`] and [`Shutdown::next_step`]
    /// only.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the latest time at which requests must be answered; `None` before the signal, when
    /// only the requests' own deadlines apply.
    pub fn answer_deadline(&self) -> Option<Micros> {
        (self.phase != Phase::Serving).then_some(self.phase_starts[1])
    }

    /// Returns the times at which [`Shutdown::next_step`] must be called even if nothing else
    /// happens.
    pub fn phase_starts(&self) -> [Micros; 3] {
        self.phase_starts
    }

    /// Returns the next step if its time has come. The caller repeats the call until it returns
    /// `None`.
    pub fn next_step(&mut self, now: Micros, remaining: Remaining) -> Option<ShutdownStep> {
        let [closing_at, ending_at, finished_at] = self.phase_starts;
        let is_drained = remaining == Remaining::default();
        let (phase, step) = match self.phase {
            Phase::Draining if now >= closing_at => {
                (Phase::Closing, ShutdownStep::CloseIdleConnections)
            }
            Phase::Closing if now >= ending_at => (Phase::Ending, ShutdownStep::AnswerOpenRequests),
            Phase::Closing if is_drained => (Phase::Finished, ShutdownStep::Exit),
            Phase::Ending if is_drained || now >= finished_at => {
                (Phase::Finished, ShutdownStep::Exit)
            }
            _ => return None,
        };
        self.phase = phase;
        Some(step)
    }
}
