//! The way of a request that needs an intent: admitted, written before its send, sent once the
//! intent is durable (and claimed, in a fleet), and ended.

use eideryard::interface::{EngineId, Micros, PriorAttempt};
use eideryard_event_log::RejectReason;
use eideryard_intent_log::state::RETENTION_MARGIN;
use eideryard_intent_log::state::{EndedAttempt, IncomingRequest, NextAttempt};
use eideryard_intent_log::waiting::{is_within_window, TimeoutReason};
use eideryard_intent_log::{entry, Intent, IntentError, IntentWrite, Place, SendDecision};
use eideryard_replication::Verdict;
use eideryard_store::worker::Worker;
use eideryard_store::Batch;

use super::IntentDurability;
use crate::replication::{prior_attempts, Claim};
use crate::table::Key;

/// A send that the balancer has decided on.
pub struct SendRequest<'a> {
    /// Class of the request.
    pub class: usize,
    /// Idempotency key of the request, if it has one.
    pub key: Option<&'a str>,
    /// Engine that the request goes to.
    pub engine: EngineId,
    /// When the attempt is given up.
    pub attempt_deadline: Micros,
    /// Prior attempts that the balancer knows of.
    pub known: &'a [PriorAttempt],
}

/// What is to be done with a send.
pub enum SendPlan {
    /// Send it now.
    Immediate,
    /// Send it once its intent is durable. From now on it counts among what may have run.
    AfterWrite {
        /// Number of the write, as the store's worker counts them.
        ticket: u64,
        /// Number of the claim that it waits for too.
        claim: Option<u64>,
        /// This attempt, as a later one sees it.
        prior_attempt: PriorAttempt,
    },
    /// Don't send it: the store takes no more.
    StoreFull,
    /// Don't send it: the balancer has to know of another attempt first.
    PriorAttemptFound(PriorAttempt),
}

/// An attempt that waits until its intent is durable.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend {
    /// Number of the write, as the store's worker counts them.
    pub ticket: u64,
    /// Number of the claim that it waits for too.
    pub claim: Option<u64>,
    /// The request.
    pub request: Key,
    /// Number of the attempt among the request's.
    pub attempt: usize,
    /// Engine that it goes to.
    pub engine: EngineId,
    /// When the attempt is given up.
    pub attempt_deadline: Micros,
}

/// A send that waited for too long, or in vain.
pub struct RefusedSend {
    /// The send.
    pub send: PendingSend,
    /// Why it is refused.
    pub reason: RejectReason,
}

/// A send that other gateways may have run before.
pub struct SendWithPriorRuns {
    /// The send.
    pub send: PendingSend,
    /// What may have run.
    pub prior_attempts: Vec<PriorAttempt>,
}

/// What has become of sends that waited.
#[derive(Default)]
pub struct SendResults {
    /// To be sent now.
    pub ready: Vec<PendingSend>,
    /// Not to be sent; their requests are refused where nothing else of them was sent.
    pub refused: Vec<RefusedSend>,
    /// Not to be sent: the balancer decides anew.
    pub with_prior_runs: Vec<SendWithPriorRuns>,
}

impl SendResults {
    /// Whether nothing has become of any send.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.refused.is_empty() && self.with_prior_runs.is_empty()
    }
}

impl IntentDurability {
    /// Decides on a request that arrives: returns what of it may have run before. `is_retry` says
    /// whether its client marked it so.
    ///
    /// # Errors
    ///
    /// Why the request is refused.
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
        let is_held_up = self.pending_sends.is_held_up(now, self.durable_ticket());
        let is_failing = self.worker.as_ref().is_none_or(Worker::is_failing) || is_held_up;
        // In a fleet the voters know what this store may have forgotten.
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

    /// The last write that is durable.
    fn durable_ticket(&self) -> u64 {
        self.worker.as_ref().map_or(0, Worker::durable)
    }

    fn write_intent(&mut self, write: &IntentWrite) -> Option<u64> {
        let key = write.key.clone();
        let mut batch = Batch::default();
        match &write.intent {
            // The store drops it by its own clock if this gateway never does.
            Some(intent) => {
                let expires_ms = intent.until / 1000 + RETENTION_MARGIN / 1000;
                batch.put(key, entry::to_bytes(intent), expires_ms);
            }
            None => batch.remove(key),
        }
        self.worker.as_mut()?.write(batch)
    }

    /// Decides on a send; writes and claims its intent where it needs one.
    pub fn prepare_send(&mut self, now: Micros, request: &SendRequest<'_>) -> SendPlan {
        let place = self.engine_places.get(&request.engine);
        let place = place.copied().unwrap_or_default();
        let attempt = NextAttempt {
            class: request.class,
            key: request.key,
            place,
            known: request.known,
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
            prior_attempt: as_prior_attempt(now, place, write.intent.as_ref()),
        }
    }

    /// Claims the key of a send from the voters, in a fleet. Returns the claim's number.
    fn claim(
        &mut self,
        now: Micros,
        request: &SendRequest<'_>,
        write: &IntentWrite,
    ) -> Option<u64> {
        let remaining = request.attempt_deadline.saturating_sub(now);
        let retention = remaining + self.window(request.class) + RETENTION_MARGIN;
        let replication = self.replication.as_mut()?;
        let worker = self.worker.as_mut()?;
        let claim = Claim {
            stored_key: &write.key,
            intent: write.intent.as_ref()?,
            retention,
            known: request.known,
        };
        Some(replication.claim(now, &claim, worker))
    }

    /// Whether a send that waited is still within the window of what may have run before it.
    pub fn is_within_window(&self, now: Micros, class: usize, known: &[PriorAttempt]) -> bool {
        is_within_window(now, self.window(class), known)
    }

    /// Keeps a send until its intent is durable.
    pub fn add_pending_send(&mut self, now: Micros, send: PendingSend) {
        self.counters.waited += 1;
        self.pending_sends.push(now, send.ticket, send.claim, send);
    }

    /// An attempt has ended. `never_ran` says whether it is sure that it didn't run.
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
        // If the store takes no more, the intent is only remembered for longer.
        self.write_intent(&write);
        let intent = write.intent.as_ref();
        if intent.is_some_and(|intent| intent.in_flight > 0) {
            return;
        }
        let retention = self.window(class) + RETENTION_MARGIN;
        if let (Some(replication), Some(worker)) = (&mut self.replication, &mut self.worker) {
            replication.on_attempts_ended(now, &write.key, intent, retention, worker);
        }
    }

    /// Handles what is durable, what has arrived from peers and what is due. Returns what has
    /// become of sends that waited.
    pub fn poll(&mut self, now: Micros) -> SendResults {
        for write in self.intent_log.expire(now) {
            self.write_intent(&write);
        }
        let mut results = SendResults::default();
        self.apply_verdicts(now, &mut results);
        let waited = self.pending_sends.poll(now, self.durable_ticket());
        results.ready = waited.ready;
        for (send, reason) in waited.timed_out {
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

    /// Applies the voters' verdicts on claims to the sends that wait for them.
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

/// An attempt, as a later attempt at the same key sees it.
fn as_prior_attempt(now: Micros, place: Place, intent: Option<&Intent>) -> PriorAttempt {
    PriorAttempt {
        zone: place.zone,
        cell: place.cell,
        since: intent.map_or(now, |intent| intent.since),
    }
}
