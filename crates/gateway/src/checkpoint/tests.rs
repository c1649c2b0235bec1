//! Tests of the encoding of checkpoints.

use super::*;

#[test]
fn a_checkpoint_is_restored_with_its_age_or_rejected_with_a_reason() {
    let classes = vec![ClassEstimates {
        work_ratio: 1.5,
        memory_ratio: 0.7,
        work: 9.0,
        memory_mb: Some(3.0),
    }];
    let engine = EngineEstimates {
        engine: 7,
        booted_at: 5,
        slowdown: 1.2,
        best_slowdown: 0.9,
        bad_outcome_share: 0.1,
        foreign_load: 3.0,
    };
    let learned = LearnedState {
        classes,
        engines: vec![engine],
        baseline_load: 0.5,
    };
    let bytes = to_bytes(&learned, 100, 42);
    assert_eq!(from_bytes(&bytes, 130, 42), Ok((learned.clone(), 30)));
    assert_eq!(
        from_bytes(&bytes, 130, 43),
        Err(CheckpointError::DifferentSettings)
    );
    assert_eq!(
        from_bytes(&bytes, 99, 42),
        Err(CheckpointError::SavedInFuture)
    );
    for length in 0..bytes.len() {
        assert_eq!(
            from_bytes(&bytes[..length], 130, 42),
            Err(CheckpointError::Unreadable)
        );
    }
    let not_finite = LearnedState {
        baseline_load: f64::NAN,
        ..learned
    };
    assert_eq!(
        from_bytes(&to_bytes(&not_finite, 100, 42), 130, 42),
        Err(CheckpointError::Unreadable)
    );
}
