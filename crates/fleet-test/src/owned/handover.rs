//! How tasks whose owner went come to another one: noticed, voted for, and worked on again.

use std::collections::BTreeMap;

use eideryard_leases::Task;

use super::{Figures, Micros, FIRST_VOTE_BY, MS, NEW_OWNER_WITHIN};

/// A task whose owner went.
#[derive(Default)]
struct Lost {
    /// When each gateway last asked for votes.
    asked: BTreeMap<usize, Micros>,
    /// When the one that won had asked, and when it won.
    won: Option<(Micros, Micros)>,
}

/// All tasks whose owner went and on which nobody works again yet.
#[derive(Default)]
pub struct Handovers {
    began: Micros,
    lost: BTreeMap<Task, Lost>,
}

impl Handovers {
    /// The owners of these tasks have gone now.
    pub fn begin(now: Micros, tasks: impl Iterator<Item = Task>, figures: &mut Figures) -> Self {
        let lost: BTreeMap<Task, Lost> = tasks.map(|task| (task, Lost::default())).collect();
        figures.tasks_lost = lost.len() as u64;
        Handovers { began: now, lost }
    }

    /// A gateway asks for votes.
    pub fn asks(&mut self, now: Micros, task: Task, gateway: usize) {
        if let Some(lost) = self.lost.get_mut(&task) {
            lost.asked.insert(gateway, now);
        }
    }

    /// A gateway has a majority.
    pub fn won(&mut self, now: Micros, task: Task, gateway: usize) {
        if let Some(lost) = self.lost.get_mut(&task) {
            lost.won = lost.asked.get(&gateway).map(|asked| (*asked, now));
        }
    }

    /// Work counts at a fence: the first after a new owner ends the hand-over.
    pub fn applied(&mut self, now: Micros, task: Task, figures: &mut Figures) {
        let Some((asked, won)) = self.lost.get(&task).and_then(|lost| lost.won) else {
            return;
        };
        self.lost.remove(&task);
        let most = |figure: &mut u64, time: Micros| *figure = (*figure).max(time / MS);
        most(&mut figures.noticed_ms, asked - self.began);
        most(&mut figures.vote_ms, won - asked);
        most(&mut figures.first_work_ms, now - won);
        most(&mut figures.lost_for_ms, now - self.began);
        figures.voted_again += u64::from(won - self.began > FIRST_VOTE_BY);
        figures.owned_late += u64::from(now - self.began > NEW_OWNER_WITHIN);
    }

    /// Nothing more comes: what is still lost is late.
    pub fn end(&self, now: Micros, figures: &mut Figures) {
        let never = self.lost.len() as u64;
        figures.voted_again += never;
        figures.owned_late += never;
        if never > 0 {
            figures.lost_for_ms = (now - self.began) / MS;
        }
    }
}
