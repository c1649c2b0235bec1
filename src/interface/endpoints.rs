//! Engines as service discovery reports them.

use super::{EngineId, Micros};

/// Whether an engine may be sent work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It may.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Removed,
}

/// An engine as the list tells of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Its number.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it may be sent work.
    pub phase: Phase,
    /// When the engine last started; 0: long ago.
    pub booted_at: Micros,
}
