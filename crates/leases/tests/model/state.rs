//! State of the model, and the steps that change it.

use std::collections::BTreeMap;

use eideryard_leases::{FencingToken, LeaseCore, Message, Task};

pub const VOTERS: usize = 3;
pub const OWNERS: usize = 2;
pub const TASK: Task = Task { kind: 1, number: 1 };
pub const START_TIME: u64 = 1_000_000_000;
pub const MAX_CLOCK_JUMPS: u8 = 1;
pub const MAX_WORK_PER_OWNER: u8 = 1;
/// The voter that is killed and whose disk takes its time; the others' disks are quick.
pub const SLOW_VOTER: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// A vote is sent before it is durable.
    VotesBeforeDurable,
    /// Work is applied whatever token it carries.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub core: LeaseCore,
    pub now: u64,
    pub disk: BTreeMap<Task, FencingToken>,
    pub written: BTreeMap<Task, FencingToken>,
    pub unflushed: Vec<UnflushedToken>,
    /// The greatest token whose work was ever applied here, whatever the voter itself remembers.
    pub greatest_applied: FencingToken,
}

/// A token that is written but not durable, and what follows once it is.
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

/// A message from an owner to a voter that is under way.
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
    /// In order of sending.
    pub in_flight: Vec<InFlight>,
    pub kills: u8,
    pub clock_jumps: u8,
    /// Work under a lesser token was applied after that of a greater one.
    pub has_stale_work: bool,
    pub has_met_fence: bool,
    pub leases_acquired: u8,
    /// The greatest token under which a lease was acquired, and the voters at which work under a
    /// lesser one was applied after that.
    pub greatest_acquired: FencingToken,
    pub has_applied_late_work: [bool; VOTERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An owner examines its timers.
    OwnerTimer(usize),
    /// The voters' leases expire, while the owners stand still.
    ExpireLeases,
    Deliver {
        owner: usize,
        voter: usize,
    },
    Flush,
    Kill,
    Act(usize),
}

pub struct World {
    pub bug: Bug,
}
