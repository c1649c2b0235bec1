//! The state of gateways, and the facts that their entries state.
//!
//! [`Fleet`] owns a [`GatewayRun`] for each time that a gateway was started. Each entry updates the
//! run and is turned into [`Fact`]s, which the other parts of the analysis process without access
//! to the state.

mod balancer_entries;
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

/// Adds the source and time of an entry to its facts and passes them on.
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
