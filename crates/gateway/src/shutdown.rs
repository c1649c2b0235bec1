//! Graceful shutdown in phases. This state machine has no side effects: the gateway's main loop
//! gives it the time and what remains, and takes the steps that it returns.
//!
//! *Serving* until the signal; *draining*: requests and connections are still accepted, as clients
//! go on sending for a while; *closing*: no new connection, and each idle connection is half-closed
//! and read until its other end has closed; *ending*: open requests get their final answers;
//! *finished*: the process may end.

use eideryard::interface::Micros;

/// Clients connect for at most 0.4 s after the signal, and send requests on open connections for
/// 0.2 s more; after this time nothing new arrives.
const LAST_CLIENT_TIMEOUT: Micros = 700_000;
/// The process may be killed after [`LAST_CLIENT_TIMEOUT`] and the longest wait of a client, of
/// which at most so much counts.
const MAX_STOP_TIME: Micros = 3_000_000;
/// Open requests are answered so long before the kill; the process ends half as long before it,
/// since a client that has not received its answer by then doesn't read.
const STOP_MARGIN: Micros = 200_000;

/// A phase of the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// There was no signal yet.
    #[default]
    Serving,
    /// Everything that arrives is still served.
    Draining,
    /// No new connection; idle ones are closed.
    Closing,
    /// Open requests get their final answers.
    Ending,
    /// The process may end.
    Finished,
}

/// What is still open at the gateway.
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
    /// Accept the connections that wait, then no more; half-close idle connections, now and
    /// whenever one becomes idle.
    CloseIdleConnections,
    /// Answer all open requests.
    AnswerOpenRequests,
    /// End the process.
    Exit,
}

/// The state of the shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Phase,
    /// The latest times at which closing, ending and finished begin.
    phase_starts: [Micros; 3],
}

impl Shutdown {
    /// There was a signal. False: it is not the first, which changes nothing.
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

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When requests that are taken from now on must be answered at the latest.
    pub fn answer_deadline(&self) -> Option<Micros> {
        (self.phase != Phase::Serving).then_some(self.phase_starts[1])
    }

    /// When [`Shutdown::next_step`] is to be called though nothing else happens.
    pub fn phase_starts(&self) -> [Micros; 3] {
        self.phase_starts
    }

    /// The next step, if its time has come; the caller asks again until there is none.
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
