//! What a simulated fleet with tasks counted.

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Times an owner worked.
    pub worked: u64,
    /// Work that counted, at each fence.
    pub applied: u64,
    /// Work that fences turned away.
    pub fenced: u64,
    /// Work that counted at a fence after that of a greater token.
    pub stale_applied: u64,
    /// Terms that had two owners at one fence.
    pub two_owners: u64,
    /// Messages of all gateways.
    pub messages: u64,
    /// Until all tasks had an owner, from the beginning and from when some went, in milliseconds.
    pub owned_after_ms: u64,
    /// The same from when some went.
    pub again_after_ms: u64,
    /// Tasks whose owner went, those of them that needed more than one vote for another owner, and
    /// those that had none after [`super::NEW_OWNER_WITHIN`].
    pub tasks_lost: u64,
    /// Until work on the last of them counted again, and below the longest of each of its parts:
    /// until the later owner asked for votes, until it had them, and until its work counted; in
    /// milliseconds.
    pub lost_for_ms: u64,
    /// The first part.
    pub noticed_ms: u64,
    /// The second.
    pub vote_ms: u64,
    /// The third.
    pub first_work_ms: u64,
    /// Owners that lost their lease though they ran and nothing was cut.
    pub lapsed: u64,
    /// Lost tasks that needed more than one vote for another owner.
    pub voted_again: u64,
    /// Those on which no work counted within [`super::NEW_OWNER_WITHIN`].
    pub owned_late: u64,
    /// Tasks that changed hands since, beyond those whose owner went, in percent of all.
    pub moved_percent: u64,
    /// Tasks of the gateway that owns most.
    pub most_owned: u64,
}

impl Figures {
    /// Adds what another seed counted.
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
