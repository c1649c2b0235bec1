//! Handles requests that need an intent: checks them on arrival, writes the intent before a send,
//! releases the send once the intent is durable (and, in a fleet, its key is claimed), and updates
//! the intent when the attempt ends.

use eideryard::interface::{EngineId, Micros, PriorAttempt};
use eideryard_event_log::RejectReason;
use eideryard_intent_log::state::RETENTION_MARGIN;
use eideryard_intent_log::state::{EndedAttempt, IncomingRequest, NextAttempt};
use eideryard_intent_log::waiting::{is_within_window, TimeoutReason};
use eideryard_intent_log::{entry, Intent, IntentError, IntentWrite, Location, SendDecision};
use eideryard_replication::Verdict;
use eideryard_store::worker::Worker;
use eideryard_store::{Batch, NO_EXPIRY};

use super::IntentDurability;
use crate::replication::{prior_attempts, Claim};
use crate::table::Key;

/// A send that the balancer has decided on.
pub struct SendRequest<'a> {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Idempotency key of the request; `None` if the client sent none.
    pub key: Option<&'a str>,
    /// Engine that the balancer has chosen.
    pub engine: EngineId,
    /// Time at which the attempt is cancelled if it has not ended by then.
    pub attempt_deadline: Micros,
    /// Prior attempts of the request that the balancer already knows.
    pub prior_attempts: &'a [PriorAttempt],
}

/// How to proceed with a send.
pub enum SendPlan {
    /// Send now.
    Immediate,
    /// Send once the intent is durable. From then on this attempt counts as an attempt that may
    /// have run.
    AfterWrite {
        /// Ticket of the write, assigned by the store's worker in increasing order.
        ticket: u64,
        /// ID of the claim that must be granted as well; `None` without a fleet.
        claim: Option<u64>,
        /// This attempt as a prior attempt, for later decisions on the request.
        prior_attempt: PriorAttempt,
    },
    /// Don't send: the store rejects writes because too many are queued.
    StoreFull,
    /// Don't send: the balancer must first consider this prior attempt.
    PriorAttemptFound(PriorAttempt),
}

/// An attempt that is waiting until its intent is durable.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend {
    /// Ticket of the write, assigned by the store's worker in increasing order.
    pub ticket: u64,
    /// ID of the claim that must be granted as well; `None` without a fleet.
    pub claim: Option<u64>,
    /// Slot of the request in the request table.
    pub request: Key,
    /// Index of the attempt among the request's attempts.
    pub attempt: usize,
    /// Engine that the attempt is sent to.
    pub engine: EngineId,
    /// Time at which the attempt is cancelled if it has not ended by then.
    pub attempt_deadline: Micros,
}

/// A send that timed out, or whose claim got no majority.
pub struct RefusedSend {
    /// The send that waited.
    pub send: PendingSend,
    /// The reason for the refusal, which is sent to the client if its request is refused.
    pub reason: RejectReason,
}

/// A send whose request other gateways may already have run.
pub struct SendWithPriorRuns {
    /// The send that waited.
    pub send: PendingSend,
    /// Other gateways' attempts that may have run.
    pub prior_attempts: Vec<PriorAttempt>,
}

/// The results for waiting sends from one poll.
#[derive(Default)]
pub struct SendResults {
    /// Sends to carry out now.
    pub ready: Vec<PendingSend>,
    /// Sends that must not be carried out. A request is refused if this is its only attempt.
    pub refused: Vec<RefusedSend>,
    /// Sends that must not be carried out now: the balancer is notified of the prior runs and
    /// decides again.
    pub with_prior_runs: Vec<SendWithPriorRuns>,
}

impl SendResults {
    /// Returns whether there is no result.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.refused.is_empty() && self.with_prior_runs.is_empty()
    }
}

impl IntentDurability {
    /// Checks a request on arrival. Returns the request's prior attempts that may have run.
    /// `is_retry` states whether the client marked the request as a retry.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must be refused.
    pub fn admit_request(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        is_retry: bool,
    ) -> Result<Vec<PriorAttempt>, RejectReason> {
        let admitted = self.check_request(now, class, key, is_retry);
        match &admitted {
            Ok(prior) if prior.iter().any(|attempt| attempt.since == 0) => {
                self.counters.unknown_prior_location += 1;
            }
            Ok(prior) if !prior.is_empty() => self.counters.known_prior_location += 1,
            Ok(_) => {}
            Err(reason) => self.counters.count_refusal(*reason),
        }
        admitted
    }

    fn check_request(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        is_retry: bool,
    ) -> Result<Vec<PriorAttempt>, RejectReason> {
        let is_held_up = self
            .pending_sends
            .should_reject_requests(now, self.durable_ticket());
        let is_failing = self.worker.as_ref().is_none_or(Worker::is_failing) || is_held_up;
        // In a fleet, intents that are missing from this store are known to the voters, so a retry
        // of an unknown key needs no special treatment.
        let is_retry = is_retry && self.replication.is_none();
        let request = IncomingRequest {
            class,
            key,
            is_retry,
            is_store_failing: is_failing,
        };
        let prior = self
            .intent_log
            .on_request(now, request)
            .map_err(|error| match error {
                IntentError::Full => RejectReason::IntentLogFull,
                IntentError::Stalled => RejectReason::StoreStalled,
            })?;
        if key.is_some() && self.intent_log.is_tracked_class(class) {
            let replication = self.replication.as_ref();
            let rejection = replication.and_then(|replication| replication.claim_rejection());
            if let Some(reason) = rejection {
                return Err(reason);
            }
        }
        Ok(prior)
    }

    /// Returns the ticket of the last durable write; 0 if there is none.
    fn durable_ticket(&self) -> u64 {
        self.worker.as_ref().map_or(0, Worker::durable_ticket)
    }

    /// Writes a change of an intent that nothing waits for. If the store rejects the write, it is
    /// repeated by [`Self::repeat_rejected_writes`].
    fn write_without_waiting(&mut self, write: &IntentWrite) {
        if self.write_intent(write).is_none() {
            self.rejected_keys.insert(write.key.clone());
        }
    }

    /// Writes the current intents of keys for which the store has rejected a write.
    fn repeat_rejected_writes(&mut self) {
        while let Some(key) = self.rejected_keys.pop_first() {
            let write = self.intent_log.current_write(&key);
            if self.write_intent(&write).is_none() {
                self.rejected_keys.insert(key);
                return;
            }
        }
    }

    fn write_intent(&mut self, write: &IntentWrite) -> Option<u64> {
        self.worker.as_mut()?.write(store_batch(write))
    }

    /// Decides how to proceed with a send. If it needs an intent, writes and claims the intent.
    pub fn prepare_send(&mut self, now: Micros, request: &SendRequest<'_>) -> SendPlan {
        let location = self.engine_locations.get(&request.engine);
        let location = location.copied().unwrap_or_default();
        let attempt = NextAttempt {
            class: request.class,
            key: request.key,
            location,
            known_attempts: request.prior_attempts,
        };
        let decision = self.intent_log.on_send(now, attempt);
        let write = match decision {
            SendDecision::Immediate => return SendPlan::Immediate,
            SendDecision::PriorAttemptFound(attempt) => {
                return SendPlan::PriorAttemptFound(attempt);
            }
            SendDecision::AfterWrite(write) => write,
        };
        self.counters.intents += 1;
        let Some(ticket) = self.write_intent(&write) else {
            return SendPlan::StoreFull;
        };
        SendPlan::AfterWrite {
            ticket,
            claim: self.claim(now, request, &write),
            prior_attempt: as_prior_attempt(now, location, write.intent.as_ref()),
        }
    }

    /// Claims the key of a send at the voters. Returns the ID of the claim, or `None` without a
    /// fleet.
    fn claim(
        &mut self,
        now: Micros,
        request: &SendRequest<'_>,
        write: &IntentWrite,
    ) -> Option<u64> {
        let remaining = request.attempt_deadline.saturating_sub(now);
        let retention = remaining + self.retry_window(request.class) + RETENTION_MARGIN;
        let replication = self.replication.as_mut()?;
        let worker = self.worker.as_mut()?;
        let claim = Claim {
            stored_key: &write.key,
            intent: write.intent.as_ref()?,
            retention,
            prior_attempts: request.prior_attempts,
        };
        Some(replication.claim(now, &claim, worker))
    }

    /// Returns whether a send that has waited is still within the retry window of all prior
    /// attempts.
    pub fn is_within_window(
        &self,
        now: Micros,
        class: usize,
        prior_attempts: &[PriorAttempt],
    ) -> bool {
        is_within_window(now, self.retry_window(class), prior_attempts)
    }

    /// Delays a send until its intent is durable.
    pub fn add_pending_send(&mut self, now: Micros, send: PendingSend) {
        self.counters.waited += 1;
        self.pending_sends.push(now, send.ticket, send.claim, send);
    }

    /// Updates the intent of an attempt that has ended. `never_ran` is true if the attempt
    /// certainly did not run.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        class: usize,
        key: Option<&str>,
        never_ran: bool,
    ) {
        let attempt = EndedAttempt {
            class,
            key,
            never_ran,
        };
        let Some(write) = self.intent_log.on_attempt_ended(now, attempt) else {
            return;
        };
        self.write_without_waiting(&write);
        let intent = write.intent.as_ref();
        if intent.is_some_and(|intent| intent.in_flight > 0) {
            return;
        }
        let retention = self.retry_window(class) + RETENTION_MARGIN;
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.on_attempts_ended(now, &write.key, intent, retention, worker);
        }
    }

    /// Handles durable writes, messages of peers and expired deadlines. Returns the results for
    /// waiting sends.
    pub fn poll(&mut self, now: Micros) -> SendResults {
        self.repeat_rejected_writes();
        for write in self.intent_log.expire(now) {
            self.write_without_waiting(&write);
        }
        let mut results = SendResults::default();
        self.apply_verdicts(now, &mut results);
        let poll_result = self.pending_sends.poll(now, self.durable_ticket());
        results.ready = poll_result.ready;
        for (send, reason) in poll_result.timed_out {
            let reason = match reason {
                TimeoutReason::Store => RejectReason::StoreStalled,
                TimeoutReason::Claim => RejectReason::NoMajority,
            };
            results.refused.push(RefusedSend { send, reason });
        }
        for refused in &results.refused {
            self.counters.count_refusal(refused.reason);
        }
        self.write_status(now);
        results
    }

    /// Applies the voters' verdicts on claims to the sends that are waiting for them.
    fn apply_verdicts(&mut self, now: Micros, results: &mut SendResults) {
        let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) else {
            return;
        };
        for (claim, verdict) in replication.poll(now, worker) {
            match verdict {
                Verdict::Granted => self.pending_sends.on_claim_granted(claim),
                Verdict::PriorRunsFound(runs) => {
                    if let Some(send) = self.pending_sends.take_by_claim(claim) {
                        let prior_attempts = prior_attempts(&runs);
                        results.with_prior_runs.push(SendWithPriorRuns {
                            send,
                            prior_attempts,
                        });
                    }
                }
                Verdict::NoMajority(_) => {
                    if let Some(send) = self.pending_sends.take_by_claim(claim) {
                        let reason = RejectReason::NoMajority;
                        results.refused.push(RefusedSend { send, reason });
                    }
                }
            }
        }
    }

    fn write_status(&mut self, now: Micros) {
        if let (Some(replication), Some(writer)) = (&mut self.replication, &self.status_writer) {
            if let Some(status) = replication.status(now) {
                writer.write(status.to_string());
            }
        }
    }
}

/// Returns the batch that writes a change of an intent to the store.
pub(super) fn store_batch(write: &IntentWrite) -> Batch {
    let mut batch = Batch::default();
    let key = write.key.clone();
    match &write.intent {
        Some(intent) => {
            let expires_ms = write.expires_at().map_or(NO_EXPIRY, |at| at / 1000);
            batch.put(key, entry::to_bytes(intent), expires_ms);
        }
        None => batch.remove(key),
    }
    batch
}

/// Converts an attempt to the prior attempt that it is for later requests with the same key.
fn as_prior_attempt(now: Micros, location: Location, intent: Option<&Intent>) -> PriorAttempt {
    PriorAttempt {
        zone: location.zone,
        cell: location.cell,
        since: intent.map_or(now, |intent| intent.since),
    }
}
