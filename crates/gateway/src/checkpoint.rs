//! Checkpoints of the balancer's learned estimates, and their encoding in the store. A checkpoint
//! contains the time at which it was saved and a fingerprint of the settings at that time. The
//! balancer decides how much weight restored estimates get.

use eideryard::interface::{ClassEstimates, EngineEstimates, LearnedState, Micros};
use serde::{Deserialize, Serialize};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Minimum interval between periodic checkpoints, in microseconds. The interval is checked only
/// when the main loop wakes, so an idle gateway writes no checkpoints.
pub const INTERVAL: Micros = 5_000_000;
/// The store's key under which the checkpoint is saved.
pub const STORE_KEY: &[u8] = b"l";

/// A checkpoint as it is stored. The order of the fields in this type and in the types below
/// defines the stored format (postcard).
#[derive(Serialize, Deserialize)]
struct Checkpoint {
    saved_at: Micros,
    settings_fingerprint: u64,
    classes: Vec<StoredClass>,
    engines: Vec<StoredEngine>,
    baseline_load: f64,
}

#[derive(Serialize, Deserialize)]
struct StoredClass {
    work_ratio: f64,
    memory_ratio: f64,
    work: f64,
    memory_mb: Option<f64>,
}

#[derive(Serialize, Deserialize)]
struct StoredEngine {
    engine: u32,
    booted_at: u64,
    slowdown: f64,
    best_slowdown: f64,
    bad: f64,
    foreign_load: f64,
}

impl From<&ClassEstimates> for StoredClass {
    fn from(class: &ClassEstimates) -> Self {
        StoredClass {
            work_ratio: class.work_ratio,
            memory_ratio: class.memory_ratio,
            work: class.work,
            memory_mb: class.memory_mb,
        }
    }
}

impl From<StoredClass> for ClassEstimates {
    fn from(class: StoredClass) -> Self {
        ClassEstimates {
            work_ratio: class.work_ratio,
            memory_ratio: class.memory_ratio,
            work: class.work,
            memory_mb: class.memory_mb,
        }
    }
}

impl StoredClass {
    fn is_finite(&self) -> bool {
        let memory_mb = self.memory_mb.unwrap_or(0.0);
        are_finite(&[self.work_ratio, self.memory_ratio, self.work, memory_mb])
    }
}

impl From<&EngineEstimates> for StoredEngine {
    fn from(engine: &EngineEstimates) -> Self {
        StoredEngine {
            engine: engine.engine,
            booted_at: engine.booted_at,
            slowdown: engine.slowdown,
            best_slowdown: engine.best_slowdown,
            bad: engine.bad_outcome_share,
            foreign_load: engine.foreign_load,
        }
    }
}

impl From<StoredEngine> for EngineEstimates {
    fn from(engine: StoredEngine) -> Self {
        EngineEstimates {
            engine: engine.engine,
            booted_at: engine.booted_at,
            slowdown: engine.slowdown,
            best_slowdown: engine.best_slowdown,
            bad_outcome_share: engine.bad,
            foreign_load: engine.foreign_load,
        }
    }
}

impl StoredEngine {
    fn is_finite(&self) -> bool {
        are_finite(&[
            self.slowdown,
            self.best_slowdown,
            self.bad,
            self.foreign_load,
        ])
    }
}

impl Checkpoint {
    fn is_finite(&self) -> bool {
        self.classes.iter().all(StoredClass::is_finite)
            && self.engines.iter().all(StoredEngine::is_finite)
            && self.baseline_load.is_finite()
    }
}

fn are_finite(values: &[f64]) -> bool {
    values.iter().all(|value| value.is_finite())
}

/// Why a checkpoint is not restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CheckpointError {
    /// The bytes can't be decoded, or contain numbers that are not finite.
    #[error("it can't be decoded")]
    Unreadable,
    /// The checkpoint was saved under other settings.
    #[error("the settings differ from those under which it was saved")]
    DifferentSettings,
    /// The checkpoint was saved at a time later than now, because the clock stepped back.
    #[error("it was saved at a time later than now: the clock stepped back")]
    SavedInFuture,
}

/// Encodes a checkpoint. `saved_at` is the time from which [`from_bytes`] computes the checkpoint's
/// age.
pub fn to_bytes(learned: &LearnedState, saved_at: Micros, settings_fingerprint: u64) -> Vec<u8> {
    let checkpoint = Checkpoint {
        saved_at,
        settings_fingerprint,
        classes: learned.classes.iter().map(StoredClass::from).collect(),
        engines: learned.engines.iter().map(StoredEngine::from).collect(),
        baseline_load: learned.baseline_load,
    };
    // Encoding can't fail, since the types consist of plain numbers only.
    postcard::to_stdvec(&checkpoint).unwrap_or_default()
}

/// Decodes a checkpoint. Returns the learned estimates and their age in microseconds.
///
/// # Errors
///
/// Returns why the checkpoint can't be restored.
pub fn from_bytes(
    bytes: &[u8],
    now: Micros,
    settings_fingerprint: u64,
) -> Result<(LearnedState, Micros), CheckpointError> {
    let (checkpoint, rest): (Checkpoint, _) =
        postcard::take_from_bytes(bytes).map_err(|_| CheckpointError::Unreadable)?;
    if !rest.is_empty() || !checkpoint.is_finite() {
        return Err(CheckpointError::Unreadable);
    }
    if checkpoint.settings_fingerprint != settings_fingerprint {
        return Err(CheckpointError::DifferentSettings);
    }
    let age = now
        .checked_sub(checkpoint.saved_at)
        .ok_or(CheckpointError::SavedInFuture)?;
    let learned = LearnedState {
        classes: checkpoint.classes.into_iter().map(Into::into).collect(),
        engines: checkpoint.engines.into_iter().map(Into::into).collect(),
        baseline_load: checkpoint.baseline_load,
    };
    Ok((learned, age))
}
