//! Checkpoints: what the balancer has learned, as bytes in the store, with the time and the
//! settings under which it was learned. How much of it still counts after a restart the balancer
//! decides.

use eideryard::interface::{ClassEstimates, EngineEstimates, LearnedState, Micros};
use serde::{Deserialize, Serialize};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Interval at which checkpoints are written, while anything happens.
pub const INTERVAL: Micros = 5_000_000;
/// Key of the checkpoint in the store.
pub const STORE_KEY: &[u8] = b"l";

/// The order of fields of this and the following types is the format in the store.
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
    /// It can't be decoded, or holds numbers that are not finite.
    #[error("they can't be read")]
    Unreadable,
    /// It was written under other settings.
    #[error("the settings differ from those they were learned under")]
    OtherSettings,
    /// It was written in the future: the clock stepped back.
    #[error("they are of a time that has not come: the clock stepped back")]
    Future,
}

/// Encodes a checkpoint that is saved now.
pub fn to_bytes(learned: &LearnedState, saved_at: Micros, settings_fingerprint: u64) -> Vec<u8> {
    let checkpoint = Checkpoint {
        saved_at,
        settings_fingerprint,
        classes: learned.classes.iter().map(StoredClass::from).collect(),
        engines: learned.engines.iter().map(StoredEngine::from).collect(),
        baseline_load: learned.baseline_load,
    };
    // Plain numbers can always be encoded.
    postcard::to_stdvec(&checkpoint).unwrap_or_default()
}

/// Decodes a checkpoint. Returns what was learned, and how long ago in microseconds.
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
        return Err(CheckpointError::OtherSettings);
    }
    let age = now
        .checked_sub(checkpoint.saved_at)
        .ok_or(CheckpointError::Future)?;
    let learned = LearnedState {
        classes: checkpoint.classes.into_iter().map(Into::into).collect(),
        engines: checkpoint.engines.into_iter().map(Into::into).collect(),
        baseline_load: checkpoint.baseline_load,
    };
    Ok((learned, age))
}
