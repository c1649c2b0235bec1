//! Input and output types of the balancer: settings, events and actions.
//!
//! These types contain no policy and are independent of any wire protocol. A host is the process
//! around a balancer: it translates its own messages into [`Event`]s and carries out the returned
//! [`Action`]s in order. One host may run several gateways, each with a balancer. Times are
//! microseconds on one monotonic clock with an arbitrary start.

mod actions;
mod endpoints;
mod events;
mod learned_state;
mod outcomes;
mod requests;
mod settings;

pub use actions::Action;
pub use endpoints::{Endpoint, Phase};
pub use events::Event;
pub use learned_state::{ClassEstimates, EngineEstimates, LearnedState};
pub use outcomes::{AttemptEnded, LoadReport, Outcome, ProbeEnded, Progress, ResourceUsage};
pub use requests::{request_timer_tag, PriorAttempt, Request, RequestId};
pub use settings::{
    Class, Discovery, Effect, MachineKind, RetryBudgetSettings, Scope, Settings, Tenant,
};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// ID of an engine; all gateways use the same ID for the same engine.
pub type EngineId = u32;
