//! An open request.

use std::net::IpAddr;

use eideryard::interface::{Micros, RequestId};
use eideryard_event_log::ClientRequest;

use super::engine::AttemptLoad;
use super::fact::{Attempt, MAX_SHOWN_ATTEMPTS};

/// Attempts of one request that are kept.
const MAX_ATTEMPTS: usize = 32;

/// A request that is open, or answered with attempts that still run.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id that its client gave it.
    pub id: u64,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Address of its client, where that is known.
    pub address: Option<IpAddr>,
    /// When it arrived.
    pub arrived_at: Micros,
    /// Memory granted to it.
    pub grant_mb: f64,
    /// Its rank among requests at an engine.
    pub rank: u8,
    /// Its attempts that are known, the oldest first.
    pub attempts: Vec<Attempt>,
    /// Earlier attempts of which only the number is known.
    pub earlier_attempts: usize,
    /// Whether the decision module saw it, so that class and tenant are known.
    pub(super) has_arrived: bool,
    /// Whether it got its final answer.
    pub(super) is_answered: bool,
}

impl Request {
    /// A request that the decision module has not seen.
    pub(super) fn received(
        received: &ClientRequest,
        address: Option<IpAddr>,
        arrived_at: Micros,
    ) -> Self {
        Request {
            id: received.id,
            class: 0,
            tenant: 0,
            address,
            arrived_at,
            grant_mb: 0.0,
            rank: 0,
            attempts: Vec::new(),
            earlier_attempts: 0,
            has_arrived: false,
            is_answered: false,
        }
    }

    /// How many attempts were made.
    pub fn attempt_count(&self) -> usize {
        self.earlier_attempts + self.attempts.len()
    }

    pub(super) fn running_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.ended.is_none())
    }

    pub(super) fn is_running(&self) -> bool {
        self.running_attempts().next().is_some()
    }

    /// An attempt by its number since the request's arrival.
    pub(super) fn attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        let index = number.checked_sub(self.earlier_attempts)?;
        self.attempts.get_mut(index)
    }

    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
            self.earlier_attempts += 1;
        }
        self.attempts.push(attempt);
    }

    /// The last attempts, the oldest first.
    pub(super) fn last_attempts(&self) -> [Option<Attempt>; MAX_SHOWN_ATTEMPTS] {
        let skipped = self.attempts.len().saturating_sub(MAX_SHOWN_ATTEMPTS);
        let mut last = [None; MAX_SHOWN_ATTEMPTS];
        for (slot, attempt) in last.iter_mut().zip(&self.attempts[skipped..]) {
            *slot = Some(*attempt);
        }
        last
    }

    /// What one of its attempts takes of an engine.
    pub(super) fn load(&self, threads: f64) -> AttemptLoad {
        AttemptLoad {
            rank: self.rank,
            grant_mb: self.grant_mb,
            threads,
        }
    }
}

/// Requests by the decision module's id.
pub(super) type RequestTable = std::collections::HashMap<RequestId, Request>;
