//! What a simulated fleet counts.

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Keyed requests.
    pub requests: u64,
    /// Runs at engines.
    pub effects: u64,
    /// Keys that took effect twice within their window.
    pub effects_twice: u64,
    /// Requests without an end.
    pub unanswered: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Keys whose copies differ between keepers at the end.
    pub differ: u64,
    /// Messages of all gateways.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of state transfer.
    pub caught_up_bytes: u64,
    /// Records that anti-entropy brought.
    pub mended: u64,
    /// Entries at the keeper that held most.
    pub most_held: u64,
    /// The longest that a keeper took to vote again, in milliseconds.
    pub longest_catch_up_ms: u64,
    /// From the first claim to its verdict, at the worst where it was granted.
    pub longest_claim_ms: u64,
}

impl Figures {
    /// Adds what another seed counted.
    pub fn add(&mut self, other: &Figures) {
        self.requests += other.requests;
        self.effects += other.effects;
        self.effects_twice += other.effects_twice;
        self.unanswered += other.unanswered;
        self.refused += other.refused;
        self.differ += other.differ;
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.caught_up_bytes += other.caught_up_bytes;
        self.mended += other.mended;
        self.most_held = self.most_held.max(other.most_held);
        self.longest_catch_up_ms = self.longest_catch_up_ms.max(other.longest_catch_up_ms);
        self.longest_claim_ms = self.longest_claim_ms.max(other.longest_claim_ms);
    }
}
