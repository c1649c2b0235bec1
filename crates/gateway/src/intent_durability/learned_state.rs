//! Checkpoints of the balancer's learned estimates: saved to the store, restored at startup, and
//! exchanged with peers as hints.

use eideryard::interface::{LearnedState, Micros};
use eideryard_store::{Batch, NO_EXPIRY};

use super::IntentDurability;
use crate::checkpoint;

/// When a checkpoint was last saved, and what was restored.
pub(super) struct Checkpoints {
    /// Fingerprint of the current settings; checkpoints that were saved under other settings are
    /// not restored.
    settings_fingerprint: u64,
    saved_at: Micros,
    /// The checkpoint found at the start and its age in microseconds, until it is taken.
    restored: Option<(LearnedState, Micros)>,
    /// Whether a checkpoint or a peer's hint has been restored. If so, further hints are ignored.
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
    /// Takes the checkpoint found at the start and its age in microseconds. Later calls return
    /// `None`.
    pub fn take_restored_state(&mut self) -> Option<(LearnedState, Micros)> {
        self.checkpoints.restored.take()
    }

    /// Returns whether it is time to save a checkpoint. Never true without a usable store.
    pub fn is_checkpoint_due(&self, now: Micros) -> bool {
        self.worker.is_some() && now >= self.checkpoints.saved_at + checkpoint::INTERVAL
    }

    /// Saves the balancer's learned estimates to the store, and offers them to peers as a hint.
    pub fn save_checkpoint(&mut self, now: Micros, learned: &LearnedState) {
        self.checkpoints.saved_at = now;
        let fingerprint = self.checkpoints.settings_fingerprint;
        if let Some(replication) = &mut self.replication {
            // The hint is encoded with time 0, because the message that carries it contains its age
            // in another field.
            let hint = checkpoint::to_bytes(learned, 0, fingerprint);
            replication.set_learned_state(now, hint);
        }
        if let Some(worker) = &mut self.worker {
            let bytes = checkpoint::to_bytes(learned, now, fingerprint);
            let mut batch = Batch::default();
            batch.put(checkpoint::STORE_KEY.to_vec(), bytes, NO_EXPIRY);
            // If the store rejects the write, the next checkpoint replaces this one.
            worker.write(batch);
        }
    }

    /// Takes the learned estimates from a peer and their age in microseconds. Returns estimates at
    /// most once, and only if this gateway started without a checkpoint.
    pub fn take_peer_hint(&mut self) -> Option<(LearnedState, Micros)> {
        let (bytes, age) = self.replication.as_mut()?.take_peer_hint()?;
        if self.checkpoints.has_restored {
            return None;
        }
        self.checkpoints.has_restored = true;
        let fingerprint = self.checkpoints.settings_fingerprint;
        let hint = checkpoint::from_bytes(&bytes, age, fingerprint).ok()?;
        tracing::info!("fleet: learned estimates of a peer are used as hints");
        Some(hint)
    }
}
