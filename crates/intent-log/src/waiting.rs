//! Sends that wait until their intent is durable and, if the gateway shares its intents with a
//! fleet, until their claim is granted. Decides which sends are ready, which have timed out, and
//! whether further requests have to be rejected.

use std::collections::BTreeMap;

use eideryard::interface::{Micros, PriorAttempt};

use crate::state::STALL_TIMEOUT;

/// The store counts as slow once the oldest send has waited for it this long, in microseconds.
/// [`MAX_SLOW_SENDS`] applies then.
const SLOW_STORE_THRESHOLD: Micros = 100_000;
/// Number of sends that may wait for a slow store. Each occupies capacity of an engine that other
/// requests could use.
const MAX_SLOW_SENDS: usize = 4;
/// A send that has waited must leave at least this long before the window of a prior attempt ends,
/// because it takes time to reach its engine. In microseconds.
const DELIVERY_MARGIN: Micros = 100_000;

/// A send that waits for its write or its claim.
struct PendingSend<T> {
    queued_at: Micros,
    /// Number of the claim that has to be granted; `None` if there is none or it was granted.
    claim: Option<u64>,
    payload: T,
}

/// What a send waited for when it timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutReason {
    /// The store has not written the intent in time, or this process was stopped for too long.
    Store,
    /// The claim was neither granted nor denied in time.
    Claim,
}

/// The sends that no longer wait.
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
    /// Tickets of the sends that wait for a claim, by the number of the claim.
    ticket_by_claim: BTreeMap<u64, u64>,
    /// Highest ticket for which a send has timed out. No request is accepted until it is durable.
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
    /// Adds a send that waits for the write with this ticket and for `claim`, if it has one.
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

    /// Number of waiting sends.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Whether no send waits.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Records that a claim was granted. Its send waits only for the store from now on.
    pub fn on_claim_granted(&mut self, claim: u64) {
        let Some(ticket) = self.ticket_by_claim.remove(&claim) else {
            return;
        };
        if let Some(send) = self.sends.get_mut(&ticket) {
            send.claim = None;
        }
    }

    /// Removes and returns the send of a claim that was denied; `None` if no send waits for it.
    pub fn take_by_claim(&mut self, claim: u64) -> Option<T> {
        let ticket = self.ticket_by_claim.remove(&claim)?;
        self.sends.remove(&ticket).map(|send| send.payload)
    }

    /// Removes and returns the sends that are durable and granted, and those that have timed out.
    /// `durable` is the last ticket that is durable.
    ///
    /// A send past its timeout is refused even if it is durable and granted by now. If this process
    /// was stopped for a while, other gateways may have been informed in the meantime that the
    /// attempt will never be sent.
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

    /// Whether further requests have to be rejected: the store has not written for
    /// [`STALL_TIMEOUT`], or it is slow and enough sends wait for it already. `durable` is the last
    /// ticket that is durable.
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

    /// Time at which [`PendingSends::poll`] should be called if no write or claim completes before;
    /// `None` if no send waits.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.sends
            .values()
            .next()
            .map(|send| send.queued_at + STALL_TIMEOUT)
    }
}

/// Whether a send that has waited will still reach its engine within the window of every known
/// prior attempt.
pub fn is_within_window(now: Micros, window: Micros, known: &[PriorAttempt]) -> bool {
    known
        .iter()
        .all(|attempt| now + DELIVERY_MARGIN < attempt.since + window)
}

#[cfg(test)]
mod tests;
