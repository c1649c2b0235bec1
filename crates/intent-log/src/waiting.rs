//! Sends that wait for their intent to be durable, and for a claim to be granted where the gateway
//! shares its intents with others. Decides which are ready, which have timed out, and whether
//! further requests may be accepted.

use std::collections::BTreeMap;

use eideryard::interface::{Micros, PriorAttempt};

use crate::state::STALL_TIMEOUT;

/// Once the oldest send has waited for the store for so long, [`MAX_SLOW_SENDS`] applies.
const SLOW_STORE_THRESHOLD: Micros = 100_000;
/// Sends that may wait for a slow store. They hold capacity of engines that others could use.
const MAX_SLOW_SENDS: usize = 4;
/// A send that waited may go only until so long before the window of a prior attempt ends: it takes
/// time to reach its engine.
const DELIVERY_MARGIN: Micros = 100_000;

/// A send that waits.
struct PendingSend<T> {
    queued_at: Micros,
    /// The claim that has to be granted.
    claim: Option<u64>,
    payload: T,
}

/// Why a send that waited is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutReason {
    /// The store has not written its intent, or this process was stopped for too long.
    Store,
    /// Its claim has no verdict.
    Claim,
}

/// What has become of sends that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct PollResult<T> {
    /// May be sent now.
    pub ready: Vec<T>,
    /// Are to be refused.
    pub timed_out: Vec<(T, TimeoutReason)>,
}

/// Sends that wait, by the tickets of their writes, which increase with time.
pub struct PendingSends<T> {
    sends: BTreeMap<u64, PendingSend<T>>,
    /// Tickets of sends by the claim that they wait for.
    tickets: BTreeMap<u64, u64>,
    /// A send has timed out waiting for this ticket: until it is durable, no request is accepted.
    stalled_ticket: Option<u64>,
}

impl<T> Default for PendingSends<T> {
    fn default() -> Self {
        PendingSends {
            sends: BTreeMap::new(),
            tickets: BTreeMap::new(),
            stalled_ticket: None,
        }
    }
}

impl<T> PendingSends<T> {
    /// Adds a send that waits for the write with this ticket, and for a claim if there is one.
    pub fn push(&mut self, now: Micros, ticket: u64, claim: Option<u64>, payload: T) {
        if let Some(claim) = claim {
            self.tickets.insert(claim, ticket);
        }
        let send = PendingSend {
            queued_at: now,
            claim,
            payload,
        };
        self.sends.insert(ticket, send);
    }

    /// Number of sends that wait.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Whether no send waits.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// A claim is granted: its send waits for the store only.
    pub fn on_claim_granted(&mut self, claim: u64) {
        let Some(ticket) = self.tickets.remove(&claim) else {
            return;
        };
        if let Some(send) = self.sends.get_mut(&ticket) {
            send.claim = None;
        }
    }

    /// Removes the send that waits for a claim, as the claim is not granted.
    pub fn take_by_claim(&mut self, claim: u64) -> Option<T> {
        let ticket = self.tickets.remove(&claim)?;
        self.sends.remove(&ticket).map(|send| send.payload)
    }

    /// Removes sends that are durable and granted, and those that have timed out. A send that is
    /// past its timeout does not go, though it could now: if this process was stopped, others may
    /// have been told in the meantime that the send would never go.
    pub fn poll(&mut self, now: Micros, durable: u64) -> PollResult<T> {
        self.stalled_ticket.take_if(|ticket| *ticket <= durable);
        PollResult {
            timed_out: self.take_timed_out(now, durable),
            ready: self.take_ready(durable),
        }
    }

    fn take_timed_out(&mut self, now: Micros, durable: u64) -> Vec<(T, TimeoutReason)> {
        let mut timed_out = Vec::new();
        while let Some(first) = self.sends.first_entry() {
            if first.get().queued_at + STALL_TIMEOUT > now {
                break;
            }
            let (ticket, send) = first.remove_entry();
            if let Some(claim) = send.claim {
                self.tickets.remove(&claim);
            }
            let is_durable = ticket <= durable;
            if !is_durable {
                self.stalled_ticket = self.stalled_ticket.max(Some(ticket));
            }
            let reason = if is_durable && send.claim.is_some() {
                TimeoutReason::Claim
            } else {
                TimeoutReason::Store
            };
            timed_out.push((send.payload, reason));
        }
        timed_out
    }

    fn take_ready(&mut self, durable: u64) -> Vec<T> {
        let tickets: Vec<u64> = self
            .sends
            .range(..=durable)
            .filter(|(_, send)| send.claim.is_none())
            .map(|(ticket, _)| *ticket)
            .collect();
        tickets
            .iter()
            .filter_map(|ticket| self.sends.remove(ticket))
            .map(|send| send.payload)
            .collect()
    }

    /// Whether no further request may be accepted: the store has not written for too long, or is
    /// slow and enough sends wait for it already.
    pub fn should_reject_requests(&self, now: Micros, durable: u64) -> bool {
        let mut not_durable = self.sends.range(durable + 1..);
        let Some((_, oldest)) = not_durable.next() else {
            return self.is_stalled(durable);
        };
        let is_slow = oldest.queued_at + SLOW_STORE_THRESHOLD <= now;
        self.is_stalled(durable)
            || oldest.queued_at + STALL_TIMEOUT <= now
            || (is_slow && not_durable.count() >= MAX_SLOW_SENDS)
    }

    fn is_stalled(&self, durable: u64) -> bool {
        self.stalled_ticket.is_some_and(|ticket| ticket > durable)
    }

    /// When [`PendingSends::poll`] has something to do without any news.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.sends
            .values()
            .next()
            .map(|send| send.queued_at + STALL_TIMEOUT)
    }
}

/// Whether a send that waited still reaches its engine within the window of all prior attempts.
pub fn is_within_window(now: Micros, window: Micros, known: &[PriorAttempt]) -> bool {
    known
        .iter()
        .all(|attempt| now + DELIVERY_MARGIN < attempt.since + window)
}

#[cfg(test)]
mod tests;
