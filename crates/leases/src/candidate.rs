//! One gateway's way to a task: waits its turn, asks, owns, renews, and finds on waking that its
//! lease is over.

use std::collections::BTreeSet;

use crate::fencing_token::{weight, FencingToken, Task};
use crate::{Micros, LEASE, MARGIN, RENEW};

/// Gateways of lesser weight try up to this much later.
const SPREAD: Micros = 1_500_000;
/// Votes that have not come by then are not waited for.
const PATIENCE: Micros = 400_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Waits {
        until: Micros,
    },
    Asks {
        token: FencingToken,
        asked: Micros,
        votes: BTreeSet<usize>,
        denied: BTreeSet<usize>,
    },
    Owns {
        token: FencingToken,
        until: Micros,
        renews: Option<(Micros, BTreeSet<usize>)>,
        renewed: Micros,
    },
    /// It is told to end, and tries no more.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    task: Task,
    owner: u64,
    majority: usize,
    stage: Stage,
    greatest: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Nothing,
    /// All keepers are to be asked for a vote for this.
    Ask(FencingToken),
    Won(FencingToken),
    /// Its lease is over before it was renewed.
    Lost(FencingToken),
    /// It got no majority: who voted for it is free to vote for others at once.
    Withdrew(FencingToken),
}

impl Candidate {
    pub fn new(
        task: Task,
        owner: u64,
        majority: usize,
        greatest: FencingToken,
        now: Micros,
    ) -> Self {
        let stage = Stage::Waits {
            until: now + Self::turn(task, owner),
        };
        Candidate {
            task,
            owner,
            majority,
            stage,
            greatest: greatest.term,
        }
    }

    /// How long after the first that could one of this weight tries.
    fn turn(task: Task, owner: u64) -> Micros {
        ((1.0 - weight(task, owner)) * SPREAD as f64) as Micros
    }

    fn waits(&mut self, now: Micros, left: Micros) {
        self.stage = Stage::Waits {
            until: now + left + Self::turn(self.task, self.owner),
        };
    }

    /// The token to act under, as far as this clock knows. What is sent under it may still come too
    /// late: the fence knows.
    pub fn owns(&self, now: Micros) -> Option<FencingToken> {
        match self.stage {
            Stage::Owns { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// When [`Candidate::work`] has something to do. To the point, since of hundreds some turns lie
    /// close together, and two that ask at once may split the votes.
    pub fn due(&self) -> Micros {
        match &self.stage {
            Stage::Waits { until } => *until,
            Stage::Asks { asked, .. } => asked + PATIENCE,
            Stage::Owns { until, renewed, .. } => (renewed + RENEW).min(*until),
            Stage::Gone => Micros::MAX,
        }
    }

    /// What time brings. `unix_ms` keeps terms growing where every keeper lost its store; nothing
    /// that is promised rests on it.
    pub fn work(&mut self, now: Micros, unix_ms: u64) -> Step {
        match &mut self.stage {
            Stage::Waits { until } if now >= *until => {
                self.greatest = (self.greatest + 1).max(unix_ms);
                let token = FencingToken {
                    term: self.greatest,
                    owner: self.owner,
                };
                let (votes, denied) = Default::default();
                self.stage = Stage::Asks {
                    token,
                    asked: now,
                    votes,
                    denied,
                };
                Step::Ask(token)
            }
            Stage::Asks { token, asked, .. } if now >= *asked + PATIENCE => {
                let token = *token;
                self.waits(now, PATIENCE);
                Step::Withdrew(token)
            }
            Stage::Owns { token, until, .. } if now >= *until => {
                // It stood still, or no majority renewed it: it asks anew before it acts again.
                let token = *token;
                self.waits(now, 0);
                Step::Lost(token)
            }
            Stage::Owns {
                token,
                renews,
                renewed,
                ..
            } if now >= *renewed + RENEW => {
                *renewed = now;
                *renews = Some((now, BTreeSet::new()));
                Step::Ask(*token)
            }
            _ => Step::Nothing,
        }
    }

    pub fn vote(&mut self, now: Micros, keeper: usize, of: FencingToken) -> Step {
        let majority = self.majority;
        match &mut self.stage {
            Stage::Asks {
                token,
                asked,
                votes,
                ..
            } if *token == of => {
                votes.insert(keeper);
                let until = *asked + LEASE - MARGIN;
                // A majority that comes too late is none.
                if votes.len() < majority || now >= until {
                    return Step::Nothing;
                }
                let (token, renewed) = (*token, *asked);
                self.stage = Stage::Owns {
                    token,
                    until,
                    renews: None,
                    renewed,
                };
                Step::Won(token)
            }
            Stage::Owns {
                token,
                until,
                renews: Some((asked, votes)),
                ..
            } if *token == of => {
                votes.insert(keeper);
                if votes.len() >= majority {
                    *until = (*until).max(*asked + LEASE - MARGIN);
                }
                Step::Nothing
            }
            _ => Step::Nothing,
        }
    }

    /// A keeper has promised more to another one.
    pub fn denied(
        &mut self,
        now: Micros,
        keeper: usize,
        of: FencingToken,
        greatest: FencingToken,
        left: Micros,
    ) -> Step {
        self.greatest = self.greatest.max(greatest.term);
        match &mut self.stage {
            Stage::Asks { token, denied, .. } if *token == of => {
                denied.insert(keeper);
                let token = *token;
                if denied.len() < self.majority {
                    return Step::Nothing;
                }
                self.waits(now, left);
                Step::Withdrew(token)
            }
            Stage::Owns { token, .. } if *token == of && greatest > of => {
                let token = *token;
                self.waits(now, left);
                Step::Lost(token)
            }
            _ => Step::Nothing,
        }
    }

    /// A greater token was seen: another one owns it.
    pub fn seen(&mut self, now: Micros, token: FencingToken) -> Step {
        self.greatest = self.greatest.max(token.term);
        match self.stage {
            Stage::Owns { token: own, .. } if token > own => {
                self.waits(now, LEASE);
                Step::Lost(own)
            }
            Stage::Waits { until } if token.owner != self.owner => {
                let later = now + LEASE + Self::turn(self.task, self.owner);
                self.stage = Stage::Waits {
                    until: until.max(later),
                };
                Step::Nothing
            }
            _ => Step::Nothing,
        }
    }

    /// It is told to end. The token to release, if it owned.
    pub fn ends(&mut self) -> Option<FencingToken> {
        match std::mem::replace(&mut self.stage, Stage::Gone) {
            Stage::Owns { token, .. } => Some(token),
            _ => None,
        }
    }
}
