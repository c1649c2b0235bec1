//! Types that go into the balancer and come out of it: settings, events, actions.
//!
//! Nothing here decides anything and nothing here knows a protocol. A host translates its own
//! messages into [`Event`]s, carries out the [`Action`]s in the order given, and may host many
//! gateways side by side. Times are microseconds on one monotonic clock with an arbitrary start.

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
pub use outcomes::{AttemptEnded, LoadReport, Outcome, Probed, Progress, ResourceUsage};
pub use requests::{request_timer_tag, PriorAttempt, Request, RequestId};
pub use settings::{
    Class, Discovery, Effect, MachineKind, RetryBudgetSettings, Scope, Settings, Tenant,
};

/// A time or a duration in microseconds.
pub type Micros = u64;

/// The number of an engine, the same at every gateway.
pub type EngineId = u32;
