//! Sends that are waiting until their intent is durable and, if the gateway shares its intents with
//! a fleet, until their claim is granted. Decides which sends are ready, which have timed out, and
//! whether further requests have to be rejected.

use std::collections::BTreeMap;

use eideryard::interface::{Micros, PriorAttempt};

use crate::state::STALL_TIMEOUT;

/// Time in microseconds for which the oldest send has to be waiting for the store before the store
/// counts as slow. [`MAX_SLOW_SENDS`] applies then.
const SLOW_STORE_THRESHOLD: Micros = 100_000;
/// Maximum number of sends, besides the oldest one, that may be waiting for a slow store before
/// further requests are rejected. Each send occupies capacity of an engine that other requests
/// could use.
const MAX_SLOW_SENDS: usize = 4;
/// Minimum time in microseconds from the end of a send's wait to the end of the window of a prior
/// attempt. The send needs this time to reach its engine.
const DELIVERY_MARGIN: Micros = 100_000;

/// A send that is waiting for its write or its claim.
struct PendingSend<T> {
    queued_at: Micros,
    /// ID of the claim that has to be granted; `None` if there is none or it was granted.
    claim: Option<u64>,
    payload: T,
}

/// What a send was waiting for when it timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutReason {
    /// The store has not written the intent in time, or this process was stopped for too long.
    Store,
    /// The claim was neither granted nor denied in time.
    Claim,
}

/// The sends that are no longer waiting.
#[derive(Debug, PartialEq, Eq)]
pub struct PollResult<T> {
    /// Payloads of the sends that may be sent now.
    pub ready: Vec<T>,
    /// Payloads of the sends that have to be refused, with the reason.
    pub timed_out: Vec<(T, TimeoutReason)>,
}

/// All waiting sends, ordered by the tickets of their writes. Tickets increase with time.
pub struct PendingSends<T> {
    sends: BTreeMap<u64, PendingSend<T>>,
    /// Tickets of the sends that are waiting for a claim, by claim ID.
    ticket_by_claim: BTreeMap<u64, u64>,
    /// Highest ticket for which a send has timed out. No request is accepted until this ticket is
    /// durable.
    stalled_ticket: Option<u64>,
}

impl<T> Default for PendingSends<T> {
    fn default() -> Self {
        PendingSends {
            sends: BTreeMap::new(),
            ticket_by_claim: BTreeMap::new(),
            stalled_ticket: None,
        }
    }
}

impl<T> PendingSends<T> {
    /// Adds a send that waits for the write with this ticket and, unless `claim` is `None`, for the
    /// claim with this ID.
    pub fn push(&mut self, now: Micros, ticket: u64, claim: Option<u64>, payload: T) {
        if let Some(claim) = claim {
            self.ticket_by_claim.insert(claim, ticket);
        }
        let send = PendingSend {
            queued_at: now,
            claim,
            payload,
        };
        self.sends.insert(ticket, send);
    }

    /// Returns the number of waiting sends.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns whether no send is waiting.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Records that a claim was granted. From now on, its send waits only for the store.
    pub fn on_claim_granted(&mut self, claim: u64) {
        let Some(ticket) = self.ticket_by_claim.remove(&claim) else {
            return;
        };
        if let Some(send) = self.sends.get_mut(&ticket) {
            send.claim = None;
        }
    }

    /// Removes and returns the send of a claim that was denied; `None` if no send is waiting for
    /// that claim.
    pub fn take_by_claim(&mut self, claim: u64) -> Option<T> {
        let ticket = self.ticket_by_claim.remove(&claim)?;
        self.sends.remove(&ticket).map(|send| send.payload)
    }

    /// Removes and returns the sends whose writes are durable and whose claims are granted, and
    /// those that have timed out. `durable` is the last ticket that is durable.
    ///
    /// A send past its timeout is refused even if its write is durable and its claim is granted by
    /// now. If this process was stopped for a while, other gateways may have been informed in the
    /// meantime that the attempt will never be sent.
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
                self.ticket_by_claim.remove(&claim);
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

    /// Returns whether further requests have to be rejected: the store has not written for
    /// [`STALL_TIMEOUT`], or the store is slow and more than `MAX_SLOW_SENDS` sends are waiting for
    /// it. `durable` is the last ticket that is durable.
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

    /// Returns the time at which [`PendingSends::poll`] must be called unless a write or claim
    /// completes first; `None` if no send is waiting.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.sends
            .values()
            .next()
            .map(|send| send.queued_at + STALL_TIMEOUT)
    }
}

/// Returns whether a send that has waited will still reach its engine within the window of every
/// known prior attempt.
pub fn is_within_window(now: Micros, window: Micros, known: &[PriorAttempt]) -> bool {
    known
        .iter()
        .all(|attempt| now + DELIVERY_MARGIN < attempt.since + window)
}

#[cfg(test)]
mod tests;
