//! What the module has learned, as bytes in the store and back, with when it was and under which
//! settings. What of it still counts the module decides.

use eideryard::interface::{ClassEstimates, EngineEstimates, LearnedState, Micros};
use serde::{Deserialize, Serialize};

/// A checkpoint is written this often, while anything happens.
pub const EVERY: Micros = 5_000_000;
/// Its key in the store.
pub const KEY: &[u8] = b"l";

/// Work ratio, memory ratio, work, memory.
type Class = (f64, f64, f64, Option<f64>);
/// Engine, its start, stretch, best, bad share, others' threads.
type Engine = (u32, u64, f64, f64, f64, f64);

#[derive(Serialize, Deserialize)]
struct Checkpoint {
    at: Micros,
    settings: u64,
    classes: Vec<Class>,
    engines: Vec<Engine>,
    level: f64,
}

/// Why a checkpoint is not taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckpointError {
    Unreadable,
    /// What it was learned under has changed.
    OtherSettings,
    /// It is from a time that has not come: the clock stepped back.
    Future,
}

impl CheckpointError {
    pub fn reason(self) -> &'static str {
        match self {
            CheckpointError::Unreadable => "they can't be read",
            CheckpointError::OtherSettings => {
                "the settings differ from those they were learned under"
            }
            CheckpointError::Future => {
                "they are of a time that has not come: the clock stepped back"
            }
        }
    }
}

pub fn to_bytes(lessons: &LearnedState, at: Micros, settings: u64) -> Vec<u8> {
    let class = |own: &ClassEstimates| (own.work_ratio, own.memory_ratio, own.work, own.memory_mb);
    let engine = |own: &EngineEstimates| {
        (
            own.engine,
            own.booted_at,
            own.slowdown,
            own.best_slowdown,
            own.bad,
            own.foreign_load,
        )
    };
    let checkpoint = Checkpoint {
        at,
        settings,
        classes: lessons.classes.iter().map(class).collect(),
        engines: lessons.engines.iter().map(engine).collect(),
        level: lessons.baseline_load,
    };
    // Plain numbers always can.
    postcard::to_stdvec(&checkpoint).unwrap_or_default()
}

/// What was learned, and how long ago.
pub fn from_bytes(
    bytes: &[u8],
    now: Micros,
    settings: u64,
) -> Result<(LearnedState, Micros), CheckpointError> {
    let (told, rest): (Checkpoint, _) =
        postcard::take_from_bytes(bytes).map_err(|_| CheckpointError::Unreadable)?;
    let finite = |values: &[f64]| values.iter().all(|value| value.is_finite());
    let sound = told
        .classes
        .iter()
        .all(|c| finite(&[c.0, c.1, c.2, c.3.unwrap_or(0.0)]))
        && told.engines.iter().all(|e| finite(&[e.2, e.3, e.4, e.5]))
        && finite(&[told.level]);
    if !rest.is_empty() || !sound {
        return Err(CheckpointError::Unreadable);
    }
    if told.settings != settings {
        return Err(CheckpointError::OtherSettings);
    }
    let age = now.checked_sub(told.at).ok_or(CheckpointError::Future)?;
    let class = |(work_ratio, memory_ratio, work, memory_mb)| ClassEstimates {
        work_ratio,
        memory_ratio,
        work,
        memory_mb,
    };
    let engine = |(engine, booted_at, stretch, best, bad, others)| EngineEstimates {
        engine,
        booted_at,
        slowdown: stretch,
        best_slowdown: best,
        bad,
        foreign_load: others,
    };
    let classes = told.classes.into_iter().map(class).collect();
    let engines = told.engines.into_iter().map(engine).collect();
    Ok((
        LearnedState {
            classes,
            engines,
            baseline_load: told.level,
        },
        age,
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_checkpoint_comes_back_with_its_age_or_says_why_it_is_void() {
        let classes = vec![ClassEstimates {
            work_ratio: 1.5,
            memory_ratio: 0.7,
            work: 9.0,
            memory_mb: Some(3.0),
        }];
        let lesson = EngineEstimates {
            engine: 7,
            booted_at: 5,
            slowdown: 1.2,
            best_slowdown: 0.9,
            bad: 0.1,
            foreign_load: 3.0,
        };
        let lessons = LearnedState {
            classes,
            engines: vec![lesson],
            baseline_load: 0.5,
        };
        let bytes = to_bytes(&lessons, 100, 42);
        assert_eq!(from_bytes(&bytes, 130, 42), Ok((lessons.clone(), 30)));
        assert_eq!(
            from_bytes(&bytes, 130, 43),
            Err(CheckpointError::OtherSettings)
        );
        assert_eq!(from_bytes(&bytes, 99, 42), Err(CheckpointError::Future));
        (0..bytes.len()).for_each(|at| {
            assert_eq!(
                from_bytes(&bytes[..at], 130, 42),
                Err(CheckpointError::Unreadable)
            );
        });
        let broken = LearnedState {
            baseline_load: f64::NAN,
            ..lessons
        };
        assert_eq!(
            from_bytes(&to_bytes(&broken, 100, 42), 130, 42),
            Err(CheckpointError::Unreadable)
        );
    }
}
