//! Checkpoints of what the balancer has learned: saved to the store, restored at the start, and
//! exchanged with peers as hints.

use eideryard::interface::{LearnedState, Micros};
use eideryard_store::Batch;

use super::IntentDurability;
use crate::checkpoint;

/// When checkpoints were saved and restored.
pub(super) struct Checkpoints {
    /// Of the settings under which the state is learned.
    settings_fingerprint: u64,
    saved_at: Micros,
    /// The checkpoint that the start found and its age, until it is taken.
    restored: Option<(LearnedState, Micros)>,
    /// Whether a checkpoint or a peer's hint was restored.
    has_restored: bool,
}

impl Checkpoints {
    pub(super) fn new(
        settings_fingerprint: u64,
        restored: Option<(LearnedState, Micros)>,
        now: Micros,
    ) -> Self {
        Checkpoints {
            settings_fingerprint,
            saved_at: now,
            has_restored: restored.is_some(),
            restored,
        }
    }
}

impl IntentDurability {
    /// The checkpoint that the start found and its age, once.
    pub fn take_restored_state(&mut self) -> Option<(LearnedState, Micros)> {
        self.checkpoints.restored.take()
    }

    /// Whether it is time for a checkpoint.
    pub fn is_checkpoint_due(&self, now: Micros) -> bool {
        self.worker.is_some() && now >= self.checkpoints.saved_at + checkpoint::INTERVAL
    }

    /// Saves what the balancer has learned, and offers it to peers.
    pub fn save_checkpoint(&mut self, now: Micros, learned: &LearnedState) {
        self.checkpoints.saved_at = now;
        let fingerprint = self.checkpoints.settings_fingerprint;
        if let Some(replication) = &mut self.replication {
            // A hint carries its age beside it.
            let hint = checkpoint::to_bytes(learned, 0, fingerprint);
            replication.set_learned_state(now, hint);
        }
        if let Some(worker) = &mut self.worker {
            let bytes = checkpoint::to_bytes(learned, now, fingerprint);
            let mut batch = Batch::default();
            batch.put(checkpoint::STORE_KEY.to_vec(), bytes, 0);
            // If the store takes no more now, the next checkpoint is written.
            worker.write(batch);
        }
    }

    /// What a peer had learned and its age, once, and only where this gateway started without a
    /// checkpoint.
    pub fn take_peer_hint(&mut self) -> Option<(LearnedState, Micros)> {
        let (bytes, age) = self.replication.as_mut()?.take_peer_hint()?;
        if self.checkpoints.has_restored {
            return None;
        }
        self.checkpoints.has_restored = true;
        let fingerprint = self.checkpoints.settings_fingerprint;
        let hint = checkpoint::from_bytes(&bytes, age, fingerprint).ok()?;
        tracing::info!("fleet: learned figures of a peer are taken for hints");
        Some(hint)
    }
}
