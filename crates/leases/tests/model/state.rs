//! State of the model and the steps that change it.

use std::collections::BTreeMap;

use eideryard_leases::{FencingToken, LeaseCore, Message, Task};

pub const VOTERS: usize = 3;
pub const OWNERS: usize = 2;
pub const TASK: Task = Task { kind: 1, number: 1 };
pub const START_TIME: u64 = 1_000_000_000;
pub const MAX_CLOCK_JUMPS: u8 = 1;
pub const MAX_WORK_PER_OWNER: u8 = 1;
/// Index of the voter that may be killed and whose disk flushes in a separate step. The other
/// voters' disks flush at once.
pub const SLOW_VOTER: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// A vote is sent before it is durable.
    VotesBeforeDurable,
    /// Work is applied regardless of its token.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub core: LeaseCore,
    pub now: u64,
    pub disk: BTreeMap<Task, FencingToken>,
    pub written: BTreeMap<Task, FencingToken>,
    pub unflushed: Vec<UnflushedToken>,
    /// The highest token whose work was ever applied at this voter, even if the voter itself has
    /// lost it in a kill.
    pub greatest_applied: FencingToken,
}

/// A token that is written but not durable, and what has to be done once it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnflushedToken {
    pub task: Task,
    pub token: FencingToken,
    pub then: Vec<OnceDurable>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceDurable {
    Send { owner: usize, message: Message },
    Apply(FencingToken),
}

/// A message from an owner to a voter that has not arrived yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlight {
    pub owner: usize,
    pub voter: usize,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    pub core: LeaseCore,
    pub now: u64,
    pub work_count: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub voters: Vec<Voter>,
    pub owners: Vec<Owner>,
    /// Messages from owners to voters, in the order in which they were sent.
    pub in_flight: Vec<InFlight>,
    pub kills: u8,
    pub clock_jumps: u8,
    /// Whether a voter has applied work with a lower token after work with a higher one.
    pub has_stale_work: bool,
    /// Whether a fence has rejected work.
    pub has_rejected_work: bool,
    pub leases_acquired: u8,
    /// The highest token under which a lease was acquired.
    pub greatest_acquired: FencingToken,
    /// For each voter, whether it applied work with a token lower than `greatest_acquired`.
    pub has_applied_late_work: [bool; VOTERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An owner checks its timers.
    OwnerTimer(usize),
    /// The leases expire at the voters while the owners are paused.
    ExpireLeases,
    /// The oldest message from this owner to this voter arrives.
    Deliver { owner: usize, voter: usize },
    /// The disk of the slow voter makes all writes durable.
    Flush,
    /// The slow voter is killed and restarts; writes that were not flushed are lost.
    Kill,
    /// An owner sends work under its lease.
    SubmitWork(usize),
}

pub struct World {
    pub bug: Bug,
}
