//! One gateway's part: as a keeper it votes, as any gateway it may own, and everywhere it keeps the
//! fence.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::candidate::{Candidate, Step};
use crate::fence::{Admission, Fences};
use crate::fencing_token::{FencingToken, Task};
use crate::voter::{Vote, Voter};
use crate::Micros;

/// Tasks that a gateway knows of; with one more the oldest goes.
pub const MAX_TASKS: usize = 4096;
/// What time brings is looked at no more often.
const LOOK: Micros = 2_000;
/// One that may lack promises looks again after this.
const PAUSE: Micros = 100_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    pub keepers: usize,
    pub own: Option<usize>,
    /// This life of this gateway, as tokens name it.
    pub owner: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    VoteRequest {
        task: Task,
        token: FencingToken,
    },
    VoteGranted {
        task: Task,
        token: FencingToken,
    },
    VoteDenied {
        task: Task,
        token: FencingToken,
        greatest: FencingToken,
        left: Micros,
    },
    Release {
        task: Task,
        token: FencingToken,
    },
    /// An owner's work; a keeper passes on what its fence admits.
    Work {
        task: Task,
        token: FencingToken,
        work: Vec<u8>,
    },
    StaleToken {
        task: Task,
        token: FencingToken,
        greatest: FencingToken,
    },
    /// All that a keeper has promised or seen.
    Tokens {
        tokens: Vec<(Task, FencingToken)>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Keeper(usize, Message),
    Asker(u64, Message),
    /// To all who made links here, but for one.
    Askers {
        but: Option<u64>,
        message: Message,
    },
    /// Make the greatest token of a task durable; then, and only then, come the others.
    Store {
        task: Task,
        token: FencingToken,
        then: Vec<Output>,
    },
    /// A task's token is not kept any more.
    Forget(Task),
    /// This keeper's vote for itself.
    OwnVote {
        task: Task,
        token: FencingToken,
    },
    /// Work that counts here.
    Apply {
        task: Task,
        token: FencingToken,
        work: Vec<u8>,
    },
    /// Work that was turned away here.
    Fenced {
        task: Task,
        token: FencingToken,
        greatest: FencingToken,
    },
    Won {
        task: Task,
        token: FencingToken,
    },
    Lost {
        task: Task,
        token: FencingToken,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub won: u64,
    pub lost: u64,
    pub applied: u64,
    pub fenced: u64,
    /// Own work that a fence turned away.
    pub turned_away: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    plan: Config,
    fences: Fences,
    voter: Voter,
    candidates: BTreeMap<Task, Candidate>,
    looked_at: Micros,
    pub counted: Counters,
}

impl Core {
    pub fn start(
        plan: Config,
        found: impl Iterator<Item = (Task, FencingToken)>,
        now: Micros,
    ) -> Self {
        let fences = Fences::restore(found);
        let voter = Voter::restore(&fences, now);
        let (candidates, counted) = Default::default();
        Core {
            plan,
            fences,
            voter,
            candidates,
            looked_at: now,
            counted,
        }
    }

    fn majority(&self) -> usize {
        self.plan.keepers / 2 + 1
    }

    /// From now on this gateway may own a task.
    pub fn wants(&mut self, now: Micros, task: Task) {
        let (owner, majority) = (self.plan.owner, self.majority());
        if self.candidates.len() < MAX_TASKS {
            let greatest = self.fences.greatest(task);
            let fresh = || Candidate::new(task, owner, majority, greatest, now);
            self.candidates.entry(task).or_insert_with(fresh);
        }
    }

    /// A task is no more.
    pub fn forgets(&mut self, gone: impl Fn(Task) -> bool) {
        self.candidates.retain(|task, _| !gone(*task));
    }

    /// The token to act under now, if this gateway owns a task as far as it knows.
    pub fn owns(&self, now: Micros, task: Task) -> Option<FencingToken> {
        self.candidates.get(&task)?.owns(now)
    }

    pub fn owned(&self, now: Micros) -> impl Iterator<Item = (Task, FencingToken)> + '_ {
        let of = move |(task, own): (&Task, &Candidate)| Some((*task, own.owns(now)?));
        self.candidates.iter().filter_map(of)
    }

    pub fn fences(&self) -> &Fences {
        &self.fences
    }

    /// A token that was to be made durable is.
    pub fn durable(&mut self, task: Task, token: FencingToken) {
        self.fences.durable(task, token);
    }

    /// All that was promised or seen, for one that comes or catches up.
    pub fn tokens(&self) -> Option<Message> {
        let tokens: Vec<_> = self.fences.all().collect();
        (!tokens.is_empty()).then_some(Message::Tokens { tokens })
    }

    /// Does work as its owner. Nothing: it doesn't own the task now, or its lease is over.
    pub fn act(&mut self, now: Micros, task: Task, work: Vec<u8>) -> Vec<Output> {
        let Some(token) = self.owns(now, task) else {
            return Vec::new();
        };
        let message = Message::Work {
            task,
            token,
            work: work.clone(),
        };
        let mut outputs: Vec<Output> = self
            .others()
            .map(|keeper| Output::Keeper(keeper, message.clone()))
            .collect();
        outputs.extend(self.admits(None, task, token, work));
        outputs
    }

    fn others(&self) -> impl Iterator<Item = usize> {
        let own = self.plan.own;
        (0..self.plan.keepers).filter(move |keeper| Some(*keeper) != own)
    }

    /// Work at this fence.
    fn admits(
        &mut self,
        from: Option<u64>,
        task: Task,
        token: FencingToken,
        work: Vec<u8>,
    ) -> Vec<Output> {
        match self.fences.admit(task, token) {
            Admission::Stale(greatest) => {
                self.counted.fenced += 1;
                let told = Message::StaleToken {
                    task,
                    token,
                    greatest,
                };
                let told = from.map(|from| Output::Asker(from, told));
                told.into_iter()
                    .chain([Output::Fenced {
                        task,
                        token,
                        greatest,
                    }])
                    .collect()
            }
            Admission::Admitted { waits } => {
                self.counted.applied += 1;
                let mut then = vec![Output::Apply {
                    task,
                    token,
                    work: work.clone(),
                }];
                if self.plan.own.is_some() {
                    let message = Message::Work { task, token, work };
                    then.push(Output::Askers { but: from, message });
                }
                if waits {
                    vec![Output::Store { task, token, then }]
                } else {
                    then
                }
            }
        }
    }

    /// `votes`: this keeper has all that it ever promised.
    pub fn hears_asker(
        &mut self,
        now: Micros,
        from: u64,
        message: Message,
        votes: bool,
    ) -> Vec<Output> {
        match message {
            Message::VoteRequest { task, token } if votes => {
                match self.voter.ask(&mut self.fences, now, task, token) {
                    Vote::Given { new } => {
                        let mut outputs = self.seen(now, task, token);
                        let given = Output::Asker(from, Message::VoteGranted { task, token });
                        outputs.push(if new {
                            Output::Store {
                                task,
                                token,
                                then: vec![given],
                            }
                        } else {
                            given
                        });
                        outputs
                    }
                    Vote::Denied { greatest, left } => {
                        let denied = Message::VoteDenied {
                            task,
                            token,
                            greatest,
                            left,
                        };
                        vec![Output::Asker(from, denied)]
                    }
                }
            }
            Message::Release { task, token } => {
                self.voter.release(&self.fences, task, token);
                Vec::new()
            }
            Message::Work { task, token, work } => {
                let mut outputs = self.seen(now, task, token);
                outputs.extend(self.admits(Some(from), task, token, work));
                outputs
            }
            Message::Tokens { tokens } => self.joins(now, tokens),
            _ => Vec::new(),
        }
    }

    pub fn hears_keeper(&mut self, now: Micros, keeper: usize, message: Message) -> Vec<Output> {
        match message {
            Message::VoteGranted { task, token } => self.vote(now, keeper, task, token),
            Message::VoteDenied {
                task,
                token,
                greatest,
                left,
            } => {
                let step = self.candidates.get_mut(&task);
                let step = step.map(|own| own.denied(now, keeper, token, greatest, left));
                self.stepped(now, task, step.unwrap_or(Step::Nothing))
            }
            Message::StaleToken { task, greatest, .. } => {
                self.counted.turned_away += 1;
                self.seen(now, task, greatest)
            }
            // What one keeper passed on may have been passed on by all: each copy meets the fence.
            Message::Work { task, token, work } => {
                let mut outputs = self.seen(now, task, token);
                outputs.extend(self.admits(None, task, token, work));
                outputs.retain(|output| !matches!(output, Output::Askers { .. }));
                outputs
            }
            Message::Tokens { tokens } => self.joins(now, tokens),
            _ => Vec::new(),
        }
    }

    fn joins(&mut self, now: Micros, tokens: Vec<(Task, FencingToken)>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (task, token) in tokens.into_iter().take(MAX_TASKS) {
            outputs.extend(self.seen(now, task, token));
            if self.fences.raise(task, token) {
                outputs.push(Output::Store {
                    task,
                    token,
                    then: Vec::new(),
                });
            }
        }
        outputs
    }

    fn seen(&mut self, now: Micros, task: Task, token: FencingToken) -> Vec<Output> {
        let step = self
            .candidates
            .get_mut(&task)
            .map(|own| own.seen(now, token));
        self.stepped(now, task, step.unwrap_or(Step::Nothing))
    }

    fn vote(&mut self, now: Micros, keeper: usize, task: Task, token: FencingToken) -> Vec<Output> {
        let step = self
            .candidates
            .get_mut(&task)
            .map(|own| own.vote(now, keeper, token));
        self.stepped(now, task, step.unwrap_or(Step::Nothing))
    }

    /// This keeper's promise to itself is durable.
    pub fn own_vote(&mut self, now: Micros, task: Task, token: FencingToken) -> Vec<Output> {
        self.plan
            .own
            .map_or(Vec::new(), |own| self.vote(now, own, task, token))
    }

    fn stepped(&mut self, now: Micros, task: Task, step: Step) -> Vec<Output> {
        match step {
            Step::Nothing => Vec::new(),
            Step::Won(token) => {
                self.counted.won += 1;
                vec![Output::Won { task, token }]
            }
            Step::Lost(token) => {
                self.counted.lost += 1;
                vec![Output::Lost { task, token }]
            }
            Step::Withdrew(token) => {
                self.voter.release(&self.fences, task, token);
                let release = Message::Release { task, token };
                self.others()
                    .map(|keeper| Output::Keeper(keeper, release.clone()))
                    .collect()
            }
            Step::Ask(token) => {
                let ask = Message::VoteRequest { task, token };
                let mut outputs: Vec<Output> = self
                    .others()
                    .map(|keeper| Output::Keeper(keeper, ask.clone()))
                    .collect();
                if self.plan.own.is_some() {
                    if let Vote::Given { new } = self.voter.ask(&mut self.fences, now, task, token)
                    {
                        let own = Output::OwnVote { task, token };
                        outputs.push(if new {
                            Output::Store {
                                task,
                                token,
                                then: vec![own],
                            }
                        } else {
                            own
                        });
                    }
                }
                outputs
            }
        }
    }

    /// What time brings. `votes`: as in [`Core::hears_asker`]; one that may lack promises asks
    /// nobody.
    pub fn work(&mut self, now: Micros, unix_ms: u64, votes: bool) -> Vec<Output> {
        if now < self.due() {
            return Vec::new();
        }
        self.looked_at = now;
        let gone = self.fences.trim(MAX_TASKS);
        for task in gone.iter() {
            self.voter.forget(*task);
        }
        let mut outputs: Vec<Output> = gone.into_iter().map(Output::Forget).collect();
        if self.plan.own.is_some() && !votes {
            self.looked_at += PAUSE;
            return outputs;
        }
        let mut steps = Vec::new();
        for (task, own) in &mut self.candidates {
            steps.push((*task, own.work(now, unix_ms)));
        }
        let stepped = steps
            .into_iter()
            .flat_map(|(task, step)| self.stepped(now, task, step));
        outputs.extend(stepped);
        outputs
    }

    /// When [`Core::work`] has something to do: as soon as a candidate has, but not all the time.
    pub fn due(&self) -> Micros {
        let next = self
            .candidates
            .values()
            .map(Candidate::due)
            .min()
            .unwrap_or(Micros::MAX);
        next.max(self.looked_at + LOOK)
    }

    /// This gateway was told to end: its tasks are free at once.
    pub fn ends(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        let released: Vec<(Task, FencingToken)> = self
            .candidates
            .iter_mut()
            .filter_map(|(task, own)| Some((*task, own.ends()?)))
            .collect();
        for (task, token) in released {
            self.voter.release(&self.fences, task, token);
            let release = Message::Release { task, token };
            outputs.extend(
                self.others()
                    .map(|keeper| Output::Keeper(keeper, release.clone())),
            );
            outputs.push(Output::Lost { task, token });
        }
        outputs
    }
}
