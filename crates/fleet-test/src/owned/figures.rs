//! Figures of a simulated fleet with tasks.

/// Counts and times of one seed, or of several together. Field names are printed by `simulate`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Units of work that owners submitted.
    pub worked: u64,
    /// Units of work applied, counted at each voter.
    pub applied: u64,
    /// Units of work rejected because of an outdated fencing token.
    pub fenced: u64,
    /// Units of work applied at a voter after work with a greater token; must be 0.
    pub stale_applied: u64,
    /// Terms in which one voter applied work of two owners; must be 0.
    pub two_owners: u64,
    /// Messages sent by all gateways.
    pub messages: u64,
    /// Milliseconds from the start until all tasks had an owner; 0 if that didn't happen.
    pub owned_after_ms: u64,
    /// Milliseconds from the loss of gateways until all tasks had an owner again; 0 if that didn't
    /// happen.
    pub again_after_ms: u64,
    /// Tasks whose owner was lost.
    pub tasks_lost: u64,
    /// Milliseconds from the loss until work was applied again for the last of these tasks. The
    /// next three fields are the maxima of its three phases over all tasks.
    pub lost_for_ms: u64,
    /// First phase: milliseconds from the loss until the new owner asked for votes.
    pub noticed_ms: u64,
    /// Second phase: milliseconds from its request until it had a majority.
    pub vote_ms: u64,
    /// Third phase: milliseconds from the majority until its first work was applied.
    pub first_work_ms: u64,
    /// Leases that owners lost while they ran.
    pub lapsed: u64,
    /// Lost tasks that needed more than one vote to get a new owner.
    pub voted_again: u64,
    /// Lost tasks for which no work was applied within [`super::NEW_OWNER_WITHIN`].
    pub owned_late: u64,
    /// Tasks that changed owner after the loss although their owner still ran, in percent of all.
    pub moved_percent: u64,
    /// Number of tasks of the gateway that owns most.
    pub most_owned: u64,
}

impl Figures {
    /// Adds the figures of another seed: counts are summed; for times, `moved_percent` and
    /// `most_owned` the maximum is kept.
    pub fn add(&mut self, other: &Figures) {
        self.worked += other.worked;
        self.applied += other.applied;
        self.fenced += other.fenced;
        self.stale_applied += other.stale_applied;
        self.two_owners += other.two_owners;
        self.messages += other.messages;
        self.owned_after_ms = self.owned_after_ms.max(other.owned_after_ms);
        self.again_after_ms = self.again_after_ms.max(other.again_after_ms);
        self.tasks_lost += other.tasks_lost;
        self.lost_for_ms = self.lost_for_ms.max(other.lost_for_ms);
        self.noticed_ms = self.noticed_ms.max(other.noticed_ms);
        self.vote_ms = self.vote_ms.max(other.vote_ms);
        self.first_work_ms = self.first_work_ms.max(other.first_work_ms);
        self.lapsed += other.lapsed;
        self.voted_again += other.voted_again;
        self.owned_late += other.owned_late;
        self.moved_percent = self.moved_percent.max(other.moved_percent);
        self.most_owned = self.most_owned.max(other.most_owned);
    }
}
