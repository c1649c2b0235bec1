//! Engines as service discovery reports them.

use super::{EngineId, Micros};

/// Lifecycle phase of an engine, which decides whether it may be sent work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The engine accepts new work.
    #[default]
    Ready,
    /// The engine finishes the work in flight and is sent no new work.
    Draining,
    /// The engine no longer exists.
    Removed,
}

/// An engine as service discovery reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// ID of the engine, which all gateways share.
    pub engine: EngineId,
    /// Availability zone that the engine runs in.
    pub zone: u32,
    /// Index of the engine's machine kind in [`Settings::kinds`](super::Settings::kinds); an index
    /// past the end counts as the last kind.
    pub kind: u32,
    /// Group of engines that may share idempotency keys; see [`Scope::Cell`](super::Scope::Cell).
    pub cell: u32,
    /// Lifecycle phase that service discovery last reported.
    pub phase: Phase,
    /// Start time of the engine's process; 0: it started long ago, so the engine is warm.
    pub booted_at: Micros,
}
