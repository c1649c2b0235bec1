//! Measures how lost tasks get a new owner, in three phases: a gateway notices the loss and asks
//! for votes, gets a majority, and its first work is applied.

use std::collections::BTreeMap;

use eideryard_leases::Task;

use super::{Figures, Micros, FIRST_VOTE_BY, MS, NEW_OWNER_WITHIN};

/// A task whose owner was lost.
#[derive(Default)]
struct LostTask {
    /// When each gateway last asked for votes, by gateway.
    vote_requested_at: BTreeMap<usize, Micros>,
    /// When the new owner asked for votes, and when it had a majority.
    acquired: Option<(Micros, Micros)>,
}

/// Lost tasks for which no work of a new owner has been applied yet.
#[derive(Default)]
pub struct Handovers {
    lost_at: Micros,
    lost: BTreeMap<Task, LostTask>,
}

impl Handovers {
    /// Starts the measurement for `tasks`, whose owners are lost at `now`.
    pub fn begin(now: Micros, tasks: impl Iterator<Item = Task>, figures: &mut Figures) -> Self {
        let lost_tasks: BTreeMap<Task, LostTask> =
            tasks.map(|task| (task, LostTask::default())).collect();
        figures.tasks_lost = lost_tasks.len() as u64;
        Handovers {
            lost_at: now,
            lost: lost_tasks,
        }
    }

    /// Records that a gateway asked for votes.
    pub fn record_vote_request(&mut self, now: Micros, task: Task, gateway: usize) {
        if let Some(lost) = self.lost.get_mut(&task) {
            lost.vote_requested_at.insert(gateway, now);
        }
    }

    /// Records that a gateway acquired the lease with a majority.
    pub fn record_acquired(&mut self, now: Micros, task: Task, gateway: usize) {
        if let Some(lost) = self.lost.get_mut(&task) {
            lost.acquired = lost
                .vote_requested_at
                .get(&gateway)
                .map(|requested_at| (*requested_at, now));
        }
    }

    /// Records that a voter applied work. The first work of a new owner ends the task's hand-over.
    pub fn record_applied(&mut self, now: Micros, task: Task, figures: &mut Figures) {
        let Some((requested_at, acquired_at)) = self.lost.get(&task).and_then(|lost| lost.acquired)
        else {
            return;
        };
        self.lost.remove(&task);
        let keep_max = |figure: &mut u64, time: Micros| *figure = (*figure).max(time / MS);
        keep_max(&mut figures.noticed_ms, requested_at - self.lost_at);
        keep_max(&mut figures.vote_ms, acquired_at - requested_at);
        keep_max(&mut figures.first_work_ms, now - acquired_at);
        keep_max(&mut figures.lost_for_ms, now - self.lost_at);
        figures.voted_again += u64::from(acquired_at - self.lost_at > FIRST_VOTE_BY);
        figures.owned_late += u64::from(now - self.lost_at > NEW_OWNER_WITHIN);
    }

    /// Ends the measurement: counts the tasks that are still lost as late.
    pub fn finish(&self, now: Micros, figures: &mut Figures) {
        let unowned = self.lost.len() as u64;
        figures.voted_again += unowned;
        figures.owned_late += unowned;
        if unowned > 0 {
            figures.lost_for_ms = (now - self.lost_at) / MS;
        }
    }
}
