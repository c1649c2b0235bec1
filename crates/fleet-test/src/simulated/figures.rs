//! Figures of a simulated fleet.

/// Figures of one seed, or combined over several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of keyed requests.
    pub requests: u64,
    /// Runs at engines that were not dropped as repeats.
    pub effects: u64,
    /// Keys that took effect more than once. Breaks a rule.
    pub effects_twice: u64,
    /// Requests that were neither answered nor given up. Breaks a rule.
    pub unanswered: u64,
    /// Tries that were refused because no claim was granted.
    pub refused: u64,
    /// Keys whose replicas differ between voters at the end. Breaks a rule.
    pub differ: u64,
    /// Replication messages sent by all gateways.
    pub messages: u64,
    /// Encoded size of these messages with frame headers, in bytes.
    pub bytes: u64,
    /// Bytes of state transfers to voters that catch up.
    pub caught_up_bytes: u64,
    /// Records that anti-entropy repaired.
    pub mended: u64,
    /// Most entries that one voter stored at a time.
    pub most_held: u64,
    /// Longest time that a voter took to vote again after the loss of its disk, in milliseconds.
    pub longest_catch_up_ms: u64,
    /// Longest time from a claim to its grant, in milliseconds.
    pub longest_claim_ms: u64,
}

impl Figures {
    /// Adds the figures of another seed: sums counts, takes the maximum of `most_held` and of the
    /// longest times.
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
