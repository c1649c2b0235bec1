//! The state of an open request.

use std::net::IpAddr;

use eideryard::interface::{Micros, RequestId};
use eideryard_event_log::ClientRequest;

use super::engine::AttemptLoad;
use super::fact::{Attempt, MAX_SHOWN_ATTEMPTS};

/// Maximum number of attempts stored for one request; the oldest are dropped.
const MAX_ATTEMPTS: usize = 32;

/// A request without a final answer, or an answered one whose attempts are still running.
#[derive(Clone, Debug)]
pub struct Request {
    /// ID that the client gave to the request.
    pub id: u64,
    /// Index of the request's class; 0 until the request reaches the balancer.
    pub class: usize,
    /// Index of the request's tenant; 0 until the request reaches the balancer.
    pub tenant: usize,
    /// Address of the client; `None` if the log doesn't state it.
    pub address: Option<IpAddr>,
    /// Time of arrival at the gateway.
    pub arrived_at: Micros,
    /// Memory granted to the request, in MB; 0 before the grant.
    pub grant_mb: f64,
    /// Rank among the requests at an engine, set by the balancer with the grant.
    pub rank: u8,
    /// The last attempts, the oldest first.
    pub attempts: Vec<Attempt>,
    /// Number of attempts before those in `attempts`.
    pub earlier_attempts: usize,
    /// Whether the request has reached the balancer. From then on, its class and tenant are known.
    pub(super) has_arrived: bool,
    /// Whether the client got the final answer.
    pub(super) is_answered: bool,
}

impl Request {
    /// Creates a request that has not reached the balancer yet.
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

    /// Returns the number of attempts made so far.
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

    /// Returns an attempt by its index within the request, from 0, or `None` if it was dropped.
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

    /// Returns at most [`MAX_SHOWN_ATTEMPTS`] of the last attempts, the oldest first.
    pub(super) fn last_attempts(&self) -> [Option<Attempt>; MAX_SHOWN_ATTEMPTS] {
        let skipped = self.attempts.len().saturating_sub(MAX_SHOWN_ATTEMPTS);
        let mut last = [None; MAX_SHOWN_ATTEMPTS];
        for (slot, attempt) in last.iter_mut().zip(&self.attempts[skipped..]) {
            *slot = Some(*attempt);
        }
        last
    }

    /// Returns the resources that one attempt of this request uses on an engine.
    pub(super) fn load(&self, threads: f64) -> AttemptLoad {
        AttemptLoad {
            rank: self.rank,
            grant_mb: self.grant_mb,
            threads,
        }
    }
}

/// Requests by the ID that the balancer uses.
pub(super) type RequestTable = std::collections::HashMap<RequestId, Request>;
