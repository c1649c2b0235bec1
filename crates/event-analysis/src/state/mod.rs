//! The state of gateways at an instant, and the facts that their entries state.
//!
//! [`Fleet`] owns a [`GatewayRun`] for each start of each gateway. Entries change the run and
//! become [`Fact`]s, which the other parts of the analysis fold without knowing the state.

mod decision_entries;
mod engine;
mod fact;
mod fleet;
mod host_entries;
mod request;
mod run;

pub use engine::{Engine, MAX_RECENT_OUTCOMES};
pub use fact::{Attempt, Fact, TimedFact, MAX_SHOWN_ATTEMPTS};
pub use fleet::Fleet;
pub use request::Request;
pub use run::GatewayRun;

use eideryard::interface::Micros;

/// Passes the facts of one entry on, with the entry's source and time.
struct FactSink<'a> {
    source: usize,
    at: Micros,
    receiver: &'a mut dyn FnMut(TimedFact),
}

impl FactSink<'_> {
    fn emit(&mut self, fact: Fact) {
        (self.receiver)(TimedFact {
            source: self.source,
            at: self.at,
            fact,
        });
    }
}
