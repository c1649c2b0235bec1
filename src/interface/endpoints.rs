//! Engines as service discovery reports them.

use super::{EngineId, Micros};

/// Whether an engine may be sent work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It may be sent work.
    #[default]
    Ready,
    /// It finishes its work and gets no more.
    Draining,
    /// It no longer exists.
    Removed,
}

/// An engine as service discovery reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The engine's number.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u32,
    /// Number of its machine kind in the settings.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it may be sent work.
    pub phase: Phase,
    /// When its process started; 0: long ago.
    pub booted_at: Micros,
}
